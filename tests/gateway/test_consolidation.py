"""Tests of giving up slow groups for quick ones."""

import dataclasses

from cardamommill.gateway import model, orders, planning
from tests.gateway import builders, planners

STATE = model.MemberState
ordered = planners.ordered


def far_group(name, numbers, domains, state=STATE.OPEN):
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


def two_slow_groups():
    halves = ("d0", "d0", "d1", "d1")
    return (far_group("g1",
                      (1, 2, 3, 4), halves) + far_group("g2",
                                                        (5, 6, 7, 8), halves))


def finish(bench, close):
    """Has a head finish its work after a close."""
    known = bench.view.known[close.runner]
    place = builders.member(close.group, 0, STATE.READY)
    bench.view.record_order(close.runner, known.orders_begun, place,
                            bench.now_ms)


def test_two_slow_groups_become_two_quick_ones():
    """Both have two members in each of two domains.

    Their heads finish what they run, all members leave, and each domain's
    four make a group of their own: callers get their events in time again.
    """
    bench = planners.Bench(two_slow_groups())
    closes = ordered(bench.step(), orders.Operation.CLOSE)
    assert {str(each.group) for each in closes} == {"g1:1", "g2:2"}
    for each in closes:
        bench.accept(each)
    assert not ordered(bench.step(), orders.Operation.LEAVE)
    for each in closes:
        finish(bench, each)
    leaves = ordered(bench.step(), orders.Operation.LEAVE)
    assert len(leaves) == 8
    for each in leaves:
        bench.accept(each)
    joins = ordered(bench.step(), orders.Operation.JOIN)
    domains = {}
    for each in joins:
        domain = bench.view.known[each.runner].status.domain
        domains.setdefault(each.group, set()).add(domain)
    assert len(joins) == 8
    assert sorted(map(sorted, domains.values())) == [["d0"], ["d1"]]


def test_slow_group_and_spares_become_a_quick_one():
    runners = far_group("g1", (1, 2, 3, 4), ("d0", "d0", "d0", "d1"))
    runners += planners.warm(1, start=5)
    bench = planners.Bench(runners)
    assert [
        str(each.group)
        for each in ordered(bench.step(), orders.Operation.CLOSE)
    ] == ["g1:1"]


def test_two_slow_groups_stay_for_a_single_quick_one():
    """Three and one of each in two domains: they would make one quick group.

    Nothing serves until the heads have finished and the members joined again;
    two slow groups do nearly as much as one quick, and do it meanwhile.
    """
    runners = far_group("g1", (1, 2, 3, 4), ("d0", "d0", "d0", "d1"))
    runners += far_group("g2", (5, 6, 7, 8), ("d0", "d0", "d2", "d2"))
    bench = planners.Bench(runners)
    assert not ordered(bench.step(), orders.Operation.CLOSE)


def test_slow_group_stays_where_no_quick_one_can_be_made():
    runners = far_group("g1", (1, 2, 3, 4), ("d0", "d0", "d1", "d1"))
    bench = planners.Bench(runners + planners.warm(1, start=5))
    assert not ordered(bench.step(), orders.Operation.CLOSE)


def test_no_slow_group_is_made_of_members_that_come_free():
    """The first of two groups has ended, the second still finishes.

    Two of the first are in each domain: four that could make a slow group
    again, before the second has given up its own.
    """
    bench = planners.Bench(two_slow_groups())
    closes = ordered(bench.step(), orders.Operation.CLOSE)
    for each in closes:
        bench.accept(each)
    finish(bench, closes[0])
    for each in ordered(bench.step(), orders.Operation.LEAVE):
        bench.accept(each)
    assert not ordered(bench.step(), orders.Operation.JOIN)


def test_head_that_does_not_finish_is_left_in_the_end():
    bench = planners.Bench(two_slow_groups())
    for each in ordered(bench.step(), orders.Operation.CLOSE):
        bench.accept(each)
    assert not ordered(bench.step(5000), orders.Operation.LEAVE)
    assert len(ordered(bench.step(5000), orders.Operation.LEAVE)) == 8


def test_groups_of_another_service_are_not_forgotten():
    """A node plans for two services in turn; one of them gives groups up.

    Looked for among the other's groups they seemed gone: their members that
    came free made a slow group again, and the heads were opened again.
    """
    others = [
        dataclasses.replace(builders.runner(20 + number, domain=f"d{number}"),
                            service="other") for number in range(2)
    ]
    bench = planners.Bench(two_slow_groups() + others)
    for each in ordered(bench.step(), orders.Operation.CLOSE):
        bench.accept(each)
    other = dataclasses.replace(bench.service, name="other")
    bench.planner.step(other, bench.scope, bench.now_ms)
    assert not bench.step(3000)
    assert not bench.step(3000)
    assert len(ordered(bench.step(4000), orders.Operation.LEAVE)) == 8


def test_lost_close_is_sent_again():
    bench = planners.Bench(two_slow_groups())
    assert len(ordered(bench.step(), orders.Operation.CLOSE)) == 2
    assert not ordered(bench.step(), orders.Operation.CLOSE)
    assert len(ordered(bench.step(2000), orders.Operation.CLOSE)) == 2


def test_groups_over_two_data_centres_of_other_planners_are_left():
    halves = ("d0", "d0", "d1", "d1")
    bench = planners.Bench(
        far_group("g1",
                  (1, 2, 3, 4), halves) + far_group("g2", (5, 6, 7, 8), halves),
        planning.Scope(frozenset({"b"}), 2, False, {}))
    assert not bench.step()
