"""The caller side: who calls, what for, and within which limits."""

from collections.abc import Callable
import dataclasses
import random
import secrets
from typing import Self

from werkzeug import datastructures

from cardamommill import (
    answering,
    board,
    callerrequests,
    connections,
    documents,
    exceptions,
    exchange,
    hops,
    http1,
    loop,
    requesting,
    settings,
    sinks,
    tracing,
)
from cardamommill import connection as connection_lib

SERVICES = "/services/"
# What a full node tells callers, spread so that they don't come back as one.
RETRY_AFTER_S = (1, 3)

TITLES = {
    400: "Bad request",
    401: "Unknown client account",
    404: "Not found",
    408: "Request not whole in time",
    413: "Request too large",
    422: "Request not understood",
    500: "Node failed",
    503: "Not now",
}


class Frontend:
    """Answers callers; a context manager that listens while it is entered."""

    def __init__(self,
                 limits: settings.CallerSide,
                 control: loop.ControlLoop,
                 requests: exchange.Exchange,
                 metrics_text: Callable[[], str],
                 hop_secret: bytes = b"") -> None:
        """Makes it.

        Args:
            limits: Limits towards callers.
            control: Where documents and readiness come from.
            requests: Takes requests in.
            metrics_text: Returns the metrics page.
            hop_secret: What all nodes know and no caller does.
        """
        self._limits = limits
        self._control = control
        self._requests = requests
        self._metrics_text = metrics_text
        self._hop_secret = hop_secret
        self._connections = connections.Connections(limits, self)

    def __enter__(self) -> Self:
        self._connections.__enter__()
        return self

    def __exit__(self, *exception: object) -> None:
        self._connections.__exit__(*exception)

    @property
    def address(self) -> str:
        """Where callers are answered, as ``ip:port``."""
        return self._connections.address

    @property
    def counts(self) -> connections.Counts:
        """Figures for the metrics page."""
        return self._connections.counts

    def screen(self, start: http1.RequestStart) -> int:
        """Returns how large the body may be; refuses unknown callers.

        Runs before any of the body is kept, so that nobody without an
        account can fill this node's memory.

        Args:
            start: The request without its body.

        Raises:
            RequestError: It can't be taken.
        """
        if not start.target.startswith(SERVICES):
            return 0
        document, _ = self._addressed(start)
        callerrequests.account(document, start.headers)
        return min(document.limits.body_bytes, self._limits.body_bytes)

    def _addressed(self,
                   start: http1.RequestStart) -> tuple[documents.Document, str]:
        service, slash, rest = start.target[len(SERVICES):].partition("/")
        view = self._control.view()
        in_force = view.documents.get(service)
        if in_force is None and view.phase is board.NodePhase.STARTING:
            raise callerrequests.refusal(503, "route",
                                         "this node has no documents yet")
        if in_force is None or not slash:
            raise callerrequests.refusal(404, "route",
                                         f"no service {service[:64]!r}")
        return in_force.document, "/" + rest

    def answer(self, request: http1.Request,
               connection: connection_lib.Connection) -> None:
        """Takes a request in, or answers it; on a thread of the pool.

        Args:
            request: It, whole.
            connection: Where the answer goes.
        """
        start = request.start
        answer = answering.Answer(connection, start, secrets.token_hex(16),
                                  _trace(start),
                                  self._control.view().ready)
        try:
            if not start.target.startswith(SERVICES):
                self._answer_page(start, answer)
                return
            if self._requests.count >= self._limits.requests_in_progress:
                raise callerrequests.refusal(503, "admit",
                                             "too many requests in progress")
            document, path = self._addressed(start)
            head = callerrequests.read_head(request, document, path,
                                            answer.request_id, answer.trace,
                                            self._hop_secret)
            head = self._named(head, start.headers)
            answer.request_id = head.request_id
        except exceptions.RequestError as error:
            answer.problem(_problem(error))
            return
        connection.on_gone(lambda: self._requests.caller_gone(head.request_id))
        self._requests.admit(
            sinks.Live(head, tuple(start.headers), request.body, answer))

    def _named(self, head: requesting.RequestHead,
               headers: datastructures.Headers) -> requesting.RequestHead:
        """Returns the head under the name that the first node gave it.

        Engines write a request's name into its answer. Under another name the
        caller, who has been told the first one, would take its own answer for
        a foreign one. Only where a former attempt at the same request is still
        here does it keep a name of its own.
        """
        passed = hops.request_id(headers.get("Cardamommill-Attempt", ""))
        if not head.hop or not passed or self._requests.is_live(passed):
            return head
        return dataclasses.replace(head, request_id=passed)

    def refuse(self, error: exceptions.RequestError,
               connection: connection_lib.Connection) -> None:
        """Answers a request that is not whole, and closes.

        Args:
            error: Why.
            connection: Where the answer goes.
        """
        start = connection.parser.start or http1.RequestStart(
            "GET", "", 0, datastructures.Headers())
        answering.Answer(connection,
                         start,
                         secrets.token_hex(16),
                         _trace(start),
                         keep_alive=False).problem(_problem(error))

    def _answer_page(self, start: http1.RequestStart,
                     answer: answering.Answer) -> None:
        path = start.target.partition("?")[0]
        page = _PAGES.get(path)
        if page is None or start.method not in ("GET", "HEAD"):
            raise callerrequests.refusal(404, "route", f"no page {path[:64]!r}")
        status, text = page(self)
        answer.whole(status, [("Content-Type", "text/plain; charset=utf-8")],
                     text.encode(), requesting.Outcome.RAN)

    def _healthz(self) -> tuple[int, str]:
        return 200, "ok\n"

    def _readyz(self) -> tuple[int, str]:
        view = self._control.view()
        return (200, "ready\n") if view.ready else (503, f"{view.phase}\n")

    def _metrics(self) -> tuple[int, str]:
        return 200, self._metrics_text()


_PAGES = {
    "/healthz": Frontend._healthz,
    "/readyz": Frontend._readyz,
    "/metrics": Frontend._metrics,
}


def _trace(start: http1.RequestStart) -> tracing.Context:
    return tracing.from_header(start.headers.get("traceparent", ""))


def _problem(error: exceptions.RequestError) -> requesting.Problem:
    retry_after_s = (random.randint(
        *RETRY_AFTER_S) if error.status == 503 else 0)
    return requesting.Problem(error.status,
                              TITLES.get(error.status, "Refused"),
                              error.message,
                              step=error.step,
                              peer=error.peer,
                              retry_after_s=retry_after_s)
