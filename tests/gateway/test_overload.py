"""Tests of which models need more groups, and what is loaded for them."""

import dataclasses

from cardamommill.gateway import inflight, model, orders, overload, planning
from tests.gateway import builders, planners

LARGE = model.GroupKey("g1", 1)
SMALL = model.GroupKey("g2", 2)
LARGE_SHARE = builders.LARGE.share


def group(key, name, start, size):
    return [
        builders.runner(start + rank,
                        served=name,
                        staged=(name,),
                        membership=builders.member(
                            key, rank, model.MemberState.OPEN
                            if rank == 0 else model.MemberState.READY))
        for rank in range(size)
    ]


def loads(requests, waiting):
    """Returns what is at groups: all requests, and those of them that wait."""
    return {
        key:
            inflight.GroupLoad(count - waiting.get(key, 0), waiting.get(key, 0))
        for key, count in requests.items()
    }


def bench(waiting, blank=2):
    """One group of each model, with blank runners in their domain."""
    runners = group(LARGE, "large", 1, 4) + group(SMALL, "small", 5, 3)
    runners += [builders.runner(20 + each) for each in range(blank)]
    runners += [builders.runner(30, staged=("small",))]
    scope = planning.Scope(frozenset({"a"}), 1, False,
                           loads({
                               LARGE: 20,
                               SMALL: 20
                           }, waiting))
    return planners.Bench(runners, scope)


def loaded(actions):
    return [
        each.model for each in planners.ordered(actions, orders.Operation.STAGE)
    ]


def test_blank_runners_load_what_is_nearest_to_a_group():
    assert loaded(bench({}).step()) == ["small", "small"]


def test_blank_runners_load_the_model_whose_requests_wait():
    """Requests of the larger model wait and will be late; the smaller is idle.

    By the fewest missing runners alone the smaller model would get another
    group, and callers of the larger one would wait for as long as a load
    takes, again and again.
    """
    one = bench({LARGE: 8}, blank=0)
    for _ in range(20):
        one.step(100)
    late = [builders.runner(20 + each, row_version=2) for each in range(2)]
    runners = [each.runner for each in one.view.known.values()]
    one.view.apply_list(runners + late, one.now_ms)
    assert loaded(one.step()) == ["large", "large"]


def spares_of_a_large_domain(waiting):
    """Four spares of the large model in a domain of forty, one group open."""
    runners = group(LARGE, "large", 1, 4)
    runners += [
        builders.runner(20 + each, staged=("large",)) for each in range(4)
    ]
    # These serve something else, and make the domain large.
    runners += [
        builders.runner(100 + number,
                        served="small",
                        membership=builders.member(
                            model.GroupKey(f"s{number // 3}", 9), number % 3,
                            model.MemberState.READY if number %
                            3 else model.MemberState.OPEN))
        for number in range(33)
    ]
    scope = planning.Scope(frozenset({"a"}), 1, False,
                           loads({LARGE: 20}, waiting))
    return planners.Bench(runners, scope)


def joined(one, steps=20):
    """Returns the joins of so many steps, none of them answered."""
    found = []
    for _ in range(steps):
        found += planners.ordered(one.step(100), orders.Operation.JOIN)
    return found


def test_spares_are_used_while_requests_wait():
    """All groups of a model are full; whole groups of it lie idle as spares.

    Held back for the next death they leave callers waiting who could be served
    now; in a large domain the survivors of two deaths make a group anyway.
    """
    assert len(joined(spares_of_a_large_domain({LARGE: 8}))) == 4


def test_spares_are_held_back_while_nothing_waits():
    assert not joined(spares_of_a_large_domain({}))


def test_strained_model_gets_no_more_than_its_share():
    """Its requests wait, and what it needs is being loaded already.

    Were all loads for it until the first of them is done, the other model
    would be short when they are.
    """
    one = bench({LARGE: 8}, blank=0)
    for _ in range(20):
        one.step(100)
    known = [each.runner for each in one.view.known.values()]
    blank = [builders.runner(20 + each, row_version=2) for each in range(8)]
    one.view.apply_list(known + blank, one.now_ms)
    staged = []
    for _ in range(10):
        staged += loaded(one.step(600))
    share = LARGE_SHARE * len(known + blank)
    assert 4 + staged.count("large") <= share + 1
    assert staged.count("small") >= 2


def test_two_services_are_seen_side_by_side():
    """Both are looked at in each step, one right after the other.

    With one time for both the second had no time between its looks, and was
    never found overloaded however long its callers waited.
    """
    seen = overload.OverloadDetector()
    other = dataclasses.replace(builders.LARGE, name="other")
    scope = planning.Scope(frozenset({"a"}), 1, False, {})
    for now_ms in range(0, 2000, 100):
        seen.observe("first", builders.engine(), {}, scope, now_ms)
        seen.observe("second", builders.engine(models=(other,)), {}, scope,
                     now_ms)
    assert seen.is_overloaded("large")
    assert seen.is_overloaded("other")


def test_a_short_burst_is_no_strain():
    one = bench({LARGE: 8})
    assert loaded(one.step(100)) == ["small", "small"]


def test_a_model_without_any_group_is_strained():
    runners = group(SMALL, "small", 5, 3)
    one = planners.Bench(
        runners,
        planning.Scope(frozenset({"a"}), 1, False, loads({SMALL: 1}, {})))
    for _ in range(20):
        one.step(100)
    blank = [builders.runner(20 + each, row_version=2) for each in range(4)]
    known = [each.runner for each in one.view.known.values()]
    one.view.apply_list(known + blank, one.now_ms)
    assert loaded(one.step()) == ["large"] * 4


def test_groups_that_cannot_be_reached_are_no_help():
    """A data centre is cut off: groups of the others stand, out of its reach.

    Its spares, kept for deaths while all groups stood, are what it has.
    """
    far = model.GroupKey("g3", 3)
    away = [
        dataclasses.replace(each, data_centre="b")
        for each in group(far, "large", 40, 4)
    ]
    here = group(SMALL, "small", 5, 3)
    here += [builders.runner(20 + each, staged=("large",)) for each in range(4)]
    one = planners.Bench(here + away)
    for _ in range(20):
        one.step(100)
    before = planners.ordered(one.step(), orders.Operation.JOIN)
    for each in away:
        one.view.record_no_answer(each.id, one.now_ms)
    made = [
        each for _ in range(20)
        for each in planners.ordered(one.step(100), orders.Operation.JOIN)
    ]
    assert not before
    assert {each.model for each in made} == {"large"}
