"""Tests of planning while a data centre is evacuated."""

import dataclasses

import pytest

from cardamommill.domain import model, orders
from cardamommill.gateway.groups import overload, planning
from tests.gateway import builders, planners

STATE = model.MemberState
EVACUATED = frozenset({"b"})
KEY = model.GroupKey("g", 1)
ELSEWHERE = model.GroupKey("h", 2)


def group(key, start, place, states=(STATE.OPEN, *3 * (STATE.READY,))):
    return [
        builders.runner(start + rank,
                        place=place,
                        served="large",
                        staged=("large",),
                        membership=builders.member(key, rank, state))
        for rank, state in enumerate(states)
    ]


def spares(start, place, count=4):
    return [
        builders.runner(start + number, place=place, staged=("large",))
        for number in range(count)
    ]


def blank(start, place, count=4):
    return [
        builders.runner(start + number, place=place) for number in range(count)
    ]


def scope(data_centres, evacuated=EVACUATED):
    return planning.Scope(frozenset(data_centres),
                          2,
                          False, {}, ("a", "b"),
                          evacuated=evacuated)


def orders_after(runners, data_centres, evacuated, steps=12):
    """Returns the orders of some seconds, none of which is carried out."""
    bench = planners.PlannerHarness(runners, scope(data_centres, evacuated))
    found = []
    for _ in range(steps):
        found += [
            each for each in bench.step(500.0)
            if isinstance(each, orders.Order)
        ]
    return found


@pytest.mark.parametrize("runners", [
    spares(1, "b"),
    blank(1, "b", 9),
    group(KEY, 1, "b", (STATE.BROKEN, *3 * (STATE.READY,))),
    group(KEY, 1, "b", (STATE.READY, STATE.READY)),
    group(KEY, 1, "b", 4 * (STATE.READY,)),
],
                         ids=["form", "stage", "end", "incomplete", "adopt"])
def test_no_order_is_sent_to_an_evacuated_data_centre(runners):
    """Guards against each kind of order that planning would send there."""
    assert orders_after(runners, "b", frozenset())
    assert not orders_after(runners, "b", EVACUATED)


def test_formation_stands_still_and_is_adopted_when_the_data_centre_is_back():
    """Guards against a group that opens, or that is lost for good."""
    bench = planners.PlannerHarness(spares(1, "b"), scope("b", frozenset()))
    joins = planners.orders_of(bench.step(), orders.Operation.JOIN)
    for order in joins:
        bench.accept(order, STATE.READY)
    # The list shows the members, with their model, as ready.
    members = group(joins[0].group, 1, "b", 4 * (STATE.READY,))
    bench.view.apply_list(
        [dataclasses.replace(each, row_version=2) for each in members],
        bench.now_ms)
    bench.scope = scope("b")
    for _ in range(8):
        assert not bench.step(500.0)
    bench.scope = scope("b", frozenset())
    sent = [
        each for _ in range(8) for each in bench.step(500.0)
        if isinstance(each, orders.Order)
    ]
    assert {(each.operation, each.group) for each in sent
           } == {(orders.Operation.OPEN, joins[0].group)}


def test_spares_elsewhere_become_groups_at_once():
    """Guards against spares that wait until requests are late."""
    runners = [*group(KEY, 1, "a"), *spares(5, "a"), *group(ELSEWHERE, 21, "b")]
    assert not orders_after(runners, "a", frozenset(), steps=1)
    joins = orders_after(runners, "a", EVACUATED, steps=1)
    assert [each.operation for each in joins] == 4 * [orders.Operation.JOIN]
    assert {each.runner for each in joins} == {f"i-{n}" for n in range(5, 9)}


def test_data_centre_that_is_back_is_planned_as_before():
    """Guards against an evacuation that outlasts its row for planners."""
    bench = planners.PlannerHarness(spares(1, "b"), scope("b"))
    assert not bench.step()
    bench.scope = scope("b", frozenset())
    assert len(planners.orders_of(bench.step(), orders.Operation.JOIN)) == 4


def test_model_whose_groups_are_all_evacuated_is_overloaded():
    """Guards against groups that serve nobody and count as capacity."""
    detector = overload.OverloadDetector()
    groups = builders.view(*group(KEY, 1, "b")).groups("llm")
    detector.observe("llm", builders.engine(), groups, scope("a"), 1000.0)
    assert detector.is_overloaded("large")
    back = dataclasses.replace(scope("a"), evacuated=frozenset())
    detector.observe("llm", builders.engine(), groups, back, 1000.0)
    assert not detector.is_overloaded("large")


def test_evacuated_groups_do_not_count_for_the_share_of_their_model():
    """Guards against groups elsewhere that are moved to another model."""
    groups = builders.view(*group(KEY, 1, "a"), *group(ELSEWHERE, 21,
                                                       "b")).groups("llm")
    assert set(scope("a").active_groups(groups)) == {KEY}
    assert scope("a", frozenset()).active_groups(groups) is groups


def test_group_across_data_centres_is_left_alone_if_one_is_evacuated():
    """Guards against orders by way of the other data centre's planner."""
    runners = group(KEY, 1, "a", (STATE.BROKEN, STATE.READY))
    runners += [
        builders.runner(3 + rank,
                        place="b",
                        served="large",
                        membership=builders.member(KEY, 2 + rank, STATE.READY))
        for rank in range(2)
    ]
    assert orders_after(runners, "a", frozenset())
    assert not orders_after(runners, "a", EVACUATED)
