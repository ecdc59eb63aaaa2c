"""How the work divides between models, as seen in requests at their groups."""

import dataclasses

from cardamommill.gateway import fleetview, model, planning

# Requests at a model's groups are averaged over about this.
MEMORY_MS = 4000.0
# What operators declared counts alone until requests were seen for so long.
LEAST_SEEN_MS = 2000.0
# No model falls below this part of the share that operators declared.
LEAST_PART = 0.5


@dataclasses.dataclass(slots=True)
class _Seen:
    """What was seen of a service's requests.

    Attributes:
        began_ms: When the first were.
        last_ms: When they were counted last.
        requests: Of each model, in the mean.
    """

    began_ms: float
    last_ms: float
    requests: dict[str, float]


class DemandEstimator:
    """The requests that run and wait at the groups of each model."""

    def __init__(self) -> None:
        self._seen: dict[str, _Seen] = {}

    def observe(self, service: str, engine: model.Engine,
                groups: dict[model.GroupKey, fleetview.Group],
                scope: planning.Scope, now_ms: float) -> None:
        """Takes in what is at the groups now.

        A model without a group keeps what was seen of it.

        Args:
            service: Whose models.
            engine: Of the service.
            groups: All groups of the service.
            scope: What requests are where.
            now_ms: The time.
        """
        if scope.is_before_traffic:
            return
        seen = self._seen.setdefault(service, _Seen(now_ms, now_ms, {}))
        weight = min(1.0, (now_ms - seen.last_ms) / MEMORY_MS)
        seen.last_ms = now_ms
        for served in engine.models:
            serving = fleetview.serving(groups.values(), served.name)
            if not serving:
                continue
            count = scope.total_load(serving).total_requests
            before = seen.requests.get(served.name, float(count))
            seen.requests[served.name] = before + weight * (count - before)

    def has_enough_data(self, service: str, now_ms: float) -> bool:
        """Whether requests were seen for long enough to go by them."""
        seen = self._seen.get(service)
        return seen is not None and now_ms - seen.began_ms >= LEAST_SEEN_MS

    def requests(self, service: str, model_name: str) -> float:
        """Returns how many requests are at the groups of a model."""
        seen = self._seen.get(service)
        return seen.requests.get(model_name, 0.0) if seen else 0.0

    def engine(self, service: str, engine: model.Engine,
               now_ms: float) -> model.Engine:
        """Returns the engine with shares by which places are as full.

        Args:
            service: Whose models.
            engine: With the declared shares.
            now_ms: The time.
        """
        if not self.has_enough_data(service, now_ms):
            return engine
        work = {
            each.name: each.size * self.requests(service, each.name)
            for each in engine.models
        }
        total = sum(work.values())
        if not total:
            return engine
        declared = sum(each.share for each in engine.models) or 1.0
        seen = {name: each / total * declared for name, each in work.items()}
        return dataclasses.replace(engine,
                                   models=_with_shares(engine.models, seen))


def _with_shares(models: tuple[model.ServedModel, ...],
                 seen: dict[str, float]) -> tuple[model.ServedModel, ...]:
    """Returns models with the shares that were seen, none of them too low."""
    least = {each.name: LEAST_PART * each.share for each in models}
    raised = {name: seen[name] < least[name] for name in least}
    kept = sum(least[name] for name in least if raised[name])
    others = sum(seen[name] for name in least if not raised[name])
    scale = (sum(seen.values()) - kept) / others
    return tuple(
        dataclasses.replace(
            each,
            share=least[each.name] if raised[each.name] else scale *
            seen[each.name]) for each in models)
