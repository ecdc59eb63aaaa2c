"""Tests of the slow start of cold runners, over many nodes.

The bound holds for the sum over all nodes, whatever each knows of the others,
so that most tests count all nodes' sends in exact sliding windows.
"""

import dataclasses
import itertools
import random

import hypothesis
from hypothesis import strategies
import pytest

from cardamommill.domain import entrysettings
from cardamommill.gateway.fleet import coldperiods
from cardamommill.gateway.requests import placing, slowstart
from tests.gateway import builders
from tests.gateway.requests import test_placing

COLD_MS = 3000.0
SERVICE = dataclasses.replace(builders.service(), cold_s=3.0, cold_per_s=14.0)
SETTINGS = builders.cold_settings()
BOUND = 26
# A row is read this long after it was written at most.
READ_DELAY_MS = 1200
# Nodes, cold heads and requests a second of a data centre that comes back.
RETURNS = [(20, 9, 200), (110, 20, 400)]
FLEETS = pytest.mark.parametrize("nodes,heads,per_s", RETURNS)


def node(name, members, service=SERVICE, settings=SETTINGS):
    return slowstart.SlowStart(name, coldperiods.ColdPeriods(),
                               lambda place, _: members[place],
                               lambda: {service.name: service}, settings)


def cold_runner(number=1, left_ms=COLD_MS, **changes):
    return dataclasses.replace(builders.runner(number, **changes),
                               cold_left_ms=left_ms)


def cold_node(members, now_ms=0, **changes):
    """Returns a node "n" that has just read the row of a cold runner."""
    one = node("n", {"a": members}, **changes)
    one._evidence.receive_row(cold_runner(), float("-inf"), now_ms)
    return one


def most_in_a_second(sent_ms):
    """Returns the most of these times that are within any second."""
    times = sorted(sent_ms)
    first = most = 0
    for index, at_ms in enumerate(times):
        while times[first] <= at_ms - 1000:
            first += 1
        most = max(most, index - first + 1)
    return most


class ReturnedDataCentre:
    """A data centre that comes back whole and cold under full traffic.

    Requests arrive at random nodes. Each goes to a head that takes it from that
    node, if there is one.

    Attributes:
        sent_ms: When requests were sent to each head while it was cold.
    """

    def __init__(self, views, heads, seed=1):
        """Takes the members that each node knows of; None if unknown."""
        self._rng = random.Random(seed)
        self._heads = [cold_runner(number) for number in range(heads)]
        self._nodes = {name: node(name, {"a": views[name]}) for name in views}
        self._read_ms = {
            name: self._rng.uniform(0, READ_DELAY_MS) for name in views
        }
        self.sent_ms = {each.id: [] for each in self._heads}

    def run(self, per_s):
        """Sends requests until the heads are warm."""
        names = sorted(self._nodes)
        now_ms = 0.0
        number = itertools.count()
        while True:
            now_ms += 1000 * self._rng.expovariate(per_s)
            if now_ms >= COLD_MS:
                return self
            self._send(self._rng.choice(names), next(number), now_ms)

    def _send(self, name, request, now_ms):
        read_ms = self._read_ms.get(name, 0.0)
        if now_ms < read_ms:
            return
        one = self._nodes[name]
        if not one._evidence.periods:
            for head in self._heads:
                one._evidence.receive_row(head, float("-inf"), read_ms)
        for head in self._rng.sample(self._heads, len(self._heads)):
            if not one.wait_ms(head, now_ms):
                one.sent(request, head.id, now_ms)
                self.sent_ms[head.id].append(now_ms)
                return

    @property
    def most(self):
        """The most requests that any head got within a second."""
        return max(map(most_in_a_second, self.sent_ms.values()))

    @property
    def per_head_s(self):
        """The requests per second of a head, without the time until reads."""
        sent = sum(each >= READ_DELAY_MS
                   for times in self.sent_ms.values()
                   for each in times)
        return sent / len(self._heads) / (COLD_MS - READ_DELAY_MS) * 1000


