"""Serves the load balancer's readiness check, the metrics and the status."""

from collections.abc import Callable
import json
from typing import Any

from cardamommill import metrics
from cardamommill.platform import wirenames
from cardamommill.transport import callers, replies

METRICS_PATH = "/metrics"
STATUS_PATH = "/status"
_TEXT = "text/plain"
_JSON = "application/json"


class StatusPages:
    """Handler of status pages; forwards no request to a runner."""

    def __init__(self, is_ready: Callable[[], bool], registry: metrics.Metrics,
                 status: Callable[[], dict[str, Any]]) -> None:
        """Initialises the instance.

        Args:
            is_ready: Whether the node is ready for requests.
            registry: The metrics.
            status: Returns the content of the status page.
        """
        self._is_ready = is_ready
        self._metrics = registry
        self._status = status

    def answer(self, request: callers.CallerRequest,
               reply: replies.Reply) -> None:
        """Answers a request for a page."""
        status, kind, body = self._page(request.target)
        reply.send(status, [("Content-Type", kind)], body)

    def _page(self, target: str) -> tuple[int, str, bytes]:
        if target == wirenames.READY_PATH:
            if self._is_ready():
                return 200, _TEXT, b"ready\n"
            return 503, _TEXT, b"not ready\n"
        if target == METRICS_PATH:
            return 200, _TEXT, self._metrics.render().encode()
        if target == STATUS_PATH:
            return 200, _JSON, json.dumps(self._status()).encode() + b"\n"
        return 404, _TEXT, b"no such page\n"
