"""Two entry nodes and a plain runner as real processes, and their callers.

Answers of the runner are as large, late or endless as the path of a request
says; the callers read at a pace.
"""

import asyncio
import contextlib
import signal
import socket

from cardamommill.domain import clock
from cardamommill.experiment import deployments, modelfleet, world
from cardamommill.platform import wirenames
from tests import livefleet

READ_BYTES = 32_768
HEARTBEAT_S = 0.4
_PIECE_BYTES = 1 << 15
# How bodies without end begin, and the piece that they repeat.
ENDLESS = {
    "chunks": (b"Transfer-Encoding: chunked\r\n\r\n",
               b"%x\r\n%b\r\n" % (_PIECE_BYTES, bytes(_PIECE_BYTES))),
    "until-close": (b"\r\n", bytes(_PIECE_BYTES)),
}
RECORD = deployments.KindSpec(name="record",
                              per_s=1,
                              type="non_idempotent",
                              deadline_ms=20_000)
DEPLOYMENT = deployments.Deployment(name="d",
                                    places={"a": 2},
                                    models=(),
                                    kinds=(RECORD,))


async def _send_without_end(writer, framing, piece):
    """Sends a body until the connection is closed."""
    writer.write(framing)
    while True:
        writer.write(piece)
        await writer.drain()


class Runner:
    """A plain runner that answers after the time that the path names."""

    def __init__(self, host, store):
        self._host = host
        self._store = store
        self.answered = []

    async def run(self):
        server = await asyncio.start_server(self._serve, self._host,
                                            modelfleet.PORT)
        try:
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
        finally:
            server.close()

    async def _serve(self, reader, writer):
        with (contextlib.closing(writer),
              contextlib.suppress(OSError, asyncio.IncompleteReadError)):
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
                             f"{wirenames.RESPONSE_SEAL}: s\r\n".encode())
                if size in ENDLESS:
                    await _send_without_end(writer, *ENDLESS[size])
                writer.write(f"Content-Length: {size}\r\n\r\n".encode() +
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

    def __init__(self, folder, **settings):
        self._folder = folder
        self._settings = settings
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
        for each in self.nodes:
            if each.process.returncode is None:
                each.process.kill()
                await each.process.wait()
        self._task.cancel()
        await asyncio.wait((self._task,))

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
            } | self._settings)

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


def run(script, folder, **settings):
    """Returns the result of a script beside two nodes."""

    async def main():
        async with Nodes(folder, **settings) as nodes:
            return await script(nodes)

    return asyncio.run(main())
