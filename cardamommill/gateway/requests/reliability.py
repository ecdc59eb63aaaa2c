"""Failure probability of each runner, from the attempts of all nodes.

A runner that fails every request at once has nothing in flight and so looks
like the fastest one. A single node makes too few attempts there to learn this
in time, so nodes report failures to each other, and also successes at runners
with failures. However often one request fails, it counts as one failure, since
requests that cause their own failure are repeated and fail at every runner.

Successes only count since the oldest of the last few failures. With earlier
ones included, five failures in a row weighed less than the twenty successful
attempts of the seconds before.
"""

import collections
from collections.abc import Iterable
import dataclasses
import math
import random

from cardamommill.domain import clock

# The weight of a failure halves in this time, so that the runner gets attempts
# again.
HALF_LIFE_MS = 3000.0
EXPIRY_MS = 5 * HALF_LIFE_MS
# Each node scales the half-life for a runner by a random factor in this range.
# With equal half-lives, all nodes sent requests to the runner again at the same
# moment, and each request failed until the first failure had been reported.
MIN_HALF_LIFE_FACTOR = 0.6
MAX_HALF_LIFE_FACTOR = 1.8
# Prior counts: a runner without a record has almost no failure probability, and
# one failed request does not make the next failure likely.
PRIOR_FAILURES = 0.02
PRIOR_SUCCESSES = 1.5
# Above this failure probability, a runner is used only if no other one takes
# the request.
DOUBT_THRESHOLD = 0.5
# A doubted runner gets no requests for this long after a failure if any other
# runner is available. By then, the nodes of a data centre have reported the
# failure to each other.
COOLDOWN_MS = 500.0
# How many of a runner's last failures count, and how many of each node's last
# successes: enough to recognize a failure rate of one in ten.
MAX_FAILURES = 5
MAX_SUCCESSES = 30
# Nodes report only recent failures, the newest first. A delay on the way makes
# a failure look newer, so if nodes relayed all that they remember, failures
# would never expire.
MAX_REPORTED_AGE_MS = 3000.0
MAX_REPORTED_FAILURES = 2
MAX_REPORTED_RUNNERS = 12


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptHistory:
    """A node's report of the attempts at one runner.

    Attributes:
        runner: The runner's ID.
        successes: Successful attempts of this node since the oldest failure.
        failures: Failed requests of all nodes, each with its age in ms.
    """

    runner: str
    successes: int
    failures: tuple[tuple[int, float], ...]


