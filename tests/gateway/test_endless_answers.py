"""Tests of runners whose bytes do not end, or end within an event."""

import asyncio

import pytest

from cardamommill.domain import clock
from cardamommill.experiment import virtualloop
from cardamommill.gateway.requests import attemptresult, eventparser
from cardamommill.gateway.shell import attempts
from cardamommill.platform import fetching, wirenames
from cardamommill.transport import upstream

ADDRESS = ("10.9.0.1", 8080)
REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
OWN = (f"HTTP/1.1 200 OK\r\n{wirenames.ATTEMPT_ID}: a1\r\n"
       f"{wirenames.RESPONSE_SEAL}: s\r\n").encode()
PIECE_BYTES = 1 << 14
DEADLINE_MS = 30_000.0
EVENT = b"id: 1\ndata: a\n\n"


class EndlessRunner(asyncio.Protocol):
    """A runner that goes on sending until its peer closes the connection."""

    first = piece = b""
    sent_bytes = 0

    def connection_made(self, transport):
        self._transport = transport

    def data_received(self, data):
        del data
        self._transport.write(self.first)
        self._go_on()

    def _go_on(self):
        if not self._transport.is_closing():
            type(self).sent_bytes += len(self.piece)
            self._transport.write(self.piece)
            asyncio.get_running_loop().call_later(0.001, self._go_on)


def run(script, first, piece):
    """Returns a script's result, how long it took in ms, and the bytes sent."""
    piece *= PIECE_BYTES // len(piece)
    runner = type("Runner", (EndlessRunner,), {"first": first, "piece": piece})

    async def main():
        loop = asyncio.get_running_loop()
        await loop.create_server(runner, *ADDRESS)
        with upstream.Pool() as pool:
            started_ms = clock.now_ms()
            found = await script(pool)
            took_ms = clock.now_ms() - started_ms
            await asyncio.sleep(0.1)
            sent_bytes = runner.sent_bytes
            await asyncio.sleep(0.1)
            assert runner.sent_bytes == sent_bytes
            return found, took_ms, sent_bytes

    with virtualloop.running(1) as loop:
        return loop.run_until_complete(main())


class Sink:
    """Takes all events."""

    def on_head(self, head):
        pass

    def on_event(self, head, event):
        return True


def attempt(first, piece, streaming):

    async def script(pool):
        one = attempts.Attempt("a1", streaming, Sink())
        one.exchange = pool.send(ADDRESS, REQUEST, one)
        asyncio.get_running_loop().call_later(DEADLINE_MS / 1000, one.cancel,
                                              attemptresult.Result.TIMED_OUT,
                                              "late")
        return await one.done

    return run(script, first, piece)


HEADS = {
    "headers": (OWN, b"X-A: b\r\n"),
    "header": (OWN + b"X-A: ", b"b"),
    "informational": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "reason": (b"HTTP/1.1 200 ", b"O"),
    "chunk-extension": (OWN + b"Transfer-Encoding: chunked\r\n\r\n1;a=", b"b"),
    "trailers":
        (OWN + b"Transfer-Encoding: chunked\r\n\r\n0\r\n", b"X-A: b\r\n"),
    "no-http": (b"", b"\x00\xff"),
}


@pytest.mark.parametrize("streaming", [False, True])
@pytest.mark.parametrize("name", HEADS)
def test_head_without_end_is_no_answer(name, streaming):
    """All that came was kept until the request's deadline."""
    outcome, took_ms, sent_bytes = attempt(*HEADS[name], streaming)
    assert outcome.result is attemptresult.Result.BROKEN
    assert took_ms < 1000.0
    assert sent_bytes <= upstream.MAX_HEAD_BYTES + 4 * PIECE_BYTES


@pytest.mark.parametrize("streaming", [False, True])
@pytest.mark.parametrize("first", [OWN, b"HTTP/1.1 200 OK\r\n"],
                         ids=["own", "no-seal"])
def test_body_without_length_or_end_is_no_answer(first, streaming):
    outcome, _, sent_bytes = attempt(first + b"\r\n", b"b", streaming)
    assert outcome.result is attemptresult.Result.BROKEN
    assert sent_bytes <= attempts.MAX_ANSWER_BYTES + 4 * PIECE_BYTES


def test_event_without_end_is_none():
    outcome, _, sent_bytes = attempt(OWN + b"\r\n" + EVENT + b"data: ", b"b",
                                     True)
    assert outcome.result is attemptresult.Result.BROKEN
    assert sent_bytes <= eventparser.MAX_EVENT_BYTES + 4 * PIECE_BYTES


@pytest.mark.parametrize("end", [b"", b"id: 2\nda", b"id: 2\ndata: b\n"])
def test_stream_that_ends_with_its_connection_is_whole_after_an_event(end):
    """It has neither a length nor chunks, and may be cut within an event."""

    class Runner(asyncio.Protocol):

        def connection_made(self, transport):
            self._transport = transport

        def data_received(self, data):
            del data
            self._transport.write(OWN + b"\r\n" + EVENT + end)
            self._transport.close()

    async def main():
        loop = asyncio.get_running_loop()
        await loop.create_server(Runner, *ADDRESS)
        with upstream.Pool() as pool:
            one = attempts.Attempt("a1", True, Sink())
            one.exchange = pool.send(ADDRESS, REQUEST, one)
            return await one.done

    with virtualloop.running(1) as loop:
        outcome = loop.run_until_complete(main())
    expected = (attemptresult.Result.BROKEN
                if end else attemptresult.Result.STREAMED)
    assert outcome.result is expected


def test_report_or_row_without_end_is_no_answer():
    """The answer of a fetch is kept as a whole."""

    async def script(pool):
        return await fetching.fetch(pool, ADDRESS, REQUEST, DEADLINE_MS)

    answer, _, sent_bytes = run(script, b"HTTP/1.1 200 OK\r\n\r\n", b"b")
    assert answer.ending is not upstream.Ending.COMPLETE
    assert sent_bytes <= fetching.MAX_ANSWER_BYTES + 4 * PIECE_BYTES
