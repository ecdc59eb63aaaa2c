"""Serves the readiness check of the load balancer, and the metrics."""

from collections.abc import Callable

from cardamommill import metrics
from cardamommill.platform import wirenames
from cardamommill.transport import callers, replies

METRICS_PATH = "/metrics"


class StatusPages:
    """Handler of status pages; forwards no request to a runner."""

    def __init__(self, is_ready: Callable[[], bool],
                 registry: metrics.Metrics) -> None:
        self._is_ready = is_ready
        self._metrics = registry

    def answer(self, request: callers.CallerRequest,
               reply: replies.Reply) -> None:
        """Answers a request for a page."""
        status, body = self._page(request.target)
        reply.send(status, [("Content-Type", "text/plain")], body)

    def _page(self, target: str) -> tuple[int, bytes]:
        if target == wirenames.READY_PATH:
            return (200, b"ready\n") if self._is_ready() else (503,
                                                               b"not ready\n")
        if target == METRICS_PATH:
            return 200, self._metrics.render().encode()
        return 404, b"no such page\n"
