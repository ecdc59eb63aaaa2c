"""Finds the parts of prompts that crash the runners that answer them.

Requests with such a part have nothing else in common, so each is new to those
that count crashes by request. Each of them crashes the runner that begins to
answer it, while a sound part also belongs to requests that survive that.

The load that it answers: a runner crashes under all requests in its slots. Most
of their parts are sound, and the most popular ones are in every crash.
"""

import collections
from collections.abc import Iterable, Mapping
import dataclasses

from cardamommill.gateway.requests import crashcauses

# A node does not repeat requests with a part that was in this many crashes, and
# after this many all nodes keep them from all runners.
SUSPECT_CRASHES = 3
QUARANTINE_CRASHES = 4
# A single request may crash several runners by itself, so this many are needed,
# and to keep the part from all runners MORE_REQUESTS, unless it was in
# AMBIGUOUS_CRASHES. After those it is also blamed though another one explains
# them as well.
MIN_REQUESTS = 2
MORE_REQUESTS = 3
AMBIGUOUS_CRASHES = 6
# This many, over this long, are needed to blame a part that requests survived
# before it was first accused: all replicas of a model may end at once, and then
# nothing survives for a while.
KNOWN_CRASHES = 6
KNOWN_MS = 2000.0
# This many are needed to blame a part that requests survived since it was first
# accused, or one that is at more requests in a crash than one of them would
# explain.
CERTAIN_CRASHES = 10
POPULAR_REQUESTS_PER_CRASH = 3
# For how long it counts that a request with a part survived.
PROOF_MS = 60_000.0
# A node that has seen fewer requests survive can't tell which parts are new.
LEARNING_REQUESTS = 20
MAX_SURVIVED = 4096
# Crashes closer to each other than this may have one cause.
MOMENT_MS = 200.0
MAX_CRASHES = crashcauses.MAX_CRASHES
MAX_ACCUSED = crashcauses.MAX_ACCUSED

Requests = Mapping[int, tuple[int, ...]]


@dataclasses.dataclass(slots=True)
class _Crash:
    """A runner's crash.

    Attributes:
        at_ms: When it was noticed first.
        accused: The parts of the requests that had just begun there, by the
            digest of each request.
    """

    at_ms: float
    accused: dict[int, tuple[int,
                             ...]] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class _Evidence:
    """The crashes that a part may have caused.

    Attributes:
        accused: The requests with the part in each crash.
        least: How many crashes are needed to blame it.
    """

    accused: Mapping[int, frozenset[int]]
    least: int

    @property
    def requests(self) -> frozenset[int]:
        """All requests accused."""
        return frozenset().union(*self.accused.values())

    @property
    def accusations(self) -> int:
        """How many requests were accused, each in each crash."""
        return sum(map(len, self.accused.values()))

    @property
    def is_popular(self) -> bool:
        """Whether too many requests of a crash have it for it to be a cause."""
        return (self.accusations
                > POPULAR_REQUESTS_PER_CRASH * len(self.accused))

    def without(self, explained: set[int]) -> "_Evidence":
        """Returns what is left if some crashes have other causes."""
        return dataclasses.replace(
            self,
            accused={
                crash: requests
                for crash, requests in self.accused.items()
                if crash not in explained
            })


@dataclasses.dataclass(frozen=True, slots=True)
class Blame(crashcauses.Blame):
    """What a part is blamed for.

    Attributes:
        requests: How many requests with it were accused.
    """

    requests: int

    @property
    def is_certain(self) -> bool:
        """Whether requests with it are to be kept from all runners."""
        return (self.crashes >= AMBIGUOUS_CRASHES or
                self.crashes >= QUARANTINE_CRASHES and
                self.requests >= MORE_REQUESTS)


