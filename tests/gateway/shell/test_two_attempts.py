"""Tests of requests that two runners have at the same time."""

import asyncio
import dataclasses
import types

import pytest

from cardamommill.domain import clock, model
from cardamommill.gateway.nodes import hopheaders
from cardamommill.gateway.requests import attemptresult, forecast, silence
from cardamommill.gateway.shell import (
    attempts,
    diversion,
    hops,
    relay,
    targets,
)
from cardamommill.platform import wirenames
from cardamommill.transport import callers
from tests.gateway import relays
from tests.gateway.shell import test_dispatcher

PEERS = [
    targets.PeerTarget(f"p{number}", ("10.0.0.1", number), 7)
    for number in range(3)
]


async def settle():
    for _ in range(8):
        await asyncio.sleep(0)


def play(script, **changes):
    """Runs a script with a request that is at its first runner.

    Returns:
        The reply and the node.
    """
    node = relays.FakeNode(**changes)

    async def run():
        one = relays.begin(node)
        await settle()
        await script(node, one)
        await settle()
        return one.reply

    return asyncio.run(run()), node


def test_quarantined_request_is_not_sent_to_another_runner():
    """A silent request that crashed others is refused; its search went on."""

    async def script(node, one):
        node.exchanges[0].head(200)
        node.exchanges[0].event(1)
        node.quarantined_ms = 60_000.0
        one.divert("group stands still")
        await settle()

    _, node = play(script)
    assert len(node.exchanges) == 1


def test_request_that_may_crash_runners_waits_for_evidence():
    """Its second runner breaks the connection while the first is silent.

    Other nodes may know by now that it crashes runners, so that the third
    attempt has to wait for what they tell, as one without a silent runner does.
    """

    async def script(node, one):
        node.repeat_delay_ms = lambda one: 100.0
        one.divert("group stands still")
        await settle()
        node.exchanges[1].cut()
        await settle()
        assert len(node.exchanges) == 2

    node = relays.FakeNode()
    node.route = dataclasses.replace(node.route, max_attempts=3)

    async def run():
        one = relays.begin(node)
        await settle()
        await script(node, one)

    asyncio.run(run())


def test_evidence_is_awaited_although_the_other_group_is_given_up_meanwhile():
    """The next alarm about the first group ended the wait of the search."""

    async def script(node, one):
        node.route = dataclasses.replace(node.route, max_attempts=3)
        one.route = node.route
        node.repeat_delay_ms = lambda one: 100.0
        one.divert("group stands still")
        await settle()
        node.exchanges[1].cut()
        await settle()
        one.divert("member does not answer", is_dead=True)
        await settle()
        assert len(node.exchanges) == 2

    play(script)


def test_evidence_is_awaited_whichever_attempt_ends_last():
    """The second runner broke the connection, then the first one refused.

    Only the result of the last attempt was asked, so that a request that may
    crash runners went to the next one at once.
    """

    async def script(node, one):
        node.repeat_delay_ms = lambda one: 100.0
        one.divert("group stands still")
        await settle()
        node.repeats_left = 0
        node.exchanges[1].cut()
        await settle()
        node.repeats_left = 10
        node.exchanges[0].answer(503, **{"X-Cardamommill-Not-Executed": "1"})
        await settle()

    _, node = play(script)
    assert len(node.exchanges) == 2


def test_open_attempt_counts_although_its_group_seems_dead():
    """The second group seems to have lost a member and goes on all the same.

    Its attempt stays open, since the answer has begun, and was not counted: the
    request ran on three runners where its route allows two.
    """

    async def script(node, one):
        node.exchanges[0].head(200)
        node.exchanges[0].event(1)
        one.divert("group stands still")
        await settle()
        one.divert("member does not answer", is_dead=True)
        await asyncio.sleep(2 * diversion.POLL_MS / 1000)
        is_open = [not each.cancelled for each in node.exchanges]
        assert is_open.count(True) <= 2

    play(script)


@pytest.mark.parametrize("failing", [0, 1])
def test_fault_of_the_node_leaves_no_attempt_open(failing):
    """The end of one of two attempts can't be recorded.

    The other one stayed at its runner after the answer had ended.
    """

    async def script(node, one):
        node.exchanges[0].head(200)
        node.exchanges[0].event(1)
        one.divert("group stands still")
        await settle()

        def fail(one, target, outcome):
            del one, outcome
            if target.known.runner.id == f"i-{failing}":
                raise ZeroDivisionError

        node.on_attempt_end = fail
        node.exchanges[failing].cut()
        await settle()
        is_open = [not each.receiver.done.done() for each in node.exchanges]
        assert any(is_open) is not one.reply.ended

    play(script)


