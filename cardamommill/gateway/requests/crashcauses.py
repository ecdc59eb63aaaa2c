"""Finds the requests that crash the runners that run them.

Runners crash under many requests at once, and a caller whose answer broke sends
its request again, so requests that do no harm are in several crashes too. A
request is blamed if it was in several crashes, no other ones explain them as
well, and few other runners crashed at the same time.

The load that it answers: a runner crashes under all requests in its slots, many
runners crash at once by a common cause, and the reports come late, repeatedly
and in any order.
"""

import collections
from collections.abc import Iterable, Set
import dataclasses

# A request that was in this many crashes is not sent to another runner by the
# same node, and after this many it is kept from all runners.
SUSPECT_CRASHES = 2
QUARANTINE_CRASHES = 3
# After this many, it is blamed if no runner crashed beside without it and no
# other request explains more than half of them: one is likelier than several.
COMMON_CRASHES = 4
# After this many, it is blamed even if others may explain the same crashes.
CERTAIN_CRASHES = 6
# At this many moments, these crashes count even if others do explain them:
# requests that crash runners are at the same ones again and again, while one
# that does no harm runs whole between two moments.
CERTAIN_MOMENTS = 4
# Requests with enough crashes to be kept from runners, at this many moments and
# one of them without another suspect, do not excuse each other by coincidence
# where they explain all crashes of the time.
EVIDENT_MOMENTS = 2
# Crashes within this time may have a common cause that is no request.
COINCIDENCE_MS = 1000.0
# How long a crash is remembered, and a request that ran whole after one: long
# enough that a request whose quarantine is over is blamed for its next crash.
LIFETIME_MS = 3_600_000.0
MAX_CRASHES = 128
MAX_ACCUSED = 64
MAX_CLEARED = 1024
# Requests that ran whole lately are not accused: copies of a harmless request
# come all the time, and some of them are in any crash.
MAX_RAN_WHOLE = 1024


@dataclasses.dataclass(slots=True)
class Crash:
    """A runner's crash.

    Attributes:
        at_ms: When it was noticed first.
        accused: Digests of the requests that had just begun there.
    """

    at_ms: float
    accused: set[int] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(frozen=True, slots=True)
class Blame:
    """What a request is blamed for.

    Attributes:
        crashes: The number of crashes.
        newest_ms: When the last of them was noticed.
    """

    crashes: int
    newest_ms: float

    @property
    def is_certain(self) -> bool:
        """Whether it is to be kept from all runners."""
        return self.crashes >= QUARANTINE_CRASHES


