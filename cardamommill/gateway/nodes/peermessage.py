"""Encoding of the datagrams that nodes send each other."""

import dataclasses
import math
import struct
from typing import Any

import msgpack

from cardamommill import exceptions
from cardamommill.domain import model
from cardamommill.gateway.fleet import inflight, loadsums
from cardamommill.gateway.requests import ratelimits, reliability

# Larger datagrams are fragmented, and losing one fragment loses all of them.
MAX_DATAGRAM_BYTES = 1400
# Sections may take this much. The load sums of many data centres fill the rest
# of a datagram, and must not crowd out the groups that planners closed.
MAX_SECTIONS_BYTES = 300
# A message without sections is sent in the format before the newest, so that
# nodes of the former version understand it.
FORMAT = 6
FORMAT_WITHOUT_SECTIONS = 5
# Defaults for the trailing fields that messages of older formats lack.
OLDER_FORMAT_DEFAULTS: dict[int, list[Any]] = {
    3: [None, False, [], {}],
    4: [[], {}],
    5: [{}]
}
# Name of the section that a node sends while it reaches no runner.
CUT_OFF_SECTION = "cut_off"
# The format, and the fields that differ between receivers: `echo_ms` and
# `interval_ms`. The rest is packed once for all receivers: packing it for each
# one took a node in a fleet of 71 about 3 ms per heartbeat.
_HEADER = struct.Struct("!Bdd")


@dataclasses.dataclass(frozen=True, slots=True)
class Alarm:
    """A group that a node found silent or down.

    Attributes:
        key: The group.
        age_ms: How long ago it was found so.
        confirmed: Whether a member did not answer a probe.
        silent: Some of the members that did not answer.
    """

    key: model.GroupKey
    age_ms: float
    confirmed: bool
    silent: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class OpenedGroup:
    """A group that was opened, as reported by its planner.

    Attributes:
        key: The group.
        model: The name of its model.
        head: The runner ID of its head.
    """

    key: model.GroupKey
    model: str
    head: str


@dataclasses.dataclass(frozen=True, slots=True)
class PeerMessage:
    """The contents of one datagram.

    Attributes:
        node: The sender's name.
        incarnation: Distinguishes the runs of the sender's process.
        data_centre: The sender's data centre.
        sent_ms: When it was sent, by the sender's clock.
        echo_ms: The newest `sent_ms` that the sender has received from the
            receiver; 0 for none.
        interval_ms: Time until the sender's next message to the receiver.
        config_version: The configuration in force at the sender.
        config_confirmed_age_ms: Time since that configuration was last
            confirmed as the newest.
        in_flight: The sender's load at each group.
        alarms: Groups recently found silent or down.
        opened_groups: Recently opened groups.
        attempt_histories: Attempts at runners that recently failed requests.
        has_seen_requests: Whether the sender has received any caller's request.
        stopping: Whether the sender is shutting down.
        planning_age_ms: How long the sender has planned, by data centre.
        load_sums: Sent by reporters only. A message to a remote data centre
            contains the load sums of the sender's data centre, a message within
            that data centre the load sums of all others.
        has_lost_store: Whether the sender's calls to the store fail.
        limits: Rate limits that runners recently set or lifted; times are by
            the sender's clock.
        sections: Further contents, by name. Each part of the node encodes and
            decodes its own; a name that is not known is ignored. Later ones are
            left out first if they do not fit.
    """

    node: str
    incarnation: int
    data_centre: str
    sent_ms: float
    echo_ms: float
    interval_ms: float
    config_version: int
    config_confirmed_age_ms: float
    in_flight: dict[model.GroupKey, inflight.GroupLoad]
    alarms: tuple[Alarm, ...]
    opened_groups: tuple[OpenedGroup, ...]
    attempt_histories: tuple[reliability.AttemptHistory, ...]
    has_seen_requests: bool
    stopping: bool
    planning_age_ms: dict[str, float]
    load_sums: loadsums.LoadSums | None = None
    has_lost_store: bool = False
    limits: tuple[ratelimits.RateLimit, ...] = ()
    sections: dict[str, Any] = dataclasses.field(default_factory=dict)

    @property
    def is_cut_off(self) -> bool:
        """Whether the sender reaches no runner."""
        return bool(self.sections.get(CUT_OFF_SECTION))


@dataclasses.dataclass(frozen=True, slots=True)
class EncodedBody:
    """The part of a datagram that is the same for all receivers."""

    form: int
    data: bytes


def encode_datagram(echo_ms: float, interval_ms: float,
                    body: EncodedBody) -> bytes:
    """Returns the datagram for one receiver.

    Args:
        echo_ms: As in `PeerMessage`.
        interval_ms: As in `PeerMessage`.
        body: The result of `encode_body`, the same for all receivers.
    """
    return _HEADER.pack(body.form, echo_ms, interval_ms) + body.data


