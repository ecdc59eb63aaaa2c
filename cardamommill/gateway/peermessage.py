"""What nodes tell each other in datagrams."""

import dataclasses
import math
import struct
from typing import Any

import msgpack

from cardamommill import exceptions
from cardamommill.gateway import (
    inflight,
    loadsums,
    model,
    ratelimits,
    reliability,
)

# Larger datagrams are cut into fragments, and one lost loses all.
MAX_BYTES = 1400
FORMAT = 5
# What nodes of former versions leave out at the end of their messages.
FORMER_FORMATS: dict[int, list[Any]] = {3: [None, False, []], 4: [[]]}
# The format, and what differs between receivers: `echo_ms`, `interval_ms`. All
# else is packed once for all of them: for each it took a node of 71 some 3 ms
# a heartbeat.
_HEAD = struct.Struct("!Bdd")


@dataclasses.dataclass(frozen=True, slots=True)
class Alarm:
    """A group that a node found silent, or down, a while ago.

    Attributes:
        key: The group.
        age_ms: How long ago.
        confirmed: Whether a member did not answer.
        silent: Some of those that did not.
    """

    key: model.GroupKey
    age_ms: float
    confirmed: bool
    silent: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class OpenedGroup:
    """A group that its planner has seen open."""

    key: model.GroupKey
    model: str
    head: str


@dataclasses.dataclass(frozen=True, slots=True)
class PeerMessage:
    """One datagram.

    Attributes:
        node: Who sends.
        incarnation: The life of its process.
        data_centre: Where it stands.
        sent_ms: The sender's clock.
        echo_ms: The newest `sent_ms` of the receiver that the sender has; 0
            for none.
        interval_ms: How soon the receiver will hear again.
        config_version: The configuration that is in force at the sender.
        config_confirmed_age_ms: For how long it has not been known as the
            newest.
        in_flight: What the sender has at each group.
        alarms: Groups found silent of late.
        opened_groups: Groups opened of late.
        attempt_histories: Runners that failed requests of late.
        has_seen_requests: Whether any caller's request has come.
        stopping: Whether the sender is about to end.
        planning_age_ms: For how long it has planned for which data centres.
        load_sums: From a reporter: to another data centre the sums of its own,
            to its own those of all others.
        has_lost_store: Whether the store fails it.
        limits: Rate limits that runners named, or lifted, of late; their times
            are by the sender's clock.
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


def encode_datagram(echo_ms: float, interval_ms: float, body: bytes) -> bytes:
    """Returns the datagram for one receiver.

    Args:
        echo_ms: As in `PeerMessage`.
        interval_ms: The same.
        body: What `encode_body` made for all receivers.
    """
    return _HEAD.pack(FORMAT, echo_ms, interval_ms) + body


def encode_body(message: PeerMessage) -> bytes:
    """Returns what all receivers get; loads that do not fit are left out."""
    in_flight = [[key.name, key.epoch, *_numbers(load)]
                 for key, load in message.in_flight.items()]
    load_sums = [[short_id, *_numbers(load)] for short_id, load in (
        message.load_sums.loads.items() if message.load_sums else ())]
    while True:
        data = _packed(message, in_flight, load_sums)
        if len(data) <= MAX_BYTES - _HEAD.size or not (in_flight or load_sums):
            return data
        in_flight = in_flight[:len(in_flight) * 3 // 4]
        load_sums = load_sums[:len(load_sums) * 3 // 4]


def _numbers(load: inflight.GroupLoad) -> list[int]:
    return [load.requests, load.deferred, load.pending_prompt_tokens]


def _packed(message: PeerMessage, in_flight: list[list[Any]],
            load_sums: list[list[int]]) -> bytes:
    packed: bytes = msgpack.packb([
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
            each.runner, each.well,
            [[request, int(age_ms)] for request, age_ms in each.failures]
        ] for each in message.attempt_histories], message.has_seen_requests,
        message.stopping, {
            name: int(age) for name, age in message.planning_age_ms.items()
        }, [message.load_sums.age_ms, load_sums] if message.load_sums else None,
        message.has_lost_store,
        _limits(message)
    ])
    return packed


def decode(data: bytes, peer: str) -> PeerMessage:
    """Returns the message of a datagram.

    Raises:
        BadPeerMessage: It is none that this version takes.
    """
    try:
        form, echo_ms, interval_ms = _HEAD.unpack_from(data)
        fields = msgpack.unpackb(memoryview(data)[_HEAD.size:])
        if form != FORMAT:
            if form not in FORMER_FORMATS:
                raise ValueError(f"format {form}")
            fields += FORMER_FORMATS[form]
        (node, incarnation, data_centre, sent_ms, version, age, in_flight,
         alarms, opened_groups, attempt_histories, has_seen_requests, stopping,
         plans, load_sums, has_lost_store, limits) = fields
        return PeerMessage(
            str(node), int(incarnation), str(data_centre), float(sent_ms),
            echo_ms, interval_ms, int(version), float(age), {
                model.GroupKey(str(name), int(epoch)): _load(numbers)
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
                    str(runner), int(well),
                    tuple((int(request), float(age_ms))
                          for request, age_ms in failures))
                for runner, well, failures in attempt_histories),
            bool(has_seen_requests), bool(stopping), {
                str(name): float(age) for name, age in plans.items()
            }, _sums(load_sums), bool(has_lost_store),
            tuple(_limit(float(sent_ms), *each) for each in limits))
    except (ValueError, TypeError, AttributeError, struct.error,
            msgpack.exceptions.UnpackException,
            msgpack.exceptions.ExtraData) as error:
        raise exceptions.BadPeerMessage(f"no message: {error!r}",
                                        step="peer datagram",
                                        peer=peer) from None


def _limits(message: PeerMessage) -> list[list[Any]]:
    return [[
        each.runner, each.per_s,
        int(message.sent_ms - each.as_of_ms), each.origin, each.origin_ms
    ] for each in message.limits]


def _limit(sent_ms: float, runner: Any, per_s: Any, age_ms: Any, origin: Any,
           origin_ms: Any) -> ratelimits.RateLimit:
    rate = None if per_s is None else float(per_s)
    if rate is not None and not 0 <= rate < math.inf:
        raise ValueError(f"no rate: {rate}")
    return ratelimits.RateLimit(str(runner), rate, sent_ms - float(age_ms),
                                str(origin), float(origin_ms))


def _load(numbers: list[Any]) -> inflight.GroupLoad:
    requests, deferred, pending_prompt_tokens = map(int, numbers)
    return inflight.GroupLoad(requests, deferred, pending_prompt_tokens)


def _sums(told: Any) -> loadsums.LoadSums | None:
    if told is None:
        return None
    age_ms, loads = told
    return loadsums.LoadSums(float(age_ms), {
        int(short_id): _load(numbers) for short_id, *numbers in loads
    })
