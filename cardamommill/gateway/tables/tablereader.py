"""Reads a table from the source that `sourceselector` selects; keeps a copy."""

import dataclasses
import math

import logbook

from cardamommill import exceptions, logs
from cardamommill.domain import clock, eras
from cardamommill.gateway.tables import peertables, sourceselector, tablecopies
from cardamommill.platform import storecalls
from cardamommill.transport import upstream

# Longest time for which a peer may hold a query while nothing changes. Each
# answer updates the age of the data; a dead peer is noticed this much later.
PEER_WAIT_MS = 450
# The wait is shortened, but not below this, when this node's copy is nearly too
# old, so that a peer that has lost the store is abandoned soon after that.
PEER_MIN_WAIT_MS = 50.0

_LOG = logbook.Logger("platform")


@dataclasses.dataclass(frozen=True, slots=True)
class ReadResult:
    """Result of one read of a table.

    Attributes:
        rows: The whole table, or the rows that changed.
        whole: Whether it is the whole table.
        was_restored: Whether the store was restored since the last read.
    """

    rows: storecalls.Rows
    whole: bool
    was_restored: bool


class TableReader:
    """Reads one table from the store or from peers."""

    def __init__(self, store: storecalls.StoreClient, pool: upstream.Pool,
                 selector: sourceselector.SourceSelector, name: str,
                 copy: tablecopies.TableCopy) -> None:
        """Initialises the reader.

        Args:
            store: The store, for reads without a peer.
            pool: Connections to peers.
            selector: Selects the source of each read.
            name: Name of the table.
            copy: Updated with each read; peers are served from it.
        """
        self._store = store
        self._pool = pool
        self._selector = selector
        self._name = name
        self._copy = copy
        self._last_source = sourceselector.STORE
        # All changes up to here are known; None if the next read must be whole.
        self._known_position: eras.TablePosition | None = None
        # Era of the last read; None before the first.
        self._era: int | None = None

    @property
    def is_reading_store(self) -> bool:
        """Whether the last read was from the store itself."""
        return self._last_source == sourceselector.STORE

    def has_lost_store(self, now_ms: float) -> bool:
        """Whether the store is lost and its last failure is recent."""
        return self._selector.has_lost_store(now_ms)

    async def read(self, wait_ms: int, max_age_ms: float) -> ReadResult:
        """Reads the whole table at first, and then its changes.

        Args:
            wait_ms: How long the store holds a query while nothing changes.
            max_age_ms: Maximum age of a peer's copy.

        Raises:
            HistoryLost: The next read will be whole.
            StoreError: There was no usable answer.
        """
        source = self._selector.choose(clock.now_ms())
        self._log_source_change(source)
        after = self._known_position
        if source.peer is None and self._selector.has_store_failed:
            # A query for changes is held while there are none, and until it is
            # answered, no API key could be trusted. A whole read is answered
            # at once. Peers answer often, so they are still queried for
            # changes: whole reads from them sent whole tables between data
            # centres for as long as a network partition lasted.
            after = None
        return await self._read_from(source, after, wait_ms, max_age_ms)

    async def _read_from(self, source: sourceselector.Source,
                         after: eras.TablePosition | None, wait_ms: int,
                         max_age_ms: float) -> ReadResult:
        try:
            rows = await self._fetch(source, after, wait_ms, max_age_ms)
        except storecalls.HistoryLost:
            self._known_position = None
            raise
        except peertables.PeerNotReady:
            # Not counted as a failure, since the peer is still reading. When
            # its followers turned to the store instead, the store sent the
            # whole list once to each node of the fleet.
            raise
        except exceptions.StoreError:
            self._selector.failed(source, clock.now_ms())
            raise
        self._selector.succeeded(source)
        # A peer's copy may be older than that of the previous source. The
        # position does not go back then, since the later changes are known.
        self._known_position = max(after or rows.position, rows.position)
        self._copy.apply_rows(rows, whole=after is None)
        was_restored = self._era not in (None, rows.era)
        self._era = rows.era
        return ReadResult(rows, after is None, was_restored)

    async def read_newer_from_peer(self, version: int) -> ReadResult | None:
        """Reads, without waiting, from a peer that has a newer configuration.

        Args:
            version: Version of the configuration that this node uses.

        Returns:
            None if no such peer is known.

        Raises:
            HistoryLost: The next read will be whole.
            StoreError: There was no usable answer.
        """
        source = self._selector.peer_with_newer(version, clock.now_ms())
        if source is None:
            return None
        return await self._read_from(source, self._known_position, 0, math.inf)

    async def _fetch(self, source: sourceselector.Source,
                     after: eras.TablePosition | None, wait_ms: int,
                     max_age_ms: float) -> storecalls.Rows:
        target: (storecalls.StoreClient |
                 peertables.PeerTableClient) = self._store
        if source.peer is not None:
            target = peertables.PeerTableClient(self._pool, source.peer,
                                                self._store.eras)
            remaining_ms = max_age_ms - (clock.now_ms() - self._copy.as_of_ms)
            wait_ms = int(
                min(wait_ms, PEER_WAIT_MS, max(PEER_MIN_WAIT_MS, remaining_ms)))
        if after is not None:
            rows = await target.wait_for_changes(self._name, after, wait_ms)
        else:
            rows = await target.table(self._name)
        if source.peer is not None:
            _check_age(rows, max_age_ms, source.peer)
        return rows

    def _log_source_change(self, source: sourceselector.Source) -> None:
        if self._last_source == source:
            return
        self._last_source = source
        _LOG.info(
            logs.line("table-source",
                      table=self._name,
                      source=source.peer[0] if source.peer else "store"))


def _check_age(rows: storecalls.Rows, max_age_ms: float,
               peer: upstream.Address) -> None:
    age_ms = clock.now_ms() - rows.as_of_ms
    if age_ms > max_age_ms:
        raise exceptions.StoreError(f"copy too old: {age_ms:.0f} ms",
                                    step="peer rows",
                                    peer=peer[0])
