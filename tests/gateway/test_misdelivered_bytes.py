"""Bytes and ends that go to somebody else, on both sides of a node."""

import asyncio

import pytest

from cardamommill import exceptions
from cardamommill.gateway import attempts, callers, fetching, upstream
from cardamommill.platform import words
from tests.gateway import exchanges, relays, test_attempts, test_callers
from tests.gateway.test_replies import Parsed

GET_NEXT = b"GET /next HTTP/1.1\r\nHost: h\r\n\r\n"
POST_EXPECTING = (b"POST /y HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n"
                  b"Content-Length: 3\r\n\r\n")


class Taker:
    """Takes one answer of a runner."""

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


# Callers' connections.


def test_continue_is_not_written_into_a_stream():
    """A caller sends its next request while its stream goes on.

    The next one's head asks for "100 Continue". The connection writes it at
    once, past the reply that has begun: the caller reads "HTTP/1.1 100" where
    a chunk's length is due, as with a whole failure behind events.
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

    client, _ = test_callers.play(script, handler)
    end = client.got.index(b"0\r\n\r\n") + len(b"0\r\n\r\n")
    assert Parsed(client.got[:end]).body == b"onetwo"


def _answer_again(reply):
    reply.send(500, [], b"late")


def _fail(reply):
    raise RuntimeError(f"own fault after {reply}")


@pytest.mark.parametrize("fault", [_answer_again, _fail])
def test_fault_of_whoever_answers_adds_no_answer(fault):
    """Whoever answers takes a step too many, or fails, after a whole answer.

    It is called by the parser, which turns what it raises into an error of
    the request. The connection takes that for a malformed request and writes
    a 400 behind the answer, to a caller that waits for nothing.
    """

    def handler(request, reply):
        del request
        reply.send(200, [], b"own")
        fault(reply)

    client, _ = test_callers.play(test_callers.send(test_callers.GET), handler)
    assert client.got.count(b"HTTP/1.1 ") == 1


def test_refusal_does_not_overtake_the_answer_of_a_request_that_waits():
    """Two requests on one connection, then bytes that are no request.

    They come between the end of the first answer and the moment at which the
    second request is taken up. The connection is not busy then and writes its
    400 at once: the second request's caller takes that for its answer, and its
    own comes behind it.
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

    client, _ = test_callers.play(script, handler)
    assert b"400" not in client.got or b"two" not in client.got


def test_nothing_follows_an_answer_that_said_close():
    """A caller has sent two requests on one connection when the node stops.

    The first answer says that the connection closes behind it; the second
    request is served on it all the same. A strict caller takes what comes for
    bytes that are no answer.
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

    client, _ = test_callers.play(script, handler)
    Parsed(client.got)


def test_trailers_are_no_headers():
    """A caller's chunked body ends with a field that names a model.

    The parser hands it over as it does headers, after the head was looked at.
    The runner gets it as a header, and no limit on heads holds for it.
    """
    got = []

    def handler(request, reply):
        got.append(request.get(words.MODEL))
        reply.send(200, [], b"")

    test_callers.play(
        test_callers.send(
            b"POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"1\r\nx\r\n0\r\n" + words.MODEL.encode() + b": other\r\n\r\n"),
        handler)
    assert got == [None]


def test_large_answer_reaches_a_caller_that_reads():
    """A whole answer is larger than what may wait for a caller.

    The bound is meant for callers that don't read their stream. What the
    kernel does not take at once of a whole answer counts against it, and a
    caller that reads well is cut off; the request is told of as answered.
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


# The request between them.


def test_request_whose_serving_fails_gets_an_end():
    """What chooses a group fails while a request is served.

    Only steps out of order are caught there. The caller gets nothing until it
    gives up, its connection stays busy, and no end of the request is told.
    """
    node = relays.FakeNode()

    def fail(one):
        raise KeyError(one.attempt_id)

    node.find_target = fail

    async def work():
        one = relays.begin(node)
        await asyncio.sleep(0.01)
        return one.reply, node.task.exception()

    reply, _ = asyncio.run(work())
    assert reply.ended and len(node.ends) == 1


def test_run_that_begins_anew_and_ends_early_does_not_end_the_stream():
    """A stream breaks after three events and goes on at another runner.

    That one begins anew, as some do, gives one event, which the caller has,
    and ends. It never came to where the caller is, so its end is not the end
    of the caller's stream.
    """
    node = relays.FakeNode()

    async def work():
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

    assert asyncio.run(work()).ending != "whole"


