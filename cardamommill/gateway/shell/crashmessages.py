"""Sections of datagrams by which nodes tell each other of crashes."""

from collections.abc import Iterable, Iterator, Mapping
from typing import Any, TypeVar

from cardamommill.gateway.requests import quarantine

CRASHES_SECTION = "crashes"
PARTS_SECTION = "crash-parts"
QUARANTINE_SECTION = "quarantine"
# How much a datagram tells; the rest comes in the next ones.
MAX_TOLD_CRASHES = 2
MAX_TOLD_ACCUSED = 6
MAX_TOLD_DECISIONS = 4
# A number takes this much, and what is around those of a crash.
NUMBER_BYTES = 9
CRASH_BYTES = 26

_Told = TypeVar("_Told")


def in_turn(found: list[_Told], first: int, count: int) -> list[_Told]:
    """Returns some of a list, from a position that may be past its end."""
    if len(found) <= count:
        return found
    return [found[(first + offset) % len(found)] for offset in range(count)]


def encode_decisions(decisions: Iterable[quarantine.Decision],
                     now_ms: float) -> list[list[Any]]:
    """Returns the section that tells decisions."""
    return [[each.digest,
             int(now_ms - each.at_ms), each.is_cleared] for each in decisions]


def encode_requests(requests: Iterable[tuple[int, tuple[int, ...]]],
                    room_bytes: int) -> list[list[int]]:
    """Returns the first of some requests with parts, as far as they fit."""
    left = (room_bytes - CRASH_BYTES) // NUMBER_BYTES
    told: list[list[int]] = []
    for digest, parts in requests:
        numbers = [digest, *parts][:max(0, left)]
        if len(numbers) < 2:
            break
        told.append(numbers)
        left -= len(numbers)
    return told


def decode_crashes(section: Any) -> Iterator[tuple[int, int, list[int]]]:
    """Yields runner, age in ms and accused requests, without malformed ones."""
    for runner, age_ms, accused in _decode_listed(section):
        yield runner, age_ms, [
            digest for digest in accused if isinstance(digest, int)
        ]


def decode_parts(section: Any) -> Iterator[tuple[int, int, Mapping[int, Any]]]:
    """Yields runner, age in ms and the parts by request, as above."""
    for runner, age_ms, accused in _decode_listed(section):
        found = {}
        for each in accused:
            match each:
                case [int(digest),
                      *parts] if all(isinstance(part, int) for part in parts):
                    found[digest] = tuple(parts)
        yield runner, age_ms, found


def decode_decisions(section: Any,
                     now_ms: float) -> Iterator[quarantine.Decision]:
    """Yields the decisions of a section, without malformed ones."""
    for each in section if isinstance(section, list) else ():
        match each:
            case [int(digest), int(age_ms), bool(is_cleared)] if age_ms >= 0:
                yield quarantine.Decision(digest, now_ms - age_ms, is_cleared)


def _decode_listed(section: Any) -> Iterator[tuple[int, int, list[Any]]]:
    for each in section if isinstance(section, list) else ():
        match each:
            case [int(runner), int(age_ms), list(accused)] if age_ms >= 0:
                yield runner, age_ms, accused