class Reliability:
    """Tracks attempts at runners; counts each failure of all nodes once."""

    def __init__(self, rng: random.Random) -> None:
        """Initialises the record without any attempts.

        Args:
            rng: Random numbers that differ between nodes.
        """
        self._rng = rng
        # Times of this node's successful attempts, by runner.
        self._succeeded_ms: dict[str, collections.deque[float]] = {}
        # Time of this node's last failed attempt, by runner.
        self._own_failed_ms: dict[str, float] = {}
        # Time of each failure of all nodes, by runner and request.
        self._failures: dict[str, dict[int, float]] = {}
        # This node's factor on the half-life, by runner.
        self._half_life_factor: dict[str, float] = {}
        self._doubted: set[str] = set()
        # Successes that peers last reported, by runner and peer.
        self._peer_successes: dict[str, dict[str, int]] = {}

    def succeeded(self, runner: str, now_ms: float) -> None:
        """Records an attempt that brought an event or a valid answer."""
        self._succeeded_ms.setdefault(
            runner, collections.deque(maxlen=MAX_SUCCESSES)).append(now_ms)

    def failed(self, runner: str, request: int, now_ms: float) -> None:
        """Records an attempt that failed through the runner's fault.

        Args:
            runner: The runner's ID.
            request: Identifies the request across retries and nodes.
            now_ms: The time.
        """
        self._own_failed_ms[runner] = now_ms
        self._record_failure(runner, request, now_ms)

    def fail_odds(self, runner: str, now_ms: float) -> float:
        """Returns the probability, 0 to 1, that the next attempt fails."""
        failures = self._failures.get(runner)
        if not failures:
            return 0.0
        half_life_factor = self._half_life_factor[runner]
        failed = PRIOR_FAILURES + sum(
            _weight((now_ms - at_ms) / half_life_factor)
            for at_ms in failures.values())
        successes = PRIOR_SUCCESSES + self._own_successes(runner) + sum(
            self._peer_successes.get(runner, {}).values())
        return failed / (failed + successes)

    def _own_successes(self, runner: str) -> int:
        since_ms = min(self._failures[runner].values())
        return sum(
            at_ms >= since_ms for at_ms in self._succeeded_ms.get(runner, ()))

    def doubt_changes(self, now_ms: float) -> list[tuple[str, float]]:
        """Returns runners that became doubted or trusted again.

        Returns:
            Each runner's ID with its failure probability.
        """
        found = []
        for runner in sorted(self._doubted | self._failures.keys()):
            probability = self.fail_odds(runner, now_ms)
            if (probability > DOUBT_THRESHOLD) is not (runner in self._doubted):
                self._doubted ^= {runner}
                found.append((runner, probability))
        return found

    def is_cooling_down(self, runner: str, now_ms: float) -> bool:
        """Whether a runner's last failure is within the cool-down."""
        failures = self._failures.get(runner)
        if not failures:
            return False
        return now_ms - max(failures.values()) < COOLDOWN_MS

    def updates_for_peers(self, now_ms: float) -> tuple[AttemptHistory, ...]:
        """Returns the failures to report to peers, the newest first."""
        if self._may_be_cut_off(now_ms):
            return ()
        told = []
        for runner, failures in self._failures.items():
            recent = sorted((now_ms - at_ms, request)
                            for request, at_ms in failures.items()
                            if now_ms - at_ms < MAX_REPORTED_AGE_MS)
            if recent:
                told.append(
                    AttemptHistory(
                        runner, self._own_successes(runner),
                        tuple((request, age_ms) for age_ms, request in
                              recent[:MAX_REPORTED_FAILURES])))
        told.sort(key=lambda each: each.failures[0][1])
        return tuple(told[:MAX_REPORTED_RUNNERS])

    def _may_be_cut_off(self, now_ms: float) -> bool:
        """Whether several runners failed this node lately and fewer served it.

        If so, its own network may be at fault. When such a node reported its
        failures, all nodes avoided heads that served everybody else.
        """
        failed = sum(now_ms - at_ms < MAX_REPORTED_AGE_MS
                     for at_ms in self._own_failed_ms.values())
        served = sum(now_ms - times[-1] < MAX_REPORTED_AGE_MS
                     for times in self._succeeded_ms.values())
        return failed > max(1, served)

    def receive(self, told: Iterable[AttemptHistory], peer: str,
                now_ms: float) -> None:
        """Processes the reports of a peer.

        A failure counts once, even if several peers report it or if a peer
        relays this node's own report. Of each peer's successes, only those in
        its last report count.
        """
        for each in told:
            for request, age_ms in each.failures:
                self._record_failure(each.runner, request, now_ms - age_ms)
            self._peer_successes.setdefault(each.runner,
                                            {})[peer] = each.successes

    def drop_expired(self, now_ms: float) -> None:
        """Drops records whose weight has become negligible."""
        for runner, failures in list(self._failures.items()):
            clock.drop_expired(failures, float, EXPIRY_MS, now_ms)
            if not failures:
                del self._failures[runner], self._half_life_factor[runner]
                self._peer_successes.pop(runner, None)
        clock.drop_expired(self._own_failed_ms, float, EXPIRY_MS, now_ms)
        clock.drop_expired(self._succeeded_ms, lambda times: times[-1],
                           EXPIRY_MS, now_ms)

    def _record_failure(self, runner: str, request: int, at_ms: float) -> None:
        if runner not in self._failures:
            self._failures[runner] = {}
            self._half_life_factor[runner] = self._rng.uniform(
                MIN_HALF_LIFE_FACTOR, MAX_HALF_LIFE_FACTOR)
        failures = self._failures[runner]
        # Keep the time of the first report: a repeated failure of a request
        # adds no information, and a delayed report must not look newer.
        failures.setdefault(request, at_ms)
        if len(failures) > MAX_FAILURES:
            del failures[min(failures, key=failures.__getitem__)]


def _weight(age_ms: float) -> float:
    """Returns the weight of a failure of the given age."""
    return math.exp2(-max(0.0, age_ms) / HALF_LIFE_MS)
