"""Tests of groups that change their model as the work shifts."""

import dataclasses

from cardamommill.gateway import demand, inflight, model, orders, planning
from tests.gateway import builders, planners

STATE = model.MemberState
ordered = planners.ordered
LARGES = [model.GroupKey(f"l{each}", each) for each in range(1, 4)]
SMALLS = [model.GroupKey(f"s{each}", each + 10) for each in range(1, 4)]
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


def runners(larges=3, place="a"):
    """Groups of four for the large model, and three of three for the small."""
    found = []
    for number, key in enumerate(LARGES[:larges]):
        found += group(key, "large", 1 + 10 * number, 4, place=place)
    for number, key in enumerate(SMALLS):
        found += group(key, "small", 41 + 10 * number, 3, place=place)
    return found


def scope(large, small, place="a"):
    """Says how many requests are at each group of a model."""
    loads = {key: inflight.GroupLoad(large) for key in LARGES}
    loads |= {key: inflight.GroupLoad(small) for key in SMALLS}
    loads[LARGES[1]] = inflight.GroupLoad(max(0, large - 1))
    return planning.Scope(frozenset({place}), 2, False, loads, PLACES)


def bench(large, small, **changes):
    """A planner that has seen these loads for some seconds."""
    made = planners.Bench(runners(**changes), scope(large, small))
    for _ in range(2):
        made.step(1000.0)
    return made


def stage_all(made):
    """Has hosts load as they are told until a group is closed."""
    told = []
    for _ in range(20):
        for order in ordered(made.step(500.0), orders.Operation.STAGE):
            made.accept(order)
            known = made.view.known[order.runner]
            known.status = dataclasses.replace(known.status,
                                               staged=(order.model,))
            told.append(order.runner)
        if ordered_closes(made):
            break
    return told


def ordered_closes(made):
    made.closes = ordered(made.step(100.0), orders.Operation.CLOSE)
    return made.closes


def test_emptiest_group_of_the_idle_model_changes_to_the_busy_one():
    """The declared shares were right for other work.

    Groups of the small model are nearly full and a death makes all its callers
    late, while those of the large one stand nearly empty.
    """
    made = bench(large=1, small=12)
    told = stage_all(made)
    assert sorted(told) == ["i-11", "i-12", "i-13", "i-14"]
    assert [each.group for each in made.closes] == [LARGES[1]]
    made.accept(made.closes[0])
    known = made.view.known[made.closes[0].runner]
    made.view.record_order(known.runner.id, known.orders_begun,
                           builders.member(LARGES[1], 0, STATE.READY),
                           made.now_ms)
    actions = made.step()
    leaves = ordered(actions, orders.Operation.LEAVE)
    assert len(leaves) == 4
    for each in leaves:
        made.accept(each)
    joins = ordered(made.step(), orders.Operation.JOIN)
    assert {each.model for each in joins} == {"small"}
    assert {each.runner for each in joins} < set(told)


def test_load_that_was_refused_is_ordered_again():
    made = bench(large=1, small=12)
    first = ordered(made.step(1000.0), orders.Operation.STAGE)[0]
    made.planner.sent(first.runner)
    made.planner.refused(first, "busy", made.now_ms)
    made.planner.rechecked(first)
    again = [
        each.runner
        for _ in range(6)
        for each in ordered(made.step(500.0), orders.Operation.STAGE)
    ]
    assert first.runner in again


def test_group_serves_until_all_its_members_hold_the_other_model():
    made = bench(large=1, small=12)
    actions = [each for _ in range(10) for each in made.step(500.0)]
    assert not ordered(actions, orders.Operation.CLOSE)
    assert not ordered(actions, orders.Operation.LEAVE)


def test_nothing_changes_where_groups_are_as_full():
    assert not stage_all(bench(large=6, small=8))


def test_nothing_changes_while_the_busy_model_has_room():
    assert not stage_all(bench(large=0, small=3))


def test_last_group_of_a_data_centre_stays():
    assert not stage_all(bench(large=1, small=12, larges=1))


def test_declared_shares_count_until_requests_were_seen_for_a_while():
    made = planners.Bench(runners(), scope(1, 12))
    assert not ordered(made.step(), orders.Operation.STAGE)


def test_group_that_loses_a_member_meanwhile_is_not_closed():
    made = bench(large=1, small=12)
    for order in ordered(made.step(500.0), orders.Operation.STAGE):
        made.accept(order)
    made.view.record_no_answer("i-12", made.now_ms)
    made.step(100.0)
    made.now_ms += 100.0
    assert not ordered_closes(made)


def two_places(place):
    """A planner of one of two data centres that are alike, each six groups."""
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
    made = planners.Bench(
        found, planning.Scope(frozenset({place}), 2, False, loads, PLACES))
    for _ in range(2):
        made.step(1000.0)
    return made


def test_data_centres_do_not_all_move_a_group_for_the_same_need():
    """Planners of all of them see the same loads at the same time."""
    assert stage_all(two_places("a"))
    assert not stage_all(two_places("b"))


def test_shares_follow_the_work_but_not_below_half_of_what_is_declared():
    seen = demand.DemandEstimator()
    view = builders.view(*runners())
    engine = builders.engine()
    for second in range(6):
        seen.observe("llm", engine, view.groups("llm"), scope(0, 12),
                     1000.0 * second)
    shares = {
        each.name: each.share
        for each in seen.engine("llm", engine, 6000.0).models
    }
    assert shares["large"] < builders.LARGE.share
    assert shares["large"] >= 0.5 * builders.LARGE.share
    assert abs(sum(shares.values()) - 1) < 1e-9
    assert shares["small"] > builders.SMALL.share


def test_model_that_lost_all_its_groups_keeps_what_was_seen_of_it():
    seen = demand.DemandEstimator()
    engine = builders.engine()
    view = builders.view(*runners())
    for second in range(6):
        seen.observe("llm", engine, view.groups("llm"), scope(4, 4),
                     1000.0 * second)
    only_small = {
        key: each for key, each in view.groups("llm").items() if key in SMALLS
    }
    for second in range(6, 20):
        seen.observe("llm", engine, only_small, scope(4, 4), 1000.0 * second)
    assert seen.requests("llm", "large") > 10


def undeclared():
    return tuple(
        dataclasses.replace(each, share=0.0)
        for each in builders.engine().models)


def test_groups_are_formed_where_no_shares_are_declared():
    blank = [builders.runner(number) for number in range(1, 10)]
    made = planners.Bench(blank, planners.LEAD)
    made.service = builders.service(models=undeclared())
    assert ordered(made.step(), orders.Operation.JOIN)


def test_shares_are_those_of_the_work_where_none_are_declared():
    seen = demand.DemandEstimator()
    engine = builders.engine(models=undeclared())
    groups = builders.view(*runners()).groups("llm")
    for second in range(6):
        seen.observe("llm", engine, groups, scope(3, 12), 1000.0 * second)
    shares = {
        each.name: each.share
        for each in seen.engine("llm", engine, 6000.0).models
    }
    assert 0 < shares["large"] < shares["small"]
