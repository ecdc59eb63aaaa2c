"""Tests of requests that a node passes to peers, and of those it gets."""

import asyncio
import types

import pytest

from cardamommill import metrics
from cardamommill.domain import clock, model
from cardamommill.gateway.nodes import hopheaders
from cardamommill.gateway.shell import hops, relay, targets
from cardamommill.platform import wirenames
from cardamommill.transport import callers, upstream
from tests.gateway import relays

PEERS = [
    targets.PeerTarget(f"p{number}", ("10.0.0.1", number), 7)
    for number in range(3)
]
KIND = model.RouteKind


async def settle():
    for _ in range(10):
        await asyncio.sleep(0)


def play(script, peer_count=3, **kinds):
    """Runs a script with a node that passes requests to peers."""
    node = relays.FakeNode(**kinds)
    node.peers = PEERS[:peer_count]
    node.groups = 0

    async def run():
        one = relays.begin(node)
        await settle()
        await script(node, one)
        await settle()
        return one

    one = asyncio.run(run())
    return node, one.reply


def refuse(exchange, status=503, retry_after="0.700"):
    """Answers as a peer that did not run the request."""
    headers = hopheaders.answer_headers(status, [("Retry-After", retry_after)],
                                        0)
    exchange.receiver.on_head(upstream.Head(status, headers))
    exchange.complete()


def test_refusal_of_a_peer_is_final_and_not_run():
    """Another peer decides by the same evidence."""

    async def script(node, one):
        del one
        refuse(node.exchanges[0])

    node, reply = play(script)
    assert len(node.exchanges) == 1
    assert reply.status == 503
    assert dict(reply.headers)["Retry-After"] == "0.700"


def test_peer_that_can_not_take_it_is_passed_over():
    """It is stopping, cut off as well, or has an older configuration."""

    async def script(node, one):
        del one
        refuse(node.exchanges[0], status=hops.NOT_TAKEN)
        await settle()
        node.exchanges[1].answer(200, b"done", **{"Entry-Hop-Attempts": "1"})

    node, reply = play(script, kind=KIND.NON_IDEMPOTENT)
    assert [each[0] for each in node.told] == ["p0", "p1"]
    assert reply.status == 200
    # What nodes tell each other is not for callers.
    assert hopheaders.ATTEMPTS_HEADER not in dict(reply.headers)


def test_broken_hop_leaves_open_whether_a_request_has_run():
    """The peer died with a request that must not run twice."""

    async def script(node, one):
        del one
        node.exchanges[0].cut()

    node, reply = play(script, kind=KIND.NON_IDEMPOTENT)
    assert len(node.exchanges) == 1
    assert reply.status == 502


def test_hop_that_was_not_sent_has_not_run():

    async def script(node, one):
        del one
        for each in range(3):
            node.exchanges[each].receiver.on_end(upstream.Ending.NOT_SENT,
                                                 "connect: refused")
            await settle()

    node, reply = play(script, kind=KIND.NON_IDEMPOTENT)
    assert len(node.exchanges) == 3
    assert reply.status == 503
    assert [each[1:] for each in node.told] == [(0, False)] * 3


def test_stream_goes_on_at_another_peer_after_its_last_event():
    """The peer dies in the middle; it had made one attempt of two."""

    async def script(node, one):
        del one
        first = node.exchanges[0]
        first.head(200, **{"Entry-Hop-Attempts": "1"})
        first.event(1)
        first.event(2)
        first.cut()
        await settle()
        second = node.exchanges[1]
        assert second.after_event == 2
        second.head(200, **{"Entry-Hop-Attempts": "1"})
        second.event(3)
        second.complete()

    node, reply = play(script)
    assert reply.events == [1, 2, 3] and reply.ending == "whole"
    # The second peer knows of the attempt, and counts its own as a retry.
    assert node.told[1] == ("p1", 1, True)


def test_peer_that_died_without_an_answer_may_have_made_all_attempts():
    """A request ran on three runners where its route allows two."""

    async def script(node, one):
        del one
        node.exchanges[0].cut()

    node, reply = play(script)
    assert len(node.exchanges) == 1
    assert reply.status == 502