def test_complete_answer_stands_if_another_attempt_can_not_be_recorded():
    """The whole stream was passed on, and was aborted at its end."""

    async def script(node, one):
        node.exchanges[0].head(200)
        node.exchanges[0].event(1)
        one.divert("group stands still")
        await settle()

        def fail(one, target, outcome):
            del one, outcome
            if target.known.runner.id == "i-1":
                raise ZeroDivisionError

        node.on_attempt_end = fail
        node.exchanges[1].cut()
        await settle()
        node.exchanges[0].event(2)
        node.exchanges[0].complete()
        await settle()

    reply, _ = play(script)
    assert (reply.events, reply.ending) == ([1, 2], "whole")


class SlowConnection(relays.FakeExchange):
    """A request whose connection to the runner is not established yet."""

    def __init__(self, request, receiver):
        super().__init__(request, receiver)
        self.sent = False


def test_group_that_was_not_reached_in_time_is_not_at_fault():
    """The first runner goes on while the connection to another is opened.

    The other group was avoided and probed, as if it took no connections.
    """
    ends = []

    async def script(node, one):
        node.on_attempt_end = lambda one, target, outcome: ends.append(outcome)
        node.exchanges[0].head(200)
        node.exchanges[0].event(1)
        send = node.send
        node.send = lambda address, request, receiver, **kinds: SlowConnection(
            request, receiver)
        one.divert("group stands still")
        node.send = send
        await settle()
        node.exchanges[0].event(2)
        await settle()

    play(script)
    (outcome,) = ends
    node, faults = test_dispatcher.Node(), []
    node.requests.on_fault = lambda key, reason: faults.append(reason)
    key = model.GroupKey("g", 1)
    target = targets.Target(next(iter(node.requests._view.known.values())), key)
    with clock.override(lambda: 1000.0):
        node.requests.on_attempt_start(test_dispatcher.Request(), target, True)
        node.requests.on_attempt_end(test_dispatcher.Request(), target, outcome)
    assert not node.requests.available_groups.is_avoided(key, 1001.0)
    assert not faults


def test_own_attempt_after_a_hop_counts_as_a_retry():
    """The peer had sent the request to a runner already."""
    node = relays.FakeNode()
    node.peers = PEERS[:1]

    async def run():
        one = relays.begin(node)
        await settle()
        node.exchanges[0].head(200, **{"Entry-Hop-Attempts": "1"})
        node.exchanges[0].event(1)
        node.peers = []
        one.check_hop(PEERS[0], False, clock.now_ms() + 1000)
        await settle()
        assert len(one.attempted) == 1

    asyncio.run(run())
    assert node.repeats_left == 9


def test_attempt_that_may_still_be_sent_makes_a_hop_a_retry():
    """Two nodes counted a first attempt of one request, and none the retry."""
    node = relays.FakeNode()
    node.send = lambda address, request, receiver, **kinds: SlowConnection(
        request, receiver)

    async def run():
        one = relays.begin(node)
        await settle()
        node.peers = PEERS[:1]
        one.divert("group stands still")
        await settle()

    asyncio.run(run())
    ((_, _, has_arrived),) = node.told
    assert has_arrived


def test_stream_that_a_peer_brings_needs_no_word_of_the_peer():
    """Datagrams were lost while events came; another peer got the request."""
    node = relays.FakeNode()
    node.peers = PEERS[:2]

    async def run():
        one = relays.begin(node)
        await settle()
        node.exchanges[0].head(200, **{"Entry-Hop-Attempts": "1"})
        node.exchanges[0].event(1)
        one.check_hop(PEERS[0], False, clock.now_ms())
        await settle()
        assert len(node.exchanges) == 1
        one.check_hop(PEERS[0], False, clock.now_ms() + 1000)
        await settle()
        assert len(node.exchanges) == 2
        assert not node.exchanges[0].cancelled

    asyncio.run(run())


def test_peer_that_tries_a_second_runner_uses_up_the_attempts():
    """Both nodes find the stream silent; each sent it to one more runner.

    The route allows two attempts, and the peer tells their number only with the
    head of its answer.
    """
    first, second = relays.FakeNode(), relays.FakeNode()
    first.peers = PEERS[:2]

    async def run():
        one = relays.begin(first)
        await settle()
        _, attempts_so_far, has_arrived = first.told[0]
        request = callers.CallerRequest(
            "POST", "/v/1", [(wirenames.ATTEMPT_ID, relays.ATTEMPT_ID)], b"",
            0.0)
        at_peer = relay.Relay(
            second, request,
            hops._HopReply(relays.FakeReply(), lambda: len(at_peer.attempted)),
            hopheaders.Hop("n", 1.0, 7, attempts_so_far, has_arrived))
        at_peer.route = second.route
        at_peer.deadline_at_ms = relays.FAR_DEADLINE_MS
        at_peer.start()
        await settle()
        second.exchanges[0].head(200)
        second.exchanges[0].event(1)
        first.exchanges[0].head(
            200, **{"Entry-Hop-Attempts": str(len(at_peer.attempted))})
        first.exchanges[0].event(1)
        at_peer.divert("group stands still")
        await settle()
        at_runners = len(second.exchanges)
        one.check_hop(PEERS[0], True, 1e15)
        await settle()
        # The second peer sends each hop to a runner at once.
        return at_runners + len(first.exchanges) - 1

    assert asyncio.run(run()) <= 2


