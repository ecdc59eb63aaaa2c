"""Tests of attempts, diversions and final answers of relayed requests."""

import asyncio

import pytest

from cardamommill.domain import clock, model
from cardamommill.gateway.requests import placing
from cardamommill.gateway.shell import admitting, diversion, relay
from cardamommill.transport import callers, upstream
from tests.gateway import relays

REFUSED = placing.Refused("all groups are full", 1300.0)


class NodeWithoutTargets:
    """Context of a relay that never has a target for a request."""

    def __init__(self):
        self.work = []
        self.ends = []

    def spawn(self, work):
        self.work.append(work)

    def quarantine_left_ms(self, one):
        del one
        return 0.0

    def find_target(self, one):
        del one
        return REFUSED

    def ended(self, one, status, reason):
        del one
        self.ends.append((status, reason))


class RecordingReply:
    """Keeps an answer that is sent in one piece."""

    started = False

    def send(self, status, headers, body):
        self.answer = (status, dict(headers), body)


def end(ran):
    """Returns the answer to a request that can't be placed.

    Args:
        ran: Whether an earlier attempt may have run the request.
    """
    node, reply = NodeWithoutTargets(), RecordingReply()
    request = callers.CallerRequest("POST", "/v1", [], b"", 0.0)
    one = relay.Relay(node, request, reply)
    one.may_have_run = ran
    one.start()
    (work,) = node.work
    asyncio.run(work)
    return reply.answer


@pytest.mark.parametrize("ran,status", [(False, 503), (True, 502)])
def test_refusal_says_when_to_retry(ran, status):
    """All groups are full; an earlier attempt may have run the request.

    In that case the answer must not promise that the request has not run, but
    it still says when a retry is worthwhile.
    """
    answer = end(ran)
    assert answer[0] == status
    assert answer[1]["Retry-After"] == "1.300"


def run_scenario(scenario, **changes):
    """Runs a scenario with a request that is at its first runner.

    Args:
        scenario: Coroutine function that gets the node and the relay.
        **changes: Arguments of the node.

    Returns:
        The reply and the node.
    """
    node = relays.FakeNode(**changes)

    async def run():
        one = relays.begin(node)
        await asyncio.sleep(0)
        await scenario(node, one)
        await asyncio.sleep(0)
        return one.reply

    return asyncio.run(run()), node


def test_streams_that_break_together_share_what_is_left_of_the_budget():
    """A runner's end breaks all its streams before any of them is repeated.

    All read the same number of repeats, and each was sent once more.
    """
    node = relays.FakeNode()
    node.repeats_left = 1

    async def run():
        streams = [relays.begin(node) for _ in range(5)]
        await asyncio.sleep(0)
        for each in node.exchanges[:]:
            each.cut()
        for _ in range(5):
            await asyncio.sleep(0)
        return streams

    streams = asyncio.run(run())
    assert len(node.exchanges) == len(streams) + 1
    assert [each.reply.status for each in streams].count(502) == 4


def refuse_connection(exchange):
    exchange.sent = False
    exchange.receiver.on_end(upstream.Ending.NOT_SENT, "connect: refused")


def test_refused_connections_use_none_of_the_retry_budget():
    """Guards against 503 to others because of a row that names no runner."""

    async def scenario(node, one):
        del one
        node.repeats_left = 0
        for each in range(2):
            refuse_connection(node.exchanges[each])
            await asyncio.sleep(0)
            await asyncio.sleep(0)
        node.exchanges[2].head(200)
        node.exchanges[2].event(1)

    reply, node = run_scenario(scenario)
    assert len(node.exchanges) == 3
    assert reply.events == [1]
    assert node.repeats_left == 0


@pytest.mark.parametrize("is_suspect,sends", [(False, 2), (True, 1)])
def test_request_that_seems_to_crash_runners_is_not_repeated(is_suspect, sends):
    """A node took one head after the other with its own attempts."""

    async def scenario(node, one):
        del one
        node.is_suspect = is_suspect
        node.exchanges[0].cut()
        await asyncio.sleep(0)

    reply, node = run_scenario(scenario)
    assert len(node.exchanges) == sends
    assert reply.status == (502 if is_suspect else 0)


def test_quarantined_request_is_refused_at_once_and_has_not_run(monkeypatch):
    """Its caller may rely on the status, and is told when it may run again."""
    node, reply = relays.FakeNode(), RecordingReply()
    node.quarantined_ms = 90_000.0
    monkeypatch.setattr(
        admitting, "admit",
        lambda *_: admitting.Admitted(node.route, relays.FAR_DEADLINE_MS))
    request = callers.CallerRequest("POST", "/v/1", [], b"", 0.0)
    assert not relay.Relay(node, request, reply).admit()
    status, headers, _ = reply.answer
    assert (status, headers["Retry-After"]) == (503, "90.000")
    assert not node.exchanges


