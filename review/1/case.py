"""SIGTERM while callers still read answers that runners have given whole."""

import asyncio
import contextlib
import pathlib
import signal
import socket
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))

import standins  # noqa: E402

HOST = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"
CALLERS = 6
ANSWER_BYTES = 4_194_304
# A caller reads 750,000 bytes a second, and so an answer in 5.6 s.
READ_BYTES = 32_768
READ_BYTES_PER_S = 750_000
DEADLINE_MS = 8000
SIGTERM_AFTER_S = 0.5


def configuration() -> dict:
    return {
        "version": 7,
        "routes": [{
            "name": "r-records", "host": HOST, "prefix": "/records/",
            "type": "non_idempotent", "timeoutMs": 8000, "goalMs": 200,
            "priority": 2, "service": "registry-portal", "maxAttempts": 1,
            "public": False, "sticky": False, "resumable": False,
        }],
        "services": [{"name": "registry-portal", "healthPath": "/healthz",
                      "maxConns": 96, "protocol": "h1", "tls": False}],
        "limits": {"headerBytes": 16384, "bodyBytes": 4194304,
                   "headerMs": 3000, "idleMs": 15000},
        "tenants": [{"name": "hule930", "apiKeys": [KEY], "priority": 1}],
    }


class Caller:
    """Sends one request and reads its answer slowly."""

    def __init__(self, record: standins.Record, attempt: str) -> None:
        self._record = record
        self.attempt = attempt
        self.sent_ms = 0.0
        self.ended_ms = 0.0
        self.received = b""

    async def call(self, address: tuple[str, int]) -> None:
        loop = asyncio.get_running_loop()
        with socket.socket() as one:
            # Segments as on a network of machines; those of the loopback
            # interface hold 64 KiB.
            one.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1460)
            one.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
            one.setblocking(False)
            await loop.sock_connect(one, address)
            self.sent_ms = standins.now_ms()
            await loop.sock_sendall(one, standins.request_bytes(
                "POST", "/records/7", HOST, self.attempt, DEADLINE_MS, KEY,
                b"{}"))
            self._record.quiet(f"sent   {self.attempt}: POST /records/7")
            found = bytearray()
            with contextlib.suppress(ConnectionError):
                while not self._is_whole(found):
                    data = await loop.sock_recv(one, READ_BYTES)
                    if not data:
                        break
                    found += data
                    due_s = len(found) / READ_BYTES_PER_S
                    spent_s = (standins.now_ms() - self.sent_ms) / 1000
                    await asyncio.sleep(max(0.0, due_s - spent_s))
            self.received = bytes(found)
            self.ended_ms = standins.now_ms()

    @staticmethod
    def _body(received: bytes | bytearray) -> tuple[bytes, int]:
        """Returns what has come of the body, and how long it should be."""
        head, _, body = bytes(received[:4096]).partition(b"\r\n\r\n")
        for line in head.split(b"\r\n"):
            name, _, value = line.partition(b":")
            if name.lower() == b"content-length":
                return bytes(received[len(head) + 4:]), int(value)
        return body, -1

    def _is_whole(self, received: bytearray) -> bool:
        if b"\r\n\r\n" not in received[:4096]:
            return False
        body, length = self._body(received)
        return len(body) == length

    @property
    def is_whole(self) -> bool:
        return self._is_whole(bytearray(self.received))

    def told(self) -> str:
        body, length = self._body(self.received)
        start = self.received.split(b"\r\n")[0].decode("latin-1")
        return (f"{self.attempt}: {start!r}, {len(body)} of {length} bytes, "
                f"ended {self.ended_ms - self.sent_ms:.0f} ms after it was sent")


async def case(record: standins.Record, trouble: bool, folder: pathlib.Path,
               nodes: list[standins.Node]) -> int:
    store_ip, runner_ip, *node_ips = standins.free_ips(4)
    store = standins.Store()
    await store.start(store_ip, 8223)
    body = bytes(range(256)) * (ANSWER_BYTES // 256)
    runners = [
        standins.Runner("registry-portal", zone, record,
                        lambda request: (0.045, body))
        for zone in standins.ZONES
    ]
    tasks = []
    for port, runner in enumerate(runners, 8000):
        await runner.start(runner_ip, port)
        tasks.append(asyncio.create_task(runner.heartbeat(store)))
    await store.put("op", "config", configuration())
    nodes += [
        standins.Node(f"front-praha-a-{index}", "praha-a", ip, store.address,
                      folder) for index, ip in enumerate(node_ips, 1)
    ]
    for node in nodes:
        node.seeds = [f"{nodes[0].ip}:7340"]
        await node.start()
    if not await standins.wait_ready(nodes):
        record.line("the nodes did not become ready")
        return 2
    # No disruption for longer than contactMs (3,000 ms) before the requests.
    await asyncio.sleep(3.5)

    node = nodes[0]
    callers = [Caller(record, standins.attempt_id()) for _ in range(CALLERS)]
    calls = [asyncio.create_task(each.call(node.callers)) for each in callers]
    await asyncio.sleep(SIGTERM_AFTER_S)
    given = {run.attempt for runner in runners for run in runner.runs
             if run.whole_ms}
    record.line(f"runners have given {len(given)} whole answers")
    signalled_ms = standins.now_ms()
    if trouble:
        node.signal(signal.SIGTERM)
        record.line(f"SIGTERM to {node.name}")
    await asyncio.gather(*calls)
    if trouble:
        assert node.process is not None
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(node.process.wait(), 9)
        record.line(f"{node.name} ended with {node.process.returncode} within "
                    f"{standins.now_ms() - signalled_ms:.0f} ms of SIGTERM")
    lost = 0
    for each in callers:
        record.line(each.told())
        is_lost = (each.attempt in given and not each.is_whole and
                   each.ended_ms - each.sent_ms < DEADLINE_MS)
        lost += is_lost
    runs = [run.attempt for runner in runners for run in runner.runs]
    record.line(f"{len(runs)} runs of {len(set(runs))} requests; {lost} "
                "requests ran, and their connections ended without a complete "
                "answer")
    for task in tasks:
        task.cancel()
    if len(given) < CALLERS:
        return 2
    return 1 if lost else 0


if __name__ == "__main__":
    sys.exit(standins.play(case, pathlib.Path(__file__).resolve().parent))
