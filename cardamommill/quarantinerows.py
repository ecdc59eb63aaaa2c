"""Keeps the table's quarantine and a node's cases alike."""

from collections.abc import Callable, Iterable

from cardamommill import actions, events, peering, periods, store, suspicions

MAX_BATCH = 32
# A crash may make suspects of many; the table gets this many to write at most.
MAX_UNWRITTEN = 1024
_INDEX = store.Key(store.INDEX, store.QUARANTINE_INDEX)

Changed = tuple[str, ...]
_Read = tuple[actions.Actions, Changed]


class QuarantineRows:
    """Reads and writes rows of `quarantine`; part of `suspects.Suspects`.

    A row stands for a request that something is held against; it goes when
    the request is cleared, by its run as a whole or by an operator. The index
    row counts all changes, so nodes read one row to learn that there is news.
    """

    def __init__(self, cases: suspicions.Cases, token: Callable[[],
                                                                events.Token],
                 timing: periods.Timing) -> None:
        """Makes it.

        Args:
            cases: The node's cases.
            token: Gives a new token of the controller.
            timing: The periods in force.
        """
        self._cases = cases
        self._token = token
        self._timing = timing
        self._unwritten: dict[str, None] = {}
        self._batch: Changed = ()
        self._writing: dict[str, tuple[str, ...]] = {}
        # The crashes that each row named when it was last read or written.
        self._seen: dict[str, tuple[str, ...]] = {}
        self._index_version = -1
        self._newest_version = -1
        self._next_look_ms = 0
        self._not_before_ms = 0
        # What each question that is under way is for.
        self._asked: dict[events.Token, Callable[[events.RowsRead, int],
                                                 _Read]] = {}
        self._transaction: events.Token | None = None

    def write(self, digests: Iterable[str], now_ms: int) -> actions.Actions:
        """Returns the first step of writing what changed.

        Args:
            digests: The requests.
            now_ms: The local monotonic time.
        """
        self._unwritten.update(dict.fromkeys(digests))
        while len(self._unwritten) > MAX_UNWRITTEN:
            del self._unwritten[next(iter(self._unwritten))]
        return self._pump(now_ms)

    def tick(self, now_ms: int) -> actions.Actions:
        """Returns what is due: a look at the index, or writes that wait."""
        wanted = self._pump(now_ms)
        if now_ms >= self._next_look_ms:
            self._next_look_ms = now_ms + self._timing.index_read_ms
            wanted += self._ask(self._index_read, (_INDEX,))
        return wanted

    def read(self, event: events.RowsRead, now_ms: int) -> _Read:
        """Returns what to do about rows, and the requests that changed.

        Args:
            event: The rows.
            now_ms: The local monotonic time.
        """
        then = self._asked.pop(event.token, None)
        return then(event, now_ms) if then else ((), ())

    def _ask(self, then: Callable[[events.RowsRead, int], _Read],
             keys: tuple[store.Key, ...]) -> actions.Actions:
        token = self._token()
        self._asked[token] = then
        return (actions.ReadRows(token, keys),)

    # --- Reading what others wrote ---

    def _index_read(self, event: events.RowsRead, now_ms: int) -> _Read:
        del now_ms
        if not event.rows or event.rows[0].version == self._index_version:
            return (), ()
        self._newest_version = event.rows[0].version
        token = self._token()
        self._asked[token] = self._scanned
        return (actions.ScanRows(token, store.QUARANTINE, ""),), ()

    def _scanned(self, event: events.RowsRead, now_ms: int) -> _Read:
        del now_ms
        if event.rows is None:
            return (), ()
        self._index_version = self._newest_version
        present = {row.key.row for row in event.rows}
        changed = self._take_in(event.rows)
        # A scan may stop at a limit: only the row itself tells that it went.
        absent = tuple(
            store.Key(store.QUARANTINE, digest)
            for digest in set(self._seen) - present)
        if not absent:
            return (), changed
        return self._ask(self._absent_read, absent), changed

    def _absent_read(self, event: events.RowsRead, now_ms: int) -> _Read:
        del now_ms
        gone = [
            row.key.row
            for row in event.rows or ()
            if row.version == store.ABSENT
        ]
        # Found innocent elsewhere, or lifted by an operator.
        return (), tuple(digest for digest in gone if self._saw(digest, ()))

    def _take_in(self, rows: Iterable[store.Row]) -> Changed:
        changed = []
        for row in rows:
            said = _decoded(row)
            if said is None:
                continue
            cleared = self._saw(said.digest, said.crashes)
            if self._cases.heard(said) or cleared:
                changed.append(said.digest)
        return tuple(changed)

    def _saw(self, digest: str, crashes: tuple[str, ...]) -> bool:
        """Clears a request of the crashes that its row names no more.

        The row may have gone and come again between two looks: the request
        was cleared of one crash and was then in another. Taken together, the
        two would quarantine an innocent one.
        """
        gone = tuple(set(self._seen.pop(digest, ())) - set(crashes))
        if crashes:
            self._seen[digest] = crashes
        return bool(gone) and self._cases.heard(
            peering.Suspicion(digest, peering.SuspectState.CLEARED, gone))

    # --- Writing what this node found out ---

    def _pump(self, now_ms: int) -> actions.Actions:
        if self._batch or not self._unwritten or now_ms < self._not_before_ms:
            return ()
        self._batch = tuple(self._unwritten)[:MAX_BATCH]
        for digest in self._batch:
            # What changes again meanwhile is written again.
            del self._unwritten[digest]
        keys = (store.Key(store.QUARANTINE, digest) for digest in self._batch)
        return self._ask(self._batch_read, (_INDEX, *keys))

    def _batch_read(self, event: events.RowsRead, now_ms: int) -> _Read:
        if event.rows is None:
            return self._later(now_ms), ()
        index, *rows = event.rows
        cleared = [digest for digest in self._batch if self._is_clear(digest)]
        changed = self._take_in(
            row for row in rows if row.key.row not in cleared)
        self._writing = {digest: self._live(digest) for digest in self._batch}
        conditions = [store.Condition(index.key, index.version)]
        writes = [store.Write(index.key, _counted(index))]
        for row in rows:
            value = self._value(row.key.row)
            if value != (row.value or None):
                conditions.append(store.Condition(row.key, row.version))
                writes.append(store.Write(row.key, value))
        if len(writes) == 1:
            return self._written(now_ms), changed
        self._transaction = self._token()
        return (actions.Transact(self._transaction, tuple(conditions),
                                 tuple(writes)),), changed

    def _is_clear(self, digest: str) -> bool:
        return not self._live(digest)

    def _live(self, digest: str) -> tuple[str, ...]:
        known = self._cases.state(digest)
        if known is None or known.state is peering.SuspectState.CLEARED:
            return ()
        return known.crashes

    def _value(self, digest: str) -> str | None:
        known = self._cases.state(digest)
        return None if self._is_clear(digest) else store.encode(known)

    def answered(self, event: events.TransactAnswered,
                 now_ms: int) -> actions.Actions:
        """Returns what to do once a batch was written, or not.

        Args:
            event: How it went.
            now_ms: The local monotonic time.
        """
        if event.token != self._transaction:
            return ()
        self._transaction = None
        if event.outcome is store.TransactOutcome.COMMITTED:
            return self._written(now_ms)
        if event.outcome is store.TransactOutcome.CONFLICT:
            self._put_back()
            return self._pump(now_ms)
        return self._later(now_ms)

    def _put_back(self) -> None:
        self._unwritten.update(dict.fromkeys(self._batch))
        self._batch = ()

    def _written(self, now_ms: int) -> actions.Actions:
        self._seen |= self._writing
        for digest, crashes in self._writing.items():
            if not crashes:
                del self._seen[digest]
        self._batch = ()
        return self._pump(now_ms)

    def _later(self, now_ms: int) -> actions.Actions:
        self._put_back()
        self._not_before_ms = now_ms + self._timing.store_timeout_ms
        return ()


def _decoded(row: store.Row) -> peering.Suspicion | None:
    if row.version == store.ABSENT:
        return None
    try:
        return store.decode(peering.Suspicion, row.value)
    except ValueError:
        return None


def _counted(index: store.Row) -> str:
    try:
        count = store.decode(store.ChangeCount, index.value).count
    except ValueError:
        count = 0
    return store.encode(store.ChangeCount(count + 1))
