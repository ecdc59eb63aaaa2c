"""A planner with simulated runners, for the tests of planning."""

from cardamommill.domain import model, orders
from cardamommill.gateway.groups import planner, planning
from tests.gateway import builders

SCOPE = planning.Scope(frozenset({"a"}), 1, False, {})
BEFORE_TRAFFIC = planning.Scope(frozenset({"a"}), 1, True, {})
STATE = model.MemberState


def orders_of(actions, operation):
    return [
        each for each in actions
        if isinstance(each, orders.Order) and each.operation is operation
    ]


class PlannerHarness:
    """A planner and its view of simulated runners.

    A runner carries out an order only when the test calls `accept`, and at once
    then.
    """

    def __init__(self, runners, scope=SCOPE):
        self.view = builders.view(*runners)
        for known in self.view.known.values():
            known.has_exact_order_count = True
        self.planner = planner.Planner(self.view, "n")
        self.scope = scope
        self.service = builders.service()
        self.now_ms = 1000.0

    def step(self, after_ms=60.0):
        self.now_ms += after_ms
        return self.planner.step(self.service, self.scope, self.now_ms)

    def accept(self, order, state=None):
        known = self.view.known[order.runner]
        place = known.membership
        if order.operation is orders.Operation.JOIN:
            place = builders.member(order.group,
                                    order.members.index(order.runner), state or
                                    STATE.JOINING)
        elif order.operation is orders.Operation.LEAVE:
            place = None
        elif order.operation is orders.Operation.CLOSE:
            place = builders.member(order.group, 0, STATE.CLOSING)
        self.planner.sent(order.runner)
        self.view.record_order(order.runner, known.orders_begun + 1, place,
                               self.now_ms)
        self.planner.accepted(order, self.now_ms)

    def set_state(self, order, state):
        known = self.view.known[order.runner]
        place = builders.member(order.group, order.members.index(order.runner),
                                state)
        self.view.record_order(order.runner, known.orders_begun, place,
                               self.now_ms)


def warm_runners(count, name="large", start=1, domain="d0"):
    return [
        builders.runner(number, domain=domain, staged=(name,))
        for number in range(start, start + count)
    ]


def open_group(bench, number_of_members=4):
    joins = orders_of(bench.step(), orders.Operation.JOIN)[:number_of_members]
    for order in joins:
        bench.accept(order, STATE.READY)
    for order in orders_of(bench.step(), orders.Operation.OPEN):
        bench.accept(order)
    bench.step(400)
    bench.step()
    return joins