def test_peer_counts_attempts_made_before_it():
    """A second attempt of two is made, and no third."""
    node = relays.FakeNode()
    hop = hopheaders.Hop("n", 1.0, 7, 1, True)

    async def run():
        request = callers.CallerRequest(
            "POST", "/v/1", [(wirenames.ATTEMPT_ID, relays.ATTEMPT_ID)], b"",
            0.0)
        one = relay.Relay(node, request, relays.FakeReply(), hop)
        one.route, one.deadline_at_ms = node.route, relays.FAR_DEADLINE_MS
        one.start()
        await settle()
        node.exchanges[0].cut()
        await settle()
        return one

    one = asyncio.run(run())
    assert len(node.exchanges) == 1
    assert one.reply.status == 502
    assert node.repeats_left == 9


def test_caller_that_leaves_ends_the_hop():

    async def script(node, one):
        one.caller_left()
        await settle()
        assert node.exchanges[0].cancelled

    node, reply = play(script)
    assert not reply.started


class FakeServerNode:
    """The services of a node that gets requests of peers.

    Attributes:
        is_cut: Whether it reaches no runner itself.
        config_version: Its configuration in force.
        admitted: The requests that were admitted.
    """

    def __init__(self):
        self.is_cut = False
        self.config_version = 7
        self.work = []

    def table(self):
        return types.SimpleNamespace(configuration=types.SimpleNamespace(
            version=self.config_version))

    def reaches_no_runner(self):
        return self.is_cut

    def spawn(self, work):
        self.work.append(work)
        work.close()


def serve(monkeypatch, node=None, is_available=True, header=None, before=0):
    """Returns the reply to a request of a peer, and its relay if taken."""
    node = node or FakeServerNode()
    server = hops.HopServer(node, lambda: is_available, metrics.Metrics())
    monkeypatch.setattr(relay.Relay, "admit", lambda one: True)
    hop = hopheaders.Hop("n", 250.0, 7, 1, True)
    reply = relays.FakeReply()
    request = callers.CallerRequest(
        "POST", "/v/1", [("Host", "h"),
                         (hopheaders.HEADER, header or hopheaders.encode(hop))],
        b"x", 1000.0)
    for _ in range(before):
        server.on_request(request, relays.FakeReply())
    with clock.override(lambda: 1000.0):
        return reply, server.on_request(request, reply)


def test_time_that_passed_at_the_first_node_counts(monkeypatch):
    """Objective and deadline run from the arrival at the first node."""
    reply, one = serve(monkeypatch)
    assert not reply.started
    assert one.request.arrived_ms == 750.0
    # Runners get the request as the caller sent it.
    assert one.request.headers == [("Host", "h")]
    assert one.hop.attempts == 1


@pytest.mark.parametrize("fields,is_available,before", [
    ({}, False, 0),
    ({
        "is_cut": True
    }, True, 0),
    ({
        "config_version": 6
    }, True, 0),
    ({}, True, hops.MAX_CONCURRENT),
],
                         ids=["stopping", "cut-off", "older", "too-many"])
def test_node_that_can_not_serve_it_says_so_at_once(monkeypatch, fields,
                                                    is_available, before):
    node = FakeServerNode()
    vars(node).update(fields)
    reply, one = serve(monkeypatch, node, is_available, before=before)
    assert one is None
    assert reply.status == hops.NOT_TAKEN
    assert wirenames.NOT_EXECUTED in dict(reply.headers)


def test_malformed_hop_is_refused(monkeypatch):
    """A stranger connects to the port of the peers."""
    reply, one = serve(monkeypatch, header="age_ms=x")
    assert one is None and reply.status == 400


def test_request_of_a_peer_is_never_passed_on():
    one = types.SimpleNamespace(hop=hopheaders.Hop("n", 1.0, 7, 0, False))
    found = hops.Hops("n", None, metrics.Metrics(), None)
    assert found.find(one, 7, lambda place: True) is None
