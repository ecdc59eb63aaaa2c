"""Stand-ins for the platform, the runners and the clients of a review case.

They follow PROTOCOL.md and DEPLOY.md of the users' pages and use the standard
library alone. Everything listens on loopback addresses.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
from urllib import parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
CALLERS_PORT, READY_PORT, CONTROL_PORT, PEER_PORT = 8227, 8220, 8229, 7340
STORE_PORT, RUNNER_PORT = 8223, 8080
HOST = "portal.example"
KEY = "k3y0f0ne"
TENANT = "office"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BOUNDS = {
    "drain_ms": 2000, "grace_s": 8, "config_apply_ms": 2000,
    "revoke_ms": 5000, "retry_ratio": 0.2, "retry_window_s": 10,
    "retry_slack": 130, "stall_ms": 4000, "pass_ms": 120,
}


def now_ms():
    return time.monotonic() * 1000


def free_network():
    """Returns the start of loopback addresses on which all ports are free."""
    while True:
        prefix = f"127.{random.randrange(16, 250)}.{random.randrange(250)}"
        with contextlib.ExitStack() as stack:
            try:
                for port in (STORE_PORT, CALLERS_PORT, READY_PORT, PEER_PORT,
                             RUNNER_PORT):
                    probe = stack.enter_context(socket.socket())
                    probe.bind((f"{prefix}.1", port))
            except OSError:
                continue
        return prefix


class Record:
    """What was sent, answered and run, as lines of record.txt."""

    def __init__(self, folder):
        self._file = (pathlib.Path(folder) / "record.txt").open("w", 1)
        self._start_ms = now_ms()

    def line(self, text):
        self._file.write(f"{(now_ms() - self._start_ms) / 1000:8.3f} {text}\n")


async def read_head(reader):
    """Returns the first line and the headers of a message."""
    data = await reader.readuntil(b"\r\n\r\n")
    first, *lines = data.decode("latin-1").rstrip("\r\n").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    return first, headers


class Store:
    """The platform's store: rows-tx, rows-get and rows-feed."""

    def __init__(self, host):
        self.host = host
        self.version = 0
        self.rows = {}
        self.log = []
        self._changed = asyncio.Condition()
        self._server = None

    async def listen(self):
        self._server = await asyncio.start_server(self._serve, self.host,
                                                  STORE_PORT)

    async def put(self, table, key, value):
        """Writes a row as the operator or a runner does; returns the ack."""
        async with self._changed:
            self._write(table, key, value)
            self._changed.notify_all()
            return self.version

    def _write(self, table, key, value):
        self.version += 1
        row = {"table": table, "part": "", "key": key,
               "schemaVersion": self.version}
        if value is None:
            self.rows.pop((table, key), None)
            row["deleted"] = True
        else:
            row["value"] = base64.b64encode(value).decode()
            self.rows[table, key] = row
        self.log.append(row)

    async def _serve(self, reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            while True:
                first, headers = await read_head(reader)
                body = await reader.readexactly(
                    int(headers.get("content-length", 0)))
                method, target, _ = first.split(" ")
                url = parse.urlsplit(target)
                query = dict(parse.parse_qsl(url.query))
                await asyncio.sleep(0.004)
                status, answer = await self._answer(method, url.path, query,
                                                    body)
                answer |= {"schemaVersion": self.version,
                           "nowMs": int(now_ms())}
                data = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json"
                    f"\r\nContent-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        writer.close()

    async def _answer(self, method, path, query, body):
        del method
        if path == "/cardamommill/rows-tx":
            return await self._transact(json.loads(body))
        if path == "/cardamommill/rows-get":
            found = [row for (table, key), row in sorted(self.rows.items())
                     if table == query["table"] and
                     key >= query.get("from", "")]
            return 200, {"rows": found[:500], "hasMore": len(found) > 500}
        if path == "/cardamommill/rows-feed":
            return await self._feed(query)
        return 404, {}

    async def _transact(self, told):
        for each in told.get("expected", ()):
            row = self.rows.get((each["table"], each["key"]))
            if (row or {"schemaVersion": 0})["schemaVersion"] != each[
                    "schemaVersion"]:
                return 412, {"rows": [row] if row else []}
        for each in (*told.get("put", ()), *told.get("remove", ())):
            if each["table"] in ("op", "servers"):
                return 403, {}
        async with self._changed:
            for each in told.get("put", ()):
                self._write(each["table"], each["key"],
                            base64.b64decode(each["value"]))
            for each in told.get("remove", ()):
                self._write(each["table"], each["key"], None)
            self._changed.notify_all()
        return 200, {}

    async def _feed(self, query):
        since, until_ms = int(query["sinceRev"]), now_ms() + int(
            query.get("waitMs", 0))
        async with self._changed:
            while True:
                newest = {}
                for row in self.log:
                    if (row["table"] == query["table"] and
                            row["schemaVersion"] > since):
                        newest[row["key"]] = row
                left_s = (until_ms - now_ms()) / 1000
                if newest or left_s <= 0:
                    return 200, {"rows": sorted(
                        newest.values(), key=lambda one: one["schemaVersion"])}
                with contextlib.suppress(TimeoutError, asyncio.TimeoutError):
                    await asyncio.wait_for(self._changed.wait(), left_s)


def configuration(version, routes, services, **limits):
    """Returns the operator's configuration."""
    return json.dumps({
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {"headerBytes": 16384, "bodyBytes": 4194304,
                   "headerMs": 3000, "idleMs": 15000} | limits,
        "tenants": [{"name": TENANT, "apiKeys": [KEY], "priority": 1}],
    }).encode()


def route(name, service, kind, **fields):
    return {"name": name, "host": HOST, "prefix": f"/{name}/", "type": kind,
            "service": service, "timeoutMs": 8000, "goalMs": 400,
            "priority": 1, "maxAttempts": 2, "public": False} | fields


def service(name, max_conns=304):
    return {"name": name, "healthPath": "/healthz", "maxConns": max_conns,
            "protocol": "h1", "tls": False}


class Runner:
    """A runner of a plain service: one request at a time on a connection."""

    def __init__(self, store, host, runner_id, service_name, zone, record,
                 work_s=0.03, answer_bytes=800):
        self.host, self.id, self.service = host, runner_id, service_name
        self._store, self._zone, self._record = store, zone, record
        self._work_s, self._answer = work_s, b"r" * answer_bytes
        self.runs = {}
        # The body's length of each run.
        self.bodies = []
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(self._serve, self.host,
                                                  RUNNER_PORT, limit=1 << 20)
        await self._store.put("servers", self.id, json.dumps({
            "service": self.service, "address": f"{self.host}:{RUNNER_PORT}",
            "zone": self._zone, "version": "v1", "slots": 60,
            "state": "ready", "coldLeftMs": 0, "seq": 1}).encode())

    async def _serve(self, reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            while True:
                first, headers = await read_head(reader)
                left = int(headers.get("content-length", 0))
                while left:
                    data = await reader.read(min(left, 1 << 20))
                    if not data:
                        return
                    left -= len(data)
                await self._answer_one(first, headers, writer)
        writer.close()

    async def _answer_one(self, first, headers, writer):
        attempt = headers.get("x-cardamommill-attempt-id", "")
        wanted = headers.get("x-cardamommill-expect-instance", self.id)
        path = first.split(" ")[1]
        if path == "/healthz":
            head, body = "200 OK", b""
        elif wanted != self.id:
            head, body = "421 Misdirected Request", b""
        elif not attempt:
            head, body = ("400 Bad Request\r\n"
                          "X-Cardamommill-Not-Executed: 1"), b""
        else:
            self.runs[attempt] = self.runs.get(attempt, 0) + 1
            size = int(headers.get("content-length", 0))
            self.bodies.append((attempt, size))
            self._record.line(f"run {attempt} at {self.id}: "
                              f"{size} body bytes")
            await asyncio.sleep(self._work_s)
            head, body = (f"200 OK\r\nX-Cardamommill-Attempt-Id: {attempt}\r\n"
                          f"X-Cardamommill-Response-Seal: s.{attempt}",
                          self._answer)
        writer.write(f"HTTP/1.1 {head}\r\nX-Cardamommill-Instance-Id: "
                     f"{self.id}\r\nContent-Length: {len(body)}\r\n\r\n"
                     .encode() + body)
        await writer.drain()


class Node:
    """An entry node's process, started with the deploy file's command."""

    def __init__(self, network, number, zone, folder, seeds, memory_mb=300):
        self.name = f"front-{zone}-{number}"
        self.host = f"{network}.{number + 1}"
        self.zone, self.memory_mb = zone, memory_mb
        self._folder, self._seeds = pathlib.Path(folder), seeds
        self._network = network
        self.process = None
        self.log = self._folder / f"{self.name}.log"
        self.settings_path = self._folder / f"{self.name}.yaml"

    def write_settings(self, zones, **changes):
        text = {
            "node": self.name, "data_centre": self.zone,
            "data_centres": zones, "regions": {each: "r" for each in zones},
            "ip": self.host, "callers": f"{self.host}:{CALLERS_PORT}",
            "ready": f"{self.host}:{READY_PORT}", "peer_port": PEER_PORT,
            "seeds": [f"{each}:{CONTROL_PORT}" for each in self._seeds],
            "platform": f"{self._network}.1:{STORE_PORT}",
            "heartbeat_ms": 1200, "memory_mb": self.memory_mb,
            "bounds": BOUNDS,
        } | changes
        new = self.settings_path.with_suffix(".new")
        new.write_text(json.dumps(text))
        new.replace(self.settings_path)

    async def start(self):
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "python3", "-m", "cardamommill", "entry", "--settings",
                str(self.settings_path), cwd=ROOT,
                env={"PATH": os.environ.get("PATH", ""),
                     "HOME": os.environ.get("HOME", "/"),
                     "PYTHONPATH": str(ROOT / "target" / "deps"),
                     "PYTHONDONTWRITEBYTECODE": "1"},
                stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log)

    def rss_mb(self):
        """Returns the process's resident memory; 0 if it has ended."""
        if self.process is None or self.process.returncode is not None:
            return 0
        try:
            pages = int(pathlib.Path(
                f"/proc/{self.process.pid}/statm").read_text().split()[1])
        except OSError:
            return 0
        return pages * os.sysconf("SC_PAGE_SIZE") / (1 << 20)

    async def end(self):
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    async def is_ready(self):
        """Asks for its readiness as the platform does."""
        try:
            return await asyncio.wait_for(self._ask_ready(), 1)
        except (OSError, TimeoutError, asyncio.TimeoutError,
                asyncio.IncompleteReadError):
            return False

    async def _ask_ready(self):
        reader, writer = await asyncio.open_connection(self.host, READY_PORT)
        try:
            writer.write(b"GET /cardamommill/readyz HTTP/1.1\r\n"
                         b"Host: ready\r\n\r\n")
            first, _ = await read_head(reader)
            return " 200 " in first
        finally:
            writer.close()

    async def wait_ready(self, timeout_s=20):
        until_ms = now_ms() + timeout_s * 1000
        while now_ms() < until_ms:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.1)
        return False


