"""Logs when a table can no longer be read, and when it can be again."""

import logbook

from cardamommill import exceptions, logs

_LOG = logbook.Logger("platform")


class StoreOutages:
    """Logs the start and the end of an outage, once each."""

    def __init__(self) -> None:
        self._unavailable: set[str] = set()

    def record_failure(self, what: str, error: exceptions.StoreError) -> None:
        """Records that a read of something has failed."""
        if what not in self._unavailable:
            self._unavailable.add(what)
            _LOG.warning(logs.line("store-lost", what=what, reason=str(error)))

    def record_success(self, what: str) -> None:
        """Records that a read of something has succeeded."""
        if what in self._unavailable:
            self._unavailable.discard(what)
            _LOG.info(logs.line("store-regained", what=what))
