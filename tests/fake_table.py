"""A table service in memory, with the faults that the real one has."""

import random

from cardamommill import events, exceptions, fakes, store


class FakeTable(fakes.FakeTable):
    """A table that can be down.

    Attributes:
        down: Whether it gives no answer.
    """

    def __init__(self, down: bool = False):
        super().__init__()
        self.down = down

    def answer(self, conditions, writes) -> events.TransactAnswered:
        """Commits if the conditions hold; returns the answer to it."""
        failed = self.commit(conditions, writes)
        outcome = (store.TransactOutcome.CONFLICT
                   if failed else store.TransactOutcome.COMMITTED)
        return events.TransactAnswered(events.Token("", 0), outcome, failed)


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
        return tuple(self.table.read(key) for key in keys)

    def scan(self, table, prefix):
        return self.table.scan(table, prefix)

    def transact(self, conditions, writes):
        self.before_transact()
        answer = self.table.answer if not self.table.down else None
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
