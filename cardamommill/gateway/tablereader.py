"""Reads a table of the store where `sourceselector` says, keeping a copy."""

import dataclasses
import math

import logbook

from cardamommill import exceptions, logs
from cardamommill.gateway import (
    clock,
    eras,
    peertables,
    sourceselector,
    tablecopies,
    upstream,
)
from cardamommill.platform import storecalls

# A peer is asked to wait for news for this long: each answer says anew how old
# what it tells is, and a dead one is noticed so much later.
PEER_WAIT_MS = 450
# ... and sooner, but for this long at least, where what was told is nearly too
# old: a peer that is cut off is left as soon as it is.
PEER_MIN_WAIT_MS = 50.0

_LOG = logbook.Logger("platform")


@dataclasses.dataclass(frozen=True, slots=True)
class ReadResult:
    """What a reading told.

    Attributes:
        rows: The whole table, or what changed in it.
        whole: Which of both.
        was_restored: Whether the store was restored since the last reading.
    """

    rows: storecalls.Rows
    whole: bool
    was_restored: bool


class TableReader:
    """One table, whoever tells of it."""

    def __init__(self, store: storecalls.Store, pool: upstream.Pool,
                 choice: sourceselector.SourceSelector, name: str,
                 copy: tablecopies.TableCopy) -> None:
        """Makes it.

        Args:
            store: Asked by this node itself.
            pool: Connections to peers.
            choice: Whom to ask.
            name: The table.
            copy: Takes what was read; peers are answered from it.
        """
        self._store = store
        self._pool = pool
        self._choice = choice
        self._name = name
        self._copy = copy
        self._last = sourceselector.STORE
        # Up to where all is known; None where the whole is needed.
        self._known: eras.TablePosition | None = None
        # Of the last reading; None before the first.
        self._era: int | None = None

    @property
    def is_reading_store(self) -> bool:
        """Whether the store itself was asked last."""
        return self._last == sourceselector.STORE

    def has_lost_store(self, now_ms: float) -> bool:
        """Whether the store failed this node of late, more than once."""
        return self._choice.has_lost_store(now_ms)

    async def read(self, wait_ms: int, oldest_ms: float) -> ReadResult:
        """Returns the table, and later what changed in it, when something has.

        Args:
            wait_ms: How long the store waits for news.
            oldest_ms: How old a peer's copy may be.

        Raises:
            HistoryLost: The next reading will be whole.
            StoreError: No answer that can be used.
        """
        source = self._choice.choose(clock.now_ms())
        self._note(source)
        after = self._known
        if source.peer is None and self._choice.has_store_failed:
            # A feed without news is answered only at its end, and until then
            # no key could be trusted; the whole table comes at once. A peer
            # answers often, and goes on from what is known: it passed whole
            # tables between data centres for as long as a cut lasted.
            after = None
        return await self._read_from(source, after, wait_ms, oldest_ms)

    async def _read_from(self, source: sourceselector.Source,
                         after: eras.TablePosition | None, wait_ms: int,
                         oldest_ms: float) -> ReadResult:
        try:
            rows = await self._ask(source, after, wait_ms, oldest_ms)
        except storecalls.HistoryLost:
            self._known = None
            raise
        except peertables.PeerNotReady:
            # It reads on; asked by each of its followers in its place, the
            # store gave the whole list once for each node of a fleet.
            raise
        except exceptions.StoreError:
            self._choice.failed(source, clock.now_ms())
            raise
        self._choice.succeeded(source)
        # A peer may tell of an older time than who was asked before it.
        self._known = max(after or rows.position, rows.position)
        self._copy.apply_rows(rows, whole=after is None)
        was_restored = self._era not in (None, rows.era)
        self._era = rows.era
        return ReadResult(rows, after is None, was_restored)

    async def read_newer_from_peer(self, version: int) -> ReadResult | None:
        """Returns at once what a peer tells that has a newer configuration.

        Args:
            version: The configuration in force here.

        Returns:
            None where no such peer is known.

        Raises:
            HistoryLost: The next reading will be whole.
            StoreError: No answer that can be used.
        """
        source = self._choice.peer_with_newer(version, clock.now_ms())
        if source is None:
            return None
        return await self._read_from(source, self._known, 0, math.inf)

    async def _ask(self, source: sourceselector.Source,
                   after: eras.TablePosition | None, wait_ms: int,
                   oldest_ms: float) -> storecalls.Rows:
        asked: storecalls.Store | peertables.PeerTableClient = self._store
        if source.peer is not None:
            asked = peertables.PeerTableClient(self._pool, source.peer,
                                               self._store.eras)
            left_ms = oldest_ms - (clock.now_ms() - self._copy.as_of_ms)
            wait_ms = int(
                min(wait_ms, PEER_WAIT_MS, max(PEER_MIN_WAIT_MS, left_ms)))
        if after is not None:
            rows = await asked.feed(self._name, after, wait_ms)
        else:
            rows = await asked.table(self._name)
        if source.peer is not None:
            _refuse_old(rows, oldest_ms, source.peer)
        return rows

    def _note(self, source: sourceselector.Source) -> None:
        if self._last == source:
            return
        self._last = source
        _LOG.info(
            logs.line("table-source",
                      table=self._name,
                      source=source.peer[0] if source.peer else "store"))


def _refuse_old(rows: storecalls.Rows, oldest_ms: float,
                peer: upstream.Address) -> None:
    age_ms = clock.now_ms() - rows.as_of_ms
    if age_ms > oldest_ms:
        raise exceptions.StoreError(f"{age_ms:.0f} ms old",
                                    step="peer rows",
                                    peer=peer[0])
