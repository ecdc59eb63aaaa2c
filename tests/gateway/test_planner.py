"""Tests of how groups are kept standing."""

from cardamommill.gateway import formations, orders, planning
from tests.gateway import builders, planners


def test_head_is_opened_only_when_all_members_were_seen_ready():
    # Were the head opened earlier, requests would begin to run in a group
    # that is not whole; nobody but the planner looks at the other members.
    bench = planners.Bench(planners.warm(5))
    joins = planners.ordered(bench.step(), orders.Operation.JOIN)
    assert len(joins) == 4
    for order in joins:
        bench.accept(order)
    for order in joins[:3]:
        bench.become(order, planners.STATE.READY)
    assert not planners.ordered(bench.step(3000), orders.Operation.OPEN)
    bench.become(joins[3], planners.STATE.READY)
    opens = planners.ordered(bench.step(), orders.Operation.OPEN)
    assert [each.runner for each in opens] == [joins[0].runner]


def test_members_are_asked_where_the_list_does_not_come():
    # The planner's node is cut off from the store while a group forms. Its
    # members are ready and say so only in the list; nobody opens the group.
    bench = planners.Bench(planners.warm(5))
    for order in planners.ordered(bench.step(), orders.Operation.JOIN):
        bench.accept(order)
    actions = bench.step(3000)
    probes = [each for each in actions if isinstance(each, planning.Probe)]
    assert len(probes) == 4


def test_every_join_names_the_count_of_orders():
    bench = planners.Bench(planners.warm(5))
    for number in range(1, 6):
        bench.view.known[f"i-{number}"].orders_begun = 10 + number
    for order in planners.ordered(bench.step(), orders.Operation.JOIN):
        assert order.expected_seq == 10 + int(order.runner[2:])


def test_names_of_groups_are_never_used_twice():
    bench = planners.Bench(planners.warm(9))
    keys = {
        each.group
        for each in planners.ordered(bench.step(), orders.Operation.JOIN)
    }
    assert len({each.name for each in keys}) == len(keys) == 2
    assert len({each.epoch for each in keys}) == 2


def test_group_is_announced_when_its_head_serves():
    bench = planners.Bench(planners.warm(5))
    planners.standing(bench)
    (group,) = bench.view.groups("llm").values()
    assert group.is_open
    assert not bench.planner.formations


def test_refused_join_ends_the_formation_and_holds_the_runner_back():
    # What is believed of the runner is wrong, and its report tells only some
    # hundred ms later what is true: asked at once, it was ordered forty times.
    bench = planners.Bench(planners.warm(4))
    joins = planners.ordered(bench.step(), orders.Operation.JOIN)
    for order in joins[1:]:
        bench.accept(order)
    bench.planner.sent(joins[0].runner)
    bench.planner.refused(joins[0], "unfit", bench.now_ms)
    actions = bench.step()
    assert len(planners.ordered(actions, orders.Operation.LEAVE)) == 3
    assert not bench.planner.formations
    for order in planners.ordered(actions, orders.Operation.LEAVE):
        bench.accept(order)
    assert not planners.ordered(bench.step(), orders.Operation.JOIN)
    bench.planner.rechecked(joins[0])
    assert len(planners.ordered(bench.step(), orders.Operation.JOIN)) == 4


def test_runners_elsewhere_are_not_ordered():
    bench = planners.Bench(
        [builders.runner(number, place="b") for number in range(9)])
    assert not bench.step()


def test_list_is_looked_at_when_members_are_due_and_seldom_once_they_are_late():
    """One member's order was lost; the group waits for it, for seconds.

    Read each 120 ms from before they were due, the list of large fleets cost
    more calls than all else that a planner does.
    """
    bench = planners.Bench(planners.warm(4))
    bench.view.list_as_of_ms = 1e9
    joins = planners.ordered(bench.step(), orders.Operation.JOIN)
    for order in joins:
        bench.accept(order)
    (formation,) = bench.planner.formations.values()
    looked_ms = []
    while bench.now_ms < formation.due_ms + 2500:
        if any(
                isinstance(each, planning.ReadList)
                for each in bench.step(20.0)):
            looked_ms.append(bench.now_ms - formation.due_ms)
    assert -100 <= looked_ms[0] <= -80
    assert sum(at_ms < 600 for at_ms in looked_ms) >= 5
    assert len(looked_ms) <= 10


