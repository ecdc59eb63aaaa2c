"""Tests of ending and adopting existing groups, and of probing runners."""

import pytest

from cardamommill.domain import model, orders
from cardamommill.gateway.fleet import inflight
from cardamommill.gateway.groups import planning
from tests.gateway import builders, planners


def test_members_leave_before_they_join_again():
    # A member dies; the head still accepts requests but makes no progress. Each
    # living member must leave by its own order before it joins another group,
    # or it would be in two.
    bench = planners.PlannerHarness(planners.warm_runners(5))
    joins = planners.open_group(bench)
    bench.view.record_no_answer(joins[2].runner, bench.now_ms)
    leaves = planners.orders_of(bench.step(), orders.Operation.LEAVE)
    assert {each.runner for each in leaves
           } == {each.runner for each in joins} - {joins[2].runner}
    assert not planners.orders_of(bench.step(), orders.Operation.JOIN)
    for order in leaves:
        bench.accept(order)
    again = planners.orders_of(bench.step(), orders.Operation.JOIN)
    assert len(again) == 4
    assert joins[2].runner not in {each.runner for each in again}
    assert all(each.group.epoch > joins[0].group.epoch for each in again)


def test_unlisted_member_does_not_end_its_group():
    # It may have lost only its connection to the store; its group still serves.
    bench = planners.PlannerHarness(planners.warm_runners(5))
    joins = planners.open_group(bench)
    gone = joins[2].runner
    remaining = [each for each in planners.warm_runners(5) if each.id != gone]
    bench.view.apply_list(remaining, bench.now_ms + 10)
    actions = bench.step()
    assert not planners.orders_of(actions, orders.Operation.LEAVE)
    assert planning.Probe(gone, "left the list") in actions


def test_head_whose_entry_expired_keeps_its_group():
    """The store was down; the head registers again within two seconds."""
    bench = planners.PlannerHarness(planners.warm_runners(5))
    joins = planners.open_group(bench)
    head = joins[0].runner
    others = [each for each in planners.warm_runners(5) if each.id != head]
    bench.view.apply_list(others, bench.now_ms + 10)
    actions = bench.step()
    assert not planners.orders_of(actions, orders.Operation.LEAVE)
    assert planning.Probe(head, "left the list") in actions
    assert not planners.orders_of(bench.step(2000), orders.Operation.LEAVE)
    assert planners.orders_of(bench.step(1000), orders.Operation.LEAVE)


def test_group_with_a_leaving_member_ends_when_it_has_no_requests():
    bench = planners.PlannerHarness(planners.warm_runners(5))
    joins = planners.open_group(bench)
    leaving = [
        builders.runner(int(each.id[2:]),
                        2,
                        leaving=each.id == joins[1].runner,
                        staged=("large",)) for each in planners.warm_runners(5)
    ]
    bench.view.apply_list(leaving, bench.now_ms + 10)
    bench.scope = planning.Scope(frozenset({"a"}), 1, False,
                                 {joins[0].group: inflight.GroupLoad(3)})
    assert not planners.orders_of(bench.step(1500), orders.Operation.LEAVE)
    bench.scope = planners.SCOPE
    assert planners.orders_of(bench.step(), orders.Operation.LEAVE)


def test_formation_of_a_dead_planner_is_adopted():
    key = model.GroupKey("other-1", 5)
    members = [
        builders.runner(number + 1,
                        membership=builders.member(key, number,
                                                   planners.STATE.READY),
                        served="large",
                        staged=("large",)) for number in range(4)
    ]
    bench = planners.PlannerHarness(members)
    bench.step()
    assert not planners.orders_of(bench.step(1000), orders.Operation.OPEN)
    bench.step(3000)
    (opened,) = planners.orders_of(bench.step(), orders.Operation.OPEN)
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
    bench = planners.PlannerHarness(members)
    for _ in range(100):
        assert not [
            each for each in bench.step() if isinstance(each, orders.Order)
        ]


def test_runners_with_unknown_order_count_are_probed_first():
    """Guards against joins with guessed order counts.

    A restarted planner finds spares that its predecessor staged. They refuse a
    join with a guessed count, and each refusal ends the formation of a whole
    group.
    """
    bench = planners.PlannerHarness(planners.warm_runners(4))
    for known in bench.view.known.values():
        known.has_exact_order_count = False
    actions = bench.step()
    assert not planners.orders_of(actions, orders.Operation.JOIN)
    assert {
        each.runner for each in actions if isinstance(each, planning.Probe)
    } == {"i-1", "i-2", "i-3", "i-4"}
    for known in list(bench.view.known.values()):
        report = builders.report(7)
        bench.view.apply_report(known.runner.id, report, bench.now_ms, 0.0)
    bench.view.known["i-1"].status = planners.warm_runners(1)[0].status
    joins = planners.orders_of(bench.step(), orders.Operation.JOIN)
    assert all(each.expected_seq == 7 for each in joins)


def test_group_is_not_ended_by_probes_before_another_members_recovery():
    """Guards against dissolving healthy groups after a partition.

    The members of a data centre that was cut off become reachable one by one.
    One answers; the others were last probed during the partition. They are
    probed again, and the group goes on.
    """
    bench = planners.PlannerHarness(planners.warm_runners(5))
    joins = planners.open_group(bench)
    group = [bench.view.known[each.runner] for each in joins]
    for each in group:
        bench.view.record_no_answer(each.runner.id, bench.now_ms)
    bench.now_ms += 1000
    report = builders.report(3, group[0].membership, "large")
    bench.view.apply_report(group[0].runner.id, report, bench.now_ms, 0.0)
    actions = bench.step()
    assert not planners.orders_of(actions, orders.Operation.LEAVE)
    asked = {
        each.runner for each in actions if isinstance(each, planning.Probe)
    }
    assert asked == {each.runner.id for each in group[1:]}
    for each in group[1:]:
        bench.view.record_no_answer(each.runner.id, bench.now_ms)
    assert planners.orders_of(bench.step(), orders.Operation.LEAVE)


def test_members_are_probed_if_nothing_else_would_reveal_their_death():
    """Guards against a dead member that stays unnoticed while nothing runs.

    The store is unavailable, so the list is stale, and the keys of callers are
    no longer trusted, so no request runs whose silence could be noticed. A
    member dies: its group must be formed again before requests are admitted
    again.
    """
    bench = planners.PlannerHarness(planners.warm_runners(5))
    joins = planners.open_group(bench)
    bench.view.list_as_of_ms = bench.now_ms - bench.view.list_stale_ms - 1
    asked = probed(bench.step())
    assert asked == {each.runner for each in joins}
    bench.view.record_no_answer(joins[1].runner, bench.now_ms)
    assert planners.orders_of(bench.step(), orders.Operation.LEAVE)


@pytest.mark.parametrize("is_stale", [False, True])
def test_members_are_not_probed_if_the_list_or_requests_observe_them(is_stale):
    bench = planners.PlannerHarness(planners.warm_runners(5))
    joins = planners.open_group(bench)
    loads_now = {joins[0].group: inflight.GroupLoad(2)} if is_stale else {}
    bench.scope = planning.Scope(frozenset({"a"}), 1, False, loads_now)
    age_ms = bench.view.list_stale_ms + 1 if is_stale else 0.0
    bench.view.list_as_of_ms = bench.now_ms - age_ms
    assert not probed(bench.step())


def probed(actions):
    return {each.runner for each in actions if isinstance(each, planning.Probe)}
