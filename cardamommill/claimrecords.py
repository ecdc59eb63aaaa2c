"""Brings how a claimed request ended into the table, in batches."""

from collections.abc import Callable
import dataclasses

from cardamommill import actions, events, periods, requesting, store

MAX_BATCH = 64
MAX_RECORDS = 4096
MAX_HELD_BYTES = 16_777_216
# A larger answer goes to the object store.
INLINE_BYTES = 16_384
MAX_PUTS = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Held:
    """A key that this node claimed, or may have claimed without knowing.

    Attributes:
        key: Its row.
        row: The row as this node wrote it.
        doubtful: Whether that write may yet take effect.
    """

    key: store.Key
    row: store.ClaimRow
    doubtful: bool = False


@dataclasses.dataclass(slots=True)
class _Record:
    """An end that is not in the table yet.

    Attributes:
        held: The key.
        row: What is to stand in the table.
        not_before_ms: When it may be tried again.
        puts: How often its answer was sent to the object store.
    """

    held: Held
    row: store.ClaimRow
    not_before_ms: int
    puts: int = 0

    @property
    def held_bytes(self) -> int:
        """What its answer takes in memory."""
        return len(self.row.answer.body) if self.row.answer else 0


_ENDS = {
    requesting.Outcome.RAN: store.ClaimState.FINISHED,
    requesting.Outcome.NOT_RUN: store.ClaimState.RETURNED,
    requesting.Outcome.UNKNOWN: store.ClaimState.LOST,
}


class Records:
    """The ends that this node has still to write; part of `claims.Claims`.

    Each is read before it is written, and written on the condition of what
    was read: a write whose answer was lost may take effect late, when the
    key has another owner, and must then fail. One batch is under way at a
    time; what comes meanwhile goes into the next one.
    """

    def __init__(self, token: Callable[[], events.Token],
                 timing: periods.Timing) -> None:
        """Makes it.

        Args:
            token: Gives a new token of the controller.
            timing: The periods in force.
        """
        self._token = token
        self._timing = timing
        self._records: dict[store.Key, _Record] = {}
        self._putting: dict[events.Token, _Record] = {}
        self._batch: tuple[_Record, ...] = ()
        self._awaited: events.Token | None = None
        self._held_bytes = 0

    def __len__(self) -> int:
        return len(self._records)

    def pending(self, key: store.Key) -> store.ClaimRow | None:
        """Returns what will stand in a row, if it is not there yet.

        Args:
            key: The row.
        """
        record = self._records.get(key)
        return record.row if record else None

    def settle(self, held: Held, outcome: requesting.Outcome,
               answer: requesting.RecordedAnswer | None,
               now_ms: int) -> actions.Actions:
        """Returns what to do about an end.

        Args:
            held: The key.
            outcome: NOT_RUN gives it back.
            answer: For repeats.
            now_ms: The local monotonic time.
        """
        row = dataclasses.replace(held.row, state=_ENDS[outcome], answer=answer)
        record = _Record(held, row, now_ms)
        if self._held_bytes + record.held_bytes > MAX_HELD_BYTES:
            # The table has been away for long. Repeats learn that it ran.
            record.row = dataclasses.replace(row, answer=None)
        if len(self._records) >= MAX_RECORDS:
            # The row stays as it is: its repeats get a 409, never a run.
            self._remove(next(iter(self._records.values())))
        self._records[held.key] = record
        self._held_bytes += record.held_bytes
        if record.held_bytes > INLINE_BYTES:
            return (self._put(record),)
        return self.pump(now_ms)

    def _put(self, record: _Record) -> actions.Action:
        assert record.row.answer is not None
        token = self._token()
        self._putting[token] = record
        record.puts += 1
        return actions.PutObject(token, f"claims/{record.row.attempt}",
                                 record.row.answer.body.encode("latin-1"))

    def put(self, event: events.ObjectAnswered, now_ms: int) -> actions.Actions:
        """Returns what to do once an answer is in the object store, or not.

        Args:
            event: How it went.
            now_ms: The local monotonic time.
        """
        record = self._putting.pop(event.token, None)
        if record is None or record.row.answer is None:
            return ()
        if not event.done and record.puts < MAX_PUTS:
            return (self._put(record),)
        self._held_bytes -= record.held_bytes
        kept = dataclasses.replace(record.row.answer,
                                   body="",
                                   object_key=f"claims/{record.row.attempt}")
        record.row = dataclasses.replace(record.row,
                                         answer=kept if event.done else None)
        return self.pump(now_ms)

    def pump(self, now_ms: int) -> actions.Actions:
        """Returns the next batch's first step, if one may start.

        Args:
            now_ms: The local monotonic time.
        """
        if self._awaited:
            return ()
        putting = {id(record) for record in self._putting.values()}
        ready = [
            record for record in self._records.values()
            if now_ms >= record.not_before_ms and id(record) not in putting
        ]
        self._batch = tuple(ready[:MAX_BATCH])
        if not self._batch:
            return ()
        self._awaited = self._token()
        keys = tuple(record.held.key for record in self._batch)
        return (actions.ReadRows(self._awaited, keys),)

    def read(self, event: events.RowsRead, now_ms: int) -> actions.Actions:
        """Returns the writes for the rows as they are.

        Args:
            event: The rows of the batch.
            now_ms: The local monotonic time.
        """
        if event.token != self._awaited:
            return ()
        self._awaited = None
        if event.rows is None:
            return self._later(now_ms)
        writing = []
        conditions = []
        for record, row in zip(self._batch, event.rows, strict=True):
            if _is_own(record, row):
                writing.append(record)
                conditions.append(store.Condition(row.key, row.version))
            else:
                self._remove(record)
        if not writing:
            return self.pump(now_ms)
        self._batch = tuple(writing)
        self._awaited = self._token()
        writes = tuple(
            store.Write(record.held.key, store.encode(record.row))
            for record in writing)
        return (actions.Transact(self._awaited, tuple(conditions), writes),)

    def answered(self, event: events.TransactAnswered,
                 now_ms: int) -> actions.Actions:
        """Returns what to do once a batch was written, or not.

        Args:
            event: How it went.
            now_ms: The local monotonic time.
        """
        if event.token != self._awaited:
            return ()
        self._awaited = None
        if event.outcome is store.TransactOutcome.COMMITTED:
            for record in self._batch:
                self._remove(record)
        elif event.outcome is not store.TransactOutcome.CONFLICT:
            return self._later(now_ms)
        return self.pump(now_ms)

    def _later(self, now_ms: int) -> actions.Actions:
        for record in self._batch:
            record.not_before_ms = now_ms + self._timing.store_timeout_ms
        return self.pump(now_ms)

    def _remove(self, record: _Record) -> None:
        if self._records.get(record.held.key) is record:
            del self._records[record.held.key]
            self._held_bytes -= record.held_bytes


def _is_own(record: _Record, row: store.Row) -> bool:
    """Tells whether the row may be written by the record's owner."""
    if row.version == store.ABSENT:
        # The claim's write may still be on its way. This one takes the
        # row's first version from it, so that it can't take effect later.
        return record.held.doubtful
    try:
        seen = store.decode(store.ClaimRow, row.value)
    except ValueError:
        return False
    if seen.state is store.ClaimState.RETURNED:
        return record.held.doubtful and seen.attempt != record.row.attempt
    return (seen.attempt == record.row.attempt and
            seen.state is store.ClaimState.RUNNING)