def test_whole_answer_of_another_runner_ends_the_silent_attempt():
    """The caller waited for the end of an attempt that nothing needs."""

    async def script(node, one):
        one.divert("group stands still")
        await settle()
        node.exchanges[1].answer(404, b"none")
        await settle()
        assert one.reply.ended
        assert node.exchanges[0].cancelled

    reply, _ = play(script)
    assert (reply.status, reply.complete_bodies) == (404, [b"none"])


def test_stream_that_ends_without_a_further_event_ends_the_other_attempt():
    """The first runner has sent all events and is silent before the end."""

    async def script(node, one):
        node.exchanges[0].head(200)
        node.exchanges[0].event(1)
        one.divert("group stands still")
        await settle()
        node.exchanges[0].complete()
        await settle()
        assert node.exchanges[1].cancelled

    reply, node = play(script)
    assert (reply.events, reply.ending) == ([1], "whole")
    assert len(node.ends) == 1


def at_runner(key):
    """Returns a target at the only runner of a node, as head of a group."""
    node = test_dispatcher.Node()
    known = next(iter(node.requests._view.known.values()))
    return node.requests, targets.Target(known, model.GroupKey(*key))


class Request(test_dispatcher.Request):
    """Records what its node does with its attempts."""

    def __init__(self):
        self.ended_at = []
        self.left = []

    def end_attempts_at(self, runner, reason):
        del reason
        self.ended_at.append(runner)

    def leave_runner(self, reason):
        self.left.append(reason)


def test_second_attempt_at_the_head_of_a_new_group_is_still_known():
    """A silent group was taken apart, and its head serves in a new one.

    Two attempts of the request are at one runner. When the first of them had
    ended, the node forgot that the runner still had the request: the end of the
    runner, or a cut of the node's link, did not end or move it.
    """
    requests, first = at_runner(("g", 1))
    second = targets.Target(first.known, model.GroupKey("h", 1))
    one = Request()
    left = attempts.Outcome(attemptresult.Result.DIVERTED, "silent")
    with clock.override(lambda: 1000.0):
        requests.on_attempt_start(one, first, False)
        requests.on_attempt_start(one, second, True)
        requests.on_attempt_end(one, first, left)
        requests.on_cut()
        requests.restarts._on_ended(first.known)
    assert (len(one.left), len(one.ended_at)) == (1, 1)


def test_first_event_counts_for_the_service_that_was_sent_the_attempt():
    """The first runner speaks after the request went to another service too.

    Its delay was taken as one of the other service, whose requests were then
    refused as too late.
    """
    requests, target = at_runner(("g", 1))
    target = dataclasses.replace(target,
                                 placed=types.SimpleNamespace(
                                     is_deferred=False,
                                     expected=silence.ExpectedTiming(
                                         1.0, 1.0, 1.0, 1.0),
                                     first_event_ms=1.0,
                                     overhead_ms=0.0))
    for _ in range(forecast.MIN_SAMPLES):
        one = Request()
        with clock.override(lambda: 1000.0):
            requests.on_attempt_start(one, target, False)
        # As `find_target` does for the second attempt.
        one.service = "other"
        with clock.override(lambda: 2000.0):
            requests.on_stream_event(one, target)
    assert requests.forecast.overhead_ms("llm") > 0
    assert not requests.forecast.overhead_ms("other")


def test_silent_attempt_counts_for_the_service_that_it_was_sent_to():
    """Its retry counted no longer, since it went to another service."""
    requests, target = at_runner(("g", 1))
    one = Request()
    with clock.override(lambda: 1000.0):
        requests.on_attempt_start(one, target, True)
    # As `find_target` does for the second attempt.
    one.service = "other"
    with clock.override(lambda: 2000.0):
        requests.on_attempt_end(one, target,
                                attempts.Outcome(attemptresult.Result.DIVERTED))
    budget = requests._retry_budgets.for_service("llm")
    budget.may_retry(1, 20_000.0)
    assert budget.held == 1


def test_only_attempts_at_the_silent_group_are_silent():
    """The first group is given up twice; the second has the request by then."""

    async def script(node, one):
        node.route = dataclasses.replace(node.route, max_attempts=3)
        one.route = node.route
        find = node.find_target
        node.find_target = lambda one: dataclasses.replace(
            find(one), key=model.GroupKey(f"g{len(one.attempted)}", 1))
        one.divert("group stands still")
        await settle()
        one.divert("member does not answer", False, model.GroupKey("g0", 1))
        await asyncio.sleep(2 * diversion.POLL_MS / 1000)
        assert len(node.exchanges) == 2
        one.divert("group stands still", False, model.GroupKey("g1", 1))
        await settle()
        assert len(node.exchanges) == 3

    play(script)
