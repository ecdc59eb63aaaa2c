"""Tests of what callers are told in the end."""

import asyncio

import pytest

from cardamommill.gateway import callers, clock, model, placing, relay
from tests.gateway import builders, relays

REFUSED = placing.Refused("all groups are full", 1300.0)


class Node:
    """Has no target for any request."""

    def __init__(self):
        self.work = []
        self.ends = []

    def spawn(self, work):
        self.work.append(work)

    def find_target(self, one):
        del one
        return REFUSED

    def ended(self, one, status, reason):
        del one
        self.ends.append((status, reason))


class Reply:
    """Keeps the answer."""

    started = False

    def send(self, status, headers, body):
        self.answer = (status, dict(headers), body)


def end(ran):
    """Returns the answer to a request that nobody takes any more."""
    node, reply = Node(), Reply()
    request = callers.CallerRequest("POST", "/v1", [], b"", 0.0)
    one = relay.Relay(node, request, reply)
    if ran:
        known = next(iter(builders.view(builders.runner(1)).known.values()))
        one.may_have_run_at.append(relay.Target(known))
    one.start()
    (work,) = node.work
    asyncio.run(work)
    return reply.answer


@pytest.mark.parametrize("ran,status", [(False, 503), (True, 502)])
def test_refused_caller_is_told_when_to_come_back(ran, status):
    """No group has a place. Of one that was tried nobody says "not run".

    Its caller may repeat it all the same, and is told when that is of use.
    """
    answer = end(ran)
    assert answer[0] == status
    assert answer[1]["Retry-After"] == "1.300"


def played(play, **changes):
    """Runs a coroutine function on a request that is at its first runner."""
    node = relays.FakeNode(**changes)

    async def run():
        one = relays.begin(node)
        await asyncio.sleep(0)
        await play(node, one)
        await asyncio.sleep(0)
        return one.reply

    return asyncio.run(run()), node


def test_failed_resumption_is_no_part_of_the_stream():
    """A runner is cut after two events; the next answers with a failure.

    The caller has a stream that has begun: the failure's bytes would be taken
    for its events. It is told that the stream is not whole.
    """

    async def play(node, one):
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

    reply, _ = played(play)
    assert reply.events == [1, 2]
    assert reply.ending == "broken off"


def test_repeatable_request_that_a_runner_fails_gets_another():
    """One runner of several answers 500 to a part of its requests."""

    async def play(node, one):
        del one
        node.exchanges[0].answer(500)
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        node.exchanges[1].answer(200, b"yes")
        await asyncio.sleep(0)

    reply, _ = played(play, kind=model.RouteKind.IDEMPOTENT)
    assert (reply.status, reply.complete_bodies) == (200, [b"yes"])


@pytest.mark.parametrize("then", ["refused", "cut"])
def test_failure_of_a_runner_is_told_if_nothing_better_comes(then):
    """A runner fails a request; the next one refuses it or goes away."""

    async def play(node, one):
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

    reply, _ = played(play, kind=model.RouteKind.IDEMPOTENT)
    assert (reply.status, reply.complete_bodies) == (500, [b"first"])


def test_request_that_may_run_once_gets_its_runners_failure():
    """A purchase fails at its runner: run again it could be billed twice."""

    async def play(node, one):
        del one
        node.exchanges[0].answer(500)
        await asyncio.sleep(0)

    reply, node = played(play, kind=model.RouteKind.NON_IDEMPOTENT)
    assert reply.status == 500
    assert len(node.exchanges) == 1


@pytest.mark.parametrize("lacking", ["key", "budget", "group"])
def test_running_stream_is_left_only_when_all_is_there_to_go_on(lacking):
    """A group falls silent for one node, with two events delivered.

    Its key is not confirmed, the budget is used up, or no other group stands.
    Left at once the stream would end at a runner that was well; it stays, and
    goes on there or elsewhere once it can.
    """

    async def play(node, one):
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
        await asyncio.sleep(2 * relay.RESUME_POLL_MS / 1000)
        assert first.cancelled
        second = node.exchanges[1]
        second.head(200)
        second.event(2)
        second.complete()
        await asyncio.sleep(0)

    reply, _ = played(play)
    assert reply.events == [1, 2]
    assert reply.ending == "whole"


