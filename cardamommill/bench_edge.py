"""Measures the edge of a node on real sockets, against its runner alone.

Run by ``python -m cardamommill.bench_edge``: a small runner and a node's edge,
each a process of its own, and this process as the callers. Requests go to the
runner directly and through the node in turns, so that both see the same
machine. ``--mode`` also measures the ways of moving tokens that were weighed.
"""

import argparse
import asyncio
from collections.abc import Callable, Iterator, Sequence
import contextlib
import dataclasses
import functools
import hashlib
import os
import pathlib
import queue
import subprocess
import sys
import time
from typing import Any

from cardamommill import (
    actions,
    connection,
    controller,
    curlloop,
    edgefakes,
    events,
    fleet,
    requesting,
    settings,
)

KEY = "bench"
STREAMS = 100
TOKEN_S = 0.03
TOKENS = 200
RATE_PER_S = 50
REQUESTS = 1000
COALESCE_S = 0.002
EVIDENCE_MS = 10**9
MODES = ("loop", "hand-over", "coalesce")
US_PER_S = 1_000_000
MS_PER_S = 1000

_DOCUMENT = f"""
service: bench
kind: plain
pool: p
capacity: {{dc: {{replicas: 1}}}}
accounts:
- {{name: bench, key_sha256: {hashlib.sha256(KEY.encode()).hexdigest()}}}
"""


@dataclasses.dataclass(frozen=True, slots=True)
class TokenFigures:
    """What streams cost.

    Attributes:
        mode: How tokens were moved.
        tokens: How many went through the node.
        node_us: The node's processor time for each, in microseconds.
        lag_p50_ms: Median lag of a token behind the runner's clock.
        lag_p99_ms: The 99th percentile of it.
    """

    mode: str
    tokens: int
    node_us: float
    lag_p50_ms: float
    lag_p99_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class FirstByteFigures:
    """Times to the first byte of an answer, in milliseconds."""

    direct_p50_ms: float
    direct_p99_ms: float
    node_p50_ms: float
    node_p99_ms: float


# --- The runner ---


async def _serve_runner(reader: asyncio.StreamReader,
                        writer: asyncio.StreamWriter) -> None:
    with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
        while True:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            headers = dict(
                line.split(": ", 1) for line in head.split("\r\n")[1:-2])
            headers = {name.lower(): value for name, value in headers.items()}
            body = await reader.readexactly(
                int(headers.get("content-length", 0)))
            back = "".join(f"cardamommill-{name}: "
                           f"{headers.get(f'cardamommill-{name}', '')}\r\n"
                           for name in ("request", "replica", "epoch",
                                        "formation"))
            if b'"stream": true' in body:
                await _stream(writer, back)
            else:
                writer.write((f"HTTP/1.1 200 OK\r\n{back}"
                              "Content-Length: 2\r\n\r\n{}").encode())


async def _stream(writer: asyncio.StreamWriter, back: str) -> None:
    writer.write((f"HTTP/1.1 200 OK\r\n{back}Content-Type: text/event-stream\r"
                  "\nTransfer-Encoding: chunked\r\n\r\n").encode())
    start_s = time.monotonic()
    for index in range(TOKENS):
        due_s = start_s + index * TOKEN_S
        await asyncio.sleep(max(0.0, due_s - time.monotonic()))
        event = f'data: {{"at": {time.monotonic():.6f}}}\n\n'.encode()
        writer.write(b"%x\r\n%b\r\n" % (len(event), event))
    writer.write(b"0\r\n\r\n")
    await writer.drain()


async def _run_runner() -> None:
    server = await asyncio.start_server(_serve_runner, "127.0.0.1", 0)
    print(f"127.0.0.1:{server.sockets[0].getsockname()[1]}", flush=True)
    await server.serve_forever()


# --- The node's edge ---


