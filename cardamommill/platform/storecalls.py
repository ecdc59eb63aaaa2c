"""The client of the platform's store: table reads, change feeds and writes."""

import asyncio
import base64
import binascii
import dataclasses
import json
import math
from typing import Any
from urllib import parse

import logbook

from cardamommill import exceptions, logs
from cardamommill.domain import clock, eras
from cardamommill.platform import entries, fetching, wire, wirenames
from cardamommill.transport import httpheaders, upstream

# For reads of rows and for writes. Even a store that is slowed down sixty times
# answers in 300 ms; one that does not answer at all should be asked again soon.
CALL_TIMEOUT_MS = 1000
# How long a feed's answer may take beyond the wait that was asked for. A longer
# margin would leave API keys unconfirmed for too long after one lost answer.
FEED_MARGIN_MS = 500
_OK = 200
_GONE = 410

_LOG = logbook.Logger("platform")


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """One row of a table; the value of a deleted row is empty.

    The store's JSON calls the version `schemaVersion`, its feed's query
    `sinceRev`.
    """

    key: str
    value: bytes
    version: int
    deleted: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Rows:
    """Rows read from the store, with the time and version of the reading.

    Attributes:
        rows: The rows that were read.
        version: The store's newest version when it answered.
        as_of_ms: A time on this node's clock, not later than when the
            store answered.
        era: The era in which the store assigned all these versions.
        store_ms: The store's clock when it answered.
    """

    rows: tuple[Row, ...]
    version: int
    as_of_ms: float
    era: int = 0
    store_ms: float = 0.0

    @property
    def position(self) -> eras.TablePosition:
        """The era and version up to which this answer covers the table."""
        return eras.TablePosition(self.era, self.version)


class HistoryLost(exceptions.StoreError):
    """The store no longer has the changes asked for; read the whole table."""


class StoreRestored(HistoryLost):
    """The store was restored and is in a newer era than the one asked about."""


