"""Which runner of a plain service gets a request, by this node's own tries."""

from collections.abc import Iterable
import random

from cardamommill.gateway import clock, fleetview, reliability

# A runner that gave no answer of its own, or refused a request, comes last for
# this long. Failures that it told come with the request more often than not.
FAULT_PENALTY_MS = 1000.0
# How likely a runner fails counts like two requests in flight a step.
FAILURE_WEIGHT = 4


class PlainRunners:
    """This node's requests at runners, and which of these failed of late."""

    def __init__(self, tries: reliability.Reliability, data_centre: str,
                 chance: random.Random) -> None:
        """Makes it.

        Args:
            tries: How likely runners fail.
            data_centre: Whose runners are preferred.
            chance: Decides between equals.
        """
        self._tries = tries
        self._data_centre = data_centre
        self._chance = chance
        self._in_flight: dict[str, int] = {}
        self._faults_ms: dict[str, float] = {}

    def add_request(self, runner: str) -> None:
        """Notes a request that is sent to a runner."""
        self._in_flight[runner] = self._in_flight.get(runner, 0) + 1

    def remove_request(self, runner: str) -> None:
        """Notes the end of one."""
        left = self._in_flight.get(runner, 1) - 1
        if left > 0:
            self._in_flight[runner] = left
        else:
            self._in_flight.pop(runner, None)

    def failed(self, runner: str, now_ms: float) -> None:
        """Notes that a runner gave no answer of its own, or refused."""
        self._faults_ms[runner] = now_ms

    def drop_expired(self, now_ms: float) -> None:
        """Forgets old faults."""
        clock.drop_expired(self._faults_ms, float, 10 * FAULT_PENALTY_MS,
                           now_ms)

    def choose(self, usable: Iterable[fleetview.RunnerRecord],
               now_ms: float) -> fleetview.RunnerRecord:
        """Returns the runner that should get the next request."""

        def cost(
                known: fleetview.RunnerRecord) -> tuple[bool, int, bool, float]:
            runner = known.runner
            fault_ms = self._faults_ms.get(runner.id, float("-inf"))
            odds = self._tries.fail_odds(runner.id, now_ms)
            is_last = (now_ms - fault_ms < FAULT_PENALTY_MS or
                       odds > reliability.DOUBT_THRESHOLD)
            load = self._in_flight.get(runner.id, 0) // 2
            return (is_last, load + int(FAILURE_WEIGHT * odds),
                    runner.data_centre
                    != self._data_centre, self._chance.random())

        return min(usable, key=cost)
