"""Plans the groups of the data centres that this node is responsible for.

Two planners may act at the same time, for example during a network partition or
while a node is wrongly believed dead. A runner counts the orders that it has
started, and each join carries the count that its runner must have. So if two
planners order a runner to join, it refuses the second join. Group names are
never reused. No lease is needed.
"""

from collections.abc import Iterable, Iterator

from cardamommill.domain import model, orders
from cardamommill.gateway.fleet import fleetview
from cardamommill.gateway.groups import (
    allocation,
    consolidation,
    demand,
    fleetsummary,
    formations,
    loads,
    overload,
    planning,
    rebalancing,
    reconciliation,
    spares,
)


class Planner:
    """Decides which orders to send.

    It does no input or output. Its state is in memory only: the groups and
    model loads that it has started, probe times and averages of the load.
    """

    def __init__(self, view: fleetview.FleetView, name: str) -> None:
        """Creates a planner.

        Args:
            view: The known state of all runners; the caller keeps it up to
                date.
            name: Unique to this incarnation of the node; prefix of all group
                names.
        """
        self._view = view
        # Runners with an order in flight, and those that refused one and were
        # not probed since.
        self._pending: set[str] = set()
        load_limiter = loads.LoadRateLimiter()
        self._formations = formations.Formations(view, name, self._pending,
                                                 load_limiter)
        self._overload = overload.OverloadDetector()
        self._demand = demand.DemandEstimator()
        self._spares = spares.Spares(view, load_limiter)
        consolidator = consolidation.Consolidation(self._formations)
        self._reconciliation = reconciliation.Reconciliation(
            view, self._formations, consolidator)
        self._rebalancing = rebalancing.Rebalancing(self._demand, load_limiter,
                                                    consolidator)
        self._allocation = allocation.Allocation(view, self._formations,
                                                 self._pending, self._overload,
                                                 self._spares, consolidator,
                                                 self._rebalancing,
                                                 self._demand)

    @property
    def formations(self) -> dict[model.GroupKey, planning.Formation]:
        """Formations that are not serving yet, by group."""
        return self._formations.by_key

    def step(self, service: model.Service, scope: planning.Scope,
             now_ms: float) -> list[planning.Action]:
        """Returns the actions to take now for one service."""
        engine = service.engine
        if engine is None:
            return []
        scope = scope.without_evacuated()
        all_groups = self._view.groups(service.name)
        for key in all_groups:
            self._formations.observe_epoch(key.epoch)
        self._formations.drop_evacuated(scope)
        groups = scope.active_groups(all_groups)
        self._overload.observe(service.name, engine, all_groups, scope, now_ms)
        self._demand.observe(service.name, engine, groups, scope, now_ms)
        engine = self._demand.engine(service.name, engine, now_ms)
        actions: list[planning.Action] = []
        actions += self._formations.advance(service.name, engine, now_ms)
        actions += self._reconciliation.step(groups, service.name, engine,
                                             scope, now_ms)
        actions += self._allocation.step(service.name, engine, scope, now_ms)
        return list(_first_order_per_runner(actions))

    # Results of actions, reported by the caller.

    def sent(self, runner: str) -> None:
        """Records that an order to a runner is in flight."""
        self._pending.add(runner)

    def accepted(self, order: orders.Order, now_ms: float) -> None:
        """Records that an order was accepted."""
        self._pending.discard(order.runner)
        formation = self._formations.for_order(order)
        if formation is None:
            return
        if order.operation is orders.Operation.OPEN:
            formation.open_accepted_ms = now_ms
        if order.operation is orders.Operation.JOIN:
            self._formations.join_accepted(formation, order.runner, now_ms)

    def refused(self,
                order: orders.Order,
                reason: str,
                now_ms: float,
                may_retry: bool = False) -> None:
        """Records that an order was refused or its outcome is unknown.

        The runner gets no other order until `rechecked`: its known state may
        be wrong, and its report shows the true state only after a delay.

        Args:
            order: The order.
            reason: What the runner answered.
            now_ms: The current time.
            may_retry: Whether the same order may be accepted later.
        """
        if order.operation is orders.Operation.STAGE:
            self._spares.load_refused(order.runner, now_ms)
            self._rebalancing.refused(order.runner, now_ms)
        formation = self._formations.for_order(order)
        if formation is not None and order.operation is orders.Operation.JOIN:
            self._formations.join_refused(formation, order.runner, reason,
                                          may_retry)

    def rechecked(self, order: orders.Order) -> None:
        """Records that a runner was probed after it refused an order."""
        self._pending.discard(order.runner)

    def summary(self, service: str, scope: planning.Scope) -> dict[str, str]:
        """Returns counts of this planner's groups and runners, for the log."""
        return fleetsummary.summary(
            self._view.groups(service).values(), self.formations.values(),
            self._view.runners_of(service), service,
            fleetsummary.PlannerState(
                lambda group: reconciliation.is_in_scope(group, scope),
                self._allocation.is_free, self._spares), scope)


def _first_order_per_runner(
        actions: Iterable[planning.Action]) -> Iterator[planning.Action]:
    """Yields actions, keeping only the first order to each runner.

    One step may order a runner to leave its group twice: when a formation is
    given up, and again when reconciliation finds the group, which now seems to
    be an incomplete one of another planner. Both orders carry the same order
    count, so the runner would refuse the second.
    """
    ordered = set()
    for action in actions:
        if isinstance(action, orders.Order):
            if action.runner in ordered:
                continue
            ordered.add(action.runner)
        yield action
