"""How many loads from the weight store may begin."""

from cardamommill.gateway import model, planning

# Part of the permitted rate of loads that the planners use together. A planner
# that takes over does not know what the one before began: with little more than
# half, even two of each data centre within one window stay within the bound.
LOAD_SHARE = 0.55
LOAD_WINDOW_MS = 5000.0


class LoadRateLimiter:
    """Counts the loads that one planner began."""

    def __init__(self) -> None:
        self._loads_ms: list[float] = []

    def note(self, count: int, now_ms: float) -> None:
        """Notes that loads begin."""
        self._loads_ms += [now_ms] * count

    def may_load(self, engine: model.Engine, scope: planning.Scope,
                 now_ms: float) -> bool:
        """Whether one more keeps to this planner's part of the rate."""
        if scope.is_before_traffic:
            return True
        self._loads_ms = [
            each for each in self._loads_ms if now_ms - each < LOAD_WINDOW_MS
        ]
        limit = (LOAD_SHARE * engine.loads_per_s * LOAD_WINDOW_MS / 1000 *
                 len(scope.data_centres) / scope.count)
        return len(self._loads_ms) + 1 <= limit
