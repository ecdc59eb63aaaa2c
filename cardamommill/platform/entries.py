"""Decodes runners' entries in the runner list and runners' reports.

Also parses the JSON objects in other bodies, such as the store's answers.
"""

import json
from typing import Annotated, Any, TypeVar

import pydantic

from cardamommill import exceptions
from cardamommill.domain import incarnations, model
from cardamommill.platform import wire, wirenames

_MEMBER_STATES = {each.value: each for each in model.MemberState}

_T = TypeVar("_T", bound=wire.Wire)


class _WireModel(wire.Wire):
    name: str


class _WireGroup(wire.Wire):
    name: str
    epoch: int
    rank: int
    state: str


class _WireStatus(wire.Wire):
    """Fields that an entry and a report have in common.

    Attributes:
        domain: The fabric domain; missing if the service has no groups.
        staged: Models on the runner's host: names, or objects with a name.
        born: Unix ms of the runner's start.
    """

    domain: str | int = ""
    staged: tuple[str | _WireModel, ...] = ()
    models: tuple[_WireModel, ...] = ()
    group: Annotated[_WireGroup | None, wire.NONE_IF_EMPTY] = None
    born: Annotated[int | None, pydantic.Field(strict=True, ge=0)] = None


class _WireEntry(_WireStatus):
    """A row of the runner list.

    The row's `seq` is not read: it counts heartbeats, while that of a report
    counts orders.
    """

    service: str
    address: Annotated[str,
                       pydantic.StringConstraints(pattern=r"^[\d.]+:\d{1,5}$")]
    zone: str
    slots: int = 1
    state: str
    coldLeftMs: float = 0.0  # noqa: N815


class _WireReport(_WireStatus):
    """A runner's report; `seq` counts the orders that the runner has begun."""

    seq: int
    busy: bool = False
    queued: int = 0
    active: int = 0
    pace: float = 1.0


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
        BadPeerMessage: The row is no valid entry, or its state is unknown to
            this version of the software. The runner then counts as unlisted.
    """
    entry = _parse(_WireEntry, value, instance)
    if entry.state not in (wirenames.READY, wirenames.DRAINING):
        raise exceptions.BadPeerMessage(
            f"unknown runner state {entry.state!r}, expected ready or draining",
            step="decode entry",
            peer=instance)
    host, _, port = entry.address.rpartition(":")
    return model.Runner(id=str(incarnations.Incarnation(instance, entry.born)),
                        service=entry.service,
                        host=host,
                        port=int(port),
                        data_centre=entry.zone,
                        leaving=entry.state == wirenames.DRAINING,
                        slots=max(1, entry.slots),
                        row_version=row_version,
                        status=_runner_status(entry, instance),
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
    return model.Report(status=_runner_status(report, runner),
                        orders_begun=report.seq,
                        busy=report.busy,
                        waiting=report.queued,
                        running=report.active,
                        pace=max(0.05, report.pace),
                        born_ms=report.born)


class _WireOrderAnswer(wire.Wire):
    born: Annotated[int, pydantic.Field(strict=True, ge=0)]


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


def _runner_status(status: _WireStatus, peer: str) -> model.RunnerStatus:
    return model.RunnerStatus(domain=str(status.domain),
                              staged=tuple(
                                  each if isinstance(each, str) else each.name
                                  for each in status.staged),
                              models=tuple(each.name for each in status.models),
                              membership=_membership(status.group, peer))


def _membership(group: _WireGroup | None, peer: str) -> model.Membership | None:
    if group is None or not group.name:
        return None
    if group.state not in _MEMBER_STATES:
        raise exceptions.BadPeerMessage(
            f"unknown group member state {group.state!r}",
            step="decode group",
            peer=peer)
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
    except ValueError as error:
        raise exceptions.BadPeerMessage(f"invalid JSON: {error}",
                                        step=step,
                                        peer=peer) from None
    if not isinstance(value, dict):
        raise exceptions.BadPeerMessage("expected a JSON object",
                                        step=step,
                                        peer=peer)
    return value