def names(count):
    return [f"node-a-{number}" for number in range(count)]


def one_view(count):
    whole = set(names(count))
    return {name: whole for name in names(count)}


def two_halves(count):
    return {
        name: set(names(count)[number % 2::2])
        for number, name in enumerate(names(count))
    }


def report(what, returned, nodes, heads):
    print(f"{what}, {nodes} nodes, {heads} heads: "
          f"{returned.per_head_s:.1f} requests/s at each head, "
          f"{returned.most} in a second at most; "
          f"permitted: {SERVICE.cold_per_s:g}/s, {BOUND} in a second")


@FLEETS
def test_returned_data_centre_gets_no_more_than_the_bound(nodes, heads, per_s):
    """Without a share for each node, 20 to 25 requests a second come in."""
    returned = ReturnedDataCentre(one_view(nodes), heads).run(per_s)
    report("one view", returned, nodes, heads)
    assert returned.most <= BOUND / 2


@FLEETS
def test_returned_data_centre_gets_requests(nodes, heads, per_s):
    """A share that nobody can use is as bad for callers as no runner."""
    returned = ReturnedDataCentre(one_view(nodes), heads).run(per_s)
    assert returned.per_head_s > 0.25 * SERVICE.cold_per_s


@FLEETS
def test_two_halves_stay_below_the_bound_together(nodes, heads, per_s):
    """If each half gave away the whole bound, the runner would get twice it."""
    returned = ReturnedDataCentre(two_halves(nodes), heads).run(10 * per_s)
    report("two halves", returned, nodes, heads)
    assert BOUND / 2 < returned.most <= BOUND


@FLEETS
def test_node_that_lost_all_others_does_not_take_their_shares(
        nodes, heads, per_s):
    """It hears nobody, but keeps the widest membership that it ever knew."""
    lost = names(nodes)[0]
    views = one_view(nodes)
    whole = ReturnedDataCentre(views, heads).run(10 * per_s)
    alone = ReturnedDataCentre({lost: views[lost]}, heads).run(10 * per_s)
    report("lost all others", alone, nodes, heads)
    assert sum(map(
        len, alone.sent_ms.values())) < (3 / nodes *
                                         sum(map(len, whole.sent_ms.values())))


@FLEETS
def test_node_that_knows_nobody_sends_nothing(nodes, heads, per_s):
    """Before it has read the table of nodes, it may be one of any number.

    If each of many nodes that start together took itself for the only one, all
    of them would be senders.
    """
    views = dict.fromkeys(names(nodes))
    returned = ReturnedDataCentre(views, heads).run(per_s)
    assert not any(returned.sent_ms.values())


@pytest.mark.parametrize("nodes,heads,per_s", [*RETURNS, (37, 14, 250)])
def test_number_of_senders_gives_callers_nearly_the_most(
        nodes, heads, per_s, monkeypatch):
    """With few senders, most nodes have no cold head; with many, no rate.

    Measured as what the heads get of all requests, over some seeds.
    """
    chosen = slowstart.BURST_RATIO
    rates = {}
    for ratio in (0.08, 0.16, 0.23, chosen, 0.38, 0.46, 0.62):
        monkeypatch.setattr(slowstart, "BURST_RATIO", ratio)
        rates[ratio] = sum(
            ReturnedDataCentre(one_view(nodes), heads, seed).run(
                per_s).per_head_s for seed in range(4)) / 4
        senders = slowstart.shares(14.0, SETTINGS.bounds).senders
        print(f"{nodes} nodes, {heads} heads, {senders} senders: "
              f"{rates[ratio]:.1f} requests/s at each head")
    assert rates[chosen] > 0.9 * max(rates.values())


