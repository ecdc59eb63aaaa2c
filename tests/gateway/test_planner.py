"""Tests of how groups are kept standing."""

import collections

from cardamommill.gateway import (
    flights,
    loads,
    model,
    orders,
    planner,
    planning,
)
from tests.gateway import builders

SCOPE = planning.Scope(frozenset({"a"}), 1, False, {})
LEAD = planning.Scope(frozenset({"a"}), 1, True, {})
STATE = model.MemberState


def ordered(actions, operation):
    return [
        each for each in actions
        if isinstance(each, orders.Order) and each.operation is operation
    ]


class Bench:
    """A planner with its view, and runners that obey at once."""

    def __init__(self, runners, scope=SCOPE):
        self.view = builders.view(*runners)
        for known in self.view.known.values():
            known.is_counted = True
        self.planner = planner.Planner(self.view, "n")
        self.scope = scope
        self.service = builders.service()
        self.now_ms = 1000.0

    def step(self, after_ms=60.0):
        self.now_ms += after_ms
        return self.planner.step(self.service, self.scope, self.now_ms)

    def accept(self, order, state=None):
        known = self.view.known[order.runner]
        place = known.membership
        if order.operation is orders.Operation.JOIN:
            place = builders.member(order.group,
                                    order.members.index(order.runner), state or
                                    STATE.JOINING)
        elif order.operation is orders.Operation.LEAVE:
            place = None
        elif order.operation is orders.Operation.CLOSE:
            place = builders.member(order.group, 0, STATE.CLOSING)
        self.planner.sent(order.runner)
        self.view.take_order(order.runner, known.orders_begun + 1, place,
                             self.now_ms)
        self.planner.accepted(order, self.now_ms)

    def become(self, order, state):
        known = self.view.known[order.runner]
        place = builders.member(order.group, order.members.index(order.runner),
                                state)
        self.view.take_order(order.runner, known.orders_begun, place,
                             self.now_ms)


def warm(count, name="large", start=1, domain="d0"):
    return [
        builders.runner(number, domain=domain, staged=(name,))
        for number in range(start, start + count)
    ]


def test_head_is_opened_only_when_all_members_were_seen_ready():
    # Were the head opened earlier, requests would begin to run in a group
    # that is not whole; nobody but the planner looks at the other members.
    bench = Bench(warm(5))
    joins = ordered(bench.step(), orders.Operation.JOIN)
    assert len(joins) == 4
    for order in joins:
        bench.accept(order)
    for order in joins[:3]:
        bench.become(order, STATE.READY)
    assert not ordered(bench.step(3000), orders.Operation.OPEN)
    bench.become(joins[3], STATE.READY)
    opens = ordered(bench.step(), orders.Operation.OPEN)
    assert [each.runner for each in opens] == [joins[0].runner]


def test_members_are_asked_where_the_list_does_not_come():
    # The planner's node is cut off from the store while a group forms. Its
    # members are ready and say so only in the list; nobody opens the group.
    bench = Bench(warm(5))
    for order in ordered(bench.step(), orders.Operation.JOIN):
        bench.accept(order)
    actions = bench.step(3000)
    probes = [each for each in actions if isinstance(each, planning.Probe)]
    assert len(probes) == 4


def test_every_join_names_the_count_of_orders():
    bench = Bench(warm(5))
    for number in range(1, 6):
        bench.view.known[f"i-{number}"].orders_begun = 10 + number
    for order in ordered(bench.step(), orders.Operation.JOIN):
        assert order.expected_seq == 10 + int(order.runner[2:])


def test_names_of_groups_are_never_used_twice():
    bench = Bench(warm(9))
    keys = {each.group for each in ordered(bench.step(), orders.Operation.JOIN)}
    assert len({each.name for each in keys}) == len(keys) == 2
    assert len({each.epoch for each in keys}) == 2


def standing(bench, number_of_members=4):
    joins = ordered(bench.step(), orders.Operation.JOIN)[:number_of_members]
    for order in joins:
        bench.accept(order, STATE.READY)
    for order in ordered(bench.step(), orders.Operation.OPEN):
        bench.accept(order)
    bench.step(400)
    bench.step()
    return joins


def test_group_is_announced_when_its_head_serves():
    bench = Bench(warm(5))
    standing(bench)
    (group,) = bench.view.groups("llm").values()
    assert group.is_open
    assert not bench.planner.formations


def test_members_leave_before_they_join_again():
    # A member dies; the head goes on accepting and stands still. Each living
    # member must leave by its own word before it joins another group, or it
    # would be in two.
    bench = Bench(warm(5))
    joins = standing(bench)
    bench.view.take_silence(joins[2].runner, bench.now_ms)
    leaves = ordered(bench.step(), orders.Operation.LEAVE)
    assert {each.runner for each in leaves
           } == {each.runner for each in joins} - {joins[2].runner}
    assert not ordered(bench.step(), orders.Operation.JOIN)
    for order in leaves:
        bench.accept(order)
    again = ordered(bench.step(), orders.Operation.JOIN)
    assert len(again) == 4
    assert joins[2].runner not in {each.runner for each in again}
    assert all(each.group.epoch > joins[0].group.epoch for each in again)


