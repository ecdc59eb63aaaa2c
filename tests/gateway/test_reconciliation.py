"""Tests of what becomes of groups that stand, and of who is asked."""

import pytest

from cardamommill.gateway import inflight, model, orders, planning
from tests.gateway import builders, planners


def test_members_leave_before_they_join_again():
    # A member dies; the head goes on accepting and stands still. Each living
    # member must leave by its own word before it joins another group, or it
    # would be in two.
    bench = planners.Bench(planners.warm(5))
    joins = planners.standing(bench)
    bench.view.record_no_answer(joins[2].runner, bench.now_ms)
    leaves = planners.ordered(bench.step(), orders.Operation.LEAVE)
    assert {each.runner for each in leaves
           } == {each.runner for each in joins} - {joins[2].runner}
    assert not planners.ordered(bench.step(), orders.Operation.JOIN)
    for order in leaves:
        bench.accept(order)
    again = planners.ordered(bench.step(), orders.Operation.JOIN)
    assert len(again) == 4
    assert joins[2].runner not in {each.runner for each in again}
    assert all(each.group.epoch > joins[0].group.epoch for each in again)


def test_member_that_left_only_the_list_does_not_end_its_group():
    # It may be cut from the store alone; its group serves on.
    bench = planners.Bench(planners.warm(5))
    joins = planners.standing(bench)
    gone = joins[2].runner
    left = [each for each in planners.warm(5) if each.id != gone]
    bench.view.apply_list(left, bench.now_ms + 10)
    actions = bench.step()
    assert not planners.ordered(actions, orders.Operation.LEAVE)
    assert planning.Probe(gone, "left the list") in actions


def test_group_with_a_leaving_member_ends_when_it_is_empty():
    bench = planners.Bench(planners.warm(5))
    joins = planners.standing(bench)
    leaving = [
        builders.runner(int(each.id[2:]),
                        2,
                        leaving=each.id == joins[1].runner,
                        staged=("large",)) for each in planners.warm(5)
    ]
    bench.view.apply_list(leaving, bench.now_ms + 10)
    bench.scope = planning.Scope(frozenset({"a"}), 1, False,
                                 {joins[0].group: inflight.GroupLoad(3)})
    assert not planners.ordered(bench.step(1500), orders.Operation.LEAVE)
    bench.scope = planners.SCOPE
    assert planners.ordered(bench.step(), orders.Operation.LEAVE)


def test_formation_of_a_dead_planner_is_adopted():
    key = model.GroupKey("other-1", 5)
    members = [
        builders.runner(number + 1,
                        membership=builders.member(key, number,
                                                   planners.STATE.READY),
                        served="large",
                        staged=("large",)) for number in range(4)
    ]
    bench = planners.Bench(members)
    bench.step()
    assert not planners.ordered(bench.step(1000), orders.Operation.OPEN)
    bench.step(3000)
    (opened,) = planners.ordered(bench.step(), orders.Operation.OPEN)
    assert opened.runner == "i-1" and opened.group == key


def test_open_group_of_a_dead_planner_is_left_alone():
    key = model.GroupKey("other-1", 5)
    states = [planners.STATE.OPEN] + [planners.STATE.READY] * 3
    members = [
        builders.runner(number + 1,
                        membership=builders.member(key, number, state),
                        served="large",
                        staged=("large",))
        for number, state in enumerate(states)
    ]
    bench = planners.Bench(members)
    for _ in range(100):
        assert not [
            each for each in bench.step() if isinstance(each, orders.Order)
        ]


def test_runners_whose_count_of_orders_is_a_guess_are_asked_first():
    """A planner starts anew and finds spares that its predecessor staged.

    Joined on a guessed count they refuse, and each refusal ends the forming of
    a whole group.
    """
    bench = planners.Bench(planners.warm(4))
    for known in bench.view.known.values():
        known.has_exact_order_count = False
    actions = bench.step()
    assert not planners.ordered(actions, orders.Operation.JOIN)
    assert {
        each.runner for each in actions if isinstance(each, planning.Probe)
    } == {"i-1", "i-2", "i-3", "i-4"}
    for known in list(bench.view.known.values()):
        report = builders.report(7)
        bench.view.apply_report(known.runner.id, report, bench.now_ms, 0.0)
    bench.view.known["i-1"].status = planners.warm(1)[0].status
    joins = planners.ordered(bench.step(), orders.Operation.JOIN)
    assert all(each.expected_seq == 7 for each in joins)


def test_group_is_not_ended_by_silence_from_before_another_members_return():
    """A data centre that was cut off comes back, member by member.

    One answers; the others were asked last while the link was cut. They are
    asked anew, and the group that was well all the while goes on.
    """
    bench = planners.Bench(planners.warm(5))
    joins = planners.standing(bench)
    group = [bench.view.known[each.runner] for each in joins]
    for each in group:
        bench.view.record_no_answer(each.runner.id, bench.now_ms)
    bench.now_ms += 1000
    report = builders.report(3, group[0].membership, "large")
    bench.view.apply_report(group[0].runner.id, report, bench.now_ms, 0.0)
    actions = bench.step()
    assert not planners.ordered(actions, orders.Operation.LEAVE)
    asked = {
        each.runner for each in actions if isinstance(each, planning.Probe)
    }
    assert asked == {each.runner.id for each in group[1:]}
    for each in group[1:]:
        bench.view.record_no_answer(each.runner.id, bench.now_ms)
    assert planners.ordered(bench.step(), orders.Operation.LEAVE)


def test_members_are_asked_while_nothing_else_would_tell_of_their_death():
    """The store is away, and with it the list; keys are no longer trusted.

    No request is at any group, so none can be found silent. A member dies: its
    group must be formed anew by the time that requests are let in again.
    """
    bench = planners.Bench(planners.warm(5))
    joins = planners.standing(bench)
    bench.view.list_as_of_ms = bench.now_ms - bench.view.list_stale_ms - 1
    asked = probed(bench.step())
    assert asked == {each.runner for each in joins}
    bench.view.record_no_answer(joins[1].runner, bench.now_ms)
    assert planners.ordered(bench.step(), orders.Operation.LEAVE)


@pytest.mark.parametrize("is_stale", [False, True])
def test_members_are_not_asked_where_the_list_or_requests_tell(is_stale):
    bench = planners.Bench(planners.warm(5))
    joins = planners.standing(bench)
    loads_now = {joins[0].group: inflight.GroupLoad(2)} if is_stale else {}
    bench.scope = planning.Scope(frozenset({"a"}), 1, False, loads_now)
    age_ms = bench.view.list_stale_ms + 1 if is_stale else 0.0
    bench.view.list_as_of_ms = bench.now_ms - age_ms
    assert not probed(bench.step())


def probed(actions):
    return {each.runner for each in actions if isinstance(each, planning.Probe)}