class _Conductor(controller.Controller):
    """Sends each request to the one runner, as the decisions would."""

    name = "bench"
    address = ""

    @functools.singledispatchmethod
    def step(self, event: events.Event, now_ms: int) -> actions.Actions:
        """Returns what to do about an event."""
        del event, now_ms
        return ()

    @step.register
    def _(self, event: events.RequestArrived, now_ms: int) -> actions.Actions:
        target = requesting.Target(self.address, "vm", "replica", 1, 1,
                                   now_ms + EVIDENCE_MS)
        return (actions.Dispatch(event.head.request_id,
                                 f"{event.head.request_id}-1", target, 0,
                                 event.head.deadline_ms),)

    @step.register
    def _(self, event: events.AttemptEnded, now_ms: int) -> actions.Actions:
        del now_ms
        return (actions.Finish(event.request_id, 1),)


def _run_node(runner: str, mode: str) -> None:
    _MODES[mode]()
    _Conductor.address = runner
    identity = fleet.NodeIdentity("bench", "dc", "r", 1, "", "")
    callers = settings.CallerSide(address="127.0.0.1:0")
    with edgefakes.Edge(identity, _Conductor, _DOCUMENT, callers) as edge:
        while not edge.control.view().ready:
            time.sleep(0.01)
        print(edge.frontend.address, flush=True)
        sys.stdin.read()


def _hand_over() -> None:
    """Makes a thread for each connection write what the reader hands over."""
    written = connection.Connection.write
    waiting: dict[connection.Connection, queue.SimpleQueue[Any]] = {}

    def write(self: connection.Connection,
              data: bytes,
              streamed: bool = False) -> bool:
        if self not in waiting:
            waiting[self] = queue.SimpleQueue()
            _start_thread(functools.partial(work, self))
        waiting[self].put((data, streamed))
        return True

    def work(self: connection.Connection) -> None:
        while written(self, *waiting[self].get()):
            pass

    connection.Connection.write = write  # type: ignore[method-assign]


def _start_thread(target: Callable[[], None]) -> None:
    import threading  # pylint: disable=import-outside-toplevel
    threading.Thread(target=target, daemon=True).start()


def _coalesce() -> None:
    """Makes the reader rest between two looks at all its streams."""
    waited = curlloop.CurlLoop._wait_s

    def wait_s(self: curlloop.CurlLoop) -> float:
        time.sleep(COALESCE_S)
        return waited(self)

    curlloop.CurlLoop._wait_s = wait_s  # type: ignore[method-assign]


_MODES: dict[str, Callable[[], None]] = {
    "loop": lambda: None,
    "hand-over": _hand_over,
    "coalesce": _coalesce,
}

# --- The callers ---


def _request(body: bytes) -> bytes:
    return (b"POST /services/bench/x HTTP/1.1\r\nHost: a\r\nAuthorization: "
            b"Bearer bench\r\nContent-Type: application/json\r\n"
            b"Content-Length: %d\r\n\r\n%b" % (len(body), body))


async def _first_byte_ms(idle: list[tuple[asyncio.StreamReader,
                                          asyncio.StreamWriter]],
                         address: str) -> float:
    host, port = address.split(":")
    if idle:
        reader, writer = idle.pop()
    else:
        reader, writer = await asyncio.open_connection(host, int(port))
    start_s = time.monotonic()
    writer.write(_request(b"{}"))
    head = await reader.readuntil(b"\r\n\r\n")
    took_s = time.monotonic() - start_s
    assert b" 200 " in head, head
    await reader.readexactly(2)
    idle.append((reader, writer))
    return took_s * MS_PER_S


async def _first_bytes(addresses: tuple[str, str]) -> FirstByteFigures:
    idle: tuple[Any, Any] = ([], [])
    tasks: tuple[Any, Any] = ([], [])
    start_s = time.monotonic()
    for index in range(REQUESTS):
        due_s = start_s + index / RATE_PER_S
        await asyncio.sleep(max(0.0, due_s - time.monotonic()))
        for each in (0, 1):
            tasks[each].append(
                asyncio.create_task(_first_byte_ms(idle[each],
                                                   addresses[each])))
    direct, node = [sorted(await asyncio.gather(*each)) for each in tasks]
    return FirstByteFigures(_at(direct, 0.5), _at(direct, 0.99), _at(node, 0.5),
                            _at(node, 0.99))


