"""Follows the configuration and the list of runners in the platform's store."""

import asyncio
from collections.abc import Callable, Iterable
import math

import logbook

from cardamommill import exceptions, logs
from cardamommill.gateway import (
    clock,
    fleetview,
    freshness,
    model,
    restoration,
    routetable,
    tablereader,
)
from cardamommill.platform import configurations, entries, storecalls, words

# An unanswered feed confirms nothing: it is asked to wait for this part of the
# time in which a key that was taken away may still work. Meanwhile peers tell
# what they confirmed.
FEED_WAIT_RATIO = 0.5
# What changed in the list is asked for each such part of the drain bound,
# however much changes, so that it is known well within it; whoever waits for a
# change that is due has it asked for sooner.
LIST_INTERVAL_RATIO = 0.6
# Runners whose entries lapsed while the store was away write them anew within
# this of its return; until then the list is asked for this often, since nobody
# is sent to a runner that it does not name.
RECOVERY_MS = 2500.0
RECOVERY_LIST_INTERVAL_MS = 200.0
# An answer without news is asked for before the list is older than this part of
# the drain bound. What changes is answered at once: a node that does not get it
# is cut off.
LIST_WAIT_RATIO = 0.8
# Whoever follows a node that is cut off leaves it once its list is this old,
# which no sound one lets it become, and has some time to ask the store before
# the bound is over.
MAX_LIST_AGE_RATIO = 0.9
# Older than this the list is not followed any more.
LIST_STALE_RATIO = 1.4
# A peer that reads the configuration may have heard of it this part of the time
# in which a key may still work ago: its feed's wait, and a lost answer.
MAX_CONFIGURATION_AGE_RATIO = 0.7
# After a call that failed.
RETRY_MS = 250.0
# A configuration that a peer has in force comes here by itself within this, or
# else a peer is asked for it.
CATCH_UP_DELAY_MS = 200.0
FOLLOWER_DELAY_FACTOR = 2
# After one that had none which this node can take.
CATCH_UP_RETRY_MS = 1000.0

_LOG = logbook.Logger("platform")


