"""Decides which models free runners load ahead of need."""

from collections.abc import Iterator
import math

from cardamommill.domain import model, orders
from cardamommill.gateway.fleet import fleetview
from cardamommill.gateway.groups import loads, overload, planning

# Time from the refusal of a load order until the next order to that host. A
# host that refuses is loading for another planner, or for one that died. Asked
# every 250 ms, such a host refused twelve times in a row.
REFUSAL_BACKOFF_MS = 2000.0


class Spares:
    """Tracks the models of free runners and orders loads for them."""

    def __init__(self, view: fleetview.FleetView,
                 load_limiter: loads.LoadRateLimiter) -> None:
        self._view = view
        self._load_limiter = load_limiter
        # The model that each runner's host was ordered to load, and the time
        # after which that load counts as overdue.
        self._staging: dict[str, tuple[str, float]] = {}
        self._refused_ms: dict[str, float] = {}

    def is_staging(self, runner: str) -> bool:
        """Whether the host of a runner is loading a model for this planner."""
        return runner in self._staging

    def load_refused(self, runner: str, now_ms: float) -> None:
        """Records that an order to load was refused."""
        self._staging.pop(runner, None)
        self._refused_ms[runner] = now_ms

    def stage(self, engine: model.Engine, scope: planning.Scope,
              free: list[fleetview.RunnerRecord],
              capacity_state: overload.CapacityState,
              now_ms: float) -> Iterator[planning.Action]:
        """Yields orders to load models for the free runners of one domain.

        Args:
            engine: The engine of the service.
            scope: The data centres to plan for.
            free: The free runners of the domain.
            capacity_state: The state of the data centre; updated with each
                order.
            now_ms: The current time.
        """
        spare_counts: dict[str, int] = {each.name: 0 for each in engine.models}
        for known in free:
            name = self.warm_model(known)
            if name in spare_counts:
                spare_counts[name] += 1
        for known in self._loadable_runners(engine, free, spare_counts,
                                            capacity_state):
            if now_ms - self._refused_ms.get(known.runner.id, -math.inf) < (
                    REFUSAL_BACKOFF_MS):
                continue
            if not self._load_limiter.may_load(engine, scope, now_ms):
                return
            before = self.warm_model(known)
            served = self._model_to_load(engine, spare_counts, len(free),
                                         capacity_state)
            if served.name == before:
                continue
            if before in spare_counts:
                spare_counts[before] -= 1
            spare_counts[served.name] += 1
            capacity_state.reassign(before, served.name)
            self._staging[known.runner.id] = (served.name,
                                              now_ms + 2 * served.load_ms)
            self._load_limiter.note(1, now_ms)
            yield orders.Order(known.runner.id,
                               orders.Operation.STAGE,
                               model=served.name,
                               expected_seq=known.orders_begun,
                               reason=f"spares in the domain: {spare_counts}")

    def _loadable_runners(
            self, engine: model.Engine, free: list[fleetview.RunnerRecord],
            spare_counts: dict[str, int], capacity_state: overload.CapacityState
    ) -> list[fleetview.RunnerRecord]:
        """Returns the runners that may load another model.

        These are the blank runners, which hold no model. Spares are returned
        only if no runner is blank and none is loading, and in two cases:

        * A busier model lacks so few runners for a group that spares of other
          models can make up for them, or it has no spare here. Otherwise the
          survivors of that model's next failure would wait for a whole load.
        * A model is overloaded, and enough runners are free for a group, but no
          model has enough of them. Otherwise the spares would wait for further
          runners forever.

        In all other cases a spare is worth more with the model that it holds.
        """
        blank = [each for each in free if not self.warm_model(each)]
        sizes = {each.name: each.size for each in engine.models}
        is_stuck = len(free) >= min(sizes.values()) and all(
            count < sizes[name] for name, count in spare_counts.items())
        urgent = [
            each.name
            for each in engine.models
            if capacity_state.has_load_priority(each)
        ]
        if blank or any(each.runner.id in self._staging for each in free):
            return blank
        for served in engine.models:
            reassignable = self._reassignable_spares(served, free, spare_counts,
                                                     capacity_state)
            if reassignable:
                return reassignable
        if not is_stuck or not urgent:
            return []
        best = max(urgent,
                   key=lambda name: (spare_counts[name] / sizes[name], name))
        missing = sizes[best] - spare_counts[best]
        others = [each for each in free if self.warm_model(each) != best]
        return others[:missing] if len(others) >= missing else []

    def _reassignable_spares(
            self, served: model.ServedModel, free: list[fleetview.RunnerRecord],
            spare_counts: dict[str, int], capacity_state: overload.CapacityState
    ) -> list[fleetview.RunnerRecord]:
        """Returns spares of less busy models that this model can use.

        They have to complete a group of the model, or become its first spare.
        Each model that has spares keeps one.
        """
        missing = (served.size - spare_counts[served.name]
                   if spare_counts[served.name] else 1)
        if missing <= 0 or not capacity_state.runner_counts.get(served.name):
            return []
        kept = {name for name, count in spare_counts.items() if count}
        found = []
        for known in free:
            name = self.warm_model(known)
            if not capacity_state.is_busier(served.name, name):
                continue
            if name in kept:
                kept.discard(name)
                continue
            found.append(known)
        return found[:missing] if len(found) >= missing else []

    def _model_to_load(
            self, engine: model.Engine, spare_counts: dict[str, int], free: int,
            capacity_state: overload.CapacityState) -> model.ServedModel:
        # Overloaded models come first: with the fewest missing runners as the
        # only criterion, the smaller model got most loads of a day while it had
        # eight groups and the larger one four. Next comes the model that lacks
        # the fewest runners for a group, if enough are free, and then the model
        # with the fewest spares for its share.
        def key(served: model.ServedModel) -> tuple[bool, float, float]:
            count = spare_counts[served.name]
            missing = served.size - count
            reachable = 0 < missing < served.size and free >= served.size
            return (not capacity_state.has_load_priority(served),
                    missing if reachable else math.inf,
                    count / max(served.share, 1e-6))

        return min(engine.models, key=key)

    def warm_model(self, known: fleetview.RunnerRecord) -> str:
        """Returns the model that a runner holds or loads; empty if none."""
        if known.runner.id in self._staging:
            return self._staging[known.runner.id][0]
        if known.status.staged:
            return known.status.staged[-1]
        return known.last_model

    def prune_staging(self, now_ms: float) -> None:
        """Drops load orders that are done or overdue, and expired refusals."""
        for runner_id, (name, until_ms) in list(self._staging.items()):
            known = self._view.known.get(runner_id)
            done = known is not None and name in known.status.staged
            if known is None or done or now_ms > until_ms:
                del self._staging[runner_id]
        for runner_id, at_ms in list(self._refused_ms.items()):
            if now_ms - at_ms > REFUSAL_BACKOFF_MS:
                del self._refused_ms[runner_id]
