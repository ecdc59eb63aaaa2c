"""Tests of the HTTP server for callers."""

import asyncio
import socket

import pytest

from cardamommill.domain import clock, model
from cardamommill.experiment import virtualloop
from cardamommill.transport import callers

ADDRESS = ("10.1.0.1", 8000)
LIMITS = model.Limits(1000, 2000, 500, 5000)
GET = b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n"


class Client(asyncio.Protocol):
    """A client that records what it receives."""

    def __init__(self):
        self.got = b""
        self.closed = False

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data):
        self.got += data

    def connection_lost(self, exc):
        self.closed = True


def run_script(script, handler):
    refused = []

    async def main():
        loop = asyncio.get_running_loop()
        server = callers.CallerServer(handler, refused.append)
        server.limits = LIMITS
        await server.listen(*ADDRESS)
        _, client = await loop.create_connection(Client, *ADDRESS)
        await script(client, server)
        return client

    with virtualloop.running(1) as loop:
        return loop.run_until_complete(main()), refused


def echo(request, reply):
    reply.send(200, [],
               f"{request.method} {request.target} ".encode() + request.body)


def send(*parts, wait_s=0.05):

    async def script(client, server):
        del server
        for part in parts:
            client.transport.write(part)
            await asyncio.sleep(wait_s)

    return script


def test_pipelined_requests_are_answered_in_order():
    client, _ = run_script(send(GET + GET.replace(b"/x", b"/y")), echo)
    assert client.got.index(b"GET /x") < client.got.index(b"GET /y")


def test_chunked_body_is_decoded():
    request = (b"POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked"
               b"\r\n\r\n3\r\nabc\r\n", b"2\r\nde\r\n0\r\n\r\n")
    client, _ = run_script(send(*request), echo)
    assert b"POST /x abcde" in client.got


@pytest.mark.parametrize("text,status", [
    (b"GET /x HTTP/1.1\r\nA: " + b"b" * 2000 + b"\r\n\r\n", 431),
    (b"POST /x HTTP/1.1\r\nContent-Length: 5000\r\n\r\n", 413),
    (b"POST /x HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked"
     b"\r\n\r\nabc", 400),
    (b"nonsense\r\n\r\n", 400),
])
def test_oversized_or_malformed_request_is_refused(text, status):
    client, refused = run_script(send(text), echo)
    assert client.got.startswith(f"HTTP/1.1 {status}".encode())
    assert refused == [status]


def test_request_smuggled_after_a_refused_one_is_not_served():
    text = (b"POST /x HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: "
            b"chunked\r\n\r\n0\r\n\r\n" + GET)
    client, _ = run_script(send(text), echo)
    assert client.got.count(b"HTTP/1.1") == 1


def test_handler_is_notified_when_the_caller_disconnects():
    left = []

    class Serving:

        def caller_left(self):
            left.append(True)

    async def script(client, server):
        del server
        client.transport.write(GET)
        await asyncio.sleep(0.1)
        client.transport.close()
        await asyncio.sleep(0.1)

    run_script(script, lambda request, reply: Serving())
    assert left == [True]


def test_disconnect_is_reported_in_the_same_iteration_of_the_loop():
    """The end of an attempt may be read next, in the same iteration.

    If the disconnect were reported only later, the request would be retried at
    another runner, although its caller has gone.
    """
    left = []

    class Serving:

        def caller_left(self):
            left.append(True)

    async def script(client, server):
        client.transport.write(GET)
        await asyncio.sleep(0.1)
        (connection,) = server.connections
        assert not connection.eof_received()
        assert left == [True]

    run_script(script, lambda request, reply: Serving())
    assert left == [True]


def test_aborted_answer_is_seen_as_incomplete():

    def handler(request, reply):
        del request
        reply.start(200, [])
        reply.write(b"part")
        reply.abort()

    client, _ = run_script(send(GET), handler)
    assert b"0\r\n\r\n" not in client.got and client.closed


def test_slow_head_times_out():

    async def script(client, server):
        client.transport.write(b"GET /x HTTP/1.1\r\n")
        await asyncio.sleep(0.6)
        server.enforce_timeouts(clock.now_ms())
        await asyncio.sleep(0.1)

    client, _ = run_script(script, echo)
    assert client.got.startswith(b"HTTP/1.1 408")


def test_connection_closes_after_its_answer_while_stopping():

    async def script(client, server):
        server.stop()
        client.transport.write(GET)
        await asyncio.sleep(0.1)

    client, _ = run_script(script, echo)
    assert b"Connection: close" in client.got and client.closed


def test_bytes_that_arrive_after_the_last_answer_do_not_reset_it():
    """Guards against callers that lose the part they have not read yet."""
    size = 300_000

    async def script():
        loop = asyncio.get_running_loop()
        server = callers.CallerServer(
            lambda request, reply: reply.send(200, [], bytes(size)),
            lambda status: None)
        await server.listen("127.0.0.1", 0)
        address = server._servers[0].sockets[0].getsockname()
        server.stop()
        with socket.socket() as one:
            # The rest of the answer waits at the server.
            one.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16_384)
            one.setblocking(False)
            await loop.sock_connect(one, address)
            for data in (GET, GET):
                await loop.sock_sendall(one, data)
                await asyncio.sleep(0.05)
            answer = b""
            while data := await loop.sock_recv(one, 1 << 16):
                answer += data
        server.close()
        return answer

    assert len(asyncio.run(script())) > size