async def _read_stream(address: str, lags_ms: list[float]) -> None:
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(_request(b'{"stream": true}'))
    head = await reader.readuntil(b"\r\n\r\n")
    assert b" 200 " in head, head
    with contextlib.closing(writer):
        while (line := await reader.readline()) != b"0\r\n":
            if not line or line.startswith(b"event: error"):
                raise EOFError(f"a stream was cut: {await reader.read()!r}")
            if line.startswith(b"data: "):
                sent_s = float(line[len(b'data: {"at": '):-2])
                lags_ms.append((time.monotonic() - sent_s) * MS_PER_S)


async def _read_streams(address: str) -> list[float]:
    lags_ms: list[float] = []

    async def one(index: int) -> None:
        await asyncio.sleep(index * TOKEN_S / STREAMS)
        await _read_stream(address, lags_ms)

    await asyncio.gather(*map(one, range(STREAMS)))
    return sorted(lags_ms)


def _at(values: list[float], part: float) -> float:
    return values[min(len(values) - 1, int(len(values) * part))]


@contextlib.contextmanager
def _process(*arguments: str) -> Iterator[tuple[int, str]]:
    started = subprocess.Popen(
        [sys.executable, "-m", "cardamommill.bench_edge", *arguments],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True)
    try:
        assert started.stdout is not None
        yield started.pid, started.stdout.readline().strip()
    finally:
        started.kill()
        started.wait()


def _cpu_s(process_id: int) -> float:
    text = pathlib.Path(f"/proc/{process_id}/stat").read_text("ascii")
    user, system = text.rsplit(")", 1)[1].split()[11:13]
    return (int(user) + int(system)) / os.sysconf("SC_CLK_TCK")


def measure_tokens(runner: str, mode: str) -> TokenFigures:
    """Returns what streams cost in a mode.

    Args:
        runner: The runner's address.
        mode: One of `MODES`.
    """
    with _process("--node", runner, "--mode", mode) as (process_id, node):
        before_s = _cpu_s(process_id)
        lags_ms = asyncio.run(_read_streams(node))
        used_s = _cpu_s(process_id) - before_s
    return TokenFigures(mode, len(lags_ms), used_s * US_PER_S / len(lags_ms),
                        _at(lags_ms, 0.5), _at(lags_ms, 0.99))


def main(arguments: Sequence[str] = ()) -> None:
    """Measures and prints; also the entry of the processes that it starts.

    Args:
        arguments: Of its own command line. `cardamommill bench` gives none,
            and has a command line that is not this one's.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--runner", action="store_true")
    parser.add_argument("--node", default="")
    parser.add_argument("--mode", choices=MODES)
    asked = parser.parse_args(arguments)
    if asked.runner:
        asyncio.run(_run_runner())
    elif asked.node:
        _run_node(asked.node, asked.mode)
    else:
        _measure((asked.mode,) if asked.mode else MODES)


def _measure(modes: tuple[str, ...]) -> None:
    with _process("--runner") as (_, runner):
        alone_ms = asyncio.run(_read_streams(runner))
        print(f"runner alone: lag p50 {_at(alone_ms, 0.5):.2f} ms, "
              f"p99 {_at(alone_ms, 0.99):.2f} ms")
        for mode in modes:
            each = measure_tokens(runner, mode)
            print(f"{mode}: {each.tokens} tokens, {each.node_us:.1f} µs of the "
                  f"node for each, lag p50 {each.lag_p50_ms:.2f} ms, "
                  f"p99 {each.lag_p99_ms:.2f} ms")
        with _process("--node", runner, "--mode", "loop") as (_, node):
            found = asyncio.run(_first_bytes((runner, node)))
        print(f"first byte: direct p50 {found.direct_p50_ms:.2f} ms, p99 "
              f"{found.direct_p99_ms:.2f} ms; node p50 {found.node_p50_ms:.2f}"
              f" ms, p99 {found.node_p99_ms:.2f} ms; added p50 "
              f"{found.node_p50_ms - found.direct_p50_ms:.2f} ms, p99 "
              f"{found.node_p99_ms - found.direct_p99_ms:.2f} ms")


if __name__ == "__main__":
    main(sys.argv[1:])
