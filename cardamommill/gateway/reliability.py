"""How likely each runner fails what it is sent, by tries of all nodes.

A runner that fails at once has nothing in flight and looks the quickest, and
each node tries it too seldom to learn that in time: nodes tell each other of
failures, and of what went well where something has failed. What only one
request says counts as little as one failure, since requests that fail by their
own doing come again and fail everywhere.

What counts is the time since the oldest of the last few failures: set against
all that had gone well before, five failures in a row weighed less than the
twenty tries of the seconds before them.
"""

import collections
from collections.abc import Iterable
import dataclasses
import math
import random

from cardamommill.gateway import clock

# A try weighs half after this long, so that whoever failed is tried again.
HALF_LIFE_MS = 3000.0
FORGOTTEN_MS = 5 * HALF_LIFE_MS
# Each node remembers the failures of a runner for a time of its own: with the
# same memory all nodes tried it again at the same moment, and as many requests
# failed there as came until the first failure was told.
LEAST_MEMORY = 0.6
MOST_MEMORY = 1.8
# Of a runner of which nothing is known next to nothing is feared, and one
# request that fails there does not make it likely to fail the next.
PRIOR_FAILED = 0.02
PRIOR_WELL = 1.5
# Beyond this a runner is used only where no other takes a request.
DOUBT_THRESHOLD = 0.5
# A doubted runner gets nothing for this long after it failed, while any other
# stands: by then nodes nearby have told of it.
REST_MS = 500.0
# The last few failures that count, and of each node the last tries that went
# well: enough to tell one in ten.
MAX_FAILURES = 5
MAX_WELL = 30
# Nodes tell of the newest, and only of what is young: with all of it passed on
# for as long as it is remembered, delays on the way would keep it for ever.
TOLD_MS = 3000.0
MAX_TOLD_FAILURES = 2
MAX_TOLD_RUNNERS = 12


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptHistory:
    """What a node tells of tries at one runner.

    Attributes:
        runner: Its id.
        well: How many of the node's own tries went well since the failures.
        failures: Requests that it failed, of all nodes, with how long ago in
            ms.
    """

    runner: str
    well: int
    failures: tuple[tuple[int, float], ...]