class PlatformReader:
    """Reads what the platform says, and says what changed."""

    def __init__(self, operator: tablereader.TableReader,
                 servers: tablereader.TableReader, view: fleetview.FleetView,
                 fresh: freshness.Freshness, drain_ms: float,
                 on_table: Callable[[routetable.RouteTable], None]) -> None:
        self._operator = operator
        self._servers = servers
        self.table: routetable.RouteTable | None = None
        self._view = view
        self._fresh = fresh
        self._on_table = on_table
        self._drain_ms = drain_ms
        self._listed: dict[str, model.Runner] = {}
        view.list_stale_ms = LIST_STALE_RATIO * drain_ms
        self._refused: set[tuple[str, bytes]] = set()
        self._lost: set[str] = set()
        self._back_until_ms = float("-inf")
        self._wanted = asyncio.Event()
        self._is_catching_up = False
        # The row of a configuration that could not be read; 0 where none is.
        self._unread = 0
        # The version of the configuration that the store holds.
        self._stored = 0
        # Of the first reading since the store was restored.
        self._restored_version = 0
        # What was read before this time says nothing of newer configurations.
        self._confirmed_from_ms = float("-inf")
        # The newest configuration that any peer has in force.
        self._told_version = 0
        self._restoration: restoration.Restoration | None = None

    async def follow_configuration(self) -> None:
        """Keeps the configuration; ends only with the node."""
        has_failed = False
        while True:
            revoke_ms = self._fresh.revoke_ms
            try:
                news = await self._operator.read(
                    self._feed_wait_ms(revoke_ms),
                    MAX_CONFIGURATION_AGE_RATIO * revoke_ms)
            except storecalls.HistoryLost:
                _LOG.info(logs.line("history-lost", table="op"))
                continue
            except exceptions.StoreError as error:
                self._lose("configuration", error)
                # One lost answer is asked for again at once.
                await asyncio.sleep(RETRY_MS / 1000 if has_failed else 0)
                has_failed = True
                continue
            has_failed = False
            self._regain("configuration")
            try:
                self._take_rows(news)
            except Exception:
                _LOG.exception(logs.line("configuration-failed"))
            if self.table is None:
                await asyncio.sleep(RETRY_MS / 1000)

    def _feed_wait_ms(self, revoke_ms: float) -> int:
        """Returns for how long news of the configuration is waited for."""
        unconfirmed_ms = self._confirmed_from_ms - clock.now_ms()
        if unconfirmed_ms > 0:
            return int(min(FEED_WAIT_RATIO * revoke_ms, unconfirmed_ms + 1))
        return int(FEED_WAIT_RATIO * revoke_ms)

    def has_lost_store(self, now_ms: float) -> bool:
        """Whether the store fails this node, for one table at least."""
        return (self._operator.has_lost_store(now_ms) or
                self._servers.has_lost_store(now_ms))

    def should_catch_up(self, version: int) -> bool:
        """Whether a peer's configuration is newer, and nobody asks for it."""
        self._told_version = max(self._told_version, version)
        return version > self._version() and not self._is_catching_up

    async def catch_up(self) -> None:
        """Asks a peer that knows more, if this node's source does not tell.

        One that is cut off is left only after seconds: it answers with what it
        had, and a store that has fallen silent is waited for.
        """
        version = self._version()
        self._is_catching_up = True
        try:
            # A reader that catches up passes it on to its followers.
            patience = (1 if self._operator.is_reading_store else
                        FOLLOWER_DELAY_FACTOR)
            await asyncio.sleep(patience * CATCH_UP_DELAY_MS / 1000)
            if self._version() == version:
                await self._read_ahead(version)
            if self._version() == version:
                await asyncio.sleep(CATCH_UP_RETRY_MS / 1000)
        finally:
            self._is_catching_up = False

    async def _read_ahead(self, version: int) -> None:
        try:
            news = await self._operator.read_newer_from_peer(version)
        except exceptions.StoreError as error:
            _LOG.info(logs.line("catch-up-failed", reason=str(error)))
            return
        if news is not None:
            self._take_rows(news)
            _LOG.info(
                logs.line("caught-up", before=version, now=self._version()))

    def _version(self) -> int:
        return self.table.configuration.version if self.table else 0

    def _take_rows(self, news: tablereader.ReadResult) -> None:
        rows = news.rows
        if news.was_restored:
            self._doubt_configuration(rows)
        if news.whole:
            self._stored = 0
        for row in rows.rows:
            if row.key == words.CONFIGURATION_KEY:
                self._take_row(row, row.version or rows.version)
        if self._is_newest(rows):
            self._fresh.confirm(rows.as_of_ms)

    def _take_row(self, row: storecalls.Row, version: int) -> None:
        if version > self._restored_version:
            # The operator has written since the store was restored.
            self._confirmed_from_ms = float("-inf")
        if row.deleted:
            self._stored = 0
        elif not self._take_configuration(row.value):
            self._unread = max(self._unread, version)
        elif version > self._unread:
            self._unread = 0

    def _is_newest(self, rows: storecalls.Rows) -> bool:
        """Whether an answer says that the configuration in force is newest.

        A restored store that holds an older one has lost it, and may have lost
        a newer one too.
        """
        return (self.table is not None and not self._unread and
                self._stored >= self._version() >= self._told_version and
                rows.as_of_ms >= self._confirmed_from_ms)

    def _doubt_configuration(self, rows: storecalls.Rows) -> None:
        """Confirms nothing for a while after a restore.

        The configuration that is read may be older than one that was accepted,
        which no node heard of; the operator writes that again.
        """
        self._unread = 0
        self._restored_version = rows.version
        self._confirmed_from_ms = clock.now_ms(
        ) + restoration.REWRITE_TIMEOUT_MS
        _LOG.warning(
            logs.line("configuration-unconfirmed",
                      era=rows.era,
                      version=self._version(),
                      for_ms=restoration.REWRITE_TIMEOUT_MS))

    def _take_configuration(self, value: bytes) -> bool:
        try:
            configuration = configurations.decode(value)
        except exceptions.BadPeerMessage as error:
            # A version that can't be read may take keys away: the one in
            # force is not known to be the newest until a later one is read,
            # whatever answers without news follow.
            _LOG.error(logs.line("configuration-refused", reason=str(error)))
            return False
        self._stored = configuration.version
        before = self._version()
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
        """Keeps the list of runners; ends only with the node.

        It is read whole once and then followed by what changed: decoding rows
        that did not change was most of what a node of a large fleet did.
        """
        while True:
            began_ms = clock.now_ms()
            try:
                news = await self._servers.read(
                    self._list_wait_ms(began_ms),
                    MAX_LIST_AGE_RATIO * self._drain_ms)
            except storecalls.HistoryLost:
                _LOG.info(logs.line("history-lost", table="servers"))
                continue
            except exceptions.StoreError as error:
                self._lose("list", error)
                await asyncio.sleep(RETRY_MS / 1000)
                continue
            self._regain("list")
            self._note_return()
            try:
                self._take_list(news)
            except Exception:
                # One row that this version can't take must not end the
                # reading of all later lists.
                _LOG.exception(logs.line("list-failed"))
            if self._servers.is_reading_store and news.rows:
                # Without news it was listening, and goes on with that.
                await self._wait(began_ms)

    def _note_return(self) -> None:
        """Notes that the list comes again after it was away for long."""
        now_ms = clock.now_ms()
        age_ms = now_ms - self._view.list_as_of_ms
        if self._view.list_stale_ms < age_ms < math.inf:
            self._back_until_ms = now_ms + RECOVERY_MS

    def _list_wait_ms(self, now_ms: float) -> int:
        """Returns for how long news is waited for."""
        most_ms = LIST_WAIT_RATIO * self._drain_ms
        left_ms = most_ms - (now_ms - self._view.list_as_of_ms)
        return int(left_ms if left_ms > 0 else most_ms)

    def request_list_read(self) -> None:
        """Has the list read sooner than it would be."""
        self._wanted.set()

    async def _wait(self, began_ms: float) -> None:
        now_ms = clock.now_ms()
        interval_ms = (RECOVERY_LIST_INTERVAL_MS if now_ms < self._back_until_ms
                       else LIST_INTERVAL_RATIO * self._drain_ms)
        left_ms = interval_ms - (now_ms - began_ms)
        try:
            await asyncio.wait_for(self._wanted.wait(),
                                   max(0.0, left_ms) / 1000)
        except TimeoutError:
            return
        finally:
            self._wanted.clear()

    def _take_list(self, news: tablereader.ReadResult) -> None:
        rows = news.rows
        if news.was_restored:
            self._begin_restoration(rows)
        if news.whole:
            self._listed.clear()
        for row in rows.rows:
            # A row that can't be taken names no runner, whatever it said.
            self._listed.pop(row.key, None)
            if row.deleted:
                self._note_removal(row.key)
                continue
            try:
                self._listed[row.key] = entries.decode_entry(
                    row.key, row.value, row.version, rows.era)
            except exceptions.BadPeerMessage as error:
                self._refuse_entry(row, error)
        changes = self._view.apply_list(self._counted(), rows.as_of_ms)
        for runner_id, change in changes:
            _LOG.info(
                logs.line("runner",
                          runner=runner_id,
                          change=change,
                          list_version=rows.version))

    def _begin_restoration(self, rows: storecalls.Rows) -> None:
        now_ms = clock.now_ms()
        known = {each.id: each for each in self._counted()}
        self._restoration = restoration.Restoration(now_ms, rows.position,
                                                    known)
        self._back_until_ms = now_ms + RECOVERY_MS
        _LOG.warning(
            logs.line("list-restored",
                      era=rows.era,
                      list_version=rows.version,
                      known=len(known)))

    def _note_removal(self, runner: str) -> None:
        if self._restoration is not None:
            self._restoration.record_removal(runner)

    def _counted(self) -> Iterable[model.Runner]:
        """Returns the entries of the list that count."""
        restored = self._restoration
        now_ms = clock.now_ms()
        if restored is None or restored.is_over(now_ms):
            self._restoration = None
            return tuple(self._listed.values())
        return tuple(restored.valid_entries(self._listed, now_ms))

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
