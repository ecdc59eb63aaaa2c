"""Tests of replacing groups across domains by single-domain groups."""

import dataclasses

from cardamommill.domain import model, orders
from cardamommill.gateway.groups import planning
from tests.gateway import builders, planners

STATE = model.MemberState
orders_of = planners.orders_of


def spanning_group(name, numbers, domains, state=STATE.OPEN):
    key = model.GroupKey(name, int(name[1:]))
    return [
        builders.runner(number,
                        domain=domain,
                        served="large",
                        staged=("large",),
                        membership=builders.member(
                            key, rank, state if rank == 0 else STATE.READY))
        for rank, (number,
                   domain) in enumerate(zip(numbers, domains, strict=True))
    ]


def two_spanning_groups():
    halves = ("d0", "d0", "d1", "d1")
    return (spanning_group("g1", (1, 2, 3, 4), halves) +
            spanning_group("g2", (5, 6, 7, 8), halves))


def finish_requests(bench, close):
    """Lets a closed head finish its requests."""
    known = bench.view.known[close.runner]
    place = builders.member(close.group, 0, STATE.READY)
    bench.view.record_order(close.runner, known.orders_begun, place,
                            bench.now_ms)


def test_two_groups_across_domains_become_two_single_domain_groups():
    """Guards against groups across domains that are never replaced.

    Both groups have two members in each of two domains. Their heads finish
    their requests, all members leave, and the four of each domain form a group
    of their own, so that events are in time again.
    """
    bench = planners.PlannerHarness(two_spanning_groups())
    closes = orders_of(bench.step(), orders.Operation.CLOSE)
    assert {str(each.group) for each in closes} == {"g1:1", "g2:2"}
    for each in closes:
        bench.accept(each)
    assert not orders_of(bench.step(), orders.Operation.LEAVE)
    for each in closes:
        finish_requests(bench, each)
    leaves = orders_of(bench.step(), orders.Operation.LEAVE)
    assert len(leaves) == 8
    for each in leaves:
        bench.accept(each)
    joins = orders_of(bench.step(), orders.Operation.JOIN)
    domains = {}
    for each in joins:
        domain = bench.view.known[each.runner].status.domain
        domains.setdefault(each.group, set()).add(domain)
    assert len(joins) == 8
    assert sorted(map(sorted, domains.values())) == [["d0"], ["d1"]]


def test_group_across_domains_and_spares_become_a_single_domain_group():
    runners = spanning_group("g1", (1, 2, 3, 4), ("d0", "d0", "d0", "d1"))
    runners += planners.warm_runners(1, start=5)
    bench = planners.PlannerHarness(runners)
    assert [
        str(each.group)
        for each in orders_of(bench.step(), orders.Operation.CLOSE)
    ] == ["g1:1"]


def test_two_groups_across_domains_are_kept_if_they_would_make_one():
    """Guards against an interruption that gains too little.

    The groups would make only one single-domain group. Nothing is served until
    the heads have finished and the members have joined again, and two groups
    across domains do nearly as much as one in a single domain, without the
    interruption.
    """
    runners = spanning_group("g1", (1, 2, 3, 4), ("d0", "d0", "d0", "d1"))
    runners += spanning_group("g2", (5, 6, 7, 8), ("d0", "d0", "d2", "d2"))
    bench = planners.PlannerHarness(runners)
    assert not orders_of(bench.step(), orders.Operation.CLOSE)


def test_group_across_domains_is_kept_if_it_can_not_be_replaced():
    runners = spanning_group("g1", (1, 2, 3, 4), ("d0", "d0", "d1", "d1"))
    bench = planners.PlannerHarness(runners + planners.warm_runners(1, start=5))
    assert not orders_of(bench.step(), orders.Operation.CLOSE)


def test_freed_members_do_not_form_a_group_across_domains():
    """Guards against forming the retired group again.

    The first of two groups has ended while the second still finishes its
    requests. The first has two members in each domain: four runners that could
    form a group across domains again before the second's members are free.
    """
    bench = planners.PlannerHarness(two_spanning_groups())
    closes = orders_of(bench.step(), orders.Operation.CLOSE)
    for each in closes:
        bench.accept(each)
    finish_requests(bench, closes[0])
    for each in orders_of(bench.step(), orders.Operation.LEAVE):
        bench.accept(each)
    assert not orders_of(bench.step(), orders.Operation.JOIN)


def test_members_leave_a_head_that_does_not_finish_in_time():
    bench = planners.PlannerHarness(two_spanning_groups())
    for each in orders_of(bench.step(), orders.Operation.CLOSE):
        bench.accept(each)
    assert not orders_of(bench.step(5000), orders.Operation.LEAVE)
    assert len(orders_of(bench.step(5000), orders.Operation.LEAVE)) == 8


def test_retiring_groups_are_kept_when_another_service_is_planned():
    """Guards against dropping retiring groups when another service is planned.

    A node plans for two services in turn, and one of them retires groups. When
    these were looked up among the groups of the other service, they seemed to
    be gone: freed members formed a group across domains again, and the heads
    were opened again.
    """
    others = [
        dataclasses.replace(builders.runner(20 + number, domain=f"d{number}"),
                            service="other") for number in range(2)
    ]
    bench = planners.PlannerHarness(two_spanning_groups() + others)
    for each in orders_of(bench.step(), orders.Operation.CLOSE):
        bench.accept(each)
    other = dataclasses.replace(bench.service, name="other")
    bench.planner.step(other, bench.scope, bench.now_ms)
    assert not bench.step(3000)
    assert not bench.step(3000)
    assert len(orders_of(bench.step(4000), orders.Operation.LEAVE)) == 8


def test_lost_close_is_repeated():
    bench = planners.PlannerHarness(two_spanning_groups())
    assert len(orders_of(bench.step(), orders.Operation.CLOSE)) == 2
    assert not orders_of(bench.step(), orders.Operation.CLOSE)
    assert len(orders_of(bench.step(2000), orders.Operation.CLOSE)) == 2


def test_groups_of_other_planners_are_left_alone():
    halves = ("d0", "d0", "d1", "d1")
    bench = planners.PlannerHarness(
        spanning_group("g1", (1, 2, 3, 4), halves) +
        spanning_group("g2", (5, 6, 7, 8), halves),
        planning.Scope(frozenset({"b"}), 2, False, {}))
    assert not bench.step()
