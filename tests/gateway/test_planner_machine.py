"""Two planners that are unaware of each other, against a model of runners.

Orders are lost, delayed or answered late, and views are outdated. In all cases
no request may start in a group that was never complete, and no runner may be in
two groups.
"""

import dataclasses

import hypothesis
from hypothesis import stateful, strategies

from cardamommill.domain import model, orders
from cardamommill.gateway.fleet import fleetview
from cardamommill.gateway.groups import planner, planning
from tests.gateway import builders

STATE = model.MemberState
RUNNER_COUNT = 6


@dataclasses.dataclass
class Runner:
    """The true state of a runner, as opposed to what planners know of it.

    `row` is its row in the list of runners, which the store keeps.
    """

    number: int
    begun: int = 0
    place: model.Membership | None = None
    members: tuple[str, ...] = ()
    epoch: int = 0
    served: str = ""
    row_version: int = 1
    row: tuple = (None, "")

    @property
    def id(self):
        return f"i-{self.number}"

    def write(self):
        self.row = (self.place, self.served)
        self.row_version += 1


class Planners(stateful.RuleBasedStateMachine):
    """Both planners plan for the same data centre, each by its own view."""

    def __init__(self):
        super().__init__()
        self.now_ms = 1000.0
        self.store_up = True
        self.runners = {
            each.id: each
            for each in (Runner(number) for number in range(RUNNER_COUNT))
        }
        self.views = [fleetview.FleetView(), fleetview.FleetView()]
        self.planners = [
            planner.Planner(view, f"p{number}")
            for number, view in enumerate(self.views)
        ]
        self.ready = set()
        self.delayed = []
        self.read_lists()

    def read_lists(self):
        for which in (0, 1):
            self.read_rows(which)

    @stateful.rule(which=strategies.integers(0, 1))
    def read_list(self, which):
        self.read_rows(which)

    def read_rows(self, which):
        self.now_ms += 1
        if not self.store_up:
            return
        rows = [
            builders.runner(each.number,
                            each.row_version,
                            membership=each.row[0],
                            served=each.row[1],
                            staged=("small",))
            for each in self.runners.values()
        ]
        self.views[which].apply_list(rows, self.now_ms)

    @stateful.rule()
    def store_fails_or_returns(self):
        self.store_up = not self.store_up
        if self.store_up:
            # Both planners first read rows that date from before the outage.
            self.read_lists()
            for each in self.runners.values():
                each.write()

    @stateful.rule(wait_ms=strategies.sampled_from([20, 300, 1500, 4000]))
    def time_passes(self, wait_ms):
        self.pass_time(wait_ms)

    def pass_time(self, wait_ms):
        self.now_ms += wait_ms
        for each in self.runners.values():
            if each.place and each.place.state is STATE.JOINING:
                each.place = dataclasses.replace(each.place, state=STATE.READY)
                self.ready.add((each.id, each.place.key, each.members))
                self.write_row(each)

    @stateful.rule(which=strategies.integers(0, 1),
                   outcomes=strategies.lists(
                       strategies.sampled_from(["done"] * 9 +
                                               ["lost", "unanswered", "late"]),
                       min_size=8,
                       max_size=8))
    def plan(self, which, outcomes):
        self.plan_once(which, outcomes)

    def plan_once(self, which, outcomes):
        self.now_ms += 60
        scope = planning.Scope(frozenset({"a"}), 1, False, {})
        actions = self.planners[which].step(builders.service(), scope,
                                            self.now_ms)
        for number, action in enumerate(actions):
            if isinstance(action, planning.Probe):
                self.report(which, action.runner)
            elif isinstance(action, planning.ReadList):
                self.read_rows(which)
            elif isinstance(action, orders.Order):
                self.order(which, action, outcomes[number % len(outcomes)])

    def order(self, which, order, outcome):
        self.planners[which].sent(order.runner)
        if outcome == "late":
            self.delayed.append(order)
        status = self.carry_out(order) if outcome in ("done",
                                                      "unanswered") else 0
        view = self.views[which]
        if outcome != "done" or status not in (200, 202):
            view.record_order_refusal(order.runner, self.now_ms)
            self.planners[which].refused(order,
                                         "no",
                                         self.now_ms,
                                         may_retry=status in (0, 409) or
                                         outcome == "unanswered")
            self.now_ms += 230
            self.report(which, order.runner)
            self.planners[which].rechecked(order)
            return
        known = view.known[order.runner]
        left = order.operation is orders.Operation.LEAVE
        place = known.membership
        if order.operation is orders.Operation.JOIN:
            place = builders.member(order.group,
                                    order.members.index(order.runner),
                                    STATE.JOINING)
        view.record_order(order.runner,
                          known.orders_begun + (status == 202 or left),
                          None if left else place, self.now_ms)
        self.planners[which].accepted(order, self.now_ms)

    @stateful.rule()
    def delayed_order_arrives(self):
        if self.delayed:
            self.carry_out(self.delayed.pop(0))

    @stateful.rule(which=strategies.integers(0, 1),
                   rounds=strategies.integers(1, 5))
    def plan_without_faults(self, which, rounds):
        for _ in range(rounds):
            self.plan_once(which, ["done"])
            self.pass_time(1500)
            self.read_rows(which)
            for number in range(RUNNER_COUNT):
                self.report(which, f"i-{number}")

    @stateful.rule(which=strategies.integers(0, 1),
                   number=strategies.integers(0, RUNNER_COUNT - 1))
    def probe(self, which, number):
        self.report(which, f"i-{number}")

    @stateful.rule(which=strategies.integers(0, 1),
                   number=strategies.integers(0, RUNNER_COUNT - 1))
    def probe_gets_no_answer(self, which, number):
        self.views[which].record_no_answer(f"i-{number}", self.now_ms)

    def report(self, which, runner_id):
        runner = self.runners[runner_id]
        self.views[which].apply_report(
            runner_id, builders.report(runner.begun, runner.place,
                                       runner.served), self.now_ms, 200.0)

    def write_row(self, runner):
        if self.store_up:
            runner.write()

    def carry_out(self, order):
        runner = self.runners[order.runner]
        is_leave = order.operation is orders.Operation.LEAVE
        if is_leave and (runner.place is None or
                         runner.place.key != order.group):
            # The runner is not in the group, so nothing changes. The platform's
            # documentation leaves open whether a runner checks the count before
            # that.
            return 200
        if order.expected_seq is not None and (order.expected_seq
                                               != runner.begun):
            return 409
        return getattr(self, order.operation.value)(runner, order)

    def join(self, runner, order):
        key = order.group
        if key.epoch < runner.epoch:
            return 412
        if runner.place is not None and runner.place.key == key:
            return 200
        if runner.place is not None:
            head = next(
                (each for each in self.runners.values() if each.place and
                 each.place.key == runner.place.key and not each.place.rank),
                None)
            assert head is None or head.place.state is not STATE.OPEN, (
                f"{runner.id} joined {key} while {runner.place.key} was open")
        runner.epoch = key.epoch
        runner.begun += 1
        runner.served = order.model
        runner.members = order.members
        runner.place = builders.member(key, order.members.index(runner.id),
                                       STATE.JOINING)
        self.write_row(runner)
        return 202

    def open(self, runner, order):
        place = runner.place
        if place is None or place.key != order.group or place.rank:
            return 409
        if place.state is not STATE.READY:
            return 409
        runner.begun += 1
        runner.place = dataclasses.replace(place, state=STATE.OPEN)
        for member in runner.members:
            assert (member, place.key, runner.members) in self.ready, (
                f"{place.key} opened before {member} was ready")
        self.write_row(runner)
        return 202

    def leave(self, runner, order):
        if runner.place is not None and runner.place.key == order.group:
            runner.place = None
            runner.begun += 1
            self.write_row(runner)
        return 200

    def stage(self, runner, order):
        del order
        runner.begun += 1
        return 202


TestPlanners = Planners.TestCase
TestPlanners.settings = hypothesis.settings(max_examples=150,
                                            stateful_step_count=50,
                                            deadline=None)
