"""Keeps the configuration and the runner list up to date from the store."""

import asyncio
from collections.abc import Callable, Iterable
import math

import logbook

from cardamommill import exceptions, logs, metrics
from cardamommill.domain import clock, entrysettings, model
from cardamommill.gateway.fleet import fleetview
from cardamommill.gateway.requests import freshness, routetable
from cardamommill.gateway.shell import (
    configurationrows,
    entrydecoder,
    operatorrows,
)
from cardamommill.gateway.tables import restoration, storeoutages, tablereader
from cardamommill.platform import storecalls, wirenames

# How long a query for configuration changes is held, as a fraction of the time
# for which a revoked key may still be accepted. A query confirms nothing until
# it is answered; until then this node uses the confirmations of its peers.
FEED_WAIT_RATIO = 0.5
# Interval between reads of a changing list, as a fraction of the drain bound,
# so that changes are known well within that bound. It does not depend on the
# number of changes. Code that expects a change requests an earlier read.
LIST_INTERVAL_RATIO = 0.6
# After an outage of the store, runners whose entries have expired rewrite them
# within RECOVERY_MS. Until then the list is read more often, since requests are
# not sent to runners that it does not contain.
RECOVERY_MS = 2500.0
RECOVERY_LIST_INTERVAL_MS = 200.0
# A query for list changes is held until the list's age reaches this fraction of
# the drain bound. Changes are answered at once; a node that does not get them
# has lost its source.
LIST_WAIT_RATIO = 0.8
# Maximum age of a peer's list, as a fraction of the drain bound. It is exceeded
# only by a peer that has lost its own source, and leaves some time to read from
# the store before the bound is over.
MAX_LIST_AGE_RATIO = 0.9
# Age, as a fraction of the drain bound, beyond which the list is no longer
# acted upon.
LIST_STALE_RATIO = 1.4
# Maximum age of a peer's configuration, as a fraction of the time for which a
# revoked key may still be accepted. It allows for the time for which the peer's
# own query is held, and for one lost answer.
MAX_CONFIGURATION_AGE_RATIO = 0.7
# Delay before the next call after a failed one.
RETRY_MS = 250.0
# A configuration that a peer already uses normally arrives within this time; if
# not, a peer is asked for it. Followers wait longer by FOLLOWER_DELAY_FACTOR,
# since a reader that catches up passes the configuration on to them.
CATCH_UP_DELAY_MS = 200.0
FOLLOWER_DELAY_FACTOR = 2
# Delay after a peer had no configuration that this node can use.
CATCH_UP_RETRY_MS = 1000.0

_LOG = logbook.Logger("platform")