class PartCauses:
    """The crashes that all nodes saw lately, by runner, and their requests."""

    def __init__(self) -> None:
        self._crashes: collections.OrderedDict[int, _Crash] = (
            collections.OrderedDict())
        # When each part was first and last accused.
        self._first_accused_ms: dict[int, float] = {}
        self._last_accused_ms: dict[int, float] = {}
        # Those that no request is known to have survived.
        self._new: set[int] = set()
        # When a request with a part last began an answer and its runner went
        # on.
        self._survived_ms: collections.OrderedDict[int, float] = (
            collections.OrderedDict())
        self._survivals = 0
        self._blamed: dict[int, Blame] = {}
        self._is_changed = False

    def telling(self, runner: int) -> list[tuple[int, tuple[int, ...]]]:
        """Returns the requests accused of a crash, for peers.

        They are told with the parts that may have caused it. First come those
        that no request is known to have survived, then those that were in most
        crashes.
        """
        crash = self._crashes.get(runner)
        if crash is None:
            return []
        counts = collections.Counter(
            part for each in self._crashes.values() for part in
            {part for parts in each.accused.values() for part in parts}
            if self._is_accused(part, each))
        told = []
        for digest, parts in crash.accused.items():
            parts = tuple(
                part for part in parts if self._is_accused(part, crash))
            new = tuple(
                part for part in parts if not self._is_known(part, crash.at_ms))
            if parts:
                told.append((not new, -max(counts[part] for part in parts),
                             digest, new or parts))
        return [(digest, parts) for _, _, digest, parts in sorted(told)]

    def record(self, runner: int, requests: Requests, at_ms: float) -> bool:
        """Records a crash, or further requests that were in it.

        Args:
            runner: Identifies the incarnation of the runner.
            requests: The requests that had just begun there, with their parts.
            at_ms: When it was noticed.

        Returns:
            Whether anything was new.
        """
        requests = {
            digest: parts for digest, parts in requests.items() if parts
        }
        crash = self._crashes.get(runner)
        if crash is None:
            if not requests:
                return False
            crash = self._crashes[runner] = _Crash(at_ms)
            if len(self._crashes) > MAX_CRASHES:
                self.retract(next(iter(self._crashes)))
        new = [digest for digest in requests if digest not in crash.accused]
        del new[MAX_ACCUSED - len(crash.accused):]
        for digest in new:
            crash.accused[digest] = requests[digest]
            self._is_changed = True
            for part in requests[digest]:
                if (part not in self._first_accused_ms and
                        self._survivals >= LEARNING_REQUESTS and
                        not self._is_known(part, crash.at_ms)):
                    self._new.add(part)
                self._first_accused_ms[part] = min(
                    crash.at_ms, self._first_accused_ms.get(part, crash.at_ms))
                self._last_accused_ms[part] = max(
                    crash.at_ms, self._last_accused_ms.get(part, crash.at_ms))
        return bool(new)

    def retract(self, runner: int) -> None:
        """Drops a crash, of a runner that has answered since or an old one."""
        if self._crashes.pop(runner, None) is None:
            return
        self._is_changed = True
        accused = {
            part for crash in self._crashes.values()
            for parts in crash.accused.values() for part in parts
        }
        for part in self._first_accused_ms.keys() - accused:
            del self._first_accused_ms[part], self._last_accused_ms[part]
        self._new &= accused

    def survived(self, parts: Iterable[int], at_ms: float) -> list[int]:
        """Records that a request began an answer and its runner went on.

        Args:
            parts: The shared parts of its prompt.
            at_ms: When it began.

        Returns:
            Those of the parts that were blamed, so that peers should know.
        """
        self._survivals += 1
        blamed = self.blamed()
        parts = tuple(parts)
        for part in parts:
            self.clear(part, at_ms)
        return [part for part in parts if part in blamed]

    def clear(self, part: int, at_ms: float) -> None:
        """Excuses a part from all crashes before a time."""
        before_ms = self._survived_ms.get(part, float("-inf"))
        if at_ms <= before_ms:
            return
        # Else it was excused from all crashes already.
        self._is_changed |= (before_ms
                             < self._last_accused_ms.get(part, float("-inf")))
        self._new.discard(part)
        self._survived_ms[part] = at_ms
        self._survived_ms.move_to_end(part)
        if len(self._survived_ms) > MAX_SURVIVED:
            self._survived_ms.popitem(last=False)

    def blamed(self) -> dict[int, Blame]:
        """Returns the parts that are blamed for several crashes."""
        if self._is_changed:
            self._is_changed = False
            self._blamed = self._find_blamed()
        return self._blamed

    def drop_expired(self, now_ms: float) -> None:
        """Drops crashes that are too old."""
        for runner, crash in list(self._crashes.items()):
            if now_ms - crash.at_ms > crashcauses.LIFETIME_MS:
                self.retract(runner)

    def _is_accused(self, part: int, crash: _Crash) -> bool:
        """Whether no request with a part survived after a crash."""
        return crash.at_ms > self._survived_ms.get(part, float("-inf"))

    def _evidence(self) -> dict[int, _Evidence]:
        found: dict[int, dict[int, set[int]]] = collections.defaultdict(dict)
        for runner, crash in self._crashes.items():
            for digest, parts in crash.accused.items():
                for part in parts:
                    if self._is_accused(part, crash):
                        found[part].setdefault(runner, set()).add(digest)
        return {
            part:
                _Evidence(
                    {
                        runner: frozenset(each)
                        for runner, each in accused.items()
                    }, self._least_crashes(part, self._newest_ms(accused)))
            for part, accused in found.items()
            if len(accused) >= SUSPECT_CRASHES
        }

    def _least_crashes(self, part: int, newest_ms: float) -> int:
        """Returns how many crashes are needed to blame a part.

        Args:
            part: The part.
            newest_ms: When it was last accused.
        """
        first_ms = self._first_accused_ms[part]
        survived_ms = self._survived_ms.get(part, float("-inf"))
        if survived_ms > first_ms and newest_ms - survived_ms < PROOF_MS:
            return CERTAIN_CRASHES
        if part in self._new:
            return SUSPECT_CRASHES
        return (KNOWN_CRASHES if newest_ms -
                first_ms >= KNOWN_MS else CERTAIN_CRASHES)

    def _is_known(self, part: int, at_ms: float) -> bool:
        """Whether requests with a part survived in the time before."""
        return at_ms - self._survived_ms.get(part, float("-inf")) < PROOF_MS

    def _newest_ms(self, crashes: Iterable[int]) -> float:
        return max(self._crashes[each].at_ms for each in crashes)

    def _find_blamed(self) -> dict[int, Blame]:
        blamed: dict[int, Blame] = {}
        explained: set[int] = set()
        evidence = self._evidence()
        while True:
            left = {
                part: each.without(explained)
                for part, each in evidence.items()
                if part not in blamed
            }
            suspects = {
                part: each
                for part, each in left.items()
                if self._is_suspect(each, explained)
            }
            found = _most_certain(suspects)
            if not found:
                return blamed
            chosen = suspects[found[0]]
            blame = Blame(len(chosen.accused), self._newest_ms(chosen.accused),
                          len(chosen.requests))
            blamed |= dict.fromkeys(found, blame)
            explained |= chosen.accused.keys()

    def _is_suspect(self, evidence: _Evidence, explained: set[int]) -> bool:
        """Whether a part may have caused its crashes.

        Args:
            evidence: Those that no other part explains.
            explained: All others that some part explains.
        """
        crashes = evidence.accused.keys()
        least = CERTAIN_CRASHES if evidence.is_popular else evidence.least
        if len(crashes) < least or len(evidence.requests) < MIN_REQUESTS:
            return False
        times_ms = [self._crashes[each].at_ms for each in crashes]
        return self._count_moments_beside(times_ms,
                                          crashes | explained) <= len(crashes)

    def _count_moments_beside(self, times_ms: list[float],
                              excluded: set[int]) -> int:
        """Returns at how many moments near some times others crashed."""
        count, last_ms = 0, float("-inf")
        for at_ms in sorted(crash.at_ms
                            for runner, crash in self._crashes.items()
                            if runner not in excluded):
            if (at_ms - last_ms >= MOMENT_MS and any(
                    abs(at_ms - each) < crashcauses.COINCIDENCE_MS
                    for each in times_ms)):
                count, last_ms = count + 1, at_ms
        return count


def _most_certain(suspects: dict[int, _Evidence]) -> list[int]:
    """Returns the next parts to blame, all at the same requests.

    That is the one in most crashes, or a narrower one that explains most of
    them; none if another one explains the same crashes by other requests.
    """
    if not suspects:
        return []
    best = max(sorted(suspects),
               key=lambda part:
               (len(suspects[part].accused), -suspects[part].accusations))
    chosen = suspects[best]
    for part, each in sorted(suspects.items()):
        if (each.requests < chosen.requests and
                3 * len(each.accused) >= 2 * len(suspects[best].accused) and
                each.accused.keys() <= suspects[best].accused.keys()):
            best, chosen = part, each
    is_ambiguous = any(each.accused.keys() >= chosen.accused.keys() and
                       not each.requests >= chosen.requests
                       for each in suspects.values())
    if is_ambiguous and len(chosen.accused) < AMBIGUOUS_CRASHES:
        return []
    together = {
        part: each.least
        for part, each in sorted(suspects.items())
        if each.requests == chosen.requests
    }
    # Parts that did no harm before are blamed only if none of them is new.
    least = min(together.values())
    return [part for part, each in together.items() if each == least]
