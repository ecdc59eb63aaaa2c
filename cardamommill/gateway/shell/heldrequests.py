"""Holds requests that arrive before a starting node can serve them."""

import asyncio
from collections.abc import Callable

from cardamommill.transport import callers, replies

# A node reads the configuration and the list of runners within some ms of its
# start, but callers whose connections to its predecessor broke retry sooner.
# Refused with a Retry-After, they would lose a quarter of a second and mostly
# their only retry.
MAX_HOLD_MS = 250.0
POLL_INTERVAL_MS = 5.0


class HeldRequest:
    """A request that waits for a limited time until its node can serve it.

    Attributes:
        is_cancelled: Whether its caller closed its connection.
    """

    def __init__(self, handler: callers.Handler, request: callers.CallerRequest,
                 reply: replies.Reply) -> None:
        """Initialises a request that waits.

        Args:
            handler: Serves the request, or refuses it.
            request: The request.
            reply: The answer to it.
        """
        self._handler = handler
        self._request = request
        self._reply = reply
        self._active: callers.ActiveRequest | None = None
        self.is_cancelled = False

    def caller_left(self) -> None:
        """Cancels the request; see `callers.ActiveRequest`."""
        self.is_cancelled = True
        if self._active is not None:
            self._active.caller_left()

    async def serve_when_ready(self, may_serve: Callable[[], bool]) -> None:
        """Passes the request to its handler once it may be served.

        After MAX_HOLD_MS it is passed on in any case, for the handler to refuse
        it. Nothing is passed on if the caller has closed its connection.

        Args:
            may_serve: Returns whether the node can serve requests.
        """
        polls_left = int(MAX_HOLD_MS / POLL_INTERVAL_MS)
        while polls_left and not may_serve():
            polls_left -= 1
            await asyncio.sleep(POLL_INTERVAL_MS / 1000)
        if not self.is_cancelled:
            self._active = callers.run_handler(self._handler, self._request,
                                               self._reply)