def test_request_that_is_quarantined_after_an_attempt_may_have_run():
    """The answer must not promise that it has not run."""

    async def scenario(node, one):
        del one
        node.quarantined_ms = 60_000.0
        node.exchanges[0].cut()
        await asyncio.sleep(0)

    reply, node = run_scenario(scenario)
    assert len(node.exchanges) == 1
    assert reply.status == 502
    assert reply.complete_bodies[0].startswith(b"crashed the backend servers")


def test_failed_resumption_breaks_the_stream():
    """The connection breaks after two events; the next runner answers 500.

    The caller would take the bytes of that answer for events of the stream that
    it is receiving. Its stream is aborted instead.
    """

    async def scenario(node, one):
        del one
        first = node.exchanges[0]
        first.head(200)
        first.event(1)
        first.event(2)
        first.cut()
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert node.exchanges[1].after_event == 2
        node.exchanges[1].answer(500)
        await asyncio.sleep(0)

    reply, _ = run_scenario(scenario)
    assert reply.events == [1, 2]
    assert reply.ending == "broken off"


def test_repeatable_request_is_retried_after_a_failure():
    """One of several runners answers 500 to some requests."""

    async def scenario(node, one):
        del one
        node.exchanges[0].answer(500)
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        node.exchanges[1].answer(200, b"yes")
        await asyncio.sleep(0)

    reply, _ = run_scenario(scenario, kind=model.RouteKind.IDEMPOTENT)
    assert (reply.status, reply.complete_bodies) == (200, [b"yes"])


@pytest.mark.parametrize("then", ["refused", "cut"])
def test_first_failure_is_passed_on_if_the_retry_fails_too(then):
    """A runner answers 500; the next one refuses or its connection breaks."""

    async def scenario(node, one):
        del one
        node.exchanges[0].answer(500, b"first")
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        if then == "refused":
            node.groups = 2
            node.exchanges[1].answer(503,
                                     **{"X-Cardamommill-Not-Executed": "1"})
        else:
            node.exchanges[1].cut()
        await asyncio.sleep(0)
        await asyncio.sleep(0)

    reply, _ = run_scenario(scenario, kind=model.RouteKind.IDEMPOTENT)
    assert (reply.status, reply.complete_bodies) == (500, [b"first"])


def test_non_idempotent_request_is_not_retried_after_a_failure():
    """A purchase fails at its runner; a retry could bill it twice."""

    async def scenario(node, one):
        del one
        node.exchanges[0].answer(500)
        await asyncio.sleep(0)

    reply, node = run_scenario(scenario, kind=model.RouteKind.NON_IDEMPOTENT)
    assert reply.status == 500
    assert len(node.exchanges) == 1


@pytest.mark.parametrize("lacking", ["key", "budget", "group"])
def test_stream_is_diverted_only_once_it_can_be_resumed(lacking):
    """A group falls silent for one node after the first event of a stream.

    The API key is not confirmed, the retry budget is used up, or no other group
    is available. If the attempt ended at once, a stream at a healthy runner
    would break; it stays there until another group can resume it.
    """

    async def scenario(node, one):
        first = node.exchanges[0]
        first.head(200)
        first.event(1)
        node.are_keys_valid = lacking != "key"
        node.repeats_left = 0 if lacking == "budget" else 10
        node.groups = 1 if lacking == "group" else 3
        one.divert("group silent")
        await asyncio.sleep(0)
        assert not first.cancelled
        node.are_keys_valid, node.repeats_left, node.groups = True, 10, 3
        await asyncio.sleep(2 * diversion.POLL_MS / 1000)
        assert not first.cancelled
        second = node.exchanges[1]
        second.head(200)
        second.event(2)
        assert first.cancelled
        second.complete()
        await asyncio.sleep(0)

    reply, _ = run_scenario(scenario)
    assert reply.events == [1, 2]
    assert reply.ending == "whole"


async def settle():
    for _ in range(5):
        await asyncio.sleep(0)


