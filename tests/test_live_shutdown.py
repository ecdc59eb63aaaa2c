"""Stops nodes as planned while callers read, connect and wait.

The nodes are real processes: what is in the buffers of a connection when its
process ends shows there alone.
"""

import asyncio
import contextlib
import signal
import socket

from cardamommill.domain import clock
from cardamommill.experiment import deployments, modelfleet, world
from cardamommill.platform import wirenames
from tests import livefleet

ANSWER_BYTES = 4 << 20
READ_BYTES = 32_768
# A caller takes an answer in 5.6 s.
READ_PER_S = 750_000
HEARTBEAT_S = 0.4
RECORD = deployments.KindSpec(name="record",
                              per_s=1,
                              type="non_idempotent",
                              deadline_ms=20_000)
DEPLOYMENT = deployments.Deployment(name="d",
                                    places={"a": 2},
                                    models=(),
                                    kinds=(RECORD,))


class Runner:
    """A plain runner that answers after the time that the path names."""

    def __init__(self, host, store):
        self._host = host
        self._store = store
        self.answered = []

    async def run(self):
        await asyncio.start_server(self._serve, self._host, modelfleet.PORT)
        while True:
            self._store.put(
                wirenames.SERVERS_TABLE, "i-1", {
                    "service": "plain",
                    "address": f"{self._host}:{modelfleet.PORT}",
                    "zone": "a",
                    "slots": 64,
                    "state": "ready"
                })
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve(self, reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                lines = dict(
                    line.split(": ", 1) for line in head.split("\r\n")[1:-2])
                headers = {name.lower(): lines[name] for name in lines}
                await reader.readexactly(int(headers.get("content-length", 0)))
                _, _, size, wait_ms = head.split()[1].split("/")
                await asyncio.sleep(int(wait_ms) / 1000)
                attempt = headers[wirenames.ATTEMPT_ID.lower()]
                self.answered.append(attempt)
                writer.write(f"HTTP/1.1 200 OK\r\n"
                             f"{wirenames.ATTEMPT_ID}: {attempt}\r\n"
                             f"{wirenames.RESPONSE_SEAL}: s\r\n"
                             f"Content-Length: {size}\r\n\r\n".encode() +
                             bytes(int(size)))


class Caller:
    """Sends a request and reads its answer at a pace."""

    def __init__(self, attempt, size=3, wait_ms=0, per_s=1e9):
        self.attempt = attempt
        self._size = size
        self._path = f"/record/{size}/{wait_ms}"
        self._per_s = per_s
        self.received = b""
        self.error = None

    @property
    def status(self):
        return int(self.received.split()[1]) if self.received else 0

    @property
    def is_whole(self):
        head, _, body = self.received.partition(b"\r\n\r\n")
        length = [
            int(each.split(b":")[1])
            for each in head.lower().split(b"\r\n")
            if each.startswith(b"content-length")
        ]
        return bool(length) and len(body) == length[0]

    async def call(self, host, wait_s=0.0):
        """Sends a request, some time after the connection was opened."""
        loop = asyncio.get_running_loop()
        with socket.socket() as one:
            # Larger segments, as on loopback, are kept by the kernel itself.
            one.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1460)
            one.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)
            one.setblocking(False)
            try:
                await loop.sock_connect(one, (host, world.FRONT_PORT))
                await asyncio.sleep(wait_s)
                await loop.sock_sendall(one, self._request())
                await self._read(loop, one)
            except OSError as error:
                self.error = error
        return self

    def _request(self):
        return (f"POST {self._path} HTTP/1.1\r\nHost: model.example\r\n"
                f"{wirenames.ATTEMPT_ID}: {self.attempt}\r\n"
                f"{wirenames.DEADLINE_MS}: 20000\r\n"
                "Authorization: Bearer key0\r\nContent-Length: 2\r\n\r\n{}"
               ).encode()

    async def _read(self, loop, one):
        began_ms = clock.now_ms()
        received = bytearray()
        while not self.is_whole:
            data = await loop.sock_recv(one, READ_BYTES)
            if not data:
                return
            received += data
            self.received = bytes(received)
            due_ms = began_ms + 1000 * len(received) / self._per_s
            await asyncio.sleep(max(0.0, due_ms - clock.now_ms()) / 1000)


