"""Limits the rate of loads from the weight store."""

from cardamommill.domain import model
from cardamommill.gateway.groups import planning

# Ratio of the permitted load rate that all planners use together. A planner
# that takes over does not know which loads its predecessor started. At little
# more than half of the rate, two planners per data centre within one window
# exceed the permitted rate by a tenth at most.
LOAD_SHARE = 0.55
# The started loads of this time are compared with the limit.
LOAD_WINDOW_MS = 5000.0


class LoadRateLimiter:
    """Limits the loads that one planner starts."""

    def __init__(self) -> None:
        self._started_ms: list[float] = []

    def note(self, count: int, now_ms: float) -> None:
        """Records that loads start now."""
        self._started_ms += [now_ms] * count

    def may_load(self, engine: model.Engine, scope: planning.Scope,
                 now_ms: float) -> bool:
        """Whether one more load is within this planner's part of the rate."""
        if scope.is_before_traffic:
            return True
        self._started_ms = [
            each for each in self._started_ms if now_ms - each < LOAD_WINDOW_MS
        ]
        limit = (LOAD_SHARE * engine.loads_per_s * LOAD_WINDOW_MS / 1000 *
                 len(scope.data_centres) / scope.count)
        return len(self._started_ms) + 1 <= limit
