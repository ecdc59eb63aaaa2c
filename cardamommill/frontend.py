"""The caller side: who calls, what for, and within which limits."""

from collections.abc import Callable
import hashlib
import hmac
import random
import re
import secrets
from typing import Self
import urllib.parse

from werkzeug import datastructures

from cardamommill import (
    answering,
    board,
    connections,
    documents,
    exceptions,
    exchange,
    http1,
    loop,
    prompts,
    requesting,
    settings,
    sinks,
)

SERVICES = "/services/"
JSON = "application/json"
DEFAULT_PRIORITY = 5
MAX_KEY_CHARACTERS = 200
# What a full node tells callers, spread so that they don't come back as one.
RETRY_AFTER_S = (1, 3)

# Calls by which nodes steer a runner. A caller that reached them could give
# it orders or cancel the requests of others.
ENGINE_CALLS = frozenset(
    ("state", "orders", "cancel", "cache-events", "weights"))

_TRACEPARENT = re.compile(r"[0-9a-f]{2}-([0-9a-f]{32})-[0-9a-f]{16}-[0-9a-f]{2}"
                          r"(-.*)?")
_NO_TRACE = "0" * 32
_NUMBER = re.compile(r"[0-9]{1,9}")
_KEY = re.compile(r"[\x21-\x7e]{1,%d}" % MAX_KEY_CHARACTERS)

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

    def __init__(self, limits: settings.CallerSide, control: loop.ControlLoop,
                 requests: exchange.Exchange,
                 metrics_text: Callable[[], str]) -> None:
        """Makes it.

        Args:
            limits: Limits towards callers.
            control: Where documents and readiness come from.
            requests: Takes requests in.
            metrics_text: Returns the metrics page.
        """
        self._limits = limits
        self._control = control
        self._requests = requests
        self._metrics_text = metrics_text
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
        _account(document, start.headers)
        return min(document.limits.body_bytes, self._limits.body_bytes)

    def _addressed(self,
                   start: http1.RequestStart) -> tuple[documents.Document, str]:
        service, slash, rest = start.target[len(SERVICES):].partition("/")
        view = self._control.view()
        in_force = view.documents.get(service)
        if in_force is None and view.phase is board.NodePhase.STARTING:
            raise _error(503, "route", "this node has no documents yet")
        if in_force is None or not slash:
            raise _error(404, "route", f"no service {service[:64]!r}")
        return in_force.document, "/" + rest

    def answer(self, request: http1.Request,
               connection: connections.Connection) -> None:
        """Takes a request in, or answers it; on a thread of the pool.

        Args:
            request: It, whole.
            connection: Where the answer goes.
        """
        start = request.start
        answer = answering.Answer(connection, start, secrets.token_hex(16),
                                  _trace_id(start.headers))
        try:
            if not start.target.startswith(SERVICES):
                self._answer_page(start, answer)
                return
            if self._requests.count >= self._limits.threads:
                raise _error(503, "admit", "too many requests in progress")
            head = self._head(request, answer)
        except exceptions.RequestError as error:
            answer.problem(_problem(error))
            return
        connection.on_gone(lambda: self._requests.caller_gone(head.request_id))
        self._requests.admit(
            sinks.Live(head, tuple(start.headers), request.body, answer))

    def refuse(self, error: exceptions.RequestError,
               connection: connections.Connection) -> None:
        """Answers a request that is not whole, and closes.

        Args:
            error: Why.
            connection: Where the answer goes.
        """
        start = connection.parser.start or http1.RequestStart(
            "GET", "", 0, datastructures.Headers())
        answer = answering.Answer(connection, start, secrets.token_hex(16),
                                  _trace_id(start.headers))
        answer.problem(_problem(error), close=True)

    def _answer_page(self, start: http1.RequestStart,
                     answer: answering.Answer) -> None:
        path = start.target.partition("?")[0]
        page = _PAGES.get(path)
        if page is None or start.method not in ("GET", "HEAD"):
            raise _error(404, "route", f"no page {path[:64]!r}")
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

    def _head(self, request: http1.Request,
              answer: answering.Answer) -> requesting.RequestHead:
        received_ms = loop.now_ms()
        start = request.start
        headers = start.headers
        document, path = self._addressed(start)
        account = _account(document, headers)
        _check_path(path)
        prompt = _prompt(request)
        repeatable = _repeatable(document, start.method, path, headers)
        key = headers.get("Idempotency-Key", "")
        if key and not _KEY.fullmatch(key):
            raise _error(
                400, "headers", "Idempotency-Key must be 1 to "
                f"{MAX_KEY_CHARACTERS} visible ASCII characters")
        if not repeatable and not key:
            raise _error(
                400, "headers", "a request that is not repeatable needs an "
                "Idempotency-Key")
        if prompt.streaming and start.minor == 0:
            raise _error(400, "headers", "a stream needs HTTP/1.1")
        limits = document.limits
        within_ms = min(
            _number(headers, "Cardamommill-Deadline-Ms",
                    limits.default_deadline_ms, 1, None),
            limits.max_deadline_ms)
        return requesting.RequestHead(request_id=answer.request_id,
                                      trace_id=answer.trace_id,
                                      account=account.name,
                                      service=document.service,
                                      method=start.method,
                                      path=path,
                                      digest=_digest(start.method, path,
                                                     request.body),
                                      body_bytes=len(request.body),
                                      prefixes=prompt.prefixes,
                                      repeatable=repeatable,
                                      idempotency_key=key,
                                      deadline_ms=received_ms + within_ms,
                                      priority=max(
                                          _number(headers,
                                                  "Cardamommill-Priority",
                                                  DEFAULT_PRIORITY, 1, 9),
                                          account.top_priority),
                                      streaming=prompt.streaming,
                                      hop=_number(headers, "Cardamommill-Hop",
                                                  0, 0, 1),
                                      received_ms=received_ms)


