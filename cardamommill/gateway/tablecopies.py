"""This node's copy of the store's tables, with what changed in them of late."""

import asyncio
from collections import deque
import dataclasses

from cardamommill.gateway import eras
from cardamommill.platform import storecalls

# Who follows a copy asks several times a second; of a burst of changes this
# many are kept for whoever was held up.
MAX_KEPT_CHANGES = 2000


class TableCopy:
    """One table as of the newest answer about it."""

    def __init__(self) -> None:
        self.version = 0
        # Of the store, in which all versions here were given out.
        self.era = 0
        self.as_of_ms = float("-inf")
        self._rows: dict[str, storecalls.Row] = {}
        self._changes: deque[storecalls.Row] = deque()
        # All that changed after this version is kept.
        self._kept_from = 0
        # In the order in which they came.
        self._waiting: dict[asyncio.Future[None], None] = {}

    def apply_rows(self, rows: storecalls.Rows, whole: bool) -> None:
        """Takes an answer: the whole table, or what changed in it.

        One that is older than the copy only says less; it is left. So is what
        changed in an era of which the copy does not hold the beginning.
        """
        if rows.position < self.position:
            return
        is_new_era = rows.era != self.era
        if is_new_era and not whole:
            return
        is_first = is_new_era or not self.is_loaded
        if is_new_era:
            self._begin_era(rows.era)
        if is_first:
            self._kept_from = rows.version
        changes = self._news(rows) if whole else rows.rows
        self.version = rows.version
        self.as_of_ms = max(self.as_of_ms, rows.as_of_ms)
        for row in changes:
            # One without a version of its own changed by that of the answer.
            version = row.version or rows.version
            self._change(dataclasses.replace(row, version=version))
        if changes or is_first:
            self._wake()

    @property
    def is_loaded(self) -> bool:
        """Whether any answer was taken."""
        return self.as_of_ms > float("-inf")

    @property
    def position(self) -> eras.TablePosition:
        """How far this copy is known."""
        return eras.TablePosition(self.era, self.version)

    def _begin_era(self, era: int) -> None:
        """Drops all that was said in the last era.

        Versions are given out again: what a follower knows by its version may
        be another row by now, so each reads the copy whole.
        """
        self.era = era
        self.version = 0
        self._rows.clear()
        self._changes.clear()

    def _news(self, rows: storecalls.Rows) -> tuple[storecalls.Row, ...]:
        """Returns what a whole table says that the copy does not.

        Whoever follows the copy goes on from where it was: made to read it
        whole after each whole reading, eighty nodes passed 0.2 GB between data
        centres during one outage of the store.
        """
        named = {each.key for each in rows.rows}
        gone = [
            storecalls.Row(key, b"", rows.version, deleted=True)
            for key in self._rows
            if key not in named
        ]
        new = [each for each in rows.rows if each.version > self.version]
        return (*gone, *new)

    def _change(self, row: storecalls.Row) -> None:
        if row.deleted:
            self._rows.pop(row.key, None)
        else:
            self._rows[row.key] = row
        self._changes.append(row)
        if len(self._changes) > MAX_KEPT_CHANGES:
            self._kept_from = self._changes.popleft().version

    def whole(self) -> tuple[storecalls.Row, ...]:
        """Returns all rows."""
        return tuple(self._rows.values())

    def changes_since(self, version: int) -> tuple[storecalls.Row, ...] | None:
        """Returns what changed after a version; None where that is forgotten.

        A copy that is older than the version has no news.
        """
        if version < self._kept_from:
            return None
        newest = {
            each.key: each for each in self._changes if each.version > version
        }
        return tuple(newest.values())

    async def wait_for_change(self, within_ms: float) -> None:
        """Returns at the next change, or after a time without any."""
        waiting = asyncio.get_running_loop().create_future()
        self._waiting[waiting] = None
        try:
            await asyncio.wait_for(waiting, max(0.0, within_ms) / 1000)
        except TimeoutError:
            return
        finally:
            del self._waiting[waiting]

    def _wake(self) -> None:
        for each in self._waiting:
            if not each.done():
                each.set_result(None)


class TableCopies:
    """The tables that a node follows, by name."""

    def __init__(self) -> None:
        self._tables: dict[str, TableCopy] = {}

    def table(self, name: str) -> TableCopy:
        """Returns the copy of a table; empty, of version 0, before any news."""
        return self._tables.setdefault(name, TableCopy())