class PlatformReader:
    """Follows the configuration and the runner list, and applies changes."""

    def __init__(self, operator: tablereader.TableReader,
                 servers: tablereader.TableReader, view: fleetview.FleetView,
                 fresh: freshness.Freshness, drain_ms: float,
                 on_table: Callable[[routetable.RouteTable],
                                    None], rows: operatorrows.OperatorRows,
                 node_metrics: metrics.Metrics) -> None:
        """Initialises the reader.

        Args:
            operator: Reads the operator's table, with the configuration.
            servers: Reads the table of servers, which is the runner list.
            view: Updated with each list.
            fresh: Updated with each confirmation of the configuration.
            drain_ms: The drain bound.
            on_table: Called with the route table of each new configuration.
            rows: Updated with each read of the operator's table.
            node_metrics: Receives the metrics.
        """
        self._configuration_reader = operator
        self._list_reader = servers
        self.table: routetable.RouteTable | None = None
        # When the route table took effect.
        self.table_since_ms = 0.0
        self._view = view
        self._fresh = fresh
        self._on_table = on_table
        self._operator_rows = rows
        self.evacuations = rows.evacuations
        self._drain_ms = drain_ms
        # By the row's key, which is the instance id.
        self._listed: dict[str, model.Runner] = {}
        view.list_stale_ms = LIST_STALE_RATIO * drain_ms
        self._entry_decoder = entrydecoder.EntryDecoder(node_metrics)
        self._outages = storeoutages.StoreOutages()
        self._recovery_until_ms = float("-inf")
        self._list_requested = asyncio.Event()
        self._is_catching_up = False
        # Version of the row with a configuration whose client accounts could
        # not be decoded; 0 if there is none.
        self._undecodable_version = 0
        # Version of the configuration in the store.
        self._stored_version = 0
        # Version of the operator's table at the first read after a restore of
        # the store.
        self._restored_version = 0
        # Reads before this time don't confirm the configuration, because a
        # newer one may have been lost in a restore.
        self._confirmed_from_ms = float("-inf")
        # Newest version of the configuration that any peer uses.
        self._newest_peer_version = 0
        self._restoration: restoration.Restoration | None = None
        node_metrics.collect(
            lambda:
            [metrics.Sample("configuration_partial", float(self._is_partial))])

    @property
    def _is_partial(self) -> bool:
        """Whether only the accounts of the newest configuration are used."""
        return self.table is not None and self.table.configuration.is_partial

    async def follow_configuration(self) -> None:
        """Keeps the configuration up to date; runs until the node ends."""
        has_failed = False
        while True:
            revoke_ms = self._fresh.revoke_ms
            try:
                result = await self._configuration_reader.read(
                    self._feed_wait_ms(revoke_ms),
                    MAX_CONFIGURATION_AGE_RATIO * revoke_ms)
            except storecalls.HistoryLost:
                _LOG.info(logs.line("history-lost", table="op"))
                continue
            except exceptions.StoreError as error:
                self._outages.record_failure("configuration", error)
                # A single failure is retried at once.
                await asyncio.sleep(RETRY_MS / 1000 if has_failed else 0)
                has_failed = True
                continue
            except Exception:
                # Without its reader the node would refuse all keys for good.
                _LOG.exception(logs.line("configuration-failed"))
                await asyncio.sleep(RETRY_MS / 1000)
                continue
            has_failed = False
            self._outages.record_success("configuration")
            try:
                self._apply_rows(result)
            except Exception:
                _LOG.exception(logs.line("configuration-failed"))
            if self.table is None:
                await asyncio.sleep(RETRY_MS / 1000)

    def _feed_wait_ms(self, revoke_ms: float) -> int:
        """Returns how long a query for configuration changes is held."""
        unconfirmed_ms = self._confirmed_from_ms - clock.now_ms()
        if unconfirmed_ms > 0:
            return int(min(FEED_WAIT_RATIO * revoke_ms, unconfirmed_ms + 1))
        return int(FEED_WAIT_RATIO * revoke_ms)

    def has_lost_store(self, now_ms: float) -> bool:
        """Whether this node has lost the store for at least one table."""
        return (self._configuration_reader.has_lost_store(now_ms) or
                self._list_reader.has_lost_store(now_ms))

    def should_catch_up(self, version: int) -> bool:
        """Whether a peer's configuration is newer and no catch-up is running.

        Also records the version as one that a peer uses.
        """
        self._newest_peer_version = max(self._newest_peer_version, version)
        return version > self._version() and not self._is_catching_up

    async def catch_up(self) -> None:
        """Reads a newer configuration from a peer if the usual source is late.

        If the usual source is partitioned, it takes seconds until another one
        is selected: a peer still answers with the copy that it has, and an
        unresponsive store is waited for until the timeout.
        """
        version = self._version()
        self._is_catching_up = True
        try:
            # A reader that catches up passes the configuration on to its
            # followers, so these wait longer.
            delay_factor = (1 if self._configuration_reader.is_reading_store
                            else FOLLOWER_DELAY_FACTOR)
            await asyncio.sleep(delay_factor * CATCH_UP_DELAY_MS / 1000)
            if self._version() == version:
                await self._read_newer_configuration(version)
            if self._version() == version:
                await asyncio.sleep(CATCH_UP_RETRY_MS / 1000)
        finally:
            self._is_catching_up = False

    async def _read_newer_configuration(self, version: int) -> None:
        try:
            result = await self._configuration_reader.read_newer_from_peer(
                version)
        except exceptions.StoreError as error:
            _LOG.info(logs.line("catch-up-failed", reason=str(error)))
            return
        if result is not None:
            self._apply_rows(result)
            _LOG.info(
                logs.line("caught-up", before=version, now=self._version()))

    def _version(self) -> int:
        """Returns the version of the configuration in use, or 0 without one."""
        return self.table.configuration.version if self.table else 0

    def _apply_rows(self, result: tablereader.ReadResult) -> None:
        rows = result.rows
        if result.was_restored:
            self._suspend_confirmation(rows)
        if result.whole:
            self._stored_version = 0
        self._operator_rows.apply(result)
        for row in rows.rows:
            if row.key == wirenames.CONFIGURATION_KEY:
                self._apply_row(row, row.version or rows.version)
        if self._is_newest(rows):
            self._fresh.confirm(rows.as_of_ms)

    def _apply_row(self, row: storecalls.Row, version: int) -> None:
        if version > self._restored_version:
            # The operator has rewritten the configuration since the restore.
            self._confirmed_from_ms = float("-inf")
        if row.deleted:
            self._stored_version = 0
            return
        found = self._operator_rows.configurations.evaluate(row.value, version)
        if not self._are_keys_known(found):
            # A version whose accounts can't be decoded may revoke keys. So the
            # current one is not confirmed as the newest until a later one is
            # decoded, even if the next answers contain no changes.
            self._undecodable_version = max(self._undecodable_version, version)
            return
        assert found.accounts is not None
        self._stored_version = found.accounts.version
        if version > self._undecodable_version:
            self._undecodable_version = 0
        if found.verdict is configurationrows.Verdict.ACCEPTED:
            assert found.configuration is not None
            self._apply_configuration(found.configuration)
        elif self.table is not None:
            # The keys that it revokes must not work any longer, whatever is
            # wrong with its other parts.
            self._apply_configuration(
                self.table.configuration.with_accounts(found.accounts))

    def _are_keys_known(self, found: configurationrows.Evaluation) -> bool:
        """Whether it is known which keys work by the newest configuration.

        A faulty configuration without a list of accounts does not open the
        routes that need keys.
        """
        if found.accounts is None:
            return False
        return (found.verdict is configurationrows.Verdict.ACCEPTED or
                found.accounts.needs_keys or self.table is None or
                not self.table.needs_keys)

    def _is_newest(self, rows: storecalls.Rows) -> bool:
        """Whether an answer confirms that the current configuration is newest.

        A restored store that holds an older one has lost the current one, and
        may have lost a newer one too.
        """
        return (self.table is not None and not self._undecodable_version and
                self._stored_version >= self._version() >=
                self._newest_peer_version and
                rows.as_of_ms >= self._confirmed_from_ms)

    def _suspend_confirmation(self, rows: storecalls.Rows) -> None:
        """Suspends confirmations of the configuration after a restore.

        The restored configuration may be older than an accepted one that no
        node has received. The operator writes the accepted one again.
        """
        self._undecodable_version = 0
        self._restored_version = rows.version
        self._confirmed_from_ms = clock.now_ms(
        ) + restoration.REWRITE_TIMEOUT_MS
        _LOG.warning(
            logs.line("configuration-unconfirmed",
                      era=rows.era,
                      version=self._version(),
                      for_ms=restoration.REWRITE_TIMEOUT_MS))

    def reload(self, settings: entrysettings.EntrySettings) -> None:
        """Applies changed settings, which may make a configuration valid."""
        configuration = self._operator_rows.reload(settings)
        if configuration is not None:
            self._apply_configuration(configuration)

    def _apply_configuration(self, configuration: model.Configuration) -> None:
        """Uses a configuration if it is newer than the current one."""
        before = self._version()
        if (self.table is not None and
                configuration.order <= self.table.configuration.order):
            return
        self.table = routetable.RouteTable(configuration)
        self.table_since_ms = clock.now_ms()
        self._view.group_services = configuration.group_services
        self._on_table(self.table)
        configurationrows.log_in_force(configuration, before)

    async def follow_list(self) -> None:
        """Keeps the runner list up to date; runs until the node ends.

        The list is read whole once and then only its changes. Decoding
        unchanged rows took most of a node's processor time in a large fleet.
        """
        while True:
            started_ms = clock.now_ms()
            try:
                result = await self._list_reader.read(
                    self._list_wait_ms(started_ms),
                    MAX_LIST_AGE_RATIO * self._drain_ms)
            except storecalls.HistoryLost:
                _LOG.info(logs.line("history-lost", table="servers"))
                continue
            except exceptions.StoreError as error:
                self._outages.record_failure("list", error)
                await asyncio.sleep(RETRY_MS / 1000)
                continue
            except Exception:
                _LOG.exception(logs.line("list-failed"))
                await asyncio.sleep(RETRY_MS / 1000)
                continue
            self._outages.record_success("list")
            self._start_recovery_if_stale()
            try:
                self._apply_list(result)
            except Exception:
                # A row that this release can't process must not stop the
                # reading of later lists.
                _LOG.exception(logs.line("list-failed"))
            if self._list_reader.is_reading_store and result.rows:
                # An answer without changes was held by the source, so the next
                # query follows at once.
                await self._wait_for_next_read(started_ms)

    def _start_recovery_if_stale(self) -> None:
        """Starts the recovery period if the list was stale until this read."""
        now_ms = clock.now_ms()
        age_ms = now_ms - self._view.list_as_of_ms
        if self._view.list_stale_ms < age_ms < math.inf:
            self._recovery_until_ms = now_ms + RECOVERY_MS

    def _list_wait_ms(self, now_ms: float) -> int:
        """Returns how long a query for list changes is held."""
        max_wait_ms = LIST_WAIT_RATIO * self._drain_ms
        remaining_ms = max_wait_ms - (now_ms - self._view.list_as_of_ms)
        return int(remaining_ms if remaining_ms > 0 else max_wait_ms)

    def request_list_read(self) -> None:
        """Requests a read of the list without waiting for the interval."""
        self._list_requested.set()

    async def _wait_for_next_read(self, started_ms: float) -> None:
        now_ms = clock.now_ms()
        interval_ms = (RECOVERY_LIST_INTERVAL_MS if now_ms
                       < self._recovery_until_ms else LIST_INTERVAL_RATIO *
                       self._drain_ms)
        remaining_ms = interval_ms - (now_ms - started_ms)
        try:
            await asyncio.wait_for(self._list_requested.wait(),
                                   max(0.0, remaining_ms) / 1000)
        except TimeoutError:
            return
        finally:
            self._list_requested.clear()

    def _apply_list(self, result: tablereader.ReadResult) -> None:
        rows = result.rows
        if result.was_restored:
            self._begin_restoration(rows)
        if result.whole:
            self._listed.clear()
            self._entry_decoder.begin_whole_list()
        for row in rows.rows:
            # A row that can't be decoded lists no runner, even if its previous
            # version did.
            self._listed.pop(row.key, None)
            if row.deleted:
                self._entry_decoder.remove(row.key)
                self._record_removal(row.key)
                continue
            entry = self._entry_decoder.decode(row, rows.era)
            if entry is not None:
                self._listed[row.key] = entry
        changes = self._view.apply_list(self._valid_entries(), rows.as_of_ms,
                                        clock.now_ms())
        for runner_id, change in changes:
            _LOG.info(
                logs.line("runner",
                          runner=runner_id,
                          change=change,
                          list_version=rows.version))

    def _begin_restoration(self, rows: storecalls.Rows) -> None:
        now_ms = clock.now_ms()
        known = {each.instance: each for each in self._valid_entries()}
        self._restoration = restoration.Restoration(now_ms, rows.position,
                                                    known)
        self._recovery_until_ms = now_ms + RECOVERY_MS
        _LOG.warning(
            logs.line("list-restored",
                      era=rows.era,
                      list_version=rows.version,
                      known=len(known)))

    def _record_removal(self, instance: str) -> None:
        if self._restoration is not None:
            self._restoration.record_removal(instance)

    def _valid_entries(self) -> Iterable[model.Runner]:
        """Returns the valid entries of the list."""
        restored = self._restoration
        now_ms = clock.now_ms()
        if restored is None or restored.is_over(now_ms):
            self._restoration = None
            return tuple(self._listed.values())
        return tuple(restored.valid_entries(self._listed, now_ms))

    def refused_row_count(self) -> int:
        """Returns how many rows of the list are refused at the moment."""
        return self._entry_decoder.refused_count()