@strategies.composite
def split_views(draw):
    """Draws nodes in two halves; each knows its half and some others."""
    count = draw(strategies.integers(1, 14))
    halves = draw(
        strategies.lists(strategies.booleans(), min_size=count, max_size=count))
    views = {}
    for number, name in enumerate(names(count)):
        near = {
            other for other, half in zip(names(count), halves, strict=True)
            if half == halves[number]
        }
        far = draw(strategies.sets(strategies.sampled_from(names(count))))
        views[name] = draw(strategies.sampled_from([near, near | far, None]))
    return views


ARRIVALS = strategies.lists(strategies.tuples(strategies.integers(0, 2999),
                                              strategies.integers(0, 13),
                                              strategies.booleans()),
                            max_size=400)
DENSE_ARRIVALS = strategies.just([
    (at_ms, index, False) for at_ms in range(0, 3000, 20) for index in range(14)
])


@hypothesis.given(split_views(), ARRIVALS | DENSE_ARRIVALS,
                  strategies.floats(0.1, 60.0), strategies.floats(1.0, 3.0),
                  strategies.floats(0.0, 12.0))
@hypothesis.settings(max_examples=150, deadline=None)
def test_bound_holds_for_all_views_and_arrivals(views, arrivals, per_s, overage,
                                                slack):
    """A rule that holds only while all nodes agree would be broken here.

    Some attempts end at once with 421: they give their token back, and don't
    count.
    """
    service = dataclasses.replace(SERVICE, cold_per_s=per_s)
    settings = builders.cold_settings(
        bounds=entrysettings.Bounds(cold_overage=overage, cold_slack=slack))
    nodes = [
        node(name, {"a": view}, service, settings)
        for name, view in sorted(views.items())
    ]
    for one in nodes:
        one._evidence.receive_row(cold_runner(), float("-inf"), 0)
    sent_ms = []
    for request, (at_ms, index, is_misdirected) in enumerate(sorted(arrivals)):
        one = nodes[index % len(nodes)]
        if one.wait_ms(cold_runner(), at_ms):
            continue
        one.sent(request, cold_runner().id, at_ms)
        one.ended(request, is_misdirected)
        if not is_misdirected:
            sent_ms.append(at_ms)
    assert most_in_a_second(sent_ms) <= per_s * overage + slack


@hypothesis.given(strategies.floats(0.01, 500.0), strategies.floats(1.0, 4.0),
                  strategies.floats(0.0, 200.0))
def test_two_sets_of_senders_fit_into_the_bound(per_s, overage, slack):
    """Each sender sends one request in a burst, and its share of the rate."""
    bounds = entrysettings.Bounds(cold_overage=overage, cold_slack=slack)
    planned = slowstart.shares(per_s, bounds)
    in_a_second = planned.senders * int(1 + planned.per_s)
    assert 2 * in_a_second <= per_s * overage + slack
    assert planned.senders * planned.per_s <= per_s


@pytest.mark.parametrize("bound,senders", [(1.0, 0), (1.9, 0), (2.0, 1),
                                           (3.9, 1), (4.0, 1), (26.0, 4)])
def test_small_bounds_leave_one_sender_or_none(bound, senders):
    """Two senders that can't hear each other exceed a bound below 2."""
    planned = slowstart.shares(bound, entrysettings.Bounds())
    assert planned.senders == senders


def test_runner_that_is_not_cold_needs_no_wait():
    """Deployments without cold runners are served as before."""
    one = node("n", {"a": {"n"}})
    assert not one.wait_ms(builders.runner(1), 0)
    assert not one.sent("a1", "i-1", 0) and not one._charged


@pytest.mark.parametrize("changes", [{"cold_s": 0.0}, {"cold_per_s": 0.0}])
def test_service_without_a_cold_rate_has_no_limit(changes):
    one = cold_node({"n"}, service=dataclasses.replace(SERVICE, **changes))
    assert not one.wait_ms(cold_runner(), 10)


def test_first_request_to_a_cold_runner_waits_for_a_token():
    """The process before a restart may have sent some a moment ago."""
    one = cold_node({"n"}, now_ms=100)
    assert one.wait_ms(cold_runner(), 100) > 300