def test_member_that_left_only_the_list_does_not_end_its_group():
    # It may be cut from the store alone; its group serves on.
    bench = Bench(warm(5))
    joins = standing(bench)
    gone = joins[2].runner
    left = [each for each in warm(5) if each.id != gone]
    bench.view.take_list(left, bench.now_ms + 10)
    actions = bench.step()
    assert not ordered(actions, orders.Operation.LEAVE)
    assert planning.Probe(gone, "left the list") in actions


def test_group_with_a_leaving_member_ends_when_it_is_empty():
    bench = Bench(warm(5))
    joins = standing(bench)
    leaving = [
        builders.runner(int(each.id[2:]),
                        2,
                        leaving=each.id == joins[1].runner,
                        staged=("large",)) for each in warm(5)
    ]
    bench.view.take_list(leaving, bench.now_ms + 10)
    bench.scope = planning.Scope(frozenset({"a"}), 1, False,
                                 {joins[0].group: flights.GroupLoad(3)})
    assert not ordered(bench.step(1500), orders.Operation.LEAVE)
    bench.scope = SCOPE
    assert ordered(bench.step(), orders.Operation.LEAVE)


def test_refused_join_ends_the_formation_and_holds_the_runner_back():
    # What is believed of the runner is wrong, and its report tells only some
    # hundred ms later what is true: asked at once, it was ordered forty times.
    bench = Bench(warm(4))
    joins = ordered(bench.step(), orders.Operation.JOIN)
    for order in joins[1:]:
        bench.accept(order)
    bench.planner.sent(joins[0].runner)
    bench.planner.refused(joins[0], "unfit", bench.now_ms)
    actions = bench.step()
    assert len(ordered(actions, orders.Operation.LEAVE)) == 3
    assert not bench.planner.formations
    for order in ordered(actions, orders.Operation.LEAVE):
        bench.accept(order)
    assert not ordered(bench.step(), orders.Operation.JOIN)
    bench.planner.settled(joins[0])
    assert len(ordered(bench.step(), orders.Operation.JOIN)) == 4


def test_domain_as_large_as_a_group_forms_one():
    bench = Bench([builders.runner(number) for number in range(4)], LEAD)
    assert len(ordered(bench.step(), orders.Operation.JOIN)) == 4


def test_model_that_fits_in_no_domain_is_formed_over_two():
    runners = [
        builders.runner(number, domain=f"d{number % 2}") for number in range(4)
    ]
    bench = Bench(runners, LEAD)
    assert len(ordered(bench.step(), orders.Operation.JOIN)) == 4


def test_spares_are_kept_when_groups_are_first_formed():
    blank = [builders.runner(number) for number in range(1, 10)]
    bench = Bench(blank, LEAD)
    formed = 0
    for _ in range(200):
        for order in ordered(bench.step(500), orders.Operation.JOIN):
            bench.accept(order, STATE.READY)
            formed += 1
    assert formed == 7


def test_each_model_gets_a_group_of_a_domain():
    blank = [builders.runner(number) for number in range(1, 10)]
    bench = Bench(blank, LEAD)
    names = collections.Counter()
    for _ in range(200):
        for order in ordered(bench.step(500), orders.Operation.JOIN):
            bench.accept(order, STATE.READY)
            names[order.model] += 1
    assert names == {"large": 4, "small": 3}


def test_groups_that_are_joining_count_for_their_model():
    """Runners of a domain join a group; they don't yet say of which model.

    The next group of the domain must be of the other model: two of the same
    left its callers half of the groups that they need.
    """
    lead = planning.Scope(frozenset({"a"}), 3, True, {})
    bench = Bench([builders.runner(number) for number in range(1, 10)], lead)
    begun = []
    for _ in range(60):
        for order in ordered(bench.step(), orders.Operation.JOIN):
            bench.accept(order)
            begun.append((order.group, order.model))
    assert sorted(name for _, name in set(begun)) == ["large", "small"]


def test_cold_runners_are_staged_and_not_joined_after_the_lead():
    # A join that has to load holds all other members up for 16 s.
    bench = Bench(warm(3) + [builders.runner(9)])
    actions = bench.step()
    assert not ordered(actions, orders.Operation.JOIN)
    (stage,) = ordered(actions, orders.Operation.STAGE)
    assert (stage.runner, stage.model) == ("i-9", "large")


def test_loads_keep_to_their_rate():
    blank = [builders.runner(number) for number in range(1, 60)]
    bench = Bench(blank)
    times = []
    for _ in range(300):
        for order in ordered(bench.step(), orders.Operation.STAGE):
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
            bench = Bench(
                runners,
                planning.Scope(frozenset({place}), len(places), False, {}))
            for _ in range(10):
                begun += len(
                    ordered(bench.step(window_ms / 25), orders.Operation.STAGE))
    engine = builders.engine()
    assert begun <= engine.loads_per_s * window_ms / 1000 * 1.1 + 3
    assert begun > 0


