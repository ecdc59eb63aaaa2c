"""Tests of which models need more groups and what is loaded for them."""

import dataclasses

from cardamommill.domain import model, orders
from cardamommill.gateway.fleet import inflight
from cardamommill.gateway.groups import overload, planning
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
    """Returns group loads from all requests and those of them that wait."""
    return {
        key:
            inflight.GroupLoad(count - waiting.get(key, 0), waiting.get(key, 0))
        for key, count in requests.items()
    }


def bench(waiting, blank=2):
    """Returns a planner with a group of each model and blank runners."""
    runners = group(LARGE, "large", 1, 4) + group(SMALL, "small", 5, 3)
    runners += [builders.runner(20 + each) for each in range(blank)]
    runners += [builders.runner(30, staged=("small",))]
    scope = planning.Scope(frozenset({"a"}), 1, False,
                           loads({
                               LARGE: 20,
                               SMALL: 20
                           }, waiting))
    return planners.PlannerHarness(runners, scope)


def staged_models(actions):
    return [
        each.model
        for each in planners.orders_of(actions, orders.Operation.STAGE)
    ]


def test_blank_runners_load_the_model_nearest_to_a_group():
    assert staged_models(bench({}).step()) == ["small", "small"]


def test_blank_runners_load_the_model_whose_requests_wait():
    """Guards against loading for an idle model while another is overloaded.

    Requests of the large model wait and will be late; the small one is idle.
    With the fewest missing runners as the only criterion, the small model would
    get another group, and callers of the large one would wait for the duration
    of a load, again and again.
    """
    planner_bench = bench({LARGE: 8}, blank=0)
    for _ in range(20):
        planner_bench.step(100)
    late = [builders.runner(20 + each, row_version=2) for each in range(2)]
    runners = [each.runner for each in planner_bench.view.known.values()]
    planner_bench.view.apply_list(runners + late, planner_bench.now_ms)
    assert staged_models(planner_bench.step()) == ["large", "large"]


def large_domain_with_spares(waiting):
    """Returns a domain of forty with one large group and four large spares."""
    runners = group(LARGE, "large", 1, 4)
    runners += [
        builders.runner(20 + each, staged=("large",)) for each in range(4)
    ]
    # These serve the other model and make the domain large.
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
    return planners.PlannerHarness(runners, scope)


def join_orders(planner_bench, steps=20):
    """Returns the joins of that many steps, none of them answered."""
    found = []
    for _ in range(steps):
        found += planners.orders_of(planner_bench.step(100),
                                    orders.Operation.JOIN)
    return found


def test_spares_are_used_while_requests_wait():
    """Guards against keeping spares while requests wait.

    All groups of a model are full while its spares would make a whole group. If
    the spares were reserved for the next failure, callers would wait that could
    be served now. In a large domain the survivors of two failed groups can form
    a group without spares.
    """
    assert len(join_orders(large_domain_with_spares({LARGE: 8}))) == 4


def test_spares_are_held_back_while_nothing_waits():
    assert not join_orders(large_domain_with_spares({}))


def test_overloaded_model_gets_no_more_than_its_share():
    """Guards against loading for one model only.

    The requests of a model wait, and what it needs is already being loaded. If
    all loads were for it until the first of them is done, the other model would
    then lack runners.
    """
    planner_bench = bench({LARGE: 8}, blank=0)
    for _ in range(20):
        planner_bench.step(100)
    known = [each.runner for each in planner_bench.view.known.values()]
    blank = [builders.runner(20 + each, row_version=2) for each in range(8)]
    planner_bench.view.apply_list(known + blank, planner_bench.now_ms)
    staged = []
    for _ in range(10):
        staged += staged_models(planner_bench.step(600))
    share = LARGE_SHARE * len(known + blank)
    assert 4 + staged.count("large") <= share + 1
    assert staged.count("small") >= 2


def test_two_services_are_observed_independently():
    """Guards against a shared observation time of all services.

    Both services are observed in each step, one right after the other. With one
    time for both, no time passed between the two observations, and the second
    service was never found overloaded, however long its callers waited.
    """
    detector = overload.OverloadDetector()
    other = dataclasses.replace(builders.LARGE, name="other")
    scope = planning.Scope(frozenset({"a"}), 1, False, {})
    for now_ms in range(0, 2000, 100):
        detector.observe("first", builders.engine(), {}, scope, now_ms)
        detector.observe("second", builders.engine(models=(other,)), {}, scope,
                         now_ms)
    assert detector.is_overloaded("large")
    assert detector.is_overloaded("other")


def test_a_short_burst_is_no_overload():
    planner_bench = bench({LARGE: 8})
    assert staged_models(planner_bench.step(100)) == ["small", "small"]


def test_a_model_without_any_group_is_overloaded():
    runners = group(SMALL, "small", 5, 3)
    planner_bench = planners.PlannerHarness(
        runners,
        planning.Scope(frozenset({"a"}), 1, False, loads({SMALL: 1}, {})))
    for _ in range(20):
        planner_bench.step(100)
    blank = [builders.runner(20 + each, row_version=2) for each in range(4)]
    known = [each.runner for each in planner_bench.view.known.values()]
    planner_bench.view.apply_list(known + blank, planner_bench.now_ms)
    assert staged_models(planner_bench.step()) == ["large"] * 4


def test_unreachable_groups_do_not_count():
    """A data centre is cut off from the groups of the others.

    Its spares were kept for failures while all groups were available. Now they
    have to form a group, since no other group of the model can be reached.
    """
    far = model.GroupKey("g3", 3)
    remote_runners = [
        dataclasses.replace(each, data_centre="b")
        for each in group(far, "large", 40, 4)
    ]
    local_runners = group(SMALL, "small", 5, 3)
    local_runners += [
        builders.runner(20 + each, staged=("large",)) for each in range(4)
    ]
    planner_bench = planners.PlannerHarness(local_runners + remote_runners)
    for _ in range(20):
        planner_bench.step(100)
    before = planners.orders_of(planner_bench.step(), orders.Operation.JOIN)
    for each in remote_runners:
        planner_bench.view.record_no_answer(each.id, planner_bench.now_ms)
    joins = [
        each for _ in range(20) for each in planners.orders_of(
            planner_bench.step(100), orders.Operation.JOIN)
    ]
    assert not before
    assert {each.model for each in joins} == {"large"}
