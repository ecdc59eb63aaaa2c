"""Tests of how runners are allocated to groups."""

import collections

from cardamommill.domain import orders
from cardamommill.gateway.groups import planning
from tests.gateway import builders, planners


def test_domain_as_large_as_a_group_forms_one():
    bench = planners.PlannerHarness(
        [builders.runner(number) for number in range(4)],
        planners.BEFORE_TRAFFIC)
    assert len(planners.orders_of(bench.step(), orders.Operation.JOIN)) == 4


def test_model_that_fits_in_no_domain_is_formed_across_two():
    runners = [
        builders.runner(number, domain=f"d{number % 2}") for number in range(4)
    ]
    bench = planners.PlannerHarness(runners, planners.BEFORE_TRAFFIC)
    assert len(planners.orders_of(bench.step(), orders.Operation.JOIN)) == 4


def test_each_model_gets_a_group_in_a_domain():
    blank = [builders.runner(number) for number in range(1, 10)]
    bench = planners.PlannerHarness(blank, planners.BEFORE_TRAFFIC)
    names = collections.Counter()
    for _ in range(200):
        for order in planners.orders_of(bench.step(500), orders.Operation.JOIN):
            bench.accept(order, planners.STATE.READY)
            names[order.model] += 1
    assert names == {"large": 4, "small": 3}


def test_groups_that_are_joining_count_for_their_model():
    """Guards against two groups of the same model in one domain.

    Joining runners do not report their model yet. The next group of the domain
    must serve the other model: when both served the same one, the other model
    had half of the groups that its callers need.
    """
    lead = planning.Scope(frozenset({"a"}), 3, True, {})
    bench = planners.PlannerHarness(
        [builders.runner(number) for number in range(1, 10)], lead)
    begun = []
    for _ in range(60):
        for order in planners.orders_of(bench.step(), orders.Operation.JOIN):
            bench.accept(order)
            begun.append((order.group, order.model))
    assert sorted(name for _, name in set(begun)) == ["large", "small"]


def test_survivors_in_two_domains_form_a_group_if_none_is_available():
    blank = [builders.runner(number) for number in range(20, 25)]
    bench = planners.PlannerHarness(
        planners.warm_runners(2) +
        planners.warm_runners(2, start=11, domain="d1") + blank)
    joins = planners.orders_of(bench.step(), orders.Operation.JOIN)
    assert len(joins) == 4


def test_spares_are_staged_once_the_last_group_has_loaded():
    """Guards against staging spares too late.

    Loads are quick until the first request, and the last group opens just
    before that. Spares that waited for it to open were loaded 16 s later, and
    groups that lost a member meanwhile had no replacement.
    """
    lead = planning.Scope(frozenset({"a"}), 1, True, {})
    bench = planners.PlannerHarness(
        [builders.runner(number) for number in range(1, 10)], lead)
    staged = []
    while len(bench.planner.formations) < 2:
        for order in planners.orders_of(bench.step(), orders.Operation.JOIN):
            bench.accept(order)
    due_ms = max(each.due_ms for each in bench.planner.formations.values())
    while not staged and bench.now_ms < due_ms + 1000:
        staged = planners.orders_of(bench.step(20.0), orders.Operation.STAGE)
    assert len(bench.planner.formations) == 2
    assert due_ms <= bench.now_ms <= due_ms + 40
    assert staged