class CrashCauses:
    """The crashes that all nodes saw lately, by runner."""

    def __init__(self) -> None:
        self._crashes: collections.OrderedDict[int, Crash] = (
            collections.OrderedDict())
        # When each request last ran whole, as far as it was accused before.
        self._cleared_ms: collections.OrderedDict[int, float] = (
            collections.OrderedDict())
        self._ran_whole: collections.OrderedDict[int, None] = (
            collections.OrderedDict())
        self._blamed: dict[int, Blame] = {}
        self._is_changed = False

    def crash(self, runner: int) -> Crash | None:
        """Returns what is known of the crash of a runner."""
        return self._crashes.get(runner)

    def is_accused(self, digest: int) -> bool:
        """Whether a request was in any crash that it is not cleared of."""
        return bool(self._crashes_of(digest))

    def accused(self, digests: Iterable[int]) -> list[int]:
        """Returns those requests that this node accuses of a crash it saw."""
        found = []
        for digest in digests:
            if digest in self._ran_whole:
                # A new version of a model may fail on what ran before, so this
                # excuse holds for one crash.
                del self._ran_whole[digest]
            else:
                found.append(digest)
        return found

    def record(self, runner: int, accused: Iterable[int], at_ms: float) -> bool:
        """Records a crash, or further requests that were in it.

        Args:
            runner: Identifies the incarnation of the runner.
            accused: Digests of the requests.
            at_ms: When it was noticed.

        Returns:
            Whether anything was new.
        """
        known = self._crashes.get(runner)
        is_new = known is None
        if known is None:
            known = self._crashes[runner] = Crash(at_ms)
            if len(self._crashes) > MAX_CRASHES:
                self._crashes.popitem(last=False)
        added = sorted(set(accused) - known.accused)
        added = added[:MAX_ACCUSED - len(known.accused)]
        known.accused.update(added)
        is_new |= bool(added)
        self._is_changed |= is_new
        return is_new

    def retract(self, runner: int) -> None:
        """Drops a crash of a runner that has answered since."""
        if self._crashes.pop(runner, None) is not None:
            self._is_changed = True

    def ran_whole(self, digest: int, now_ms: float) -> bool:
        """Records that a request was answered whole.

        Returns:
            Whether it was in several crashes, so that peers should know.
        """
        self._ran_whole[digest] = None
        self._ran_whole.move_to_end(digest)
        if len(self._ran_whole) > MAX_RAN_WHOLE:
            self._ran_whole.popitem(last=False)
        crashes = len(self._crashes_of(digest))
        if crashes:
            self.clear(digest, now_ms)
        return crashes >= SUSPECT_CRASHES

    def clear(self, digest: int, at_ms: float) -> None:
        """Excuses a request from all crashes before a time."""
        self._cleared_ms[digest] = max(
            at_ms, self._cleared_ms.get(digest, float("-inf")))
        self._cleared_ms.move_to_end(digest)
        if len(self._cleared_ms) > MAX_CLEARED:
            self._cleared_ms.popitem(last=False)
        self._is_changed = True

    def blamed(self) -> dict[int, Blame]:
        """Returns the requests that are blamed for several crashes.

        No two are blamed for the same crash, unless they were in exactly the
        same ones or one of them was in crashes at many moments.
        """
        if self._is_changed:
            self._is_changed = False
            self._blamed = self._find_blamed()
        return self._blamed

    def drop_expired(self, now_ms: float) -> None:
        """Drops crashes that are too old."""
        for runner, crash in list(self._crashes.items()):
            if now_ms - crash.at_ms > LIFETIME_MS:
                self.retract(runner)
        for digest, at_ms in list(self._cleared_ms.items()):
            if now_ms - at_ms > LIFETIME_MS:
                del self._cleared_ms[digest]

    def _crashes_of(self, digest: int) -> set[int]:
        cleared_ms = self._cleared_ms.get(digest, float("-inf"))
        return {
            runner for runner, crash in self._crashes.items()
            if digest in crash.accused and crash.at_ms > cleared_ms
        }

    def _crashes_by_request(self) -> dict[int, set[int]]:
        found: dict[int, set[int]] = collections.defaultdict(set)
        for runner, crash in self._crashes.items():
            for digest in crash.accused:
                if crash.at_ms > self._cleared_ms.get(digest, float("-inf")):
                    found[digest].add(runner)
        return found

    def _find_blamed(self) -> dict[int, Blame]:
        blamed: dict[int, Blame] = {}
        explained: set[int] = set()
        by_request = self._crashes_by_request()
        while True:
            suspects = {
                digest: crashes - explained
                for digest, crashes in by_request.items()
                if len(crashes - explained) >= SUSPECT_CRASHES
            }
            found = self._most_certain(suspects, explained)
            if not found:
                return blamed | self._find_recurring(by_request, explained)
            crashes = suspects[found[0]]
            newest_ms = max(self._crashes[each].at_ms for each in crashes)
            for digest in found:
                blamed[digest] = Blame(len(crashes), newest_ms)
            explained |= crashes

    def _find_recurring(self, by_request: dict[int, set[int]],
                        explained: set[int]) -> dict[int, Blame]:
        """Returns the requests that were in crashes at many moments.

        Args:
            by_request: The crashes that each request was in.
            explained: Crashes for which other requests are blamed.
        """
        recurring = {
            digest: crashes
            for digest, crashes in by_request.items()
            if len(crashes) >= CERTAIN_CRASHES and
            self._count_moments(crashes) >= CERTAIN_MOMENTS
        }
        explained = explained.union(*recurring.values())
        return {
            digest:
                Blame(len(crashes),
                      max(self._crashes[each].at_ms for each in crashes))
            for digest, crashes in recurring.items()
            if not self._is_coincidence(crashes, explained)
        }

    def _most_certain(self, suspects: dict[int, set[int]],
                      explained: set[int]) -> list[int]:
        """Returns the next requests to blame, all for the same crashes.

        A request is certain if it alone explains one of its crashes, or all of
        their time where several others would have to, and no other suspect of
        the same crashes was in more of them.

        Args:
            suspects: The crashes that each may be blamed for.
            explained: Crashes for which other requests are blamed.
        """
        suspects_of = collections.Counter(
            crash for crashes in suspects.values() for crash in crashes)
        alone = {crash for crash, count in suspects_of.items() if count == 1}
        evident: set[int] = set().union(
            *(crashes for crashes in suspects.values()
              if len(crashes) >= QUARANTINE_CRASHES and crashes &
              alone and self._count_moments(crashes) >= EVIDENT_MOMENTS))
        best: list[int] = []
        most = 0
        for digest, crashes in sorted(suspects.items()):
            if len(crashes) <= most or any(
                    len(others) > len(crashes) and others & crashes
                    for others in suspects.values()):
                continue
            if len(crashes) >= CERTAIN_CRASHES:
                best = [
                    each for each, others in suspects.items()
                    if others == crashes
                ]
            elif ((crashes & alone and
                   not self._is_coincidence(crashes, explained, evident)) or
                  self._is_common_cause(digest, suspects, explained)):
                best = [digest]
            else:
                continue
            most = len(crashes)
        return best

    def _is_common_cause(self, digest: int, suspects: dict[int, set[int]],
                         explained: set[int]) -> bool:
        """Whether a request explains what several others would have to."""
        crashes = suspects[digest]
        return (len(crashes) >= COMMON_CRASHES and
                not self._count_others(crashes, explained) and
                all(2 * len(others & crashes) <= len(crashes)
                    for each, others in suspects.items()
                    if each != digest))

    def _is_coincidence(
        self,
        crashes: set[int],
        explained: set[int],
        evident: Set[int] = frozenset()) -> bool:
        """Whether more other runners crashed at the time of these crashes.

        Args:
            crashes: Those for which a request may be blamed.
            explained: Those for which other requests are blamed.
            evident: Those of requests that explain many. If they are all others
                of that time, these requests are its cause.
        """
        return (self._count_others(crashes, explained) > len(crashes) and
                self._count_others(crashes, explained | evident) > 0)

    def _count_others(self, crashes: set[int], explained: set[int]) -> int:
        """Returns how many other runners crashed at the time of these."""
        times_ms = [self._crashes[each].at_ms for each in crashes]
        return sum(
            any(
                abs(crash.at_ms - at_ms) < COINCIDENCE_MS
                for at_ms in times_ms)
            for runner, crash in self._crashes.items()
            if runner not in crashes and runner not in explained)

    def _count_moments(self, crashes: set[int]) -> int:
        """Returns at how many times, apart from one another, these were."""
        count, last_ms = 0, float("-inf")
        for at_ms in sorted(self._crashes[each].at_ms for each in crashes):
            if at_ms - last_ms >= COINCIDENCE_MS:
                count, last_ms = count + 1, at_ms
        return count
