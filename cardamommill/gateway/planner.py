"""Keeps groups standing in the data centres that this node plans for.

Two planners may act at once (a cut, a node that is thought dead): each join
names the count of orders that its runner must have, so the second one is
refused, and names of groups are never used twice. No lease is needed.
"""

from collections.abc import Iterable, Iterator

from cardamommill.gateway import (
    allocation,
    consolidation,
    demand,
    fleetsummary,
    fleetview,
    formations,
    loads,
    model,
    orders,
    overload,
    planning,
    rebalancing,
    reconciliation,
    spares,
)


class Planner:
    """Decides orders; pure but for its own memory of what it began."""

    def __init__(self, view: fleetview.FleetView, name: str) -> None:
        """Makes it.

        Args:
            view: What is believed; the shell updates it.
            name: Unique to this life of this node; begins all group names.
        """
        self._view = view
        self._pending: set[str] = set()
        ledger = loads.LoadRateLimiter()
        self._formations = formations.Formations(view, name, self._pending,
                                                 ledger)
        self._overload = overload.OverloadDetector()
        self._demand = demand.DemandEstimator()
        self._spares = spares.Spares(view, ledger)
        slow = consolidation.Consolidation(self._formations)
        self._reconciliation = reconciliation.Reconciliation(
            view, self._formations, slow)
        self._rebalancing = rebalancing.Rebalancing(self._demand, ledger, slow)
        self._allocation = allocation.Allocation(view, self._formations,
                                                 self._pending, self._overload,
                                                 self._spares, slow,
                                                 self._rebalancing,
                                                 self._demand)

    @property
    def formations(self) -> dict[model.GroupKey, planning.Formation]:
        """Groups on their way to serving."""
        return self._formations.by_key

    def step(self, service: model.Service, scope: planning.Scope,
             now_ms: float) -> list[planning.Action]:
        """Returns what to do now for one service."""
        engine = service.engine
        if engine is None:
            return []
        groups = self._view.groups(service.name)
        for key in groups:
            self._formations.observe_epoch(key.epoch)
        self._overload.observe(service.name, engine, groups, scope, now_ms)
        self._demand.observe(service.name, engine, groups, scope, now_ms)
        engine = self._demand.engine(service.name, engine, now_ms)
        actions: list[planning.Action] = []
        actions += self._formations.advance(service.name, engine, now_ms)
        actions += self._reconciliation.step(groups, service.name, engine,
                                             scope, now_ms)
        actions += self._allocation.step(service.name, engine, scope, now_ms)
        return list(_one_order_each(actions))

    # What the shell tells.

    def sent(self, runner: str) -> None:
        """Notes that an order to a runner is under way."""
        self._pending.add(runner)

    def accepted(self, order: orders.Order, now_ms: float) -> None:
        """Notes that an order was accepted."""
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
        """Notes that an order was not accepted, or perhaps not.

        The runner gets no other order until `rechecked`: what is believed of it
        is wrong, and its report tells only later what is true.

        Args:
            order: The order.
            reason: What the runner said.
            now_ms: The time.
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
        """Notes that a runner was asked after an order that it refused."""
        self._pending.discard(order.runner)

    def summary(self, service: str, scope: planning.Scope) -> dict[str, str]:
        """Returns how the runners of this planner are used, for the log."""
        return fleetsummary.summary(
            self._view.groups(service).values(), self.formations.values(),
            self._view.runners_of(service), service,
            fleetsummary.PlannerState(
                lambda group: reconciliation.is_in_scope(group, scope),
                self._allocation.is_free, self._spares), scope)


def _one_order_each(
        actions: Iterable[planning.Action]) -> Iterator[planning.Action]:
    """Yields actions without a second order to a runner in one step.

    A group that is given up may be seen once more in the same step, as one
    that another planner never finished; each order names the count before it.
    """
    ordered = set()
    for action in actions:
        if isinstance(action, orders.Order):
            if action.runner in ordered:
                continue
            ordered.add(action.runner)
        yield action
