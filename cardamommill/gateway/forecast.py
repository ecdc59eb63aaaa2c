"""By how much first events come later than the engine's arithmetic says.

What an engine publishes leaves out what a request takes before it is read and
after its first token. Where that is a third of the objective, a queue that was
thought short enough had all that waited in it come late.
"""

import collections

# Of the last so many first events...
MAX_SAMPLES = 40
# ... this part came sooner than by what all take longer; the rest had to wait
# for others, of which nodes know too late.
QUANTILE = 0.25
# Fewer say nothing yet.
MIN_SAMPLES = 6


class Forecast:
    """Compares first events with when they were expected, by service."""

    def __init__(self) -> None:
        self._later_ms: dict[str, collections.deque[float]] = {}
        self._overhead_ms: dict[str, float] = {}

    def add_sample(self, service: str, took_ms: float,
                   expected_ms: float) -> None:
        """Notes a first event.

        Args:
            service: Whose.
            took_ms: From the sending of the request.
            expected_ms: What the engine's arithmetic said.
        """
        samples = self._later_ms.setdefault(
            service, collections.deque(maxlen=MAX_SAMPLES))
        samples.append(took_ms - expected_ms)
        if len(samples) >= MIN_SAMPLES:
            ranked = sorted(samples)
            self._overhead_ms[service] = max(
                0.0, ranked[int(QUANTILE * len(ranked))])

    def overhead_ms(self, service: str) -> float:
        """Returns what every request of a service takes longer."""
        return self._overhead_ms.get(service, 0.0)
