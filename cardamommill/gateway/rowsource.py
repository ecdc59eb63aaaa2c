"""Reads a table of the store where `sources` says, and keeps a copy of it."""

import logbook

from cardamommill import exceptions, logs
from cardamommill.gateway import clock, peerrows, sources, tables, upstream
from cardamommill.platform import storecalls

# A peer is asked to wait for news for this long: each answer says anew how old
# what it tells is, and a dead one is noticed so much later.
PEER_WAIT_MS = 450

_LOG = logbook.Logger("platform")


class RowSource:
    """One table, whoever tells of it."""

    def __init__(self, store: storecalls.Store, pool: upstream.Pool,
                 choice: sources.Sources, name: str,
                 copy: tables.Table) -> None:
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
        self._last = sources.STORE

    @property
    def is_direct(self) -> bool:
        """Whether the store itself was asked last."""
        return self._last == sources.STORE

    @property
    def asks_store_next(self) -> bool:
        """Whether the next answer should come from the store itself."""
        return self._choice.choose(clock.now_ms()).peer is None

    async def read(self, after: int, wait_ms: int,
                   oldest_ms: float) -> storecalls.Rows:
        """Returns what changed in the table, when something has.

        Args:
            after: The version that is known; 0 for the whole table, at once.
            wait_ms: How long the store waits for news.
            oldest_ms: How old a peer's copy may be.

        Raises:
            HistoryLost: The table must be read whole.
            StoreError: No answer that can be used.
        """
        source = self._choice.choose(clock.now_ms())
        self._note(source)
        if after and source.peer is None and self._choice.store_is_lost:
            # A feed without news is answered only at its end, and until then
            # no key could be trusted; the whole table comes at once.
            raise storecalls.HistoryLost("the store was away",
                                         step=self._name,
                                         peer="store")
        try:
            if source.peer is None:
                rows = await self._ask(self._store, after, wait_ms)
            else:
                peer = peerrows.PeerRows(self._pool, source.peer)
                rows = await self._ask(peer, after, min(wait_ms, PEER_WAIT_MS))
                _refuse_old(rows, oldest_ms, source.peer)
        except storecalls.HistoryLost:
            raise
        except exceptions.StoreError:
            self._choice.failed(source, clock.now_ms())
            raise
        self._choice.worked(source)
        self._copy.take(rows, whole=not after)
        return rows

    async def _ask(self, asked: "storecalls.Store | peerrows.PeerRows",
                   after: int, wait_ms: int) -> storecalls.Rows:
        if not after:
            return await asked.table(self._name)
        return await asked.feed(self._name, after, wait_ms)

    def _note(self, source: sources.Source) -> None:
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