def test_silent_runner_goes_on_after_another_one_refused():
    """The only attempt that could go on was closed for one that did not."""

    async def scenario(node, one):
        first = node.exchanges[0]
        first.head(200)
        first.event(1)
        one.divert("group stands still")
        await settle()
        node.groups = 2
        node.exchanges[1].answer(503, **{"X-Cardamommill-Not-Executed": "1"})
        await settle()
        assert not one.reply.ended
        first.event(2)
        first.complete()
        await settle()

    reply, _ = run_scenario(scenario)
    assert (reply.events, reply.ending) == ([1, 2], "whole")


@pytest.mark.parametrize("speaks_first", [0, 1])
def test_attempt_that_brings_the_next_event_goes_on_alone(speaks_first):
    """Two runners have the request; events of both must not be joined."""

    async def scenario(node, one):
        first = node.exchanges[0]
        first.head(200)
        first.event(1)
        one.divert("group stands still")
        await settle()
        node.exchanges[1].head(200)
        node.exchanges[speaks_first].event(2)
        await settle()
        other = node.exchanges[1 - speaks_first]
        assert other.cancelled
        other.event(2)
        other.event(3)
        node.exchanges[speaks_first].event(3)
        node.exchanges[speaks_first].complete()
        await settle()
        assert one.answered_by == f"i-{speaks_first}"

    reply, node = run_scenario(scenario)
    assert (reply.events, reply.ending) == ([1, 2, 3], "whole")
    assert len(node.exchanges) == 2


def test_streams_diverted_together_keep_their_runners():
    """All closed their runners' connections before any used the budget."""
    node = relays.FakeNode()
    node.repeats_left = 2

    async def run():
        streams = [relays.begin(node) for _ in range(5)]
        await settle()
        at_first = node.exchanges[:]
        for each in at_first:
            each.head(200)
            each.event(1)
        for each in streams:
            each.divert("group stands still")
        await settle()
        assert len(node.exchanges) == len(streams) + 2
        for each in at_first:
            each.event(2)
            each.complete()
        await settle()
        return streams

    for each in asyncio.run(run()):
        assert (each.reply.events, each.reply.ending) == ([1, 2], "whole")
    assert all(each.cancelled for each in node.exchanges[5:])


@pytest.mark.parametrize("is_begun", [False, True])
def test_all_attempts_end_when_the_caller_leaves(is_begun):
    """A runner must not go on working for a caller that has left."""

    async def scenario(node, one):
        if is_begun:
            node.exchanges[0].head(200)
            node.exchanges[0].event(1)
        one.divert("group stands still")
        await settle()
        one.caller_left()
        await settle()

    _, node = run_scenario(scenario)
    assert [each.cancelled for each in node.exchanges] == [True, True]
    assert node.ends == [(0, "caller left")]


def test_group_found_dead_after_another_was_tried_ends_the_first_attempt():
    """Before the answer began, only the other attempt is worth waiting for."""

    async def scenario(node, one):
        one.divert("group stands still")
        await settle()
        one.divert("member does not answer", is_dead=True)
        await settle()
        # Neither has begun the request, so a third one may run it.
        assert len(node.exchanges) == 3
        node.exchanges[2].head(200)
        node.exchanges[2].event(1)
        node.exchanges[2].complete()
        await settle()

    reply, node = run_scenario(scenario)
    assert (reply.events, reply.ending) == ([1], "whole")
    assert [each.cancelled for each in node.exchanges] == [True, True, False]


def test_event_cancels_a_diversion():
    """A silent group continues before another group becomes available."""

    async def scenario(node, one):
        first = node.exchanges[0]
        first.head(200)
        first.event(1)
        node.groups = 1
        one.divert("group silent")
        first.event(2)
        node.groups = 3
        await asyncio.sleep(2 * diversion.POLL_MS / 1000)
        assert not first.cancelled
        first.complete()
        await asyncio.sleep(0)

    reply, _ = run_scenario(scenario)
    assert (reply.events, reply.ending) == ([1, 2], "whole")


def test_broken_stream_waits_for_its_key_to_be_confirmed():
    """A connection breaks; the node can't confirm keys for another 20 ms.

    If the request ended at once, a stream that could be resumed would be lost.
    """

    async def scenario(node, one):
        del one
        first = node.exchanges[0]
        first.head(200)
        first.event(1)
        node.are_keys_valid = False
        first.cut()
        await asyncio.sleep(0.02)
        node.are_keys_valid = True
        await asyncio.sleep(2 * diversion.POLL_MS / 1000)
        node.exchanges[1].head(200)
        node.exchanges[1].event(2)
        node.exchanges[1].complete()
        await asyncio.sleep(0)

    reply, _ = run_scenario(scenario)
    assert (reply.events, reply.ending) == ([1, 2], "whole")


