"""Learns by how much first events are later than the engine's cost model says.

The cost model that an engine publishes leaves out the time before a prompt is
processed and after the first token. Where that is a third of the latency
objective, a queue looks short enough while all requests that wait in it miss
their objective.
"""

import collections

# Number of recent first events that are considered.
MAX_SAMPLES = 40
# This quantile of the deviations is taken as the overhead of every request.
# Larger deviations include the wait for requests that this node learned of too
# late.
QUANTILE = 0.25
# With fewer samples the overhead is assumed to be 0.
MIN_SAMPLES = 6


class Forecast:
    """Estimates each service's overhead from the times to first events."""

    def __init__(self) -> None:
        self._deviations_ms: dict[str, collections.deque[float]] = {}
        self._overhead_ms: dict[str, float] = {}

    def add_sample(self, service: str, took_ms: float,
                   expected_ms: float) -> None:
        """Records the time to a first event.

        Args:
            service: The name of the service.
            took_ms: Time from sending the request to its first event.
            expected_ms: The same time by the engine's cost model.
        """
        samples = self._deviations_ms.setdefault(
            service, collections.deque(maxlen=MAX_SAMPLES))
        samples.append(took_ms - expected_ms)
        if len(samples) >= MIN_SAMPLES:
            ranked = sorted(samples)
            self._overhead_ms[service] = max(
                0.0, ranked[int(QUANTILE * len(ranked))])

    def overhead_ms(self, service: str) -> float:
        """Returns the time that requests take beyond the cost model."""
        return self._overhead_ms.get(service, 0.0)
