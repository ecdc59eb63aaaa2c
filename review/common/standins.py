"""Stand-ins for the platform's store, plain runners and clients.

They speak what ../given/kit/more/system/PROTOCOL.md says, over loopback, and
use the standard library alone.
"""

import asyncio
import base64
import contextlib
import dataclasses
import ipaddress
import json
import os
import pathlib
import random
import signal
import socket
import sys
import tempfile
import time
from urllib import parse

REPOSITORY = pathlib.Path(__file__).resolve().parents[2]
ZONES = {"praha-a": "cz-central", "praha-b": "cz-central", "kladno": "cz-central"}
BOUNDS = {
    "drain_ms": 2000,
    "grace_s": 8,
    "config_apply_ms": 2000,
    "revoke_ms": 5000,
    "retry_ratio": 0.2,
    "retry_window_s": 10,
    "retry_slack": 130,
    "stall_ms": 4000,
    "pass_ms": 120,
}
HEARTBEAT_MS = 1200


def now_ms() -> float:
    """The steady clock of all stand-ins."""
    return time.monotonic() * 1000


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._began_ms = now_ms()

    def line(self, text: str) -> None:
        self._file.write(f"{(now_ms() - self._began_ms) / 1000:8.3f} s  {text}\n")
        self._file.flush()
        print(text, flush=True)

    def quiet(self, text: str) -> None:
        """Writes to the file alone."""
        self._file.write(f"{(now_ms() - self._began_ms) / 1000:8.3f} s  {text}\n")
        self._file.flush()


# HTTP.


@dataclasses.dataclass
class Message:
    """A request or an answer; header names are in lower case."""

    start: str
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        return int(self.start.split(" ")[1])

    @property
    def target(self) -> str:
        return self.start.split(" ")[1]


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Reads a request; None if the connection ended before it began."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    start, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for each in lines:
        name, _, value = each.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
            if not size:
                break
            parts.append(data[:-2])
        body = b"".join(parts)
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return Message(start, headers, body)


def answer(status: int, headers: dict[str, str], body: bytes) -> bytes:
    reasons = {200: "OK", 202: "Accepted", 400: "Bad Request", 404: "Not Found",
               409: "Conflict", 410: "Gone", 412: "Precondition Failed",
               421: "Misdirected Request", 503: "Service Unavailable"}
    lines = [f"HTTP/1.1 {status} {reasons.get(status, 'Unknown')}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


# The platform's store.


class Store:
    """The tables of the store, as linearizable as one process is."""

    def __init__(self) -> None:
        self._rows: dict[tuple[str, str, str], tuple[bytes, int]] = {}
        self._changes: list[tuple[str, str, str, int]] = []
        self._version = 0
        self._changed = asyncio.Condition()
        self._server: asyncio.Server | None = None
        self.address = ""
        self.calls = 0

    async def start(self, host: str, port: int) -> None:
        self._server = await asyncio.start_server(self._serve, host, port)
        self.address = f"{host}:{port}"

    def close(self) -> None:
        if self._server is not None:
            self._server.close()

    async def put(self, table: str, key: str, value: dict | None,
                  part: str = "") -> int:
        """Writes a row (None removes it); its return acknowledges it."""
        raw = None if value is None else json.dumps(value).encode()
        await self._write([(table, part, key, raw)])
        return self._version

    async def _write(
            self, entries: list[tuple[str, str, str, bytes | None]]) -> None:
        self._version += 1
        for table, part, key, value in entries:
            if value is None:
                self._rows.pop((table, part, key), None)
            else:
                self._rows[table, part, key] = value, self._version
            self._changes.append((table, part, key, self._version))
        async with self._changed:
            self._changed.notify_all()

    def _row(self, table: str, part: str, key: str, version: int) -> dict:
        found = self._rows.get((table, part, key))
        row = {"table": table, "part": part, "key": key}
        if found is None:
            return row | {"deleted": True, "schemaVersion": version}
        return row | {
            "value": base64.b64encode(found[0]).decode(),
            "schemaVersion": found[1]
        }

    async def _serve(self, reader: asyncio.StreamReader,
                     writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.CancelledError,
                                 asyncio.IncompleteReadError):
            while (request := await read_message(reader)) is not None:
                self.calls += 1
                await asyncio.sleep(0.004)
                status, told = await self._answer(request)
                writer.write(
                    answer(status, {"Content-Type": "application/json"},
                           json.dumps(told).encode()))
                await writer.drain()
        writer.close()

    async def _answer(self, request: Message) -> tuple[int, dict]:
        path, _, text = request.target.partition("?")
        query = dict(parse.parse_qsl(text))
        if path == "/cardamommill/rows-tx":
            return await self._transact(json.loads(request.body))
        if path == "/cardamommill/rows-get":
            found = sorted(key for table, part, key in self._rows
                           if (table, part) == (query["table"],
                                                query.get("part", "")) and
                           query.get("from", "") <= key and
                           ("to" not in query or key < query["to"]))
            rows = [
                self._row(query["table"], query.get("part", ""), key, 0)
                for key in found
            ][:500]
            return 200, self._told(rows) | {"hasMore": len(found) > 500}
        if path == "/cardamommill/rows-feed":
            return await self._feed(query["table"], int(query["sinceRev"]),
                                    min(30_000, int(query["waitMs"])))
        return 404, {}

    def _told(self, rows: list[dict]) -> dict:
        return {
            "rows": rows,
            "schemaVersion": self._version,
            "nowMs": now_ms()
        }

    async def _transact(self, told: dict) -> tuple[int, dict]:
        for each in told.get("expected", ()):
            found = self._rows.get(
                (each["table"], each.get("part", ""), each["key"]))
            if (found[1] if found else 0) != each["schemaVersion"]:
                return 412, self._told([])
        await self._write([(each["table"], each.get("part", ""), each["key"],
                            base64.b64decode(each["value"]))
                           for each in told.get("put", ())] +
                          [(each["table"], each.get("part", ""), each["key"],
                            None) for each in told.get("remove", ())])
        return 200, self._told([])

    async def _feed(self, table: str, since: int,
                    wait_ms: int) -> tuple[int, dict]:
        until_ms = now_ms() + wait_ms
        while True:
            newest = {(part, key): version
                      for name, part, key, version in self._changes
                      if name == table and version > since}
            left_ms = until_ms - now_ms()
            if newest or left_ms <= 0:
                rows = [
                    self._row(table, part, key, version)
                    for (part, key), version in newest.items()
                ]
                return 200, self._told(rows)
            async with self._changed:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self._changed.wait(), left_ms / 1000)