_PAGES = {
    "/healthz": Frontend._healthz,
    "/readyz": Frontend._readyz,
    "/metrics": Frontend._metrics,
}


def _error(status: int, step: str, message: str) -> exceptions.RequestError:
    return exceptions.RequestError(message, status=status, step=step)


def _problem(error: exceptions.RequestError) -> requesting.Problem:
    retry_after_s = (random.randint(
        *RETRY_AFTER_S) if error.status == 503 else 0)
    return requesting.Problem(error.status,
                              TITLES.get(error.status, "Refused"),
                              error.message,
                              step=error.step,
                              peer=error.peer,
                              retry_after_s=retry_after_s)


def _account(document: documents.Document,
             headers: datastructures.Headers) -> documents.Account:
    scheme, _, key = headers.get("Authorization", "").partition(" ")
    found = None
    if scheme.lower() == "bearer":
        given = hashlib.sha256(key.strip().encode("latin-1")).hexdigest()
        # Every account is compared, and each in constant time: how long it
        # takes must not tell how much of a guess was right.
        for account in document.accounts:
            if hmac.compare_digest(account.key_sha256, given):
                found = account
    if found is None:
        raise _error(401, "account",
                     f"no client account of {document.service} has this key")
    return found


def _check_path(path: str) -> None:
    bare = urllib.parse.unquote(path.partition("?")[0])
    parts = bare.split("/")
    # A runner may take "/x/../orders" for "/orders".
    if "." in parts or ".." in parts or "\\" in bare:
        raise _error(400, "route", "the path has dot segments")
    first = next((part for part in parts if part), "")
    if first.lower() in ENGINE_CALLS:
        raise _error(404, "route", f"/{first[:64]} is not for callers")


def _prompt(request: http1.Request) -> prompts.Prompt:
    kind = request.start.headers.get("Content-Type", "").partition(";")[0]
    if kind.strip().lower() != JSON or not request.body:
        return prompts.Prompt()
    try:
        return prompts.read(request.body)
    except ValueError as error:
        raise _error(422, "body", f"not JSON: {error}") from error


def _repeatable(document: documents.Document, method: str, path: str,
                headers: datastructures.Headers) -> bool:
    said = headers.get("Cardamommill-Repeatable")
    if said is None:
        return document.route(method, path).repeatable
    if said.lower() not in ("yes", "no"):
        raise _error(400, "headers", "Cardamommill-Repeatable is yes or no")
    return said.lower() == "yes"


def _number(headers: datastructures.Headers, name: str, default: int,
            least: int, most: int | None) -> int:
    text = headers.get(name)
    if text is None:
        return default
    if not _NUMBER.fullmatch(text) or int(text) < least or (most is not None and
                                                            int(text) > most):
        above = f"at least {least}" if most is None else f"{least} to {most}"
        raise _error(400, "headers", f"{name} must be a number, {above}")
    return int(text)


def _trace_id(headers: datastructures.Headers) -> str:
    match = _TRACEPARENT.fullmatch(headers.get("traceparent", ""))
    if match and match[1] != _NO_TRACE:
        return match[1]
    return secrets.token_hex(16)


def _digest(method: str, path: str, body: bytes) -> str:
    whole = hashlib.sha256(f"{method} {path}\n".encode())
    whole.update(body)
    return whole.hexdigest()
