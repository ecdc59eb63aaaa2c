"""Decodes runners' entries in the runner list and runners' reports.

Also parses the JSON objects in other bodies, such as the store's answers.
"""

import ipaddress
import json
import re
from typing import Annotated, Any, TypeVar

import pydantic

from cardamommill import exceptions
from cardamommill.domain import incarnations, model
from cardamommill.platform import entryerrors, wire, wirenames

_MEMBER_STATES = {each.value: each for each in model.MemberState}

# The key becomes the value of a header.
_KEY = re.compile(r"[\x21-\x7e]{1,200}")
_ADDRESS = "an IPv4 address and a port"

_T = TypeVar("_T", bound=wire.Wire)
_Born = Annotated[int, pydantic.Field(strict=True, ge=0, le=wire.MAX_INT)]


def _check_address(address: str) -> str:
    host, _, port = address.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        raise ValueError(_ADDRESS) from None
    if not re.fullmatch("[0-9]{1,5}", port) or not 0 < int(port) < 2**16:
        raise ValueError(_ADDRESS)
    return address


def _none_if_empty(group: Any) -> Any:
    return None if group == {} else group


def _refuse_null(value: Any) -> Any:
    if value is None:
        raise ValueError("a value, or no such field")
    return value


class _WireModel(wire.Wire):
    name: str


class _WireGroup(wire.Wire):
    name: Annotated[str, pydantic.Field(max_length=200)]
    epoch: wire.Count
    rank: wire.Count
    state: str


class _WireStatus(wire.Wire):
    """Fields that an entry and a report have in common.

    Attributes:
        domain: The fabric domain; missing if the service has no groups.
        staged: Models on the runner's host: names, or objects with a name.
        born: Unix ms of the runner's start.
    """

    domain: str | wire.Int = ""
    staged: tuple[str | _WireModel, ...] = ()
    models: tuple[_WireModel, ...] = ()
    group: Annotated[_WireGroup | None, wire.NONE_IF_EMPTY] = None
    born: _Born | None = None


class _WireEntry(_WireStatus):
    """A row of the runner list, which is validated without conversions.

    Fields that are not used are validated too: a row of another writer may
    hold anything and names no runner.

    Attributes:
        seq: Counts heartbeats, while that of a report counts orders.
        version: The version of the runner's software.
    """

    service: str
    address: Annotated[str, pydantic.AfterValidator(_check_address)]
    zone: str
    slots: wire.Count
    state: str
    group: Annotated[_WireGroup | None,
                     pydantic.BeforeValidator(_none_if_empty)] = None
    born: Annotated[_Born | None, pydantic.BeforeValidator(_refuse_null)] = None
    coldLeftMs: wire.Float = 0.0  # noqa: N815
    seq: wire.Count = 0
    version: str | wire.Count = ""


class _WireReport(_WireStatus):
    """A runner's report; `seq` counts the orders that the runner has begun."""

    seq: wire.Count
    busy: bool = False
    queued: wire.Count = 0
    active: wire.Count = 0
    pace: wire.Float = 1.0


def decode_entry(instance: str,
                 value: bytes,
                 row_version: int,
                 row_era: int = 0) -> model.Runner:
    """Returns the runner that a row of the runner list describes.

    Args:
        instance: The row's key, which a restarted runner may have again.
        value: The row's value, JSON.
        row_version: The row's version.
        row_era: The era of the store in which that version was assigned.

    Raises:
        EntryRefused: The row is no valid entry, or its state is unknown to
            this version of the software. The runner then counts as unlisted.
    """
    entry = _parse_entry(instance, value)
    host, _, port = entry.address.rpartition(":")
    return model.Runner(id=str(incarnations.Incarnation(instance, entry.born)),
                        service=entry.service,
                        host=host,
                        port=int(port),
                        data_centre=entry.zone,
                        leaving=entry.state == wirenames.DRAINING,
                        slots=max(1, entry.slots),
                        row_version=row_version,
                        status=_runner_status(entry),
                        row_era=row_era,
                        cold_left_ms=max(0.0, entry.coldLeftMs))


