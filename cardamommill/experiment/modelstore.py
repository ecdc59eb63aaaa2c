"""A simulated platform store with versions, conditions, a feed and faults."""

import asyncio
import base64
import dataclasses
import json
from typing import Any
from urllib import parse

from cardamommill.domain import clock
from cardamommill.platform import wirenames
from cardamommill.transport import callers, replies

ADDRESS = ("10.200.1.7", 8223)
ANSWER_MS = 4.0
# Tables that nodes may write; writes to others get status 403.
WRITABLE_BY_SYSTEM = frozenset(
    {wirenames.NODES_TABLE, wirenames.QUARANTINE_TABLE, "status"})


@dataclasses.dataclass(slots=True)
class StoreRow:
    """A row and its version; the value of a deleted row is None.

    Attributes:
        answered: What answers hold as the value instead, if not None.
    """

    value: bytes | None
    version: int
    answered: Any = None


class ModelStore:
    """Keeps rows in memory and serves the calls of the platform's API."""

    def __init__(self) -> None:
        self.tables: dict[str, dict[str, StoreRow]] = {}
        self.version = 0
        self.history_from = 0
        self.era = 1
        # Every write, for restores: time, table, key and row.
        self._written: list[tuple[float, str, str, StoreRow]] = []
        self.calls = 0
        # How calls fail: "", "silent", "busy" or "reset".
        self.fault: str = ""
        self.slow_factor = 1.0
        self._changed = asyncio.Event()
        self._server = callers.CallerServer(self._on_request, lambda _: None)

    async def listen(self) -> None:
        """Starts to accept connections."""
        await self._server.listen(*ADDRESS)

    def put(self, table: str, key: str, value: dict[str, Any]) -> None:
        """Writes a row, as the operator or a runner does."""
        self._put(table, key, json.dumps(value).encode())

    def put_bytes(self,
                  table: str,
                  key: str,
                  value: bytes,
                  answered: Any = None) -> None:
        """Writes a row of another writer, which may hold anything."""
        self._put(table, key, value, answered)

    def _put(self,
             table: str,
             key: str,
             value: bytes | None,
             answered: Any = None) -> None:
        self.version += 1
        row = StoreRow(value, self.version, answered)
        self.tables.setdefault(table, {})[key] = row
        self._written.append((clock.now_ms(), table, key, row))
        self._changed.set()
        self._changed = asyncio.Event()

    def drop(self, table: str, key: str) -> None:
        """Deletes a row if it exists."""
        if self.get(table, key) is not None:
            self._put(table, key, None)

    def get(self, table: str, key: str) -> bytes | None:
        """Returns a row's value, or None if there is no such row."""
        row = self.tables.get(table, {}).get(key)
        return row.value if row is not None else None

    def compact(self) -> None:
        """Compacts the history; feeds from earlier versions get status 410."""
        self.history_from = self.version + 1

    def restore(self, loss_ms: float) -> None:
        """Restores a backup, losing the writes of the last `loss_ms`."""
        as_of_ms = clock.now_ms() - loss_ms
        self._written = [each for each in self._written if each[0] <= as_of_ms]
        self.tables = {}
        self.version = 0
        for _, table, key, row in self._written:
            self.tables.setdefault(table, {})[key] = row
            self.version = row.version
        self.era += 1
        self._changed.set()
        self._changed = asyncio.Event()

    def _on_request(self, request: callers.CallerRequest,
                    reply: replies.Reply) -> None:
        self.calls += 1
        asyncio.get_running_loop().create_task(self._answer(request, reply))

    async def _answer(self, request: callers.CallerRequest,
                      reply: replies.Reply) -> None:
        if self.fault == "silent":
            return
        if self.fault == "reset":
            reply.abort()
            return
        await asyncio.sleep(ANSWER_MS * self.slow_factor / 1000)
        if self.fault:
            reply.send(503, [self._era_header()], b"")
            return
        path, _, query_text = request.target.partition("?")
        query = dict(parse.parse_qsl(query_text, keep_blank_values=True))
        handlers = {
            wirenames.ROWS_GET_PATH: self._rows_get,
            wirenames.ROWS_FEED_PATH: self._rows_feed,
            wirenames.ROWS_TX_PATH: self._rows_tx,
        }
        call = handlers.get(path)
        if call is None:
            reply.send(404, [self._era_header()], b"")
            return
        status, body = await call(query, request.body)
        if self._is_silent():
            # Calls in flight when the store went silent get no answer either.
            return
        reply.send(status, [("Content-Type", "application/json"),
                            self._era_header()],
                   json.dumps(body).encode())

    def _era_header(self) -> tuple[str, str]:
        return wirenames.STORE_ERA, str(self.era)

    def _is_silent(self) -> bool:
        return self.fault == "silent"

    async def _rows_get(self, query: dict[str, str],
                        body: bytes) -> tuple[int, dict[str, Any]]:
        del body
        rows = self.tables.get(query["table"], {})
        found = [
            self._wire(query["table"], key, row)
            for key, row in sorted(rows.items())
            if row.value is not None and key >= query.get("from", "")
        ]
        return 200, self._stamp(rows=found[:500], hasMore=len(found) > 500)

    async def _rows_feed(self, query: dict[str, str],
                         body: bytes) -> tuple[int, dict[str, Any]]:
        del body
        after = int(query["sinceRev"])
        until_ms = clock.now_ms() + float(query.get("waitMs", "0"))
        while True:
            # The version was compacted away, or lost by a restore.
            if after + 1 < self.history_from or after > self.version:
                return 410, self._stamp()
            table = query["table"]
            found = sorted(((row.version, key, row)
                            for key, row in self.tables.get(table, {}).items()
                            if row.version > after),
                           key=lambda each: each[0])
            left_ms = until_ms - clock.now_ms()
            if found or left_ms < 0.01:
                return 200, self._stamp(
                    rows=[self._wire(table, key, row) for _, key, row in found])
            try:
                await asyncio.wait_for(self._changed.wait(), left_ms / 1000)
            except TimeoutError:
                continue

    async def _rows_tx(self, query: dict[str, str],
                       body: bytes) -> tuple[int, dict[str, Any]]:
        del query
        call = json.loads(body)
        for each in call.get("expected") or ():
            row = self.tables.get(each["table"], {}).get(each["key"])
            version = row.version if row and row.value is not None else 0
            if version != each["schemaVersion"]:
                return 412, self._stamp(rows=[])
        for each in call.get("put") or ():
            if each["table"] not in WRITABLE_BY_SYSTEM:
                return 403, self._stamp()
            self._put(each["table"], each["key"],
                      base64.b64decode(each["value"]))
        return 200, self._stamp()

    def _wire(self, table: str, key: str, row: StoreRow) -> dict[str, Any]:
        base: dict[str, Any] = {
            "table": table,
            "part": "",
            "key": key,
            "schemaVersion": row.version
        }
        if row.value is None:
            return base | {"deleted": True}
        if row.answered is not None:
            return base | {"value": row.answered}
        return base | {"value": base64.b64encode(row.value).decode()}

    def _stamp(self, **fields: Any) -> dict[str, Any]:
        """Adds the version and the store's clock, which is 5000 ms ahead."""
        return fields | {
            "schemaVersion": self.version,
            "nowMs": clock.now_ms() + 5000
        }