def encode_body(message: PeerMessage) -> EncodedBody:
    """Returns the body for all receivers.

    What does not fit is left out: sections beyond `MAX_SECTIONS_BYTES`, from
    the last one, then loads.
    """
    in_flight = [[key.name, key.epoch, *_load_fields(load)]
                 for key, load in message.in_flight.items()]
    load_sums = [[short_id, *_load_fields(load)] for short_id, load in (
        message.load_sums.loads.items() if message.load_sums else ())]
    sections = _fitting_sections(message.sections)
    while True:
        data = _pack(message, in_flight, load_sums, sections)
        if len(data) <= MAX_DATAGRAM_BYTES - _HEADER.size or not (in_flight or
                                                                  load_sums):
            return EncodedBody(FORMAT if sections else FORMAT_WITHOUT_SECTIONS,
                               data)
        in_flight = in_flight[:len(in_flight) * 3 // 4]
        load_sums = load_sums[:len(load_sums) * 3 // 4]


def _fitting_sections(sections: dict[str, Any]) -> dict[str, Any]:
    fitting = dict(sections)
    while fitting and len(msgpack.packb(fitting)) > MAX_SECTIONS_BYTES:
        fitting.popitem()
    return fitting


def _load_fields(load: inflight.GroupLoad) -> list[int]:
    return [load.requests, load.deferred, load.pending_prompt_tokens]


def _pack(message: PeerMessage, in_flight: list[list[Any]],
          load_sums: list[list[int]], sections: dict[str, Any]) -> bytes:
    fields = [
        message.node, message.incarnation, message.data_centre, message.sent_ms,
        message.config_version,
        int(min(message.config_confirmed_age_ms, 1e9)), in_flight,
        [[
            each.key.name, each.key.epoch,
            int(each.age_ms), each.confirmed, each.silent
        ] for each in message.alarms],
        [[each.key.name, each.key.epoch, each.model, each.head]
         for each in message.opened_groups],
        [[
            each.runner, each.successes,
            [[request, int(age_ms)] for request, age_ms in each.failures]
        ] for each in message.attempt_histories], message.has_seen_requests,
        message.stopping, {
            name: int(age) for name, age in message.planning_age_ms.items()
        }, [message.load_sums.age_ms, load_sums] if message.load_sums else None,
        message.has_lost_store,
        _encode_limits(message)
    ]
    if sections:
        fields.append(sections)
    packed: bytes = msgpack.packb(fields)
    return packed


def decode(data: bytes, peer: str) -> PeerMessage:
    """Returns the message in a datagram.

    Raises:
        BadPeerMessage: The datagram is malformed or of an unknown format.
    """
    try:
        form, echo_ms, interval_ms = _HEADER.unpack_from(data)
        fields = msgpack.unpackb(memoryview(data)[_HEADER.size:])
        if form != FORMAT:
            if form not in OLDER_FORMAT_DEFAULTS:
                raise ValueError(f"unknown format {form}")
            fields += OLDER_FORMAT_DEFAULTS[form]
        (node, incarnation, data_centre, sent_ms, version, age, in_flight,
         alarms, opened_groups, attempt_histories, has_seen_requests, stopping,
         planning_age_ms, load_sums, has_lost_store, limits, sections) = fields
        if not isinstance(sections, dict):
            raise TypeError(f"sections are {type(sections).__name__}, no map")
        # Nodes of older versions send alarms without `silent`.
        return PeerMessage(
            str(node), int(incarnation), str(data_centre), float(sent_ms),
            echo_ms, interval_ms, int(version), float(age), {
                model.GroupKey(str(name), int(epoch)): _decode_load(numbers)
                for name, epoch, *numbers in in_flight
            },
            tuple(
                Alarm(model.GroupKey(str(name), int(epoch)), float(age_ms),
                      bool(confirmed),
                      tuple(str(each)
                            for told in silent
                            for each in told))
                for name, epoch, age_ms, confirmed, *silent in alarms),
            tuple(
                OpenedGroup(model.GroupKey(str(name), int(epoch)), str(served),
                            str(head))
                for name, epoch, served, head in opened_groups),
            tuple(
                reliability.AttemptHistory(
                    str(runner), int(successes),
                    tuple((int(request), float(age_ms))
                          for request, age_ms in failures))
                for runner, successes, failures in attempt_histories),
            bool(has_seen_requests), bool(stopping), {
                str(name): float(age) for name, age in planning_age_ms.items()
            }, _decode_load_sums(load_sums), bool(has_lost_store),
            tuple(_limit(float(sent_ms), *each) for each in limits), sections)
    except (ValueError, TypeError, AttributeError, struct.error,
            msgpack.exceptions.UnpackException,
            msgpack.exceptions.ExtraData) as error:
        raise exceptions.BadPeerMessage(f"cannot decode datagram: {error!r}",
                                        step="peer datagram",
                                        peer=peer) from None


def _encode_limits(message: PeerMessage) -> list[list[Any]]:
    return [[
        each.runner, each.per_s,
        int(message.sent_ms - each.as_of_ms), each.origin, each.origin_ms
    ] for each in message.limits]


def _limit(sent_ms: float, runner: Any, per_s: Any, age_ms: Any, origin: Any,
           origin_ms: Any) -> ratelimits.RateLimit:
    rate = None if per_s is None else float(per_s)
    if rate is not None and not 0 <= rate < math.inf:
        raise ValueError(
            f"rate limit {rate} per second is negative or not finite")
    return ratelimits.RateLimit(str(runner), rate, sent_ms - float(age_ms),
                                str(origin), float(origin_ms))


def _decode_load(numbers: list[Any]) -> inflight.GroupLoad:
    requests, deferred, pending_prompt_tokens = map(int, numbers)
    return inflight.GroupLoad(requests, deferred, pending_prompt_tokens)


def _decode_load_sums(told: Any) -> loadsums.LoadSums | None:
    if told is None:
        return None
    age_ms, loads = told
    return loadsums.LoadSums(float(age_ms), {
        int(short_id): _decode_load(numbers) for short_id, *numbers in loads
    })