def decode_report(runner: str, body: bytes) -> model.Report:
    """Returns the report that a runner gives of itself.

    Args:
        runner: The id of the runner that was asked.
        body: The answer's body, JSON.

    Raises:
        BadPeerMessage: The body is no valid report.
    """
    report = _parse(_WireReport, body, runner)
    _check_member_state(report.group, runner)
    return model.Report(status=_runner_status(report),
                        orders_begun=report.seq,
                        busy=report.busy,
                        waiting=report.queued,
                        running=report.active,
                        pace=max(0.05, report.pace),
                        born_ms=report.born)


class _WireOrderAnswer(wire.Wire):
    born: _Born


def order_born_ms(body: bytes) -> int | None:
    """Returns the start of the incarnation that answered an order.

    Returns:
        None if the body doesn't state it, as in refusals without a body.
    """
    try:
        return _WireOrderAnswer.model_validate_json(body).born
    except pydantic.ValidationError:
        return None


def _parse(kind: type[_T], value: bytes, peer: str) -> _T:
    try:
        return kind.model_validate_json(value)
    except pydantic.ValidationError as error:
        first = error.errors(include_url=False)[0]
        # The step in the message is the class's name without "_Wire".
        raise exceptions.BadPeerMessage(
            f"{'.'.join(map(str, first['loc']))}: {first['msg']}",
            step=f"decode {kind.__name__.lower().removeprefix('_wire')}",
            peer=peer) from None


def _parse_entry(row: str, value: bytes) -> _WireEntry:
    if not _KEY.fullmatch(row):
        raise entryerrors.EntryRefused(row, "key", ascii(row),
                                       "1 to 200 printable ASCII characters")
    if value.startswith(wire.NOT_BASE64):
        raise entryerrors.EntryRefused(row, "value",
                                       value[len(wire.NOT_BASE64):], "base64")
    try:
        entry = _WireEntry.model_validate_json(value, strict=True)
    except pydantic.ValidationError as error:
        raise entryerrors.EntryRefused.from_validation(row, error) from None
    if entry.state not in (wirenames.READY, wirenames.DRAINING):
        raise entryerrors.EntryRefused(row, "state", entry.state,
                                       "ready or draining")
    group = entry.group
    if group is not None and group.name and (group.state not in _MEMBER_STATES):
        raise entryerrors.EntryRefused(row, "group.state", group.state,
                                       "one of " + ", ".join(_MEMBER_STATES))
    return entry


def _runner_status(status: _WireStatus) -> model.RunnerStatus:
    return model.RunnerStatus(domain=str(status.domain),
                              staged=tuple(
                                  each if isinstance(each, str) else each.name
                                  for each in status.staged),
                              models=tuple(each.name for each in status.models),
                              membership=_membership(status.group))


def _check_member_state(group: _WireGroup | None, peer: str) -> None:
    if group is not None and group.name and (group.state not in _MEMBER_STATES):
        raise exceptions.BadPeerMessage(
            f"unknown group member state {group.state!r}",
            step="decode group",
            peer=peer)


def _membership(group: _WireGroup | None) -> model.Membership | None:
    if group is None or not group.name:
        return None
    return model.Membership(group.name, group.epoch, group.rank,
                            _MEMBER_STATES[group.state])


def parse_json_object(body: bytes, step: str, peer: str) -> dict[str, Any]:
    """Returns the JSON object that a body holds.

    Args:
        body: The body of a request or an answer.
        step: The step to name in the error.
        peer: The sender to name in the error.

    Raises:
        BadPeerMessage: The body is no JSON object.
    """
    try:
        value = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise exceptions.BadPeerMessage(f"invalid JSON: {error}",
                                        step=step,
                                        peer=peer) from None
    if not isinstance(value, dict):
        raise exceptions.BadPeerMessage("expected a JSON object",
                                        step=step,
                                        peer=peer)
    return value
