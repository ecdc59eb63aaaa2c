"""Requests that come before a node that has just started can serve them."""

import asyncio
from collections.abc import Callable

from cardamommill.gateway import callers, replies

# A node reads the configuration and the list within some ms of its start, and
# callers whose connections broke are back before that. Told to come back, they
# lose a quarter of a second and mostly their only other try.
MAX_HOLD_MS = 250.0
POLL_INTERVAL_MS = 5.0


class HeldRequest:
    """One request, until its node can serve it or for a short while.

    Attributes:
        left: Whether its caller has gone.
    """

    def __init__(self, handler: callers.Handler, request: callers.CallerRequest,
                 reply: replies.Reply) -> None:
        """Makes it.

        Args:
            handler: Serves the request, or answers it.
            request: The request.
            reply: Its answer.
        """
        self._handler = handler
        self._request = request
        self._reply = reply
        self._serving: callers.ActiveRequest | None = None
        self.left = False

    def caller_left(self) -> None:
        """Gives up; see `callers.ActiveRequest`."""
        self.left = True
        if self._serving is not None:
            self._serving.caller_left()

    async def serve_when_ready(self, may_serve: Callable[[], bool]) -> None:
        """Serves the request once it may be, and after a while in any case."""
        looks = int(MAX_HOLD_MS / POLL_INTERVAL_MS)
        while looks and not may_serve():
            looks -= 1
            await asyncio.sleep(POLL_INTERVAL_MS / 1000)
        if not self.left:
            self._serving = callers.run_handler(self._handler, self._request,
                                                self._reply)