def begun_with_one_unanswered(times):
    """Returns a bench whose first member left so many joins unanswered."""
    bench = planners.Bench(planners.warm(4))
    joins = planners.ordered(bench.step(), orders.Operation.JOIN)
    for order in joins[1:]:
        bench.accept(order, planners.STATE.READY)
    order = joins[0]
    for _ in range(times):
        bench.planner.sent(order.runner)
        bench.planner.refused(order, "unknown", bench.now_ms, may_retry=True)
        assert not planners.ordered(bench.step(), orders.Operation.JOIN)
        bench.planner.rechecked(order)
        again = planners.ordered(bench.step(), orders.Operation.JOIN)
        if not again:
            return bench, None
        (order,) = again
        assert order.runner == joins[0].runner
        assert order.group == joins[0].group
    return bench, order


def test_join_that_was_not_answered_is_ordered_again():
    """Workers leave one order in three unanswered for some seconds.

    A group of 32 needs as many answers: given up for the first that is missing
    its members were all ordered to leave, and the next ones fared no better.
    """
    bench, order = begun_with_one_unanswered(2)
    (formation,) = bench.planner.formations.values()
    bench.accept(order)
    assert formation.due_ms >= bench.now_ms + 1000
    bench.become(order, planners.STATE.READY)
    assert planners.ordered(bench.step(), orders.Operation.OPEN)


def test_join_that_was_carried_out_without_an_answer_is_not_ordered_again():
    bench = planners.Bench(planners.warm(4))
    joins = planners.ordered(bench.step(), orders.Operation.JOIN)
    for order in joins[1:]:
        bench.accept(order, planners.STATE.READY)
    bench.planner.sent(joins[0].runner)
    bench.planner.refused(joins[0], "unknown", bench.now_ms, may_retry=True)
    bench.become(joins[0], planners.STATE.READY)
    bench.planner.rechecked(joins[0])
    actions = bench.step()
    assert not planners.ordered(actions, orders.Operation.JOIN)
    assert planners.ordered(actions, orders.Operation.OPEN)


def test_group_is_given_up_for_a_member_that_never_answers():
    bench, order = begun_with_one_unanswered(formations.MAX_JOIN_ATTEMPTS)
    assert order is None
    assert not [
        each for each in bench.planner.formations.values()
        if "i-1" in each.members
    ]


def test_leaving_is_ordered_once_and_under_the_count_that_is_believed():
    """Two planners hear none of each other; each thinks the group its own.

    One gives its formation up, which the same look finds again as one that was
    never whole. The other has long formed the members anew: a leave that leaves
    nothing was counted twice, made up for the other's orders, and the next join
    took a member out of the other's open group.
    """
    bench = planners.Bench(planners.warm(4))
    joins = planners.ordered(bench.step(), orders.Operation.JOIN)
    for order in joins:
        bench.accept(order, planners.STATE.READY)
    counts = {
        each.runner.id: each.orders_begun for each in bench.view.known.values()
    }
    bench.step(3000)
    bench.view.record_no_answer("i-4", bench.now_ms)
    actions = bench.step(3000)
    leaves = planners.ordered(actions, orders.Operation.LEAVE)
    assert sorted(each.runner for each in leaves) == ["i-1", "i-2", "i-3"]
    assert all(each.expected_seq == counts[each.runner] for each in leaves)
    ordered = [
        each.runner for each in actions if isinstance(each, orders.Order)
    ]
    assert len(ordered) == len(set(ordered))
