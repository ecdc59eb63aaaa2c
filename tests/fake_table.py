"""A table service in memory, with the faults that the real one has."""

import dataclasses
import random

from cardamommill import events, exceptions, store


@dataclasses.dataclass
class FakeTable:
    """Rows with versions; conditional transactions over any of them."""

    rows: dict[store.Key, store.Row] = dataclasses.field(default_factory=dict)
    down: bool = False
    version: int = 0

    def get(self, key: store.Key) -> store.Row:
        return self.rows.get(key, store.Row(key))

    def commit(self, conditions, writes) -> events.TransactAnswered:
        token = events.Token("", 0)
        failed = tuple(
            self.get(each.key)
            for each in conditions
            if self.get(each.key).version != each.version)
        if failed:
            return events.TransactAnswered(token,
                                           store.TransactOutcome.CONFLICT,
                                           failed)
        self.version += 1
        for write in writes:
            if write.value is None:
                self.rows.pop(write.key, None)
            else:
                self.rows[write.key] = store.Row(write.key, self.version,
                                                 write.value)
        return events.TransactAnswered(token, store.TransactOutcome.COMMITTED)

    def under(self, table: str, prefix: str) -> tuple[store.Row, ...]:
        return tuple(row for key, row in sorted(self.rows.items(),
                                                key=lambda item: str(item[0]))
                     if key.table == table and key.row.startswith(prefix))


class SyncTable:
    """An operator's view of a `FakeTable`: loses answers, delays writes."""

    def __init__(self, table: FakeTable, seed: int = 0, lose: float = 0.0):
        self.table = table
        self._random = random.Random(seed)
        self._lose = lose
        # Writes whose answer was lost and that take effect later.
        self.late: list = []
        # Called before each transaction, as other operators are.
        self.before_transact = lambda: None

    def read(self, keys):
        if self.table.down or self._random.random() < self._lose:
            raise exceptions.StoreError("no answer", step="read")
        return tuple(self.table.get(key) for key in keys)

    def scan(self, table, prefix):
        return self.table.under(table, prefix)

    def transact(self, conditions, writes):
        self.before_transact()
        answer = self.table.commit if not self.table.down else None
        unknown = events.TransactAnswered(events.Token("", 0),
                                          store.TransactOutcome.UNKNOWN)
        if answer is None:
            return unknown
        fate = self._random.random()
        if fate < self._lose / 2:
            self.late.append((conditions, writes))
            return unknown
        result = answer(conditions, writes)
        return unknown if fate < self._lose else result

    def deliver_late(self) -> None:
        for conditions, writes in self.late:
            self.table.commit(conditions, writes)
        self.late.clear()
