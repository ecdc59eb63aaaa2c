"""Tests of which spares are kept and what they load."""

from cardamommill.gateway import inflight, loads, model, orders, planning
from tests.gateway import builders, planners


def test_spares_are_kept_when_groups_are_first_formed():
    blank = [builders.runner(number) for number in range(1, 10)]
    bench = planners.Bench(blank, planners.LEAD)
    formed = 0
    for _ in range(200):
        for order in planners.ordered(bench.step(500), orders.Operation.JOIN):
            bench.accept(order, planners.STATE.READY)
            formed += 1
    assert formed == 7


def test_cold_runners_are_staged_and_not_joined_after_the_lead():
    # A join that has to load holds all other members up for 16 s.
    bench = planners.Bench(planners.warm(3) + [builders.runner(9)])
    actions = bench.step()
    assert not planners.ordered(actions, orders.Operation.JOIN)
    (stage,) = planners.ordered(actions, orders.Operation.STAGE)
    assert (stage.runner, stage.model) == ("i-9", "large")


def test_loads_keep_to_their_rate():
    blank = [builders.runner(number) for number in range(1, 60)]
    bench = planners.Bench(blank)
    times = []
    for _ in range(300):
        for order in planners.ordered(bench.step(), orders.Operation.STAGE):
            times.append(bench.now_ms)
            bench.accept(order)
    limit = builders.engine().loads_per_s * 5
    for start in times:
        assert sum(start <= each < start + 5000 for each in times) <= limit


def test_loads_keep_to_their_rate_when_planners_change_hands():
    """All planners die right after their loads, and all begin anew.

    The weight store bounds the loads that begin in some seconds, whoever began
    them; nobody tells the new planners of those before.
    """
    window_ms = loads.LOAD_WINDOW_MS
    places = ("a", "b", "c")
    begun = 0
    for life in range(2):
        for place in places:
            runners = [
                builders.runner(number, place=place)
                for number in range(100 * life, 100 * life + 40)
            ]
            bench = planners.Bench(
                runners,
                planning.Scope(frozenset({place}), len(places), False, {}))
            for _ in range(10):
                begun += len(
                    planners.ordered(bench.step(window_ms / 25),
                                     orders.Operation.STAGE))
    engine = builders.engine()
    assert begun <= engine.loads_per_s * window_ms / 1000 * 1.1 + 3
    assert begun > 0


def test_hosts_whose_model_finds_no_partner_load_another():
    # Two hosts of each model in one domain would wait for ever.
    bench = planners.Bench(
        planners.warm(2) + planners.warm(2, "small", start=11))
    staged = []
    for _ in range(20):
        staged += planners.ordered(bench.step(), orders.Operation.STAGE)
    assert len(staged) == 1


def test_spare_is_not_turned_into_a_group_that_nobody_needs():
    """Two spares of the small model and one of the large, in a calm minute.

    The large one is what the next death of its model needs; as the third of a
    small group it is gone, and the large model's callers wait for a load.
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
    bench = planners.Bench(served + small + planners.warm(1) +
                           planners.warm(2, "small", start=11))
    for _ in range(20):
        assert not planners.ordered(bench.step(), orders.Operation.STAGE)


def test_host_that_refuses_to_load_is_left_alone_for_a_while():
    """It loads for a planner that died; its report does not say what.

    Asked again at once it refused each time, and each order has its price.
    """
    bench = planners.Bench([builders.runner(1)])
    (order,) = planners.ordered(bench.step(), orders.Operation.STAGE)
    bench.planner.sent(order.runner)
    bench.planner.refused(order, "unfit", bench.now_ms)
    bench.planner.rechecked(order)
    assert not planners.ordered(bench.step(250), orders.Operation.STAGE)
    assert planners.ordered(bench.step(2500), orders.Operation.STAGE)


def busy_small(spares, requests=12):
    """A group of each model, the smaller one's fuller, and these spares."""
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
        runners += planners.warm(count, name, start=20 + len(runners))
    scope = planning.Scope(frozenset({"a"}), 1, False, {
        large: inflight.GroupLoad(4),
        small: inflight.GroupLoad(requests)
    })
    bench = planners.Bench(runners, scope)
    staged = []
    for _ in range(4):
        for order in planners.ordered(bench.step(1000.0),
                                      orders.Operation.STAGE):
            staged.append(order.model)
            bench.accept(order)
    return staged


def test_busier_model_without_a_spare_gets_one_of_several():
    """All spares hold the idle model.

    The survivors of the next death in the busy one would wait for a whole load.
    """
    assert busy_small({"large": 2}) == ["small"]


def test_last_spare_of_a_model_is_kept():
    assert not busy_small({"large": 1})


def test_spares_are_not_lent_to_a_model_that_is_idler():
    assert not busy_small({"large": 2}, requests=2)


def test_survivors_get_the_one_that_they_lack():
    """Two survivors of a group of three stood idle beside other spares."""
    assert busy_small({"large": 2, "small": 2}) == ["small"]
