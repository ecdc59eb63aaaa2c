"""Tests of which spares are kept and what they load."""

from cardamommill.gateway import loads, model, orders, planning
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
    bench.planner.settled(order)
    assert not planners.ordered(bench.step(250), orders.Operation.STAGE)
    assert planners.ordered(bench.step(2500), orders.Operation.STAGE)
