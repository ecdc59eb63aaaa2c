"""Tests of connections to runners and to the platform."""

import asyncio

import pytest

from cardamommill.domain import clock
from cardamommill.experiment import virtualloop, virtualnetwork
from cardamommill.platform import fetching
from cardamommill.transport import upstream

ADDRESS = ("10.9.0.1", 8080)
CONNECTION_LIMIT = 5
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class LimitedRunner(asyncio.Protocol):
    """A runner that resets connections above its limit."""

    open_now: set["LimitedRunner"] = set()

    def connection_made(self, transport):
        self._transport = transport
        if len(self.open_now) >= CONNECTION_LIMIT:
            transport.abort()
            return
        self.open_now.add(self)

    def data_received(self, data):
        del data
        self._transport.write(ANSWER)

    def connection_lost(self, exc):
        del exc
        self.open_now.discard(self)


def run(script):
    """Runs a script with a connection pool and a runner with a limit."""
    LimitedRunner.open_now = set()

    async def main():
        loop = asyncio.get_running_loop()
        await loop.create_server(LimitedRunner, *ADDRESS)
        with upstream.Pool() as pool:
            return await script(pool)

    with virtualloop.running(1) as loop:
        return loop.run_until_complete(main())


def test_requests_on_new_connections_leave_none_behind():
    """A request that may run only once opens a connection of its own.

    These connections were pooled, although the next such request opens its own
    again. At thirty requests a second an idle runner reached its connection
    limit and reset the next one. A request that was reset may have run and may
    not be retried, so its caller got a 502.
    """

    async def script(pool):
        endings = []
        for _ in range(4 * CONNECTION_LIMIT):
            answer = await fetching.fetch(pool,
                                          ADDRESS,
                                          b"POST / HTTP/1.1\r\n\r\n",
                                          500.0,
                                          new_connection=True)
            endings.append(answer.ending)
            await asyncio.sleep(0.01)
        return endings

    assert set(run(script)) == {upstream.Ending.COMPLETE}


def test_connection_of_a_repeatable_request_is_pooled():

    async def script(pool):
        for _ in range(3):
            await fetching.fetch(pool, ADDRESS, b"GET / HTTP/1.1\r\n\r\n",
                                 500.0)
            await asyncio.sleep(0.01)
        return pool.idle_count()

    assert run(script) == 1


@pytest.mark.parametrize("is_handled", [True, False])
def test_request_on_a_lost_connection_is_not_sent(monkeypatch, is_handled):
    """A runner resets a connection before the request is written to it.

    The loop may have handled the reset by then or not. The request was taken as
    sent and waited until its deadline, or was answered as one that may have
    run, although no byte of it left the node.
    """
    create = virtualloop.VirtualLoop.create_connection

    async def create_reset(*args, **options):
        transport, protocol = await create(*args, **options)
        if is_handled:
            transport.on_peer_closed(ConnectionResetError("reset by peer"))
        else:
            transport.abort()
        return transport, protocol

    monkeypatch.setattr(virtualloop.VirtualLoop, "create_connection",
                        create_reset)

    async def script(pool):
        began_ms = clock.now_ms()
        answer = await fetching.fetch(pool, ADDRESS, b"POST / HTTP/1.1\r\n\r\n",
                                      500.0)
        return answer.ending, clock.now_ms() - began_ms

    ending, took_ms = run(script)
    assert ending is upstream.Ending.NOT_SENT
    assert took_ms < 10.0


def test_connections_to_a_process_that_ended_are_not_reused():
    """The next process at the address never got what is sent on them."""

    async def script(pool):
        await fetching.fetch(pool, ADDRESS, b"GET / HTTP/1.1\r\n\r\n", 500.0)
        other = (ADDRESS[0], ADDRESS[1] + 1)
        before = pool.has_idle(ADDRESS)
        pool.close_idle(other)
        kept = pool.has_idle(ADDRESS)
        pool.close_idle(ADDRESS)
        await asyncio.sleep(0.1)
        return before, kept, pool.has_idle(ADDRESS), LimitedRunner.open_now

    assert run(script) == (True, True, False, set())


def test_request_whose_first_send_fails_is_not_sent():
    """A pooled connection was reset, and the loop has not noticed it yet.

    The first send fails without taking a byte, so the request may be retried.
    """

    class Refusing(virtualnetwork.FakeTransport):

        def write(self, data):
            del data
            self.abort()

    async def script(pool):
        del pool
        endings = []
        connection = upstream.Connection(lambda _: None)
        loop = asyncio.get_running_loop()
        transport = Refusing(loop, loop.network, "a", "b", connection)
        connection.connection_made(transport)

        class Receiver:

            def on_end(self, ending, reason):
                del reason
                endings.append(ending)

        connection.send(b"POST / HTTP/1.1\r\n\r\n", Receiver())
        await asyncio.sleep(0.01)
        return endings

    assert run(script) == [upstream.Ending.NOT_SENT]


@pytest.mark.parametrize("answer", [
    b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
    b"HTTP/1.1 204 No Content\r\n\r\n",
    b"HTTP/1.1 304 Not Modified\r\nContent-Length: 2\r\n\r\n",
])
def test_answer_to_head_is_whole_without_a_body(answer):
    """Guards against a wait until the deadline, and a body for the next."""

    class Runner(asyncio.Protocol):

        def connection_made(self, transport):
            self._transport = transport

        def data_received(self, data):
            is_head = data.startswith(b"HEAD ")
            self._transport.write(answer if is_head else ANSWER)

    async def main():
        loop = asyncio.get_running_loop()
        await loop.create_server(Runner, *ADDRESS)
        with upstream.Pool() as pool:
            found = []
            for method in ("HEAD", "GET", "HEAD", "GET"):
                request = fetching.request_bytes(method, "/", [("Host", "h")])
                found.append(await fetching.fetch(pool, ADDRESS, request, 500))
            return found

    with virtualloop.running(1) as loop:
        found = loop.run_until_complete(main())
    assert [each.ending for each in found] == [upstream.Ending.COMPLETE] * 4
    assert [each.body for each in found] == [b"", b"ok", b"", b"ok"]


def test_body_that_follows_an_answer_to_head_belongs_to_no_request():
    """Guards against a runner's bytes that are read as the next answer."""

    class Runner(asyncio.Protocol):

        def connection_made(self, transport):
            self._transport = transport

        def data_received(self, data):
            del data
            self._transport.write(ANSWER)

    async def main():
        loop = asyncio.get_running_loop()
        await loop.create_server(Runner, *ADDRESS)
        with upstream.Pool() as pool:
            request = fetching.request_bytes("HEAD", "/", [("Host", "h")])
            answer = await fetching.fetch(pool, ADDRESS, request, 500)
            return answer, pool.idle_count()

    with virtualloop.running(1) as loop:
        answer, idle = loop.run_until_complete(main())
    assert answer.ending is upstream.Ending.COMPLETE and answer.body == b""
    assert idle == 0