# Runners.


@dataclasses.dataclass
class Run:
    """A run of a request at a runner."""

    attempt: str
    target: str
    tenant: str | None
    began_ms: float
    whole_ms: float = 0.0


class Runner:
    """A plain runner; `work` returns how long a run takes and its body."""

    def __init__(self, service: str, zone: str, record: Record, work) -> None:
        self.id = f"i-{random.randrange(16**8):08x}"
        self.service = service
        self.zone = zone
        self.runs: list[Run] = []
        self._record = record
        self._work = work
        self._server: asyncio.Server | None = None
        self._seq = 0
        self.address = ""

    async def start(self, host: str, port: int) -> None:
        self._server = await asyncio.start_server(self._serve, host, port)
        self.address = f"{host}:{port}"

    def close(self) -> None:
        if self._server is not None:
            self._server.close()

    def entry(self, state: str = "ready") -> dict:
        self._seq += 1
        return {
            "id": self.id,
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": 1,
            "slots": 6,
            "state": state,
            "coldLeftMs": 0,
            "seq": self._seq
        }

    async def heartbeat(self, store: Store) -> None:
        while True:
            await store.put("servers", self.id, self.entry())
            await asyncio.sleep(HEARTBEAT_MS / 1000)

    async def _serve(self, reader: asyncio.StreamReader,
                     writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.CancelledError,
                                 asyncio.IncompleteReadError):
            while (request := await read_message(reader)) is not None:
                writer.write(await self._answer(request))
                await writer.drain()
        writer.close()

    async def _answer(self, request: Message) -> bytes:
        attempt = request.headers.get("x-cardamommill-attempt-id", "")
        expected = request.headers.get("x-cardamommill-expect-instance")
        told = {"X-Cardamommill-Instance-Id": self.id,
                "X-Cardamommill-Server-Load": "1,0,6"}
        if expected not in (None, self.id):
            return answer(421, told, b"")
        if request.target == "/healthz":
            return answer(200, told, b"")
        if not attempt:
            return answer(400, told | {"X-Cardamommill-Not-Executed": "1"}, b"")
        run = Run(attempt, request.target,
                  request.headers.get("x-cardamommill-tenant"), now_ms())
        self.runs.append(run)
        self._record.quiet(f"run    {attempt} at {self.id}: {request.start}, "
                           f"tenant {run.tenant}")
        work_s, body = self._work(request)
        await asyncio.sleep(work_s)
        run.whole_ms = now_ms()
        return answer(
            200, told | {
                "X-Cardamommill-Attempt-Id": attempt,
                "X-Cardamommill-Response-Seal": f"{self.id}.{attempt}",
                "Content-Type": "application/octet-stream"
            }, body)


# Entry nodes.


