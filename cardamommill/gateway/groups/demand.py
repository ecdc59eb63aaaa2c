"""Estimates how the work divides between models."""

import dataclasses

from cardamommill.domain import model
from cardamommill.gateway.fleet import fleetview
from cardamommill.gateway.groups import planning

# Time constant of the moving average of a model's requests.
AVERAGING_WINDOW_MS = 4000.0
# Only the declared shares count until requests were observed for this long.
MIN_OBSERVATION_MS = 2000.0
# No model falls below this fraction of its declared share.
MIN_SHARE_RATIO = 0.5


@dataclasses.dataclass(slots=True)
class _ObservedRequests:
    """Moving averages of the requests of a service.

    Attributes:
        started_ms: When requests were first observed.
        updated_ms: When the averages were last updated.
        requests: The average number of requests, by model.
    """

    started_ms: float
    updated_ms: float
    requests: dict[str, float]


class DemandEstimator:
    """Averages the running and waiting requests of each model's groups."""

    def __init__(self) -> None:
        self._observed: dict[str, _ObservedRequests] = {}

    def observe(self, service: str, engine: model.Engine,
                groups: dict[model.GroupKey, fleetview.Group],
                scope: planning.Scope, now_ms: float) -> None:
        """Updates the averages with the current load of the groups.

        A model without an open group keeps its last average.

        Args:
            service: The name of the service.
            engine: The engine of the service.
            groups: All groups of the service.
            scope: Provides the load of each group.
            now_ms: The current time.
        """
        if scope.is_before_traffic:
            return
        observed = self._observed.setdefault(
            service, _ObservedRequests(now_ms, now_ms, {}))
        weight = min(1.0, (now_ms - observed.updated_ms) / AVERAGING_WINDOW_MS)
        observed.updated_ms = now_ms
        for served in engine.models:
            serving = fleetview.serving(groups.values(), served.name)
            if not serving:
                continue
            count = scope.total_load(serving).total_requests
            before = observed.requests.get(served.name, float(count))
            observed.requests[served.name] = before + weight * (count - before)

    def has_enough_data(self, service: str, now_ms: float) -> bool:
        """Whether requests were observed for long enough to rely on them."""
        observed = self._observed.get(service)
        return (observed is not None and
                now_ms - observed.started_ms >= MIN_OBSERVATION_MS)

    def requests(self, service: str, model_name: str) -> float:
        """Returns the average number of requests at the groups of a model."""
        observed = self._observed.get(service)
        return observed.requests.get(model_name, 0.0) if observed else 0.0

    def engine(self, service: str, engine: model.Engine,
               now_ms: float) -> model.Engine:
        """Returns the engine with model shares that follow the observed work.

        If the runners are divided by these shares, the slots of all models are
        equally full.

        Args:
            service: The name of the service.
            engine: The engine with the declared shares.
            now_ms: The current time.
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
        observed = {
            name: each / total * declared for name, each in work.items()
        }
        return dataclasses.replace(engine,
                                   models=_with_shares(engine.models, observed))


def _with_shares(models: tuple[model.ServedModel, ...],
                 observed: dict[str, float]) -> tuple[model.ServedModel, ...]:
    """Returns models with the observed shares, each raised to its minimum.

    The other shares are scaled down so that the sum stays the same.
    """
    minimum = {each.name: MIN_SHARE_RATIO * each.share for each in models}
    raised = {name: observed[name] < minimum[name] for name in minimum}
    kept = sum(minimum[name] for name in minimum if raised[name])
    others = sum(observed[name] for name in minimum if not raised[name])
    scale = (sum(observed.values()) - kept) / others
    return tuple(
        dataclasses.replace(
            each,
            share=minimum[each.name] if raised[each.name] else scale *
            observed[each.name]) for each in models)