class StoreClient:
    """One node's client of the platform's store."""

    def __init__(self, pool: upstream.Pool, address: upstream.Address) -> None:
        self._pool = pool
        self._address = address
        self.eras = eras.EraTracker()
        self._last_refused_era: str | None = None
        self._peer = f"{address[0]}:{address[1]}"
        # A lower bound of this node's clock minus the store's. The store reads
        # its clock after a call was sent, so the time of sending minus the
        # store's time is never more than the true difference. Reset in each
        # era, since the clock of a restored store may have jumped.
        self._offset_ms = float("-inf")
        self._offset_era = 0
        self.calls = 0

    async def table(self, table: str, part: str = "") -> Rows:
        """Returns all rows of a part of a table, as of the first page.

        Rows that change while later pages are read come again with the feed.

        Raises:
            HistoryLost: The store was restored between two pages.
            StoreError: The store gave no usable answer.
        """
        found: list[Row] = []
        first: Rows | None = None
        after = ""
        while True:
            query = {
                "table": table,
                "part": part
            } | ({
                "from": after
            } if after else {})
            answer, sent_ms = await self._get(wirenames.ROWS_GET_PATH, query,
                                              CALL_TIMEOUT_MS)
            rows = self._rows(answer, sent_ms)
            found += rows.rows
            first = first or rows
            self._check_era(rows.era, first.era)
            if not answer.get("hasMore") or not rows.rows:
                return dataclasses.replace(first, rows=tuple(found))
            after = rows.rows[-1].key + "\0"

    async def wait_for_changes(self, table: str, after: eras.TablePosition,
                               wait_ms: int) -> Rows:
        """Waits for changes of a table and returns the changed rows.

        Args:
            table: The table's name.
            after: The position after which changes are asked for.
            wait_ms: How long the store waits for a change; without one, it
                answers with no rows.

        Raises:
            HistoryLost: The changes after that position are gone, or the store
                was restored; the whole table must be read.
            StoreError: The store gave no usable answer.
        """
        self._check_era(self.eras.newest, after.era)
        query = {"table": table, "sinceRev": after.version, "waitMs": wait_ms}
        timeout_ms = wait_ms + FEED_MARGIN_MS
        changes = asyncio.ensure_future(
            self._get(wirenames.ROWS_FEED_PATH, query, timeout_ms))
        # Another call may see first that the store was restored.
        newer_era = asyncio.ensure_future(
            self.eras.wait_for_newer(after.era, timeout_ms))
        try:
            await asyncio.wait((changes, newer_era),
                               return_when=asyncio.FIRST_COMPLETED)
            self._check_era(self.eras.newest, after.era)
            rows = self._rows(*await changes)
        finally:
            changes.cancel()
            newer_era.cancel()
        self._check_era(rows.era, after.era)
        return rows

    def _check_era(self, era: int, expected: int) -> None:
        if era != expected:
            raise StoreRestored(
                f"store is in era {era}, expected era {expected}",
                step="rows",
                peer=self._peer)

    def store_time_ms(self, local_ms: float) -> float | None:
        """Returns the store's clock at a time; None before any answer."""
        if not math.isfinite(self._offset_ms):
            return None
        return local_ms - self._offset_ms

    async def put(self, table: str, key: str, value: bytes) -> None:
        """Writes a row unconditionally, whatever it held before.

        Raises:
            StoreError: The row may not have been written.
        """
        body = json.dumps({
            "expected": [],
            "put": [{
                "table": table,
                "part": "",
                "key": key,
                "value": base64.b64encode(value).decode()
            }],
            "remove": []
        }).encode()
        request = fetching.request_bytes("POST", wirenames.ROWS_TX_PATH,
                                         [("Host", self._peer),
                                          ("Content-Type", "application/json")],
                                         body)
        await self._call(request, CALL_TIMEOUT_MS, wirenames.ROWS_TX_PATH)

    async def _get(self, path: str, query: dict[str, Any],
                   timeout_ms: float) -> tuple[dict[str, Any], float]:
        request = fetching.request_bytes("GET",
                                         f"{path}?{parse.urlencode(query)}",
                                         [("Host", self._peer)])
        sent_ms = clock.now_ms()
        answer = await self._call(request, timeout_ms, path)
        return answer, sent_ms

    async def _call(self, request: bytes, timeout_ms: float,
                    step: str) -> dict[str, Any]:
        self.calls += 1
        answer = await fetching.fetch(self._pool, self._address, request,
                                      timeout_ms)
        if answer.ending is upstream.Ending.COMPLETE:
            self._observe_era(answer.head.get(wirenames.STORE_ERA), step)
        check(answer, step, self._peer)
        try:
            return entries.parse_json_object(answer.body, step, self._peer)
        except exceptions.BadPeerMessage as error:
            raise exceptions.StoreError(error.message,
                                        step=step,
                                        peer=self._peer) from error

    def _observe_era(self, text: str | None, step: str) -> None:
        """Records the era that an answer names.

        An answer whose era is missing or malformed counts as of the newest era.
        An answer of an older era was in flight when the store was restored.

        Raises:
            StoreError: The answer is of an older era.
        """
        newest = self.eras.newest
        era = httpheaders.number(text)
        if era is None:
            if text is not None or newest:
                self._log_refused_era(text, step)
            return
        if era < newest:
            self._log_refused_era(text, step)
            raise exceptions.StoreError(
                f"answer is of era {era}, older than era {newest}",
                step=step,
                peer=self._peer)
        self._last_refused_era = None
        if self.eras.observe(era):
            _LOG.warning(
                logs.line("store-restored", era=era, before=newest, step=step))

    def _log_refused_era(self, text: str | None, step: str) -> None:
        """Logs an unusable era; not again while the next answers repeat it."""
        told = text or "none"
        if told == self._last_refused_era:
            return
        self._last_refused_era = told
        _LOG.warning(
            logs.line("store-era-refused",
                      told=told[:20],
                      newest=self.eras.newest,
                      step=step))

    def _rows(self, answer: dict[str, Any], sent_ms: float) -> Rows:
        try:
            rows = tuple(map(_row, answer.get("rows") or ()))
            version = _version(answer["schemaVersion"])
            store_ms = float(answer["nowMs"])
            if not math.isfinite(store_ms):
                raise ValueError("nowMs: not finite")
        except (ArithmeticError, AttributeError, KeyError, TypeError,
                ValueError) as error:
            raise exceptions.StoreError(
                f"malformed answer with rows: {error!r}",
                step="rows",
                peer=self._peer) from error
        era = self.eras.newest
        if era != self._offset_era:
            self._offset_ms = float("-inf")
            self._offset_era = era
        self._offset_ms = max(self._offset_ms, sent_ms - store_ms)
        as_of_ms = min(self._offset_ms + store_ms, clock.now_ms())
        return Rows(rows, version, max(as_of_ms, sent_ms), era, store_ms)


def check(answer: fetching.Answer, step: str, peer: str) -> None:
    """Checks that an answer is complete and has status 200.

    Raises:
        HistoryLost: The status is 410: the changes asked for are gone.
        StoreError: The answer is incomplete or has another status.
    """
    if answer.ending is not upstream.Ending.COMPLETE:
        raise exceptions.StoreError(answer.reason, step=step, peer=peer)
    if answer.head.status == _GONE:
        raise HistoryLost("the changes asked for are gone (status 410)",
                          step=step,
                          peer=peer)
    if answer.head.status != _OK:
        raise exceptions.StoreError(
            f"got status {answer.head.status}, expected 200",
            step=step,
            peer=peer)


def _row(wire_row: dict[str, Any]) -> Row:
    deleted = bool(wire_row.get("deleted"))
    return Row(key=str(wire_row["key"]),
               value=b"" if deleted else _value(wire_row.get("value")),
               version=_version(wire_row.get("schemaVersion", 0)),
               deleted=deleted)


def _version(value: Any) -> int:
    version = int(value)
    if not 0 <= version <= wire.MAX_INT:
        raise ValueError("schemaVersion: out of range")
    return version


def _value(encoded: object) -> bytes:
    """Returns a row's value; one that can't be used if it isn't base64.

    Another writer may write anything. The other rows must still be read.
    """
    try:
        if isinstance(encoded, str):
            return base64.b64decode(encoded, validate=True)
    except (ValueError, binascii.Error):
        pass
    shown = ascii(encoded).encode()[:wire.MAX_UNREADABLE_BYTES]
    return wire.NOT_BASE64 + shown