def request_bytes(method, path, attempt, deadline_ms, body=b""):
    return (f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n"
            f"X-Cardamommill-Attempt-Id: {attempt}\r\n"
            f"X-Cardamommill-Deadline-Ms: {deadline_ms}\r\n"
            f"Authorization: Bearer {KEY}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n").encode() + body


def main(case):
    """Runs a case: `case(folder, record)` returns whether the rule held."""
    folder = pathlib.Path(sys.argv[1]).resolve()
    work = tempfile.mkdtemp(prefix="case-")
    record = Record(folder)
    async def run():
        # Tasks that are cancelled at the end are no errors.
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda *_: None)
        # A run that is stopped ends the processes that it started, too.
        loop.add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        return await asyncio.wait_for(case(work, record), 110)

    try:
        held = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as error:
        record.line(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        held = None
    finally:
        shutil.rmtree(work, ignore_errors=True)
    # run.sh makes 1 of 10, and 2 of any other failure.
    code = {True: 0, False: 10, None: 2}[held]
    result = {0: "held", 10: "broken", 2: "could not run"}[code]
    record.line(f"result: {result}")
    print(f"result: {result}")
    sys.exit(code)


SIGNALS = {"term": signal.SIGTERM, "hup": signal.SIGHUP, "kill": signal.SIGKILL}
