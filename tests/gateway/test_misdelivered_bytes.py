"""Tests that bytes and ends of an exchange never reach another one."""

import asyncio

import pytest

from cardamommill import exceptions
from cardamommill.gateway.requests import attemptresult
from cardamommill.gateway.shell import attempts
from cardamommill.platform import fetching, wirenames
from cardamommill.transport import callers, upstream
from tests.gateway import exchanges, relays
from tests.gateway.shell import test_attempts
from tests.transport import test_callers
from tests.transport.test_replies import Parsed

GET_NEXT = b"GET /next HTTP/1.1\r\nHost: h\r\n\r\n"
POST_EXPECTING = (b"POST /y HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n"
                  b"Content-Length: 3\r\n\r\n")


class RecordingReceiver:
    """Records the ends of an exchange."""

    keeps_body = False

    def __init__(self):
        self.ends = []

    def on_head(self, head):
        del head
        return True

    def on_body(self, data):
        pass

    def on_end(self, ending, reason):
        del reason
        self.ends.append(ending)


# Connections of callers.


def test_continue_is_not_written_into_a_stream():
    """A caller sends a request that expects "100 Continue" during a stream.

    If the connection sent the "100 Continue" at once, the caller would read
    "HTTP/1.1 100" where a chunk length of the stream is due.
    """
    streams = []

    def handler(request, reply):
        del request
        streams.append(reply)
        reply.start(200, [])
        reply.write(b"one")

    async def script(client, server):
        del server
        client.transport.write(test_callers.GET)
        await asyncio.sleep(0.01)
        client.transport.write(POST_EXPECTING)
        await asyncio.sleep(0.01)
        streams[0].write(b"two")
        streams[0].end()
        await asyncio.sleep(0.01)

    client, _ = test_callers.run_script(script, handler)
    end = client.got.index(b"0\r\n\r\n") + len(b"0\r\n\r\n")
    assert Parsed(client.got[:end]).body == b"onetwo"


def _send_again(reply):
    reply.send(500, [], b"late")


def _fail(reply):
    raise RuntimeError(f"own fault after {reply}")


@pytest.mark.parametrize("fault", [_send_again, _fail])
def test_fault_of_a_handler_adds_no_answer(fault):
    """A handler raises an exception after a complete answer.

    It is called from within the parser, which reports the exception as an error
    of the request. The connection took that for a malformed request and sent a
    400 after the answer.
    """

    def handler(request, reply):
        del request
        reply.send(200, [], b"own")
        fault(reply)

    client, _ = test_callers.run_script(test_callers.send(test_callers.GET),
                                        handler)
    assert client.got.count(b"HTTP/1.1 ") == 1


def test_refusal_does_not_overtake_the_answer_to_a_queued_request():
    """Malformed bytes arrive between two answers on one connection.

    The first answer is complete, and the second request is queued but not yet
    handled. If the connection sent the 400 at once, the caller would read it as
    the answer to the second request.
    """
    waiting, connections = [], []

    def handler(request, reply):
        waiting.append((request.target, reply))

    async def script(client, server):
        client.transport.write(test_callers.GET + GET_NEXT)
        await asyncio.sleep(0.01)
        connections.extend(server.connections)
        waiting[0][1].send(200, [], b"one")
        connections[0].data_received(b"\x01 no request\r\n\r\n")
        await asyncio.sleep(0.01)
        if len(waiting) > 1:
            waiting[1][1].send(200, [], b"two")
        await asyncio.sleep(0.01)

    client, _ = test_callers.run_script(script, handler)
    assert b"400" not in client.got or b"two" not in client.got


