"""Detects models whose groups can't serve all requests in time."""

import dataclasses

from cardamommill.domain import model
from cardamommill.gateway.fleet import fleetview
from cardamommill.gateway.groups import planning

# A model is overloaded if more than this ratio of its requests waits and will
# be late. While all groups were available, no request was in this state.
OVERLOAD_THRESHOLD = 0.1
# Time constant of the moving average of that ratio. Loading a model takes 16 s
# and is not worth starting for a burst that is over before the load is.
AVERAGING_WINDOW_MS = 2000.0


@dataclasses.dataclass(frozen=True, slots=True)
class CapacityState:
    """Overload, runners and utilisation of the models of a data centre.

    Attributes:
        overloaded: Models that need more groups.
        runner_counts: Runners of each model: members of its groups, spares, and
            those that load it.
        usable: The number of usable runners.
        utilisation: Requests per slot of each model's groups.
    """

    overloaded: frozenset[str]
    runner_counts: dict[str, int]
    usable: int
    utilisation: dict[str, float] = dataclasses.field(default_factory=dict)

    def is_busier(self, one: str, other: str) -> bool:
        """Whether a model has a higher utilisation than another."""
        return self.utilisation.get(one, 0.0) > self.utilisation.get(other, 0.0)

    def has_load_priority(self, served: model.ServedModel) -> bool:
        """Whether an overloaded model takes precedence for the next load.

        It does so only up to its share: a load that starts now is of use in
        16 s, and until then requests go on waiting and would cause more loads.
        """
        held = self.runner_counts.get(served.name, 0)
        return (served.name in self.overloaded and
                held < served.share * self.usable)

    def reassign(self, before: str, after: str) -> None:
        """Records that a runner will hold another model."""
        if before in self.runner_counts:
            self.runner_counts[before] -= 1
        self.runner_counts[after] = self.runner_counts.get(after, 0) + 1


class OverloadDetector:
    """Tracks the ratio of late requests of each model."""

    def __init__(self) -> None:
        self._late_ratio: dict[str, float] = {}
        self._observed_ms: dict[str, float] = {}
        # Models with an open group in an evacuated data centre, by service.
        self._evacuated: dict[str, frozenset[str]] = {}

    def observe(self, service: str, engine: model.Engine,
                groups: dict[model.GroupKey, fleetview.Group],
                scope: planning.Scope, now_ms: float) -> None:
        """Updates the ratios with the current load of the groups.

        All requests of a model without a group that this node can reach count
        as late.

        Args:
            service: The name of the service.
            engine: The engine of the service.
            groups: All groups of the service.
            scope: Provides the load of each group.
            now_ms: The current time.
        """
        active = scope.active_groups(groups)
        self._evacuated[service] = frozenset(
            each.model
            for key, each in groups.items()
            if key not in active and each.is_open)
        if scope.is_before_traffic:
            return
        since_ms = now_ms - self._observed_ms.get(service, now_ms)
        self._observed_ms[service] = now_ms
        weight = min(1.0, since_ms / AVERAGING_WINDOW_MS)
        for served in engine.models:
            # Only groups that this node can reach are counted, since others
            # take no requests from here. When unreachable groups were counted
            # too, a data centre that was cut off had one group and left spares
            # for two more unused until the end of the partition.
            serving = fleetview.serving(active.values(), served.name)
            load = scope.total_load(serving)
            ratio = load.deferred / max(1,
                                        load.total_requests) if serving else 1.0
            before = self._late_ratio.get(served.name, 0.0)
            self._late_ratio[served.name] = before + weight * (ratio - before)

    def is_overloaded(self, model_name: str) -> bool:
        """Whether a model needs more groups than it has."""
        return (self.has_evacuated_groups(model_name) or
                self._late_ratio.get(model_name, 0.0) > OVERLOAD_THRESHOLD)

    def has_evacuated_groups(self, model_name: str) -> bool:
        """Whether groups of a model are in an evacuated data centre.

        Spares make up for them at once: requests that ran there come here, and
        the ratio of late ones shows that only after a while.
        """
        return any(model_name in names for names in self._evacuated.values())
