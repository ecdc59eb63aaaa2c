"""The operators' port: HTTP with its own address and key, by werkzeug."""

from collections.abc import Callable, Iterable
from concurrent import futures
import dataclasses
import hashlib
import hmac
import http
import json
from typing import Annotated, Any, Self

import logbook
import pydantic
from returns import result
from werkzeug import exceptions as http_errors
from werkzeug import routing, wrappers

from cardamommill import (
    checking,
    documents,
    exceptions,
    explaining,
    logs,
    operations,
    reporttext,
    settings,
    wsgiserver,
)

MAX_BODY_BYTES = documents.MAX_DOCUMENT_BYTES * 2
MAX_TEXT_CHARS = 1000
DEFAULT_AUTHOR = "unknown"

log = logbook.Logger("operators")

Answered = wrappers.Response
Handler = Callable[..., Answered]

STATUSES: dict[type[exceptions.CardamommillError], int] = {
    exceptions.DocumentError: http.HTTPStatus.UNPROCESSABLE_ENTITY,
    exceptions.RevisionConflict: http.HTTPStatus.CONFLICT,
    exceptions.StoreError: http.HTTPStatus.SERVICE_UNAVAILABLE,
    exceptions.CommandError: http.HTTPStatus.NOT_FOUND,
}

_Text = Annotated[str, pydantic.StringConstraints(max_length=MAX_TEXT_CHARS)]


class _Body(pydantic.BaseModel):
    """What comes with a change."""

    model_config = pydantic.ConfigDict(extra="forbid")

    author: _Text = DEFAULT_AUTHOR
    reason: _Text = ""
    document: str = ""
    base_revision: int | None = None
    revision: int = 0

    def wish(self) -> operations.Wish:
        return operations.Wish(self.author, self.reason)