def test_nothing_is_sent_after_an_answer_that_announced_close():
    """A node stops while two requests are pipelined on a connection.

    If the first answer announces that the connection closes, the second request
    must not be answered on it: a strict client rejects further bytes.
    """
    waiting = []

    def handler(request, reply):
        del request
        waiting.append(reply)

    async def script(client, server):
        client.transport.write(test_callers.GET + GET_NEXT)
        await asyncio.sleep(0.01)
        server.stop()
        waiting[0].send(200, [], b"one")
        await asyncio.sleep(0.01)
        for reply in waiting[1:]:
            reply.send(200, [], b"two")
        await asyncio.sleep(0.01)

    client, _ = test_callers.run_script(script, handler)
    Parsed(client.got)


def test_trailers_are_not_taken_as_headers():
    """A chunked body ends with a trailer field that names a model.

    The parser reports trailers like headers, but after the head was checked. As
    a header the field would reach the runner without any limit on its size.
    """
    got = []

    def handler(request, reply):
        got.append(request.get(wirenames.MODEL))
        reply.send(200, [], b"")

    test_callers.run_script(
        test_callers.send(
            b"POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"1\r\nx\r\n0\r\n" + wirenames.MODEL.encode() + b": other\r\n\r\n"),
        handler)
    assert got == [None]


def test_large_answer_reaches_a_caller_that_reads():
    """A complete answer is larger than the limit for unsent bytes.

    The limit is meant for callers that do not read their stream. When the bytes
    of the answer itself counted against it, a caller that was reading was
    disconnected, and the request was logged as answered.
    """
    body = b"x" * (attempts.MAX_ANSWER_BYTES - 1)

    async def main():
        server = callers.CallerServer(
            lambda request, reply: reply.send(200, [], body), print)
        loop = asyncio.get_running_loop()
        listening = await loop.create_server(
            lambda: callers.CallerConnection(server), "127.0.0.1", 0)
        async with listening:
            reader, writer = await asyncio.open_connection(
                *listening.sockets[0].getsockname())
            writer.write(test_callers.GET)
            try:
                await reader.readuntil(b"\r\n\r\n")
                return len(await reader.readexactly(len(body)))
            except asyncio.IncompleteReadError as error:
                return len(error.partial)
            finally:
                writer.close()

    assert asyncio.run(main()) == len(body)


# Requests and their attempts.


def test_request_whose_processing_fails_is_ended():
    """The choice of a group raises an exception.

    When the task of a request handled only `AnswerOutOfOrder`, the caller got
    no answer, its connection stayed busy, and the end of the request was not
    reported.
    """
    node = relays.FakeNode()

    def fail(one):
        raise KeyError(one.attempt_id)

    node.find_target = fail

    async def script():
        one = relays.begin(node)
        await asyncio.sleep(0.01)
        return one.reply, node.task.exception()

    reply, _ = asyncio.run(script())
    assert reply.ended and len(node.ends) == 1


def test_replayed_stream_that_ends_early_does_not_end_the_answer():
    """A stream breaks after three events and resumes at another runner.

    That runner starts from the beginning, sends one event, which the caller
    already has, and ends. It did not reach the caller's last event, so its end
    is not the end of the stream.
    """
    node = relays.FakeNode()

    async def script():
        one = relays.begin(node)
        await asyncio.sleep(0.01)
        first = node.exchanges[0]
        first.head(200)
        for number in (1, 2, 3):
            first.event(number)
        first.cut()
        await asyncio.sleep(0.01)
        second = node.exchanges[1]
        second.head(200)
        second.event(1)
        second.complete()
        await asyncio.sleep(0.01)
        return one.reply

    assert asyncio.run(script()).ending != "whole"


def test_events_without_ids_are_not_repeated():
    """A stream whose events have no ids breaks.

    Another runner cannot know where to resume it. It would start from the
    beginning, and the caller would get the same events again.
    """
    node = relays.FakeNode()

    async def script():
        one = relays.begin(node)
        await asyncio.sleep(0.01)
        first = node.exchanges[0]
        first.head(200)
        first.receiver.on_body(b"data: a\n\n")
        first.cut()
        await asyncio.sleep(0.01)
        for second in node.exchanges[1:]:
            second.head(200)
            second.receiver.on_body(b"data: a\n\n")
        return one.reply

    assert len(asyncio.run(script()).events) == 1


# Connections to runners.


def test_late_answer_to_a_request_is_not_taken_as_that_to_an_order():
    """A runner answers a request again while an order uses its connection.

    The late answer has the id of a request; the answer to an order has none.
    When it was taken as the answer to the order, its 200 confirmed the order,
    and the 409 for the order was never read.
    """
    late = test_attempts.answer()
    own = b"HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n"

    async def script(pool):
        return await fetching.fetch(pool, exchanges.ADDRESS,
                                    fetching.request_bytes("POST", "/o", []),
                                    500)

    answer, _ = exchanges.run(script, [late + own])
    assert answer.head.status == 409


def test_cancelling_an_ended_exchange_does_not_affect_the_next_one():
    """An exchange is cancelled after its answer arrived.

    Its connection may carry the next request by then. When it was closed, the
    runner of that request was counted as broken.
    """

    async def script(pool):
        first, second = RecordingReceiver(), RecordingReceiver()
        request = b"GET / HTTP/1.1\r\n\r\n"
        ended = pool.send(exchanges.ADDRESS, request, first)
        await asyncio.sleep(0.05)
        pool.send(exchanges.ADDRESS, request, second)
        ended.cancel()
        await asyncio.sleep(0.05)
        return first.ends, second.ends

    (first, second), _ = exchanges.run(
        script,
        [test_attempts.answer(), test_attempts.answer()])
    assert first == second == [upstream.Ending.COMPLETE]


def test_connection_that_is_reset_as_it_opens_ends_the_attempt():
    """A runner at its connection limit resets a new connection.

    The reset arrives after the connection is established, before the task that
    opened it continues and writes the request. An assertion failed in that
    task unnoticed, and the request waited until its deadline, although no byte
    of it left the node.
    """

    async def script(pool):
        loop = asyncio.get_running_loop()

        async def connect(factory, *address):
            del address
            protocol = factory()
            protocol.connection_made(asyncio.Transport())
            protocol.connection_lost(ConnectionResetError("reset by peer"))
            return None, protocol

        loop.create_connection = connect
        loop.set_exception_handler(lambda loop, context: None)
        receiver = RecordingReceiver()
        pool.send(exchanges.ADDRESS, b"GET / HTTP/1.1\r\n\r\n", receiver)
        await asyncio.sleep(1)
        return receiver.ends

    ends, _ = exchanges.run(script, [])
    assert ends == [upstream.Ending.NOT_SENT]


def test_truncated_answer_with_two_transfer_encoding_fields_is_broken():
    """A runner sends "gzip" and "chunked" in two Transfer-Encoding fields.

    Its answer ends without the last chunk and without a reset. When only the
    first field was read, it counted as an answer that ends with its connection.
    """
    outcome, _, _ = test_attempts.attempt(
        (f"HTTP/1.1 200 OK\r\n{test_attempts.OWN}Transfer-Encoding: gzip\r\n"
         "Transfer-Encoding: chunked\r\n\r\n3\r\nyes\r\n").encode(),
        after_answer="close")
    assert outcome.result is attemptresult.Result.BROKEN


def test_fault_of_this_node_is_not_attributed_to_the_runner():
    """The code that takes the events of a stream raises an exception.

    The parser turns it into an error of its own. The attempt was reported as
    "no HTTP", the runner was avoided for it, and the fault was not logged.
    """

    class Sink:

        def on_head(self, head):
            pass

        def on_event(self, head, event):
            raise exceptions.AnswerOutOfOrder("a piece after all of it")

    async def script(pool):
        one = attempts.Attempt("a1", True, Sink())
        one.exchange = pool.send(exchanges.ADDRESS, b"GET / HTTP/1.1\r\n\r\n",
                                 one)
        return await one.done

    outcome, _ = exchanges.run(script,
                               [test_attempts.stream("id: 1\ndata: x\n\n")])
    assert "no HTTP" not in outcome.reason
