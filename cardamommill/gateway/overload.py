"""Which models have more work than their groups do in time."""

import dataclasses

from cardamommill.gateway import fleetview, model, planning

# A model is overloaded once this part of its requests waits though it will be
# late. Where all groups stood it was none at all.
OVERLOADED_PART = 0.1
# The part is a mean over about this: a load takes 16 s and is not worth
# beginning for a burst that ends within one.
MEMORY_MS = 2000.0


@dataclasses.dataclass(frozen=True, slots=True)
class CapacityState:
    """What the models of a data centre lack.

    Attributes:
        overloaded: Models that need more groups.
        runner_counts: Runners of each model: members of its groups, spares, and
            those that load it.
        usable: Runners that there are.
        utilisation: Requests for each place of a model's groups.
    """

    overloaded: frozenset[str]
    runner_counts: dict[str, int]
    usable: int
    utilisation: dict[str, float] = dataclasses.field(default_factory=dict)

    def is_busier(self, one: str, other: str) -> bool:
        """Whether a model's groups are fuller than another's."""
        return self.utilisation.get(one, 0.0) > self.utilisation.get(other, 0.0)

    def has_load_priority(self, served: model.ServedModel) -> bool:
        """Whether the next load is for a model, whatever else is near a group.

        Not beyond its share: what is loaded now serves in 16 s, and until then
        requests go on waiting and would call for more.
        """
        held = self.runner_counts.get(served.name, 0)
        return (served.name in self.overloaded and
                held < served.share * self.usable)

    def reassign(self, before: str, after: str) -> None:
        """Notes that a runner will hold another model."""
        if before in self.runner_counts:
            self.runner_counts[before] -= 1
        self.runner_counts[after] = self.runner_counts.get(after, 0) + 1


class OverloadDetector:
    """Keeps the part of late requests of each model."""

    def __init__(self) -> None:
        self._part: dict[str, float] = {}
        self._seen_ms: dict[str, float] = {}

    def observe(self, service: str, engine: model.Engine,
                groups: dict[model.GroupKey, fleetview.Group],
                scope: planning.Scope, now_ms: float) -> None:
        """Takes in what is at the groups now.

        Args:
            service: Whose models.
            engine: Of the service.
            groups: All groups of the service.
            scope: What requests are where.
            now_ms: The time.
        """
        if scope.is_before_traffic:
            return
        # Groups that can't be reached take no requests of here: in a data
        # centre that was cut off one group stood, and spares for two lay idle
        # until the end, since all groups of the others counted.
        since_ms = now_ms - self._seen_ms.get(service, now_ms)
        self._seen_ms[service] = now_ms
        weight = min(1.0, since_ms / MEMORY_MS)
        for served in engine.models:
            serving = fleetview.serving(groups.values(), served.name)
            load = scope.total_load(serving)
            part = load.deferred / max(1,
                                       load.total_requests) if serving else 1.0
            before = self._part.get(served.name, 0.0)
            self._part[served.name] = before + weight * (part - before)

    def is_overloaded(self, model_name: str) -> bool:
        """Whether a model needs more groups than it has."""
        return self._part.get(model_name, 0.0) > OVERLOADED_PART