@pytest.mark.parametrize("begun", [False, True])
def test_dead_groups_count_as_attempts_only_if_they_gave_events(begun):
    """Two groups in a row lose a member, before or after giving an event.

    The route allows two attempts. Without an event neither group has started
    the request, so a third group may run it. After events at both, a third
    group would run it a third time.
    """

    async def scenario(node, one):
        for number in range(2):
            exchange = node.exchanges[number]
            if begun:
                exchange.head(200)
                exchange.event(number + 1)
            one.divert("member does not answer", is_dead=True)
            await asyncio.sleep(2 * diversion.POLL_MS / 1000)
        assert len(node.exchanges) == (2 if begun else 3)
        assert node.exchanges[1].cancelled is not begun

    run_scenario(scenario)


def test_silent_groups_count_as_attempts_at_an_isolated_node():
    """The node's own link is cut, so all groups seem to have lost members.

    The heads may be running the request. If its attempts did not count, it
    would run on a third one where its route allows two.
    """

    async def scenario(node, one):
        one.divert("member does not answer", is_dead=True)
        await asyncio.sleep(2 * diversion.POLL_MS / 1000)
        node.is_cut_off = True
        one.divert("member does not answer", is_dead=True)
        await asyncio.sleep(2 * diversion.POLL_MS / 1000)
        assert len(node.exchanges) == 2

    run_scenario(scenario)


def test_stalled_groups_count_as_attempts():
    """Two heads in a row accept a request and give no event.

    All members of their groups answer, so both may be running the request. The
    route allows two attempts. If these did not count, the request would run at
    a third head. With a fifth of the runners holding requests without an event,
    the number of requests that ran too often exceeded its limit.
    """

    async def scenario(node, one):
        for _ in range(2):
            one.divert("group stands still")
            await asyncio.sleep(2 * diversion.POLL_MS / 1000)
        assert len(node.exchanges) == 2
        assert not node.exchanges[1].cancelled

    run_scenario(scenario)


@pytest.mark.parametrize("is_dead", [False, True])
def test_request_at_a_dead_group_is_answered_at_once(is_dead):
    """A group loses a member before the first event; no other is available.

    The request can't complete there: its caller is told at once that it may
    have run and when to retry. A group that is only silent may still start it.
    """

    async def scenario(node, one):
        node.groups = 1
        one.divert("member does not answer", is_dead)
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert one.reply.ended is is_dead

    reply, _ = run_scenario(scenario)
    if is_dead:
        assert reply.status == 502
        assert "Retry-After" in dict(reply.headers)


def test_stream_is_not_resumed_after_its_deadline():
    """A stream breaks while its key is unconfirmed, and its deadline passes.

    The key is confirmed afterwards and a group is available. Sent there, the
    request would run for a caller that has left without the node noticing.
    """

    async def scenario(node, one):
        first = node.exchanges[0]
        first.head(200)
        first.event(1)
        node.are_keys_valid = False
        one.deadline_at_ms = clock.now_ms() + 1.2 * diversion.POLL_MS
        first.cut()
        await asyncio.sleep(1.5 * diversion.POLL_MS / 1000)
        node.are_keys_valid = True
        await asyncio.sleep(0.1)

    reply, node = run_scenario(scenario)
    assert len(node.exchanges) == 1
    assert reply.ending == "broken off"


def test_request_is_not_retried_for_a_caller_that_just_left():
    """The runner's and the caller's connections close in one loop iteration.

    The runner's close was handled first, and the retry was sent before the
    event loop got to the caller's close.
    """

    async def scenario(node, one):
        loop = asyncio.get_running_loop()
        node.exchanges[0].cut()
        loop.call_soon(one.caller_left)
        await asyncio.sleep(0.05)

    _, node = run_scenario(scenario)
    assert len(node.exchanges) == 1


def test_diverted_streams_do_not_flood_a_cold_head():
    """All streams of a silent group find the same head with one token left.

    When each found it before any of them was sent there, all were.
    """

    async def play():
        node = relays.FakeNode()
        node.cold = {"i-1"}
        streams = [relays.begin(node) for _ in range(3)]
        await asyncio.sleep(0)
        for each in node.exchanges[:]:
            each.head(200)
            each.event(1)
        for each in streams:
            each.divert("group silent")
        await asyncio.sleep(0.05)
        return [
            [at.known.runner.id for at in each.attempted] for each in streams
        ]

    assert asyncio.run(play()) == [["i-0", "i-1"], ["i-0", "i-2"],
                                   ["i-0", "i-2"]]
