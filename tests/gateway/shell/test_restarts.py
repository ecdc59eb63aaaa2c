"""Tests of what ends when a runner restarts under its id."""

import asyncio

import pytest

from cardamommill import metrics
from cardamommill.domain import clock, model
from cardamommill.experiment import virtualloop
from cardamommill.gateway.fleet import fleetview
from cardamommill.gateway.requests import placing
from cardamommill.gateway.shell import restarts, targets
from cardamommill.platform import wirenames
from cardamommill.transport import upstream
from tests.gateway import builders, relays

KEY = model.GroupKey("g", 3)
OPEN = builders.member(KEY, 0, model.MemberState.OPEN)
FORMER = builders.runner(1, 5, born_ms=10, membership=OPEN)
NEXT = builders.runner(1, 6, born_ms=20)
KIND = model.RouteKind


class Node(relays.FakeNode):
    """A node whose requests go to one runner, then to the listed one."""

    def __init__(self, **kinds):
        super().__init__(**kinds)
        self.closed = []
        self.lost = []
        self.view = fleetview.FleetView()
        self.restarts = restarts.Restarts(self.view, self, metrics.Metrics())
        self.restarts.on_lost_member = lambda key, why: self.lost.append(key)
        self.view.apply_list([FORMER], 1000.0)

    def close_idle(self, address):
        self.closed.append(address)

    def find_target(self, one):
        del one
        listed = self.view.incarnations.listed_id("i-1")
        if listed is None:
            return placing.Refused("no runner", 300.0)
        return targets.Target(self.view.known[listed])

    def on_attempt_start(self, one, target, repeat):
        super().on_attempt_start(one, target, repeat)
        self.restarts.attempt_started(one, target)

    def on_attempt_end(self, one, target, outcome):
        self.restarts.attempt_ended(one, target)


async def settle():
    for _ in range(10):
        await asyncio.sleep(0)


def run(script):
    with virtualloop.running(1) as loop:
        loop.run_until_complete(script())


def test_request_that_may_run_once_ends_as_one_that_may_have_run():
    """As "not run", its caller would have it run a second time."""

    async def main():
        node = Node(kind=KIND.NON_IDEMPOTENT)
        one = relays.begin(node)
        await settle()
        node.view.apply_list([NEXT], 2000.0)
        await settle()
        assert node.ends[0][0] == 502 and "may have run" in node.ends[0][1]
        assert len(node.exchanges) == 1 and node.exchanges[0].cancelled
        assert one.may_have_run

    run(main)


def test_repeatable_request_goes_to_the_next_incarnation():

    async def main():
        node = Node(kind=KIND.IDEMPOTENT)
        relays.begin(node)
        await settle()
        node.view.apply_list([NEXT], 2000.0)
        await settle()
        assert len(node.exchanges) == 2
        node.exchanges[1].answer(200)
        await settle()
        assert node.ends == [(200, "")]

    run(main)


def test_request_that_was_not_sent_yet_has_not_run():
    """Its connection was still being opened."""

    async def main():
        node = Node(kind=KIND.NON_IDEMPOTENT)
        relays.begin(node)
        await settle()
        node.exchanges[0].sent = False
        node.view.record_ended(FORMER.id, clock.now_ms())
        await settle()
        assert node.ends[0][0] == 503

    run(main)


def test_runner_gets_its_instance_id_from_a_request():
    """Runners know no incarnation ids and would answer 421."""

    async def main():
        node = Node()
        relays.begin(node)
        await settle()
        assert b"X-Cardamommill-Expect-Instance: i-1\r\n" in (
            node.exchanges[0].request)

    run(main)


def test_idle_connections_and_the_group_of_the_former_are_given_up():
    node = Node()
    node.view.apply_list([NEXT], 2000.0)
    assert node.closed == [("10.0.0.1", 8140)]
    assert node.lost == [KEY]


@pytest.mark.parametrize("names,found", [("i-1", "i-1@20"), ("i-7", None),
                                         (None, None)])
def test_runner_at_fault_is_the_listed_incarnation(names, found):
    node = Node()
    node.view.apply_list([NEXT], 2000.0)
    headers = [(wirenames.AT_SERVER, names)] if names else []
    assert node.restarts.runner_at_fault(upstream.Head(503, headers)) == found
