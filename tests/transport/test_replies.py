"""Tests of the bytes sent to a caller when an answer fails."""

import asyncio
import contextlib

import httptools
import pytest

from cardamommill import exceptions
from tests.gateway import relays
from tests.transport import test_callers

REQUEST = (b"POST /v/1 HTTP/1.1\r\nHost: h\r\n"
           b"X-Cardamommill-Attempt-Id: a1\r\nContent-Length: 0\r\n\r\n")


class Parsed:
    """An answer as parsed by a strict client; httptools calls ``on_...``."""

    def __init__(self, data):
        self.statuses = []
        self.body = b""
        self.complete = False
        self._parser = httptools.HttpResponseParser(self)
        self._parser.feed_data(data)

    def on_headers_complete(self):
        self.statuses.append(self._parser.get_status_code())

    def on_body(self, data):
        self.body += data

    def on_message_complete(self):
        self.complete = True


def test_failed_resumption_writes_no_byte_into_a_stream():
    """A group becomes silent after two events of a stream, and then dies.

    The stream resumes at another group, whose head answers 500.
    The error answer was written after the events, and 2 ms after the 500 the
    caller read "HTTP/1.1 500" where a chunk length was due. It has to get
    complete events, then the close of its connection without the end of the
    answer.
    """
    node = relays.FakeNode()
    begun = []

    def handler(request, reply):
        begun.append(relays.begin(node, request, reply))
        return begun[0]

    async def script(client, server):
        del server
        client.transport.write(REQUEST)
        await asyncio.sleep(0.01)
        first = node.exchanges[0]
        first.head(200)
        first.event(1)
        first.event(2)
        begun[0].divert("group silent")
        await asyncio.sleep(0.01)
        node.exchanges[1].answer(500)
        await asyncio.sleep(0.01)
        assert not first.cancelled and not client.closed
        node.groups = 2
        node.repeats_left = 0
        first.cut()
        await asyncio.sleep(0.05)

    client, _ = test_callers.run_script(script, handler)
    parsed = Parsed(client.got)
    assert parsed.statuses == [200]
    assert parsed.body == b"id: 1\ndata: x\n\nid: 2\ndata: x\n\n"
    assert client.closed and not parsed.complete
    assert node.ends[0][1].startswith("broken off")


def _send(reply):
    reply.send(500, [], b"it failed")


def _start(reply):
    reply.start(200, [])


def _write(reply):
    reply.write(b"x")


def _end(reply):
    reply.end()


def _abort(reply):
    reply.abort()


@pytest.mark.parametrize("before,step", [
    ((_start, _write), _send),
    ((_start, _write), _start),
    ((), _write),
    ((), _end),
    ((_send,), _send),
    ((_send,), _write),
    ((_start, _end), _write),
    ((_start, _end), _end),
])
def test_step_out_of_order_is_not_sent(before, step):
    """A handler sends a part of an answer that cannot follow the last one.

    A complete answer after events reached a caller as bytes of its stream. Such
    a part is not sent: an answer that has begun is aborted, a complete one
    stays as it is, and the fault is raised.
    """
    faults, ended = [], []

    def handler(request, reply):
        del request
        for each in before:
            each(reply)
        ended.append(reply.ended)
        try:
            step(reply)
        except exceptions.CardamommillError as error:
            faults.append(error)

    async def script(client, server):
        del server
        client.transport.write(test_callers.GET)
        await asyncio.sleep(0.05)

    client, _ = test_callers.run_script(script, handler)
    was_complete = ended[0]
    assert client.closed is not was_complete
    assert client.got.count(b"HTTP/1.1 ") == bool(before)
    if was_complete:
        assert Parsed(client.got).complete
    elif before:
        parsed = Parsed(client.got)
        assert (parsed.body, parsed.complete) == (b"x", False)
    assert [each.step for each in faults] == ["answer"]


def test_fault_after_a_complete_answer_does_not_affect_the_next_one():
    """The handler of a request writes after its end, during the next answer.

    Both requests share a connection. If the fault aborted it, the second
    request would lose its answer.
    """
    replies = []

    def handler(request, reply):
        del request
        replies.append(reply)
        reply.start(200, [])

    async def script(client, server):
        del server
        client.transport.write(test_callers.GET + test_callers.GET)
        await asyncio.sleep(0.01)
        replies[0].end()
        await asyncio.sleep(0.01)
        for step in (_write, _end, _send, _abort):
            with contextlib.suppress(exceptions.CardamommillError):
                step(replies[0])
        replies[1].write(b"own")
        replies[1].end()
        await asyncio.sleep(0.01)

    client, _ = test_callers.run_script(script, handler)
    assert not client.closed
    assert client.got.count(b"HTTP/1.1 ") == 2
    assert client.got.endswith(b"3\r\nown\r\n0\r\n\r\n")
