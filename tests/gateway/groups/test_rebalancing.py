"""Tests of moving groups between models as the work shifts."""

import dataclasses

from cardamommill.domain import model, orders
from cardamommill.gateway.fleet import inflight
from cardamommill.gateway.groups import demand, planning
from tests.gateway import builders, planners

STATE = model.MemberState
orders_of = planners.orders_of
LARGE_GROUPS = [model.GroupKey(f"l{each}", each) for each in range(1, 4)]
SMALL_GROUPS = [model.GroupKey(f"s{each}", each + 10) for each in range(1, 4)]
PLACES = ("a", "b")


def group(key, name, start, size, **changes):
    return [
        builders.runner(start + rank,
                        served=name,
                        staged=(name,),
                        membership=builders.member(
                            key, rank,
                            STATE.OPEN if rank == 0 else STATE.READY),
                        **changes) for rank in range(size)
    ]


def runners(large_groups=3, place="a"):
    """Returns runners of some large groups and three small ones."""
    found = []
    for number, key in enumerate(LARGE_GROUPS[:large_groups]):
        found += group(key, "large", 1 + 10 * number, 4, place=place)
    for number, key in enumerate(SMALL_GROUPS):
        found += group(key, "small", 41 + 10 * number, 3, place=place)
    return found


def scope(large, small, place="a"):
    """Returns a scope with this many requests at each group of a model."""
    loads = {key: inflight.GroupLoad(large) for key in LARGE_GROUPS}
    loads |= {key: inflight.GroupLoad(small) for key in SMALL_GROUPS}
    loads[LARGE_GROUPS[1]] = inflight.GroupLoad(max(0, large - 1))
    return planning.Scope(frozenset({place}), 2, False, loads, PLACES)


def bench(large, small, **changes):
    """Returns a planner that has observed these loads for some seconds."""
    planner_bench = planners.PlannerHarness(runners(**changes),
                                            scope(large, small))
    for _ in range(2):
        planner_bench.step(1000.0)
    return planner_bench


def stage_until_closed(planner_bench):
    """Carries out all load orders until a group is closed."""
    told = []
    for _ in range(20):
        for order in orders_of(planner_bench.step(500.0),
                               orders.Operation.STAGE):
            planner_bench.accept(order)
            known = planner_bench.view.known[order.runner]
            known.status = dataclasses.replace(known.status,
                                               staged=(order.model,))
            told.append(order.runner)
        if closes_of(planner_bench):
            break
    return told


def closes_of(planner_bench):
    """Runs a step; returns its close orders and keeps them as `closes`."""
    planner_bench.closes = orders_of(planner_bench.step(100.0),
                                     orders.Operation.CLOSE)
    return planner_bench.closes


def test_least_loaded_group_of_the_idle_model_moves_to_the_busy_one():
    """Guards against shares that no longer match the work.

    The groups of the small model are nearly full, and one failure makes all its
    callers late, while those of the large model are nearly idle.
    """
    planner_bench = bench(large=1, small=12)
    told = stage_until_closed(planner_bench)
    assert sorted(told) == ["i-11", "i-12", "i-13", "i-14"]
    assert [each.group for each in planner_bench.closes] == [LARGE_GROUPS[1]]
    planner_bench.accept(planner_bench.closes[0])
    known = planner_bench.view.known[planner_bench.closes[0].runner]
    planner_bench.view.record_order(
        known.runner.id, known.orders_begun,
        builders.member(LARGE_GROUPS[1], 0, STATE.READY), planner_bench.now_ms)
    actions = planner_bench.step()
    leaves = orders_of(actions, orders.Operation.LEAVE)
    assert len(leaves) == 4
    for each in leaves:
        planner_bench.accept(each)
    joins = orders_of(planner_bench.step(), orders.Operation.JOIN)
    assert {each.model for each in joins} == {"small"}
    assert {each.runner for each in joins} < set(told)


def test_refused_load_is_retried():
    planner_bench = bench(large=1, small=12)
    first = orders_of(planner_bench.step(1000.0), orders.Operation.STAGE)[0]
    planner_bench.planner.sent(first.runner)
    planner_bench.planner.refused(first, "busy", planner_bench.now_ms)
    planner_bench.planner.rechecked(first)
    again = [
        each.runner
        for _ in range(6)
        for each in orders_of(planner_bench.step(500.0), orders.Operation.STAGE)
    ]
    assert first.runner in again


