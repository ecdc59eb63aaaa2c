"""Rules on parts of prompts that crash the runners that answer them."""

import collections
import dataclasses
from typing import Protocol

from cardamommill.domain import clock

# How the id of a part begins that crashes each runner that begins to answer a
# request with it.
DEADLY_PREFIX = "dead"
# After this many crashes, requests with the part may reach runners
# MAX_LATER_ARRIVALS times.
CRASHES = 5
MAX_LATER_ARRIVALS = 3
# Sound requests beside them are compared with those before the first crash
# where there are as many as this of each, and must begin to run at this
# fraction of their frequency.
MIN_TRIES = 20
MIN_RELATIVE_BEGUN = 1 / 2


class Sent(Protocol):
    """A client's attempt; see `oracle.Sent`."""

    at_ms: float
    target: str
    key: str
    machine: str
    parts: tuple[str, ...]


@dataclasses.dataclass(slots=True)
class _Tries:
    """First tries, and how many of them began to run."""

    total: int = 0
    begun: int = 0

    def add(self, has_begun: bool) -> None:
        """Counts one."""
        self.total += 1
        self.begun += has_begun


@dataclasses.dataclass(slots=True)
class _Part:
    """A part that crashes runners.

    Attributes:
        crashes_ms: When runners crashed under it.
        later_arrivals: Requests at runners that the rule counts.
        last_sent_ms: When a client last sent a request with it.
        shared: What sound requests may share with those that have it: route
            and key, or route and first part.
        beside: First tries of sound requests that do, in the meantime.
        is_lost: Whether too few of these are known to have begun.
    """

    crashes_ms: list[float] = dataclasses.field(default_factory=list)
    later_arrivals: int = 0
    last_sent_ms: float = float("-inf")
    shared: set[tuple[str, str]] = dataclasses.field(default_factory=set)
    beside: _Tries = dataclasses.field(default_factory=_Tries)
    is_lost: bool = False


def deadly_part(parts: tuple[str, ...]) -> str | None:
    """Returns the part of a prompt that crashes runners, or None."""
    return next((each for each in parts[:-1] if each.startswith(DEADLY_PREFIX)),
                None)


class PartRules:
    """Counts crashes by part, what comes later, and sound requests beside."""

    def __init__(self, contact_ms: float) -> None:
        """Initialises the instance without crashes.

        Args:
            contact_ms: Requests sent by a machine later than this after the
                last of the first crashes count.
        """
        self._contact_ms = contact_ms
        self._parts: dict[str, _Part] = collections.defaultdict(_Part)
        self._tries_before: dict[str, _Tries] = collections.defaultdict(_Tries)
        # When each machine last started, or was last cut off.
        self.out_of_touch_ms: dict[str, float] = {}

    @property
    def crashes(self) -> int:
        """The number of all runners that crashed under a part."""
        return sum(len(each.crashes_ms) for each in self._parts.values())

    def record_send(self, sent: Sent) -> None:
        """Records an attempt that a client sends."""
        part = deadly_part(sent.parts)
        if part is not None:
            state = self._parts[part]
            state.last_sent_ms = sent.at_ms
            state.shared |= _shared(sent)

    def record_crash(self, sent: Sent) -> None:
        """Records that a runner crashed as it began to answer a request."""
        part = deadly_part(sent.parts)
        if part is not None:
            self._parts[part].crashes_ms.append(clock.now_ms())

    def check_arrival(self, sent: Sent) -> str | None:
        """Returns what a request that reaches a runner breaks, or None."""
        part = deadly_part(sent.parts)
        if part is None:
            return None
        state = self._parts[part]
        if (len(state.crashes_ms) < CRASHES or
                clock.now_ms() - self._contact_ms < max(
                    self._touched_ms(sent), state.crashes_ms[CRASHES - 1])):
            return None
        state.later_arrivals += 1
        if state.later_arrivals <= MAX_LATER_ARRIVALS:
            return None
        return (f"part {part} crashed {len(state.crashes_ms)} runners, and "
                f"requests with it reached {state.later_arrivals} more")

    def check_first_try(self, sent: Sent, has_begun: bool) -> str | None:
        """Counts a first try that has ended; returns what it breaks, or None.

        Args:
            sent: The client's attempt.
            has_begun: Whether a runner began to run it.
        """
        if deadly_part(sent.parts) is not None or not sent.parts:
            return None
        if not self.crashes:
            self._tries_before[_route(sent)].add(has_begun)
            return None
        text = None
        for part, state in self._parts.items():
            if not state.shared & _shared(sent) or not state.crashes_ms:
                continue
            decisive_ms = state.crashes_ms[:CRASHES][-1]
            from_ms = max(decisive_ms, self._touched_ms(sent))
            if (from_ms + 2 * self._contact_ms <= sent.at_ms <=
                    state.last_sent_ms):
                state.beside.add(has_begun)
                text = self._newly_lost(part, state, _route(sent)) or text
        return text

    def _touched_ms(self, sent: Sent) -> float:
        return self.out_of_touch_ms.get(sent.machine, float("-inf"))

    def _newly_lost(self, part: str, state: _Part, route: str) -> str | None:
        before, beside = self._tries_before[route], state.beside
        if (state.is_lost or min(before.total, beside.total) < MIN_TRIES or
                beside.begun * before.total
                >= MIN_RELATIVE_BEGUN * before.begun * beside.total):
            return None
        state.is_lost = True
        return (f"{beside.begun} of {beside.total} sound requests began beside "
                f"those with part {part}, {before.begun} of {before.total} "
                "before")


def _route(sent: Sent) -> str:
    return sent.target.split("/")[1]


def _shared(sent: Sent) -> set[tuple[str, str]]:
    """Returns what other requests may have in common with one."""
    return {(_route(sent), sent.key), (_route(sent), sent.parts[0])}