def test_survivors_in_two_domains_make_a_slow_group_where_none_stands():
    blank = [builders.runner(number) for number in range(20, 25)]
    bench = Bench(warm(2) + warm(2, start=11, domain="d1") + blank)
    joins = ordered(bench.step(), orders.Operation.JOIN)
    assert len(joins) == 4


def test_hosts_whose_model_finds_no_partner_load_another():
    # Two hosts of each model in one domain would wait for ever.
    bench = Bench(warm(2) + warm(2, "small", start=11))
    staged = []
    for _ in range(20):
        staged += ordered(bench.step(), orders.Operation.STAGE)
    assert len(staged) == 1


def test_spare_is_not_turned_into_a_group_that_nobody_needs():
    """Two spares of the small model and one of the large, in a calm minute.

    The large one is what the next death of its model needs; as the third of a
    small group it is gone, and the large model's callers wait for a load.
    """
    group = model.GroupKey("g1", 1)
    served = [
        builders.runner(20 + rank,
                        served="large",
                        membership=builders.member(
                            group, rank, STATE.READY if rank else STATE.OPEN))
        for rank in range(4)
    ]
    small = [
        builders.runner(30 + rank,
                        served="small",
                        membership=builders.member(
                            model.GroupKey("g2", 2), rank,
                            STATE.READY if rank else STATE.OPEN))
        for rank in range(3)
    ]
    bench = Bench(served + small + warm(1) + warm(2, "small", start=11))
    for _ in range(20):
        assert not ordered(bench.step(), orders.Operation.STAGE)


def test_host_that_refuses_to_load_is_left_alone_for_a_while():
    """It loads for a planner that died; its report does not say what.

    Asked again at once it refused each time, and each order has its price.
    """
    bench = Bench([builders.runner(1)])
    (order,) = ordered(bench.step(), orders.Operation.STAGE)
    bench.planner.sent(order.runner)
    bench.planner.refused(order, "unfit", bench.now_ms)
    bench.planner.settled(order)
    assert not ordered(bench.step(250), orders.Operation.STAGE)
    assert ordered(bench.step(2500), orders.Operation.STAGE)


def test_formation_of_a_dead_planner_is_adopted():
    key = model.GroupKey("other-1", 5)
    members = [
        builders.runner(number + 1,
                        membership=builders.member(key, number, STATE.READY),
                        served="large",
                        staged=("large",)) for number in range(4)
    ]
    bench = Bench(members)
    bench.step()
    assert not ordered(bench.step(1000), orders.Operation.OPEN)
    bench.step(3000)
    (opened,) = ordered(bench.step(), orders.Operation.OPEN)
    assert opened.runner == "i-1" and opened.group == key


def test_open_group_of_a_dead_planner_is_left_alone():
    key = model.GroupKey("other-1", 5)
    states = [STATE.OPEN] + [STATE.READY] * 3
    members = [
        builders.runner(number + 1,
                        membership=builders.member(key, number, state),
                        served="large",
                        staged=("large",))
        for number, state in enumerate(states)
    ]
    bench = Bench(members)
    for _ in range(100):
        assert not [
            each for each in bench.step() if isinstance(each, orders.Order)
        ]


def test_runners_elsewhere_are_not_ordered():
    bench = Bench([builders.runner(number, place="b") for number in range(9)])
    assert not bench.step()


def test_runners_whose_count_of_orders_is_a_guess_are_asked_first():
    """A planner starts anew and finds spares that its predecessor staged.

    Joined on a guessed count they refuse, and each refusal ends the forming of
    a whole group.
    """
    bench = Bench(warm(4))
    for known in bench.view.known.values():
        known.is_counted = False
    actions = bench.step()
    assert not ordered(actions, orders.Operation.JOIN)
    assert {
        each.runner for each in actions if isinstance(each, planning.Probe)
    } == {"i-1", "i-2", "i-3", "i-4"}
    for known in list(bench.view.known.values()):
        report = builders.report(7)
        bench.view.take_report(known.runner.id, report, bench.now_ms, 0.0)
    bench.view.known["i-1"].standing = warm(1)[0].standing
    joins = ordered(bench.step(), orders.Operation.JOIN)
    assert all(each.expected_seq == 7 for each in joins)


def test_group_is_not_ended_by_silence_from_before_another_members_return():
    """A data centre that was cut off comes back, member by member.

    One answers; the others were asked last while the link was cut. They are
    asked anew, and the group that was well all the while goes on.
    """
    bench = Bench(warm(5))
    joins = standing(bench)
    group = [bench.view.known[each.runner] for each in joins]
    for each in group:
        bench.view.take_silence(each.runner.id, bench.now_ms)
    bench.now_ms += 1000
    report = builders.report(3, group[0].membership, "large")
    bench.view.take_report(group[0].runner.id, report, bench.now_ms, 0.0)
    actions = bench.step()
    assert not ordered(actions, orders.Operation.LEAVE)
    asked = {
        each.runner for each in actions if isinstance(each, planning.Probe)
    }
    assert asked == {each.runner.id for each in group[1:]}
    for each in group[1:]:
        bench.view.take_silence(each.runner.id, bench.now_ms)
    assert ordered(bench.step(), orders.Operation.LEAVE)