class Nodes:
    """Two nodes, a runner and the store; an asynchronous context manager."""

    def __init__(self, folder):
        self._folder = folder
        prefix = livefleet.free_network()
        self.store = livefleet.Store(f"{prefix}.1")
        self.runner = Runner(f"{prefix}.33", self.store)
        self.nodes = [
            livefleet.Node(f"node-a-{number}", f"{prefix}.{number + 1}", "a")
            for number in (1, 2)
        ]

    async def __aenter__(self):
        await self.store.listen()
        self.store.put(wirenames.OPERATOR_TABLE, wirenames.CONFIGURATION_KEY,
                       DEPLOYMENT.configuration(7, [("t", "key0")]))
        self._task = asyncio.create_task(self.runner.run())
        for each in self.nodes:
            await self._start(each)
        for each in self.nodes:
            await self._wait_until_served(each)
        return self

    async def __aexit__(self, *exception):
        self._task.cancel()
        for each in self.nodes:
            if each.process.returncode is None:
                each.process.kill()
                await each.process.wait()

    async def _start(self, node):
        await node.start(
            livefleet.ROOT, self._folder, {
                "node": node.name,
                "data_centre": "a",
                "data_centres": ["a"],
                "ip": node.host,
                "callers": f"{node.host}:{world.FRONT_PORT}",
                "ready": f"{node.host}:{world.READY_PORT}",
                "peer_port": world.PEER_PORT,
                "seeds": [
                    f"{each.host}:{world.CONTROL_PORT}" for each in self.nodes
                ],
                "platform": f"{self.store.host}:{livefleet.STORE_PORT}",
                "metrics_port": 0,
                "bounds": {
                    "grace_s": livefleet.GRACE_S,
                    "retry_slack": 130
                }
            })

    async def _wait_until_served(self, node):
        async with asyncio.timeout(20):
            while (await Caller("first").call(node.host)).status != 200:
                await asyncio.sleep(0.1)

    async def stop(self, node):
        """Sends SIGTERM; returns the time in ms until the process ends."""
        began_ms = clock.now_ms()
        node.process.send_signal(signal.SIGTERM)
        async with asyncio.timeout(livefleet.GRACE_S):
            assert await node.process.wait() == 0
        return clock.now_ms() - began_ms


def run(script, folder):

    async def main():
        async with Nodes(folder) as nodes:
            return await script(nodes)

    return asyncio.run(main())


def test_planned_stops_cut_no_answer_that_callers_still_read(tmp_path):
    """Guards against answers in the node's buffers when the process ends."""

    async def script(nodes):
        calls = []
        for node in nodes.nodes:
            new = [
                Caller(f"{node.name}-{each}",
                       ANSWER_BYTES,
                       per_s=READ_PER_S * (1.0 + 0.1 * each))
                for each in range(4)
            ]
            calls += [asyncio.create_task(each.call(node.host)) for each in new]
            await asyncio.sleep(0.5)
            calls.append(asyncio.create_task(nodes.stop(node)))
            await asyncio.sleep(0.5)
        return await asyncio.gather(*calls)

    found = run(script, tmp_path)
    callers = [each for each in found if isinstance(each, Caller)]
    assert [each.attempt for each in callers if not each.is_whole] == []
    assert len(callers) == 8


def test_callers_that_never_read_do_not_hold_the_process(tmp_path):
    """Guards against a process that is killed for one caller."""

    async def script(nodes):
        node = nodes.nodes[0]
        call = asyncio.create_task(
            Caller("stuck", ANSWER_BYTES, per_s=10_000).call(node.host))
        await asyncio.sleep(0.5)
        took_ms = await nodes.stop(node)
        call.cancel()
        return took_ms

    assert run(script, tmp_path) < 1000 * livefleet.GRACE_S


def test_request_on_a_new_connection_is_answered_during_a_planned_stop(
        tmp_path):
    """Guards against connections that are closed before they are read.

    The requests come up to 0.3 s after their connections.
    """

    async def script(nodes):
        node = nodes.nodes[0]
        # Holds the process until its grace is nearly over.
        slow = asyncio.create_task(Caller("slow", wait_ms=5500).call(node.host))
        await asyncio.sleep(0.3)
        stop = asyncio.create_task(nodes.stop(node))
        calls = []
        while not stop.done():
            late = Caller(f"late-{len(calls)}")
            calls.append(
                asyncio.create_task(late.call(node.host,
                                              0.1 * (len(calls) % 4))))
            await asyncio.sleep(0.02)
        await stop
        return await slow, await asyncio.gather(*calls)

    slow, late = run(script, tmp_path)
    assert slow.status == 200
    assert len(late) > 100
    cut = [
        each.attempt
        for each in late
        if not (each.is_whole or isinstance(each.error, ConnectionRefusedError))
    ]
    assert not cut
    assert {each.status for each in late} <= {0, 200, 503}


def test_request_that_outlasts_the_grace_is_answered(tmp_path):
    """Guards against a closed connection in place of "may have run"."""

    async def script(nodes):
        node = nodes.nodes[0]
        call = asyncio.create_task(
            Caller("endless", wait_ms=60_000).call(node.host))
        await asyncio.sleep(0.5)
        await nodes.stop(node)
        return await call

    call = run(script, tmp_path)
    assert call.is_whole and call.status == 504
