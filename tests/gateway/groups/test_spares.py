"""Tests of which spares are kept and which models they load."""

from cardamommill.domain import model, orders
from cardamommill.gateway.fleet import inflight
from cardamommill.gateway.groups import loads, planning
from tests.gateway import builders, planners


def test_spares_are_kept_when_groups_are_first_formed():
    blank = [builders.runner(number) for number in range(1, 10)]
    bench = planners.PlannerHarness(blank, planners.BEFORE_TRAFFIC)
    formed = 0
    for _ in range(200):
        for order in planners.orders_of(bench.step(500), orders.Operation.JOIN):
            bench.accept(order, planners.STATE.READY)
            formed += 1
    assert formed == 7


def test_cold_runners_are_staged_and_not_joined_once_there_is_traffic():
    # A join that has to load a model delays all other members by 16 s.
    bench = planners.PlannerHarness(
        planners.warm_runners(3) + [builders.runner(9)])
    actions = bench.step()
    assert not planners.orders_of(actions, orders.Operation.JOIN)
    (stage,) = planners.orders_of(actions, orders.Operation.STAGE)
    assert (stage.runner, stage.model) == ("i-9", "large")


def test_loads_stay_within_the_rate_limit():
    blank = [builders.runner(number) for number in range(1, 60)]
    bench = planners.PlannerHarness(blank)
    times = []
    for _ in range(300):
        for order in planners.orders_of(bench.step(), orders.Operation.STAGE):
            times.append(bench.now_ms)
            bench.accept(order)
    limit = builders.engine().loads_per_s * 5
    for start in times:
        assert sum(start <= each < start + 5000 for each in times) <= limit


def test_loads_stay_within_the_rate_limit_when_planners_are_replaced():
    """Guards against exceeding the load rate when planners are replaced.

    All planners die right after their loads, and new ones take over. The weight
    store limits the loads that start within some seconds, whoever started them,
    and the new planners don't know of the previous ones.
    """
    window_ms = loads.LOAD_WINDOW_MS
    places = ("a", "b", "c")
    begun = 0
    for generation in range(2):
        for place in places:
            runners = [
                builders.runner(number, place=place)
                for number in range(100 * generation, 100 * generation + 40)
            ]
            bench = planners.PlannerHarness(
                runners,
                planning.Scope(frozenset({place}), len(places), False, {}))
            for _ in range(10):
                begun += len(
                    planners.orders_of(bench.step(window_ms / 25),
                                       orders.Operation.STAGE))
    engine = builders.engine()
    assert begun <= engine.loads_per_s * window_ms / 1000 * 1.1 + 3
    assert begun > 0


def test_spares_that_cannot_form_a_group_load_another_model():
    # Two spares of each model in one domain would wait for further ones
    # forever.
    bench = planners.PlannerHarness(
        planners.warm_runners(2) + planners.warm_runners(2, "small", start=11))
    staged = []
    for _ in range(20):
        staged += planners.orders_of(bench.step(), orders.Operation.STAGE)
    assert len(staged) == 1


def test_spare_is_not_turned_into_a_group_that_nobody_needs():
    """Guards against using the last spare of a model for an unneeded group.

    There are two spares of the small model and one of the large, and the load
    is low. The next failure of a large group needs its spare. As the third
    member of a small group it is gone, and the large model's callers wait for a
    load.
    """
    group = model.GroupKey("g1", 1)
    served = [
        builders.runner(
            20 + rank,
            served="large",
            membership=builders.member(
                group, rank,
                planners.STATE.READY if rank else planners.STATE.OPEN))
        for rank in range(4)
    ]
    small = [
        builders.runner(
            30 + rank,
            served="small",
            membership=builders.member(
                model.GroupKey("g2", 2), rank,
                planners.STATE.READY if rank else planners.STATE.OPEN))
        for rank in range(3)
    ]
    bench = planners.PlannerHarness(served + small + planners.warm_runners(1) +
                                    planners.warm_runners(2, "small", start=11))
    for _ in range(20):
        assert not planners.orders_of(bench.step(), orders.Operation.STAGE)


def test_host_that_refuses_to_load_is_left_alone_for_a_while():
    """Guards against repeated orders to a host that refuses them.

    It loads for a planner that died, and its report does not show that. When it
    was asked again at once it refused each time, and each order takes a call.
    """
    bench = planners.PlannerHarness([builders.runner(1)])
    (order,) = planners.orders_of(bench.step(), orders.Operation.STAGE)
    bench.planner.sent(order.runner)
    bench.planner.refused(order, "unfit", bench.now_ms)
    bench.planner.rechecked(order)
    assert not planners.orders_of(bench.step(250), orders.Operation.STAGE)
    assert planners.orders_of(bench.step(2500), orders.Operation.STAGE)


def models_loaded(spares, requests=12):
    """Returns the models that these spares are ordered to load.

    There is one group of each model, and by default the small one is busier.
    """
    large, small = model.GroupKey("g1", 1), model.GroupKey("g2", 2)
    runners = [
        builders.runner(number,
                        served=name,
                        staged=(name,),
                        membership=builders.member(
                            key, rank, model.MemberState.OPEN
                            if rank == 0 else model.MemberState.READY))
        for key, name, numbers in ((large, "large", range(1, 5)),
                                   (small, "small", range(5, 8)))
        for rank, number in enumerate(numbers)
    ]
    for name, count in spares.items():
        runners += planners.warm_runners(count, name, start=20 + len(runners))
    scope = planning.Scope(frozenset({"a"}), 1, False, {
        large: inflight.GroupLoad(4),
        small: inflight.GroupLoad(requests)
    })
    bench = planners.PlannerHarness(runners, scope)
    staged = []
    for _ in range(4):
        for order in planners.orders_of(bench.step(1000.0),
                                        orders.Operation.STAGE):
            staged.append(order.model)
            bench.accept(order)
    return staged


def test_busier_model_without_a_spare_gets_one_of_several():
    """All spares hold the less busy model.

    The survivors of the next failure of the busier one would wait for a whole
    load.
    """
    assert models_loaded({"large": 2}) == ["small"]


def test_last_spare_of_a_model_is_kept():
    assert not models_loaded({"large": 1})


def test_spares_are_not_given_to_a_less_busy_model():
    assert not models_loaded({"large": 2}, requests=2)


def test_survivors_get_the_runner_that_they_lack():
    """Two survivors of a group of three stayed unused beside other spares."""
    assert models_loaded({"large": 2, "small": 2}) == ["small"]
