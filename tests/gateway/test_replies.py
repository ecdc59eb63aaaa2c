"""What a caller's connection carries, byte by byte, when steps go wrong."""

import asyncio
import contextlib

import httptools
import pytest

from cardamommill import exceptions
from tests.gateway import relays, test_callers

REQUEST = (b"POST /v/1 HTTP/1.1\r\nHost: h\r\n"
           b"X-Cardamommill-Attempt-Id: a1\r\nContent-Length: 0\r\n\r\n")


class Parsed:
    """An answer as a strict client reads it; httptools calls ``on_...``."""

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


def test_failed_resumption_leaves_no_byte_in_a_begun_stream():
    """A group falls silent after two events; its stream goes on at another.

    That group's head answers 500 a millisecond later, as it answers whatever
    it gets. With the failure written behind the events the caller read
    "HTTP/1.1 500" where a chunk's length was due: no answer in the protocol,
    2 ms after the 500 in both cases seen. It has to get whole events, then the
    end of its connection without the end of the answer.
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
        assert first.cancelled
        node.exchanges[1].answer(500)
        await asyncio.sleep(0.05)

    client, _ = test_callers.play(script, handler)
    parsed = Parsed(client.got)
    assert parsed.statuses == [200]
    assert parsed.body == b"id: 1\ndata: x\n\nid: 2\ndata: x\n\n"
    assert client.closed and not parsed.complete
    assert node.ends[0][1].startswith("broken off")


def _whole(reply):
    reply.send(500, [], b"it failed")


def _start(reply):
    reply.start(200, [])


def _piece(reply):
    reply.write(b"x")


def _end(reply):
    reply.end()


def _break_off(reply):
    reply.abort()


@pytest.mark.parametrize("before,step", [
    ((_start, _piece), _whole),
    ((_start, _piece), _start),
    ((), _piece),
    ((), _end),
    ((_whole,), _whole),
    ((_whole,), _piece),
    ((_start, _end), _piece),
    ((_start, _end), _end),
])
def test_connection_takes_no_step_that_does_not_follow(before, step):
    """Whoever answers takes a step that can't follow what was sent.

    A whole answer after events reached a caller as bytes of its stream, since
    each decision above had to remember what the connection alone knows. The
    connection takes no such step: an answer that has begun is broken off, one
    that is complete stays as it was, and the fault is told.
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

    client, _ = test_callers.play(script, handler)
    was_complete = ended[0]
    assert client.closed is not was_complete
    assert client.got.count(b"HTTP/1.1 ") == bool(before)
    if was_complete:
        assert Parsed(client.got).complete
    elif before:
        parsed = Parsed(client.got)
        assert (parsed.body, parsed.complete) == (b"x", False)
    assert [each.step for each in faults] == ["answer"]


def test_fault_after_a_complete_answer_leaves_the_next_one_alone():
    """A late step of the first request comes while the second is answered.

    Both share a connection. Broken off for the first's fault, the second's
    caller would lose an answer that was coming.
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
        for step in (_piece, _end, _whole, _break_off):
            with contextlib.suppress(exceptions.CardamommillError):
                step(replies[0])
        replies[1].write(b"own")
        replies[1].end()
        await asyncio.sleep(0.01)

    client, _ = test_callers.play(script, handler)
    assert not client.closed
    assert client.got.count(b"HTTP/1.1 ") == 2
    assert client.got.endswith(b"3\r\nown\r\n0\r\n\r\n")