def test_group_serves_until_all_its_members_hold_the_other_model():
    planner_bench = bench(large=1, small=12)
    actions = [each for _ in range(10) for each in planner_bench.step(500.0)]
    assert not orders_of(actions, orders.Operation.CLOSE)
    assert not orders_of(actions, orders.Operation.LEAVE)


def test_nothing_changes_if_groups_are_equally_utilised():
    assert not stage_until_closed(bench(large=6, small=8))


def test_nothing_changes_while_the_busy_model_has_room():
    assert not stage_until_closed(bench(large=0, small=3))


def test_last_group_of_a_data_centre_stays():
    assert not stage_until_closed(bench(large=1, small=12, large_groups=1))


def test_declared_shares_count_until_enough_requests_were_observed():
    planner_bench = planners.PlannerHarness(runners(), scope(1, 12))
    assert not orders_of(planner_bench.step(), orders.Operation.STAGE)


def test_group_that_loses_a_member_meanwhile_is_not_closed():
    planner_bench = bench(large=1, small=12)
    for order in orders_of(planner_bench.step(500.0), orders.Operation.STAGE):
        planner_bench.accept(order)
    planner_bench.view.record_no_answer("i-12", planner_bench.now_ms)
    planner_bench.step(100.0)
    planner_bench.now_ms += 100.0
    assert not closes_of(planner_bench)


def two_data_centres(place):
    """Returns a planner of one of two equal data centres of six groups."""
    found, loads = [], {}
    for index, where in enumerate(PLACES):
        for number in range(6):
            name, size, count = (("large", 4, 5), ("small", 3, 9))[number % 2]
            key = model.GroupKey(f"{where}{number}", 1 + number)
            found += group(key,
                           name,
                           100 * index + 10 * number,
                           size,
                           place=where)
            loads[key] = inflight.GroupLoad(count)
    planner_bench = planners.PlannerHarness(
        found, planning.Scope(frozenset({place}), 2, False, loads, PLACES))
    for _ in range(2):
        planner_bench.step(1000.0)
    return planner_bench


def test_data_centres_do_not_all_move_a_group_for_the_same_need():
    """The planners of all data centres see the same loads at the same time."""
    assert stage_until_closed(two_data_centres("a"))
    assert not stage_until_closed(two_data_centres("b"))


def test_shares_follow_the_work_but_not_below_half_of_what_is_declared():
    estimator = demand.DemandEstimator()
    view = builders.view(*runners())
    engine = builders.engine()
    for second in range(6):
        estimator.observe("llm", engine, view.groups("llm"), scope(0, 12),
                          1000.0 * second)
    shares = {
        each.name: each.share
        for each in estimator.engine("llm", engine, 6000.0).models
    }
    assert shares["large"] < builders.LARGE.share
    assert shares["large"] >= 0.5 * builders.LARGE.share
    assert abs(sum(shares.values()) - 1) < 1e-9
    assert shares["small"] > builders.SMALL.share


def test_model_that_lost_all_its_groups_keeps_its_average():
    estimator = demand.DemandEstimator()
    engine = builders.engine()
    view = builders.view(*runners())
    for second in range(6):
        estimator.observe("llm", engine, view.groups("llm"), scope(4, 4),
                          1000.0 * second)
    only_small = {
        key: each
        for key, each in view.groups("llm").items()
        if key in SMALL_GROUPS
    }
    for second in range(6, 20):
        estimator.observe("llm", engine, only_small, scope(4, 4),
                          1000.0 * second)
    assert estimator.requests("llm", "large") > 10


def undeclared():
    return tuple(
        dataclasses.replace(each, share=0.0)
        for each in builders.engine().models)


def test_groups_are_formed_if_no_shares_are_declared():
    blank = [builders.runner(number) for number in range(1, 10)]
    planner_bench = planners.PlannerHarness(blank, planners.BEFORE_TRAFFIC)
    planner_bench.service = builders.service(models=undeclared())
    assert orders_of(planner_bench.step(), orders.Operation.JOIN)


def test_shares_follow_the_work_if_none_are_declared():
    estimator = demand.DemandEstimator()
    engine = builders.engine(models=undeclared())
    groups = builders.view(*runners()).groups("llm")
    for second in range(6):
        estimator.observe("llm", engine, groups, scope(3, 12), 1000.0 * second)
    shares = {
        each.name: each.share
        for each in estimator.engine("llm", engine, 6000.0).models
    }
    assert 0 < shares["large"] < shares["small"]