def test_event_keeps_a_stream_where_it_is():
    """The group that was silent goes on before there is a way elsewhere."""

    async def play(node, one):
        first = node.exchanges[0]
        first.head(200)
        first.event(1)
        node.groups = 1
        one.divert("group silent")
        first.event(2)
        node.groups = 3
        await asyncio.sleep(2 * relay.RESUME_POLL_MS / 1000)
        assert not first.cancelled
        first.complete()
        await asyncio.sleep(0)

    reply, _ = played(play)
    assert (reply.events, reply.ending) == ([1, 2], "whole")


def test_stream_waits_a_while_for_its_key_to_be_confirmed():
    """A runner is cut; the node's view of the keys is too old for 20 ms more.

    Ended at once, an answer that could go on would be lost.
    """

    async def play(node, one):
        del one
        first = node.exchanges[0]
        first.head(200)
        first.event(1)
        node.are_keys_valid = False
        first.cut()
        await asyncio.sleep(0.02)
        node.are_keys_valid = True
        await asyncio.sleep(2 * relay.RESUME_POLL_MS / 1000)
        node.exchanges[1].head(200)
        node.exchanges[1].event(2)
        node.exchanges[1].complete()
        await asyncio.sleep(0)

    reply, _ = played(play)
    assert (reply.events, reply.ending) == ([1, 2], "whole")


@pytest.mark.parametrize("begun", [False, True])
def test_groups_that_never_began_a_stream_use_up_no_attempts(begun):
    """Two groups in a row lose a member before they give an event.

    The route allows two runs. None has begun, so the third group may run it;
    had both begun it, it would have run three times.
    """

    async def play(node, one):
        for number in range(2):
            exchange = node.exchanges[number]
            if begun:
                exchange.head(200)
                exchange.event(number + 1)
            one.divert("member does not answer", is_dead=True)
            await asyncio.sleep(2 * relay.RESUME_POLL_MS / 1000)
        assert len(node.exchanges) == (2 if begun else 3)
        assert node.exchanges[1].cancelled is not begun

    played(play)


def test_groups_that_hold_a_request_use_up_its_attempts():
    """Two heads in a row take a request and keep it; all their members answer.

    They may be at work on it without an event. The route allows two runs:
    counted as none of theirs, it ran at a third head, and in a day in which a
    fifth of the runners held what they got more requests did so than may.
    """

    async def play(node, one):
        for _ in range(2):
            one.divert("group stands still")
            await asyncio.sleep(2 * relay.RESUME_POLL_MS / 1000)
        assert len(node.exchanges) == 2
        assert not node.exchanges[1].cancelled

    played(play)


@pytest.mark.parametrize("is_dead", [False, True])
def test_request_at_a_dead_group_is_not_held(is_dead):
    """A group loses a member before it has begun a request; no other stands.

    Nothing will come of it there: its caller is told at once when to come back,
    and that it may have run. While the group is only silent it may still begin.
    """

    async def play(node, one):
        node.groups = 1
        one.divert("member does not answer", is_dead)
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert one.reply.ended is is_dead

    reply, _ = played(play)
    if is_dead:
        assert reply.status == 502
        assert "Retry-After" in dict(reply.headers)


def test_stream_that_waited_until_its_time_was_over_goes_nowhere():
    """Its run is cut while its key is not confirmed; its caller's time ends.

    The key is confirmed after that, a group stands, and the request was sent
    there: work for a caller who had left, whose leaving this node had not seen.
    """

    async def play(node, one):
        first = node.exchanges[0]
        first.head(200)
        first.event(1)
        node.are_keys_valid = False
        one.deadline_at_ms = clock.now_ms() + 1.2 * relay.RESUME_POLL_MS
        first.cut()
        await asyncio.sleep(1.5 * relay.RESUME_POLL_MS / 1000)
        node.are_keys_valid = True
        await asyncio.sleep(0.1)

    reply, node = played(play)
    assert len(node.exchanges) == 1
    assert reply.ending == "broken off"


def test_caller_that_left_unseen_gets_no_second_run():
    """Run cut and connection closed are read in one turn of the event loop.

    The cut came first, and its follow-up was sent before the loop got to the
    caller's close.
    """

    async def play(node, one):
        loop = asyncio.get_running_loop()
        node.exchanges[0].cut()
        loop.call_soon(one.caller_left)
        await asyncio.sleep(0.05)

    _, node = played(play)
    assert len(node.exchanges) == 1
