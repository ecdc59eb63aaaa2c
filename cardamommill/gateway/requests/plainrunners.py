"""Chooses the runner of a service that has no groups."""

from collections.abc import Iterable
import random

from cardamommill.domain import clock
from cardamommill.gateway.fleet import fleetview
from cardamommill.gateway.requests import reliability

# A runner that gave no answer, or refused a request, is the last choice for
# this long. A runner that answers with a failure is exempt: such failures are
# mostly caused by the request.
FAULT_PENALTY_MS = 1000.0
# Load is compared in pairs of in-flight requests. A failure probability of 1
# counts like this many pairs.
FAILURE_WEIGHT = 4


class PlainRunners:
    """Tracks this node's in-flight requests and recent faults per runner."""

    def __init__(self, runner_reliability: reliability.Reliability,
                 data_centre: str, chance: random.Random) -> None:
        """Initialises the instance without requests or faults.

        Args:
            runner_reliability: Source of the runners' failure probabilities.
            data_centre: The data centre whose runners are preferred.
            chance: Breaks ties between equally good runners.
        """
        self._reliability = runner_reliability
        self._data_centre = data_centre
        self._chance = chance
        self._in_flight: dict[str, int] = {}
        self._faults_ms: dict[str, float] = {}

    def add_request(self, runner: str) -> None:
        """Counts a request that is sent to a runner."""
        self._in_flight[runner] = self._in_flight.get(runner, 0) + 1

    def remove_request(self, runner: str) -> None:
        """Removes a request that is no longer at a runner."""
        remaining = self._in_flight.get(runner, 1) - 1
        if remaining > 0:
            self._in_flight[runner] = remaining
        else:
            self._in_flight.pop(runner, None)

    def failed(self, runner: str, now_ms: float) -> None:
        """Records that a runner gave no answer, or refused a request."""
        self._faults_ms[runner] = now_ms

    def drop_expired(self, now_ms: float) -> None:
        """Drops faults that no longer matter."""
        clock.drop_expired(self._faults_ms, float, 10 * FAULT_PENALTY_MS,
                           now_ms)

    def choose(self, candidates: Iterable[fleetview.RunnerRecord],
               now_ms: float) -> fleetview.RunnerRecord:
        """Returns the runner that should get the next request.

        Args:
            candidates: Runners that may get it; at least one.
            now_ms: The current time.
        """

        def cost(
                known: fleetview.RunnerRecord) -> tuple[bool, int, bool, float]:
            runner = known.runner
            fault_ms = self._faults_ms.get(runner.id, float("-inf"))
            odds = self._reliability.fail_odds(runner.id, now_ms)
            is_last = (now_ms - fault_ms < FAULT_PENALTY_MS or
                       odds > reliability.DOUBT_THRESHOLD)
            load = self._in_flight.get(runner.id, 0) // 2
            return (is_last, load + int(FAILURE_WEIGHT * odds),
                    runner.data_centre
                    != self._data_centre, self._chance.random())

        return min(candidates, key=cost)
