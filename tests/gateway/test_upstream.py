"""Tests of connections to runners and to the platform."""

import asyncio

import pytest

from cardamommill.experiment import virtualloop, virtualnetwork
from cardamommill.gateway import clock, fetching, upstream

ADDRESS = ("10.9.0.1", 8080)
CAP = 5
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class CappedRunner(asyncio.Protocol):
    """Takes a few connections at a time and resets those beyond."""

    open_now: set["CappedRunner"] = set()

    def connection_made(self, transport):
        self._transport = transport
        if len(self.open_now) >= CAP:
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
    """Plays a script with a pool beside a runner of few connections."""
    CappedRunner.open_now = set()

    async def main():
        loop = asyncio.get_running_loop()
        await loop.create_server(CappedRunner, *ADDRESS)
        with upstream.Pool() as pool:
            return await script(pool)

    with virtualloop.running(1) as loop:
        return loop.run_until_complete(main())


def test_requests_on_new_connections_leave_none_behind():
    """Callers get 502 for writes, one after the other, at a runner at rest.

    A request that may run once only takes a new connection. Each was kept
    afterwards, though the next such request takes a new one as well; at thirty
    a second a runner stood at its bound for connections with nothing to do,
    and reset the next. What was reset may have run, so nobody may repeat it.
    """

    async def script(pool):
        endings = []
        for _ in range(4 * CAP):
            answer = await fetching.fetch(pool,
                                          ADDRESS,
                                          b"POST / HTTP/1.1\r\n\r\n",
                                          500.0,
                                          new_connection=True)
            endings.append(answer.ending)
            await asyncio.sleep(0.01)
        return endings

    assert set(run(script)) == {upstream.Ending.COMPLETE}


def test_connection_of_a_request_that_may_be_repeated_is_kept():

    async def script(pool):
        for _ in range(3):
            await fetching.fetch(pool, ADDRESS, b"GET / HTTP/1.1\r\n\r\n",
                                 500.0)
            await asyncio.sleep(0.01)
        return pool.idle_count()

    assert run(script) == 1


@pytest.mark.parametrize("handled", [True, False])
def test_request_that_meets_a_lost_connection_has_not_left(
        monkeypatch, handled):
    """A runner takes a connection and resets it before anything is sent.

    The reset is there when the request's turn comes, handled or not. Taken for
    a request under way, it was held until its time was over, or answered as one
    that may have run, though no byte of it can have left.
    """
    create = virtualloop.VirtualLoop.create_connection

    async def create_reset(*args, **options):
        transport, protocol = await create(*args, **options)
        if handled:
            transport.lose(ConnectionResetError("reset by peer"))
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


def test_request_that_the_system_refuses_to_send_has_not_left():
    """A kept connection was reset, and the loop has not looked at it yet.

    Its first send fails: nothing was taken, so another runner may be tried.
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