class OperatorServer:
    """Answers operators; a context manager that listens while entered.

    Attributes:
        address: Where it answers, ``ip:port``.
    """

    def __init__(self, side: settings.OperatorSide,
                 done_by: operations.Operations) -> None:
        """Makes it.

        Args:
            side: Address and key.
            done_by: What may be asked and done.
        """
        self._side = side
        self._operations = done_by
        handlers: tuple[tuple[str, str, Handler], ...] = (
            ("GET", "/status", self._status),
            ("GET", "/explain/<kind>/<name>", self._explain),
            ("GET", "/debug", self._debug),
            ("GET", "/services", self._services),
            ("GET", "/services/<service>", self._service),
            ("POST", "/services/<service>", self._apply),
            ("GET", "/services/<service>/history", self._history),
            ("GET", "/services/<service>/diff", self._diff),
            ("POST", "/services/<service>/rollback", self._roll_back),
            ("PUT", "/drains/<vm_id>", self._drain),
            ("DELETE", "/drains/<vm_id>", self._undrain),
            ("GET", "/quarantine", self._quarantine),
            ("GET", "/quarantine/<digest>", self._suspect),
            ("DELETE", "/quarantine/<digest>", self._lift),
        )
        self._map = routing.Map([
            routing.Rule(path, endpoint=handler, methods=[method])
            for method, path, handler in handlers
        ])

    def __enter__(self) -> Self:
        host, _, port = self._side.address.rpartition(":")
        try:
            self._server = wsgiserver.Server(host, int(port), self._answer_wsgi)
        except (OSError, SystemExit) as error:
            raise exceptions.SettingsError("can't listen",
                                           step="operators",
                                           peer=self._side.address) from error
        self.address = f"{host}:{self._server.port}"
        self._pool = futures.ThreadPoolExecutor(1, "operators")
        self._pool.submit(self._server.serve_forever, 0.1)
        return self

    def __exit__(self, *exception: object) -> None:
        self._server.shutdown()
        self._server.server_close()
        self._pool.shutdown()

    # --- From a request to a handler ---

    def _answer_wsgi(self, environ: Any, start: Any) -> Iterable[bytes]:
        request = wrappers.Request(environ)
        request.max_content_length = MAX_BODY_BYTES
        response = self._answer(request)
        log.info(
            logs.line("operator-call",
                      method=request.method,
                      path=request.path,
                      status=response.status_code))
        return response(environ, start)

    def _answer(self, request: wrappers.Request) -> Answered:
        if not self._authorized(request):
            return _problem(http.HTTPStatus.UNAUTHORIZED,
                            "the operators' key is missing or wrong",
                            "operators")
        try:
            handler, names = self._map.bind_to_environ(request.environ).match()
            response: Answered = handler(request, **names)
            return response
        except http_errors.HTTPException as error:
            return _problem(error.code or 500, error.description or "",
                            "operators")
        except pydantic.ValidationError as error:
            return _problem(http.HTTPStatus.BAD_REQUEST, checking.faults(error),
                            "operators")
        except exceptions.CardamommillError as error:
            return _failed(error)
        except futures.TimeoutError:
            return _problem(http.HTTPStatus.SERVICE_UNAVAILABLE,
                            "the control thread did not answer in time",
                            "control")

    def _authorized(self, request: wrappers.Request) -> bool:
        scheme, _, key = request.headers.get("Authorization", "").partition(" ")
        given = hashlib.sha256(key.encode("utf-8", "replace")).hexdigest()
        # In constant time: a comparison that stops at the first difference
        # tells by its duration how much of a guess was right.
        return (hmac.compare_digest(given, self._side.key_sha256) and
                scheme.lower() == "bearer")

    # --- What is ---

    def _status(self, request: wrappers.Request) -> Answered:
        status = self._operations.status()
        if _wants_text(request):
            return _text(reporttext.status(status))
        return _json(dataclasses.asdict(status))

    def _explain(self, request: wrappers.Request, kind: str,
                 name: str) -> Answered:
        if kind not in explaining.EXPLAINERS:
            raise exceptions.CommandError(
                f"no such kind {kind!r}; there are "
                f"{', '.join(explaining.EXPLAINERS)}",
                step="explain")
        explanation = self._operations.explain(kind, name)
        if not explanation.known:
            silent = " ".join(explanation.now)
            raise exceptions.CommandError(
                f"nothing is known of {kind} {name!r} in this data centre "
                f"(any more). {silent}".strip(),
                step="explain")
        if _wants_text(request):
            return _text(reporttext.explanation(explanation))
        return _json(dataclasses.asdict(explanation))

    def _debug(self, request: wrappers.Request) -> Answered:
        del request
        return _json(dataclasses.asdict(self._operations.figures()))

    # --- Documents ---

    def _services(self, request: wrappers.Request) -> Answered:
        del request
        return _settled(self._operations.revisions())

    def _service(self, request: wrappers.Request, service: str) -> Answered:
        return _settled(
            self._operations.document(service, _number(request, "revision")))

    def _apply(self, request: wrappers.Request, service: str) -> Answered:
        body = _body(request)
        named = documents.parse(body.document, "the document").service
        if named != service:
            raise exceptions.DocumentError(
                f"service: found {named!r}, must be {service!r} as the "
                "address says",
                step="apply")
        return _settled(
            self._operations.apply(body.document, body.base_revision,
                                   body.wish()))

    def _history(self, request: wrappers.Request, service: str) -> Answered:
        del request
        return _settled(self._operations.history(service))

    def _diff(self, request: wrappers.Request, service: str) -> Answered:
        return _settled(
            self._operations.diff(service, _number(request, "old"),
                                  _number(request, "new")))

    def _roll_back(self, request: wrappers.Request, service: str) -> Answered:
        body = _body(request)
        return _settled(
            self._operations.roll_back(service, body.revision, body.wish()))

    # --- VMs and requests ---

    def _drain(self, request: wrappers.Request, vm_id: str) -> Answered:
        wish = _body(request).wish()
        return _settled(self._operations.drain(vm_id, wish))

    def _undrain(self, request: wrappers.Request, vm_id: str) -> Answered:
        del request
        return _settled(self._operations.undrain(vm_id))

    def _quarantine(self, request: wrappers.Request) -> Answered:
        del request
        suspects = self._operations.status().suspects
        return _json([dataclasses.asdict(each) for each in suspects])

    def _suspect(self, request: wrappers.Request, digest: str) -> Answered:
        del request
        for each in self._operations.status().suspects:
            if each.digest == digest:
                return _json(dataclasses.asdict(each))
        raise exceptions.CommandError("nothing is held against it",
                                      step="quarantine",
                                      peer=digest)

    def _lift(self, request: wrappers.Request, digest: str) -> Answered:
        return _json(self._operations.lift(digest, _body(request).wish()))


def _wants_text(request: wrappers.Request) -> bool:
    return request.accept_mimetypes.best_match(
        ["application/json", "text/plain"]) == "text/plain"


def _number(request: wrappers.Request, name: str) -> int:
    return request.args.get(name, default=0, type=int)


def _body(request: wrappers.Request) -> _Body:
    return _Body.model_validate_json(request.get_data() or b"{}")


def _json(value: object, status: int = http.HTTPStatus.OK) -> Answered:
    return wrappers.Response(json.dumps(value) + "\n",
                             status,
                             content_type="application/json")


def _text(text: str) -> Answered:
    return wrappers.Response(text, content_type="text/plain; charset=utf-8")


def _settled(
        outcome: result.Result[Any, exceptions.CardamommillError]) -> Answered:
    if isinstance(outcome, result.Failure):
        return _failed(outcome.failure())
    return _json(_plain(outcome.unwrap()))


def _plain(value: Any) -> Any:
    if dataclasses.is_dataclass(value) and not isinstance(value, type):
        return dataclasses.asdict(value)
    if isinstance(value, tuple):
        return [_plain(each) for each in value]
    return value


def _failed(error: exceptions.CardamommillError) -> Answered:
    return _problem(STATUSES.get(type(error), http.HTTPStatus.BAD_REQUEST),
                    error.message, error.step, error.peer)


def _problem(status: int, detail: str, step: str, peer: str = "") -> Answered:
    body = {
        "title": http.HTTPStatus(status).phrase,
        "status": int(status),
        "detail": logs.without_secrets(detail),
        "step": step,
        "peer": peer
    }
    return wrappers.Response(json.dumps(body) + "\n",
                             status,
                             content_type="application/problem+json")