def test_node_of_another_data_centre_sends_nothing():
    """The nodes of the runner's data centre share the whole rate."""
    one = cold_node({"m", "o"})
    assert one.wait_ms(cold_runner(), 1000)


def test_wait_ends_when_the_runner_is_warm():
    one = cold_node(set(names(9)))
    assert one.wait_ms(cold_runner(), 2900) == 100
    assert not one.wait_ms(cold_runner(), 3000)


@pytest.mark.parametrize("attempts", [1, 2, 3])
def test_each_attempt_takes_a_token(attempts):
    """Retries and streams that resume elsewhere count as first attempts do."""
    one = cold_node({"n"})
    one.wait_ms(cold_runner(), 1000)
    for _ in range(attempts):
        assert one.sent("a1", "i-1", 1000)
        one.ended("a1", is_misdirected=False)
    per_s = slowstart.shares(14.0, SETTINGS.bounds).per_s
    assert one.wait_ms(cold_runner(),
                       1000) == pytest.approx(1000 * attempts / per_s)


def test_misdirected_attempt_gives_its_token_back():
    one = cold_node({"n"})
    one.wait_ms(cold_runner(), 1000)
    one.sent("a1", "i-1", 1000)
    assert one.wait_ms(cold_runner(), 1001)
    assert one.ended("a1", is_misdirected=True)
    assert not one.wait_ms(cold_runner(), 1001)


def test_attempt_from_before_gives_no_token_back():
    """It took none, so that its token would come on top of the rate."""
    one = node("n", {"a": {"n"}})
    one.sent("a1", "i-1", 0)
    one._evidence.receive_row(cold_runner(), float("-inf"), 10)
    one.wait_ms(cold_runner(), 20)
    assert not one.ended("a1", is_misdirected=True)
    assert one.wait_ms(cold_runner(), 20)


def test_runners_of_a_returned_data_centre_are_cold():
    """Their rows may say otherwise: they became cold while nobody called."""
    one = node("n", {"a": set(names(9)), "b": {"n"}})
    one.recently_returned = lambda _: {"a": 1000.0}
    until_ms = 1000 + COLD_MS + 2 * SETTINGS.heartbeat_ms
    assert one.wait_ms(builders.runner(1), 1001)
    assert one.wait_ms(builders.runner(1), until_ms - 1) == 1
    assert not one.wait_ms(builders.runner(1), until_ms)
    assert not one.wait_ms(builders.runner(2, place="b"), 1001)


def test_warm_runners_are_dropped():
    one = cold_node({"n"})
    one.wait_ms(cold_runner(), 10)
    assert one.drop_expired([cold_runner()], 2999) == {"i-1": 3000}
    assert not one.drop_expired([cold_runner()], 3000)
    assert not one._buckets and not one._evidence.periods


def test_runner_that_is_not_listed_keeps_its_bucket():
    """A new bucket would give it tokens for time that was used already."""
    one = cold_node({"n"})
    one.wait_ms(cold_runner(), 1000)
    one.sent("a1", "i-1", 1000)
    one.drop_expired([], 1001)
    assert one.wait_ms(cold_runner(), 1002) > 300


def test_warm_group_is_not_left_idle_for_a_cold_head():
    """A cold head has few requests and so the lowest cost.

    It may get its share, but all other requests must go to the warm group.
    """
    one = cold_node({"n"})
    in_flight = {"cold": 0, "warm": 0}
    for now_ms in range(1000, 2000, 40):
        placed = test_placing.place(
            test_placing.candidate("cold",
                                   in_flight["cold"],
                                   wait_ms=one.wait_ms(cold_runner(), now_ms)),
            test_placing.candidate("warm", in_flight["warm"] // 4))
        assert isinstance(placed, placing.Placed)
        name = placed.candidate.key.name
        in_flight[name] += 1
        if name == "cold":
            one.sent(now_ms, "i-1", now_ms)
    assert in_flight["cold"] <= 4 and in_flight["warm"] >= 20
