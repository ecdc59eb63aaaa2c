"""Calls to the platform's store."""

import asyncio
import base64
import binascii
import dataclasses
import json
from typing import Any
from urllib import parse

import logbook

from cardamommill import exceptions, logs
from cardamommill.gateway import clock, eras, fetching, httpheaders, upstream
from cardamommill.platform import entries, words

# A store that is sixty times as slow as usual answers in 300 ms; one that has
# fallen silent should be asked again soon.
READ_TIMEOUT_MS = 1000
# What a feed's answer may take beyond the time that it was asked to wait: with
# more, one lost answer would leave keys unconfirmed for too long.
FEED_MARGIN_MS = 500
_OK = 200
_GONE = 410

_LOG = logbook.Logger("platform")


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """One row; `deleted` rows have no value."""

    key: str
    value: bytes
    version: int
    deleted: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Rows:
    """An answer about rows.

    Attributes:
        rows: What was read.
        version: The store's newest version then.
        as_of_ms: A time on this node's clock, not later than that at which
            the store answered.
        era: In which the store gave out all these versions.
    """

    rows: tuple[Row, ...]
    version: int
    as_of_ms: float
    era: int = 0

    @property
    def position(self) -> eras.TablePosition:
        """How far a table is known by this answer."""
        return eras.TablePosition(self.era, self.version)


class HistoryLost(exceptions.StoreError):
    """The feed's history is gone; the whole table must be read."""


class Restored(HistoryLost):
    """The store is in a newer era than the one that was asked about."""


class Store:
    """The store as one node sees it."""

    def __init__(self, pool: upstream.Pool, address: upstream.Address) -> None:
        self._pool = pool
        self._address = address
        self.eras = eras.EraTracker()
        self._refused_era: str | None = None
        self._peer = f"{address[0]}:{address[1]}"
        # This node's clock less the store's, never more than it is: a call
        # was answered after it was sent. A restored store's may have jumped.
        self._offset_ms = float("-inf")
        self._offset_era = 0
        self.calls = 0

    async def table(self, table: str, part: str = "") -> Rows:
        """Returns all rows of a part of a table, as of the first page.

        What changes while the rest is read comes again with the feed.

        Raises:
            HistoryLost: The store was restored meanwhile.
            StoreError: No answer that can be used.
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
            answer, sent_ms = await self._get(words.ROWS_GET_PATH, query,
                                              READ_TIMEOUT_MS)
            rows = self._rows(answer, sent_ms)
            found += rows.rows
            first = first or rows
            self._expect_era(rows.era, first.era)
            if not answer.get("hasMore") or not rows.rows:
                return dataclasses.replace(first, rows=tuple(found))
            after = rows.rows[-1].key + "\0"

    async def feed(self, table: str, after: eras.TablePosition,
                   wait_ms: int) -> Rows:
        """Returns what changed in a table, when something has.

        Raises:
            HistoryLost: The table must be read whole.
            StoreError: No answer that can be used.
        """
        self._expect_era(self.eras.newest, after.era)
        query = {"table": table, "sinceRev": after.version, "waitMs": wait_ms}
        timeout_ms = wait_ms + FEED_MARGIN_MS
        asked = asyncio.ensure_future(
            self._get(words.ROWS_FEED_PATH, query, timeout_ms))
        restored = asyncio.ensure_future(
            self.eras.wait_for_newer(after.era, timeout_ms))
        try:
            await asyncio.wait((asked, restored),
                               return_when=asyncio.FIRST_COMPLETED)
            self._expect_era(self.eras.newest, after.era)
            rows = self._rows(*await asked)
        finally:
            asked.cancel()
            restored.cancel()
        self._expect_era(rows.era, after.era)
        return rows

    def _expect_era(self, era: int, expected: int) -> None:
        if era != expected:
            raise Restored(f"era {era} in place of {expected}",
                           step="rows",
                           peer=self._peer)

    async def put(self, table: str, key: str, value: bytes) -> None:
        """Writes a row, whatever it was.

        Raises:
            StoreError: It may not have been written.
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
        request = fetching.request_bytes("POST", words.ROWS_TX_PATH,
                                         [("Host", self._peer),
                                          ("Content-Type", "application/json")],
                                         body)
        await self._call(request, READ_TIMEOUT_MS, words.ROWS_TX_PATH)

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
            self._see_era(answer.head.get(words.STORE_ERA), step)
        check(answer, step, self._peer)
        try:
            return entries.json_body(answer.body, step, self._peer)
        except exceptions.BadPeerMessage as error:
            raise exceptions.StoreError(error.message,
                                        step=step,
                                        peer=self._peer) from error

    def _see_era(self, text: str | None, step: str) -> None:
        """Takes the era of an answer.

        One without an era that can be read counts as of the newest. One of an
        older era was on its way when the store was restored.

        Raises:
            StoreError: The answer is of an older era.
        """
        newest = self.eras.newest
        era = httpheaders.number(text)
        if era is None:
            if text is not None or newest:
                self._refuse_era(text, step)
            return
        if era < newest:
            self._refuse_era(text, step)
            raise exceptions.StoreError(f"of era {era}, not {newest}",
                                        step=step,
                                        peer=self._peer)
        self._refused_era = None
        if self.eras.observe(era):
            _LOG.warning(
                logs.line("store-restored", era=era, before=newest, step=step))

    def _refuse_era(self, text: str | None, step: str) -> None:
        told = text or "none"
        if told == self._refused_era:
            return
        self._refused_era = told
        _LOG.warning(
            logs.line("store-era-refused",
                      told=told[:20],
                      newest=self.eras.newest,
                      step=step))

    def _rows(self, answer: dict[str, Any], sent_ms: float) -> Rows:
        try:
            rows = tuple(map(_row, answer.get("rows") or ()))
            version = int(answer["schemaVersion"])
            store_ms = float(answer["nowMs"])
        except (KeyError, TypeError, ValueError, binascii.Error) as error:
            raise exceptions.StoreError(f"malformed rows: {error!r}",
                                        step="rows",
                                        peer=self._peer) from error
        era = self.eras.newest
        if era != self._offset_era:
            self._offset_ms = float("-inf")
            self._offset_era = era
        self._offset_ms = max(self._offset_ms, sent_ms - store_ms)
        as_of_ms = min(self._offset_ms + store_ms, clock.now_ms())
        return Rows(rows, version, max(as_of_ms, sent_ms), era)


def check(answer: fetching.Answer, step: str, peer: str) -> None:
    """Takes only a whole answer that gives what was asked for.

    Raises:
        HistoryLost: The history asked for is gone.
        StoreError: It is none that can be used.
    """
    if answer.ending is not upstream.Ending.COMPLETE:
        raise exceptions.StoreError(answer.reason, step=step, peer=peer)
    if answer.head.status == _GONE:
        raise HistoryLost("history gone", step=step, peer=peer)
    if answer.head.status != _OK:
        raise exceptions.StoreError(f"status {answer.head.status}",
                                    step=step,
                                    peer=peer)


def _row(wire: dict[str, Any]) -> Row:
    deleted = bool(wire.get("deleted"))
    return Row(key=str(wire["key"]),
               value=b"" if deleted else base64.b64decode(wire["value"],
                                                          validate=True),
               version=int(wire.get("schemaVersion", 0)),
               deleted=deleted)