class Reliability:
    """Tries at runners; failures of all nodes, each counted once."""

    def __init__(self, chance: random.Random) -> None:
        """Makes it.

        Args:
            chance: Differs between nodes.
        """
        self._chance = chance
        # When tries of this node went well, by runner.
        self._well_ms: dict[str, collections.deque[float]] = {}
        # When a try of this node failed last, by runner.
        self._own_failed_ms: dict[str, float] = {}
        # When each request failed, by runner; of all nodes.
        self._failures: dict[str, dict[int, float]] = {}
        # Factor on how long failures are remembered here, by runner.
        self._memory: dict[str, float] = {}
        self._doubted: set[str] = set()
        # What peers last told of tries that went well, by runner and peer.
        self._peers_well: dict[str, dict[str, int]] = {}

    def succeeded(self, runner: str, now_ms: float) -> None:
        """Notes a try that brought an event or a sound answer."""
        self._well_ms.setdefault(
            runner, collections.deque(maxlen=MAX_WELL)).append(now_ms)

    def failed(self, runner: str, request: int, now_ms: float) -> None:
        """Notes a try that the runner failed by its own doing.

        Args:
            runner: Its id.
            request: The same for the same request, whoever tries it again.
            now_ms: The time.
        """
        self._own_failed_ms[runner] = now_ms
        self._note(runner, request, now_ms)

    def fail_odds(self, runner: str, now_ms: float) -> float:
        """Returns how likely the runner fails the next try, from 0 to 1."""
        failures = self._failures.get(runner)
        if not failures:
            return 0.0
        memory = self._memory[runner]
        failed = PRIOR_FAILED + sum(
            _part((now_ms - at_ms) / memory) for at_ms in failures.values())
        well = PRIOR_WELL + self._own_well(runner) + sum(
            self._peers_well.get(runner, {}).values())
        return failed / (failed + well)

    def _own_well(self, runner: str) -> int:
        since_ms = min(self._failures[runner].values())
        return sum(at_ms >= since_ms for at_ms in self._well_ms.get(runner, ()))

    def doubt_changes(self, now_ms: float) -> list[tuple[str, float]]:
        """Returns runners newly doubted, or no longer, with the odds."""
        found = []
        for runner in sorted(self._doubted | self._failures.keys()):
            odds = self.fail_odds(runner, now_ms)
            if (odds > DOUBT_THRESHOLD) is not (runner in self._doubted):
                self._doubted ^= {runner}
                found.append((runner, odds))
        return found

    def is_cooling_down(self, runner: str, now_ms: float) -> bool:
        """Whether a runner failed a moment ago."""
        failures = self._failures.get(runner)
        if not failures:
            return False
        return now_ms - max(failures.values()) < REST_MS

    def updates_for_peers(self, now_ms: float) -> tuple[AttemptHistory, ...]:
        """Returns what other nodes should hear, the newest first."""
        if self._may_be_cut_off(now_ms):
            return ()
        told = []
        for runner, failures in self._failures.items():
            young = sorted((now_ms - at_ms, request)
                           for request, at_ms in failures.items()
                           if now_ms - at_ms < TOLD_MS)
            if young:
                told.append(
                    AttemptHistory(
                        runner, self._own_well(runner),
                        tuple(
                            (request, age_ms)
                            for age_ms, request in young[:MAX_TOLD_FAILURES])))
        told.sort(key=lambda each: each.failures[0][1])
        return tuple(told[:MAX_TOLD_RUNNERS])

    def _may_be_cut_off(self, now_ms: float) -> bool:
        """Whether some runners failed this node and fewer served it of late.

        Then its own way to them may be harmed: told of all of them, its
        failures made all nodes leave heads that served everybody else.
        """
        failed = sum(
            now_ms - at_ms < TOLD_MS for at_ms in self._own_failed_ms.values())
        served = sum(
            now_ms - times[-1] < TOLD_MS for times in self._well_ms.values())
        return failed > max(1, served)

    def receive(self, told: Iterable[AttemptHistory], peer: str,
                now_ms: float) -> None:
        """Takes what a peer tells.

        Failures are the same whoever tells of them: what came back, or comes
        by two ways, counts once. Of what went well a peer's last word counts.
        """
        for each in told:
            for request, age_ms in each.failures:
                self._note(each.runner, request, now_ms - age_ms)
            self._peers_well.setdefault(each.runner, {})[peer] = each.well

    def drop_expired(self, now_ms: float) -> None:
        """Forgets what weighs next to nothing."""
        for runner, failures in list(self._failures.items()):
            clock.drop_expired(failures, float, FORGOTTEN_MS, now_ms)
            if not failures:
                del self._failures[runner], self._memory[runner]
                self._peers_well.pop(runner, None)
        clock.drop_expired(self._own_failed_ms, float, FORGOTTEN_MS, now_ms)
        clock.drop_expired(self._well_ms, lambda times: times[-1], FORGOTTEN_MS,
                           now_ms)

    def _note(self, runner: str, request: int, at_ms: float) -> None:
        if runner not in self._failures:
            self._failures[runner] = {}
            self._memory[runner] = self._chance.uniform(LEAST_MEMORY,
                                                        MOST_MEMORY)
        failures = self._failures[runner]
        # A request that comes again says no more than it said before, but a
        # node that hears of it late must not take it for younger.
        failures.setdefault(request, at_ms)
        if len(failures) > MAX_FAILURES:
            del failures[min(failures, key=failures.__getitem__)]


def _part(age_ms: float) -> float:
    """Returns what is left of a weight after a time."""
    return math.exp2(-max(0.0, age_ms) / HALF_LIFE_MS)
