"""Decodes the rows of the runner list; reports those that can't be used."""

import zlib

import logbook

from cardamommill import logs, metrics
from cardamommill.domain import clock, model
from cardamommill.platform import entries, entryerrors, storecalls

# Log lines within a window; a writer may change its bad rows all the time.
MAX_LINES = 60
WINDOW_MS = 60_000.0

# The era, version and checksum of a row's content.
_Content = tuple[int, int, int]

_LOG = logbook.Logger("platform")


class EntryDecoder:
    """Decodes rows; logs and counts each change of a refused row once."""

    def __init__(self, node_metrics: metrics.Metrics) -> None:
        self._metrics = node_metrics
        # The refused rows of the list.
        self._refused: dict[str, _Content] = {}
        # Those before the last read of the whole list, which contains
        # unchanged ones again.
        self._before: dict[str, _Content] = {}
        self._window_from_ms = float("-inf")
        self._lines = 0
        self._left_out = 0

    def refused_count(self) -> int:
        """Returns how many rows of the list are refused at the moment."""
        return len(self._refused)

    def begin_whole_list(self) -> None:
        """Drops all rows, since the whole list follows."""
        self._before, self._refused = self._refused, {}

    def remove(self, key: str) -> None:
        """Drops a row that was removed from the list."""
        self._refused.pop(key, None)

    def decode(self, row: storecalls.Row, era: int) -> model.Runner | None:
        """Returns the runner that a row describes.

        Args:
            row: The row.
            era: The store's era in which the row's version was assigned.

        Returns:
            None if the row was refused.
        """
        try:
            runner = entries.decode_entry(row.key, row.value, row.version, era)
        except entryerrors.EntryRefused as error:
            self._refuse(row, era, error)
            return None
        self.remove(row.key)
        return runner

    def _refuse(self, row: storecalls.Row, era: int,
                error: entryerrors.EntryRefused) -> None:
        content = (era, row.version, zlib.crc32(row.value))
        known = (self._refused.get(row.key), self._before.get(row.key))
        self._refused[row.key] = content
        if content in known:
            return
        self._metrics.count("list_entries_refused_total")
        self._log(row, error, clock.now_ms())

    def _log(self, row: storecalls.Row, error: entryerrors.EntryRefused,
             now_ms: float) -> None:
        if now_ms - self._window_from_ms >= WINDOW_MS:
            self._window_from_ms, self._lines = now_ms, 0
        if self._lines >= MAX_LINES:
            self._left_out += 1
            return
        self._lines += 1
        _LOG.warning(
            logs.line("entry-refused",
                      row=entryerrors.shortened(row.key),
                      field=entryerrors.shortened(error.field),
                      found=error.found,
                      expected=error.expected,
                      list_version=row.version,
                      left_out=self._left_out or None))
        self._left_out = 0