def test_events_without_ids_are_not_repeated():
    """A stream whose events bear no ids breaks, and goes on at another runner.

    Nothing tells that one where to go on, so it begins anew, and the caller
    gets again what it has.
    """
    node = relays.FakeNode()

    async def work():
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

    assert len(asyncio.run(work()).events) == 1


# Runners' connections.


def test_late_answer_of_a_request_is_not_taken_for_an_orders():
    """A runner answers a request twice, the second time late.

    An order goes out on the same kept connection meanwhile. The late answer
    bears a request's id, but whoever asks for a node's own sake takes any head
    for its own: a 200 says that the order is done, and the runner's own 409 is
    never read.
    """
    late = test_attempts.answer()
    own = b"HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n"

    async def work(pool):
        return await fetching.fetch(pool, exchanges.ADDRESS,
                                    fetching.request_bytes("POST", "/o", []),
                                    500)

    answer, _ = exchanges.run(work, [late + own])
    assert answer.head.status == 409


def test_exchange_that_has_ended_does_not_end_the_next_one():
    """What gave up on an answer does so after the answer came.

    Its connection carries the next request by then. It is closed, and the next
    request's runner is held for broken.
    """

    async def work(pool):
        first, second = Taker(), Taker()
        request = b"GET / HTTP/1.1\r\n\r\n"
        ended = pool.send(exchanges.ADDRESS, request, first)
        await asyncio.sleep(0.05)
        pool.send(exchanges.ADDRESS, request, second)
        ended.cancel()
        await asyncio.sleep(0.05)
        return first.ends, second.ends

    (first, second), _ = exchanges.run(
        work,
        [test_attempts.answer(), test_attempts.answer()])
    assert first == second == [upstream.Ending.COMPLETE]


def test_connection_that_is_reset_as_it_opens_ends_the_try():
    """A runner that has all the connections it takes resets further ones.

    The reset comes after the connection stands and before the request is
    written, while what waits for the connection has yet to run. An assertion
    fails, in a task that nobody asks; the request is never told and is held
    until its time is over, though nothing of it left this node.
    """

    async def work(pool):
        loop = asyncio.get_running_loop()

        async def connect(factory, *address):
            del address
            protocol = factory()
            protocol.connection_made(asyncio.Transport())
            protocol.connection_lost(ConnectionResetError("reset by peer"))
            return None, protocol

        loop.create_connection = connect
        loop.set_exception_handler(lambda loop, context: None)
        taker = Taker()
        pool.send(exchanges.ADDRESS, b"GET / HTTP/1.1\r\n\r\n", taker)
        await asyncio.sleep(1)
        return taker.ends

    ends, _ = exchanges.run(work, [])
    assert ends == [upstream.Ending.NOT_SENT]


def test_chunked_answer_whose_coding_stands_in_two_fields_is_not_whole_if_cut():
    """A runner names its codings in two fields, "gzip" and then "chunked".

    Its answer is cut in good order before the last chunk. Only the first field
    is read, so the answer counts as one that ends with its connection.
    """
    outcome, _, _ = test_attempts.attempt(
        (f"HTTP/1.1 200 OK\r\n{test_attempts.OWN}Transfer-Encoding: gzip\r\n"
         "Transfer-Encoding: chunked\r\n\r\n3\r\nyes\r\n").encode(),
        then="close")
    assert outcome.result is attempts.Result.BROKEN


def test_fault_of_this_node_is_not_put_down_to_the_runner():
    """What takes the events of a stream fails, by a fault of this node's.

    The parser turns that into an error of its own. The try is told as "no
    HTTP", the runner is avoided for it, and the fault is told nowhere.
    """

    class Sink:

        def on_head(self, head):
            pass

        def on_event(self, head, event):
            raise exceptions.AnswerOutOfOrder("a piece after all of it")

    async def work(pool):
        one = attempts.Attempt("a1", True, Sink())
        one.exchange = pool.send(exchanges.ADDRESS, b"GET / HTTP/1.1\r\n\r\n",
                                 one)
        return await one.done

    outcome, _ = exchanges.run(work,
                               [test_attempts.stream("id: 1\ndata: x\n\n")])
    assert "no HTTP" not in outcome.reason
