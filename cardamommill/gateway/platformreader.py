"""Follows the configuration and the list of runners in the platform's store."""

import asyncio
from collections.abc import Callable

import logbook

from cardamommill import exceptions, logs
from cardamommill.gateway import clock, fleetview, freshness, model, routetable
from cardamommill.platform import configurations, entries, storecalls, words

# An unanswered feed confirms nothing: it is asked to wait for this part of the
# time in which a key that was taken away may still work.
FEED_PART = 0.3
# The list is read each such part of the drain bound, so that two reads fall
# into it. At 0.45 a day of high load earned 0.22 to 0.37 in seven runs, at 0.4
# 0.25 to 0.61 in four; why so much is not known yet.
LIST_PART = 0.4
MIN_LIST_MS = 50.0
# After a call that failed.
RETRY_MS = 250.0

_LOG = logbook.Logger("platform")


class PlatformReader:
    """Reads what the platform says, and says what changed."""

    def __init__(self, store: storecalls.Store, view: fleetview.FleetView,
                 fresh: freshness.Freshness, drain_ms: float,
                 on_table: Callable[[routetable.RouteTable], None]) -> None:
        self.store = store
        self.table: routetable.RouteTable | None = None
        self._view = view
        self._fresh = fresh
        self._on_table = on_table
        self._list_interval_ms = LIST_PART * drain_ms
        self._refused: set[tuple[str, bytes]] = set()
        self._lost: set[str] = set()
        self._wanted = asyncio.Event()

    async def follow_configuration(self) -> None:
        """Keeps the configuration; ends only with the node."""
        version = 0
        while True:
            try:
                if not version:
                    rows = await self.store.table(words.OPERATOR_TABLE)
                else:
                    rows = await self.store.feed(
                        words.OPERATOR_TABLE, version,
                        int(FEED_PART * self._fresh.revoke_ms))
            except storecalls.HistoryLost:
                _LOG.info(logs.line("history-lost", table="op"))
                version = 0
                continue
            except exceptions.StoreError as error:
                self._lose("configuration", error)
                # Read whole next: that is answered at once, while a feed
                # without news is answered only at its end, and until then no
                # key could be trusted.
                await asyncio.sleep(RETRY_MS / 1000 if not version else 0)
                version = 0
                continue
            self._regain("configuration")
            version = rows.version
            try:
                self._take_rows(rows)
            except Exception:
                _LOG.exception(logs.line("configuration-failed"))
            if self.table is None:
                await asyncio.sleep(RETRY_MS / 1000)

    def _take_rows(self, rows: storecalls.Rows) -> None:
        sound = True
        for row in rows.rows:
            if row.key == words.CONFIGURATION_KEY and not row.deleted:
                sound = self._take_configuration(row.value) and sound
        if sound and self.table is not None:
            self._fresh.confirm(rows.as_of_ms)

    def _take_configuration(self, value: bytes) -> bool:
        try:
            configuration = configurations.decode(value)
        except exceptions.BadPeerMessage as error:
            # A version that can't be read may take keys away: the one in
            # force is no longer known to be the newest.
            _LOG.error(logs.line("configuration-refused", reason=str(error)))
            return False
        before = self.table.configuration.version if self.table else 0
        if configuration.version <= before:
            return True
        self.table = routetable.RouteTable(configuration)
        self._on_table(self.table)
        _LOG.info(
            logs.line("configuration",
                      version=configuration.version,
                      before=before,
                      routes=len(configuration.routes),
                      tenants=len(configuration.tenants)))
        return True

    async def follow_list(self) -> None:
        """Keeps the list of runners; ends only with the node."""
        while True:
            began_ms = clock.now_ms()
            try:
                rows = await self.store.table(words.SERVERS_TABLE)
            except exceptions.StoreError as error:
                self._lose("list", error)
                await asyncio.sleep(RETRY_MS / 1000)
                continue
            self._regain("list")
            try:
                self._take_list(rows)
            except Exception:
                # One row that this version can't take must not end the
                # reading of all later lists.
                _LOG.exception(logs.line("list-failed"))
            took_ms = clock.now_ms() - began_ms
            await self._wait(max(MIN_LIST_MS, self._list_interval_ms - took_ms))

    def read_list_now(self) -> None:
        """Has the list read sooner than it would be."""
        self._wanted.set()

    async def _wait(self, interval_ms: float) -> None:
        try:
            await asyncio.wait_for(self._wanted.wait(), interval_ms / 1000)
        except TimeoutError:
            return
        finally:
            self._wanted.clear()

    def _take_list(self, rows: storecalls.Rows) -> None:
        runners: list[model.Runner] = []
        for row in rows.rows:
            try:
                runners.append(
                    entries.decode_entry(row.key, row.value, row.version))
            except exceptions.BadPeerMessage as error:
                self._refuse_entry(row, error)
        for runner_id, change in self._view.take_list(runners, rows.as_of_ms):
            _LOG.info(
                logs.line("runner",
                          runner=runner_id,
                          change=change,
                          list_version=rows.version))

    def _refuse_entry(self, row: storecalls.Row,
                      error: exceptions.BadPeerMessage) -> None:
        # Once for each text: the list is read again each second.
        mark = (row.key, row.value)
        if mark not in self._refused and len(self._refused) < 1000:
            self._refused.add(mark)
            _LOG.warning(
                logs.line("entry-refused", runner=row.key, reason=str(error)))

    def _lose(self, what: str, error: exceptions.StoreError) -> None:
        if what not in self._lost:
            self._lost.add(what)
            _LOG.warning(logs.line("store-lost", what=what, reason=str(error)))

    def _regain(self, what: str) -> None:
        if what in self._lost:
            self._lost.discard(what)
            _LOG.info(logs.line("store-regained", what=what))