class Node:
    """An entry node: the deploy file's command as a process of its own."""

    def __init__(self, name: str, zone: str, ip: str, store: str,
                 folder: pathlib.Path) -> None:
        self.name = name
        self.ip = ip
        self.zone = zone
        self.store = store
        self.seeds: list[str] = []
        self._folder = folder
        self.process: asyncio.subprocess.Process | None = None
        self.log = folder / f"{name}.log"

    @property
    def callers(self) -> tuple[str, int]:
        return self.ip, 8227

    @property
    def ready(self) -> tuple[str, int]:
        return self.ip, 8220

    def settings(self) -> dict:
        """The fields of deploy/settings.yaml.template; JSON is YAML too."""
        return {
            "node": self.name,
            "data_centre": self.zone,
            "data_centres": list(ZONES),
            "regions": ZONES,
            "ip": self.ip,
            "callers": f"{self.ip}:8227",
            "ready": f"{self.ip}:8220",
            "peer_port": 7340,
            "seeds": self.seeds,
            "platform": self.store,
            "heartbeat_ms": HEARTBEAT_MS,
            "memory_mb": 300,
            "bounds": BOUNDS,
        }

    async def start(self) -> None:
        path = self._folder / f"{self.name}.yaml"
        path.write_text(json.dumps(self.settings()), "utf-8")
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", ""),
            "LANG": os.environ.get("LANG", "C.UTF-8"),
            "PYTHONPATH": "target/deps",
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "cardamommill", "entry", "--settings",
                str(path), cwd=REPOSITORY, env=environment, stdout=log,
                stderr=log)

    def signal(self, number: int) -> None:
        assert self.process is not None
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)

    async def end(self) -> None:
        if self.process is None or self.process.returncode is not None:
            return
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        await self.process.wait()

    async def is_ready(self) -> bool:
        try:
            found = await exchange(self.ready, b"GET /cardamommill/readyz "
                                   b"HTTP/1.1\r\nHost: a\r\n\r\n", 1.0)
        except (OSError, TimeoutError):
            return False
        return found is not None and found.status == 200


async def exchange(address: tuple[str, int], request: bytes,
                   timeout_s: float) -> Message | None:
    """Sends a request on a new connection and returns the whole answer.

    Returns None if the connection ends without a whole answer.
    """

    async def run() -> Message | None:
        reader, writer = await asyncio.open_connection(*address)
        try:
            writer.write(request)
            return await read_message(reader)
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
        finally:
            writer.close()

    return await asyncio.wait_for(run(), timeout_s)


def request_bytes(method: str, path: str, host: str, attempt: str,
                  deadline_ms: int, key: str | None, body: bytes = b"") -> bytes:
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}",
             f"X-Cardamommill-Attempt-Id: {attempt}",
             f"X-Cardamommill-Deadline-Ms: {deadline_ms}"]
    if key is not None:
        lines.append(f"Authorization: Bearer {key}")
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def attempt_id() -> str:
    return f"{random.randrange(16**16):016x}"


def free_ips(count: int) -> list[str]:
    """Returns loopback addresses on which the ports of a node are free."""
    found: list[str] = []
    while len(found) < count:
        ip = str(ipaddress.IPv4Address("127.0.0.0") +
                 random.randrange(2**16, 2**24 - 2))
        if ip in found:
            continue
        with contextlib.ExitStack() as stack:
            try:
                for port in (7340, 8220, 8227, 9464, 8223):
                    one = stack.enter_context(socket.socket())
                    one.bind((ip, port))
            except OSError:
                continue
        found.append(ip)
    return found


async def wait_ready(nodes: list[Node], timeout_s: float = 20.0) -> bool:
    until_ms = now_ms() + timeout_s * 1000
    while now_ms() < until_ms:
        if all([await each.is_ready() for each in nodes]):
            return True
        await asyncio.sleep(0.1)
    return False


def play(case, folder: pathlib.Path) -> int:
    """Runs a case within 115 s; returns its exit code."""
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.line(f"trouble: {'yes' if trouble else 'no'}")

    async def run() -> int:
        with tempfile.TemporaryDirectory(prefix="review-") as temporary:
            nodes: list[Node] = []
            try:
                return await asyncio.wait_for(
                    case(record, trouble, pathlib.Path(temporary), nodes), 110)
            except TimeoutError:
                record.line("the case took too long")
                return 2
            finally:
                for each in nodes:
                    await each.end()

    # Ends the nodes too if the case is stopped.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        code = asyncio.run(run())
    except OSError as error:
        record.line(f"the case could not run: {error!r}")
        code = 2
    record.line({0: "the rule held", 1: "the rule was broken",
                 2: "the case could not run"}[code])
    return code
