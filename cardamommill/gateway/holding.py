"""Requests that come before a node that has just started can serve them."""

import asyncio
from collections.abc import Callable

import logbook

from cardamommill import logs
from cardamommill.gateway import callers, replies

# A node reads the configuration and the list within some ms of its start, and
# callers whose connections broke are back before that. Told to come back, they
# lose a quarter of a second and mostly their only other try.
HELD_MS = 250.0
LOOK_MS = 5.0

_LOG = logbook.Logger("callers")


class Held:
    """One request, until its node can serve it or for a short while.

    Attributes:
        left: Whether its caller has gone.
    """

    def __init__(self, serve: Callable[[], callers.Serving | None],
                 reply: replies.Reply) -> None:
        """Makes it.

        Args:
            serve: Begins to serve the request, or answers it.
            reply: Its answer; broken off where serving it fails.
        """
        self._serve = serve
        self._reply = reply
        self._serving: callers.Serving | None = None
        self.left = False

    def caller_left(self) -> None:
        """Gives up; see `callers.Serving`."""
        self.left = True
        if self._serving is not None:
            self._serving.caller_left()

    async def wait(self, may_serve: Callable[[], bool]) -> None:
        """Serves the request once it may be, and after a while in any case."""
        looks = int(HELD_MS / LOOK_MS)
        while looks and not may_serve():
            looks -= 1
            await asyncio.sleep(LOOK_MS / 1000)
        if self.left:
            return
        try:
            self._serving = self._serve()
        except Exception:
            # Its caller would wait for an answer until its time is over.
            _LOG.exception(logs.line("held-request-failed"))
            if not self._reply.ended:
                self._reply.break_off()