def test_connections_that_wait_to_be_accepted_get_an_answer():
    """Guards against requests that are reset when a node stops to listen."""

    async def script():
        loop = asyncio.get_running_loop()
        server = callers.CallerServer(echo, lambda status: None)
        await server.listen("127.0.0.1", 0)
        address = server._servers[0].sockets[0].getsockname()
        with socket.create_connection(address) as one:
            # The event loop has not run since, so it is not accepted yet.
            server.close()
            one.setblocking(False)
            await loop.sock_sendall(one, GET)
            return await loop.sock_recv(one, 1000)

    assert asyncio.run(script()).endswith(b"GET /x ")


def test_unsent_bytes_of_an_answer_keep_a_connection_busy():
    """Guards against a process that ends while a caller reads slowly."""
    size = 8 << 20

    async def script():
        loop = asyncio.get_running_loop()
        server = callers.CallerServer(
            lambda request, reply: reply.send(200, [], bytes(size)),
            lambda status: None)
        await server.listen("127.0.0.1", 0)
        address = server._servers[0].sockets[0].getsockname()
        with socket.socket() as one:
            one.setblocking(False)
            await loop.sock_connect(one, address)
            await loop.sock_sendall(one, GET)
            await asyncio.sleep(0.1)
            assert server.busy == 1 and server.unsent_bytes
            received = 0
            while received < size:
                received += len(await loop.sock_recv(one, 1 << 16))
            await asyncio.sleep(0.1)
            assert server.busy == server.unsent_bytes == 0
        server.close()

    asyncio.run(script())


OFFER = (b"Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\n"
         b"HTTP2-Settings: AAMAAABkAAQCAAAAAAIAAAAA\r\n")


@pytest.mark.parametrize("framing,body", [
    (b"Content-Length: 5\r\n", b"abcde"),
    (b"Transfer-Encoding: chunked\r\n", b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"),
],
                         ids=["length", "chunks"])
@pytest.mark.parametrize("size", [1, 7, 100, 1000])
@pytest.mark.parametrize("name", [b"h2c", b"websocket"])
def test_offered_upgrade_is_ignored(framing, body, size, name):
    """Guards against requests that run with an empty body, unanswered."""
    text = (b"POST /x HTTP/1.1\r\nHost: h\r\n" + OFFER.replace(b"h2c", name) +
            framing + b"\r\n" + body + GET)
    parts = [text[at:at + size] for at in range(0, len(text), size)]
    client, refused = run_script(send(*parts, wait_s=0.001), echo)
    assert client.got.count(b"HTTP/1.1 200") == 2
    assert b"POST /x abcde" in client.got
    assert client.got.endswith(b"GET /x ")
    assert not refused


def test_upgrade_with_an_expectation_is_told_to_go_on_once():
    """Guards against callers that wait, and against a second 100."""
    head = (b"POST /x HTTP/1.1\r\nHost: h\r\n" + OFFER +
            b"Expect: 100-continue\r\nContent-Length: 2\r\n\r\n")
    client, _ = run_script(send(head, b"ab"), echo)
    assert client.got.count(b"HTTP/1.1 100") == 1
    assert client.got.endswith(b"POST /x ab")


def test_limits_hold_for_requests_with_an_offer():
    """Guards against a way around the limits."""
    text = (b"POST /x HTTP/1.1\r\nHost: h\r\n" + OFFER +
            b"Content-Length: 5000\r\n\r\n")
    client, refused = run_script(send(text), echo)
    assert client.got.startswith(b"HTTP/1.1 413")
    assert refused == [413]


def test_connect_is_refused_with_an_answer():
    """Guards against a connection that is closed without one."""
    text = b"CONNECT h:80 HTTP/1.1\r\nHost: h:80\r\n\r\n"
    client, refused = run_script(send(text), echo)
    assert client.got.startswith(b"HTTP/1.1 400")
    assert refused == [400]


def test_answer_to_head_has_no_body():
    """Guards against a body that is read as the caller's next answer."""
    head = GET.replace(b"GET", b"HEAD")
    client, _ = run_script(send(head, GET), echo)
    first, _, rest = client.got.partition(b"\r\n\r\n")
    assert first.startswith(b"HTTP/1.1 200")
    assert rest.startswith(b"HTTP/1.1 200") and rest.endswith(b"GET /x ")


def test_refusal_of_an_oversized_head_request_has_no_body():
    """Guards against bytes after a refusal that are no answer."""
    text = b"HEAD /x HTTP/1.1\r\nA: " + b"b" * 2000 + b"\r\n\r\n"
    client, _ = run_script(send(text), echo)
    assert client.got.startswith(b"HTTP/1.1 431")
    assert client.got.endswith(b"\r\n\r\n")
