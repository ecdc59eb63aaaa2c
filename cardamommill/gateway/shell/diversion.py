"""Searches another target for a request whose attempts are all silent."""

import asyncio
from collections.abc import Callable

# Interval of the search for a group to continue at.
POLL_MS = 40.0


class Diversion:
    """The search of one request, if there is one."""

    def __init__(self, send_elsewhere: Callable[[str], bool]) -> None:
        """Initialises the instance without a search.

        Args:
            send_elsewhere: Sends the request to another target for a reason, if
                one can take it; returns whether the search is over.
        """
        self._send_elsewhere = send_elsewhere
        self._timer: asyncio.TimerHandle | None = None

    def start(self, reason: str, delay_ms: float = 0.0) -> None:
        """Searches until a target is found or the search is cancelled.

        Args:
            reason: The reason for the log.
            delay_ms: When the search begins.
        """
        self.cancel()
        if not delay_ms and self._send_elsewhere(reason):
            return
        self._timer = asyncio.get_running_loop().call_later(
            (delay_ms or POLL_MS) / 1000, self.start, reason)

    def cancel(self) -> None:
        """Stops the search."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
