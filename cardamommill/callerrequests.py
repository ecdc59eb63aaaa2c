"""What a caller wants: its account, and all that its headers and body say."""

import hashlib
import hmac
import re
import urllib.parse

from werkzeug import datastructures

from cardamommill import (
    documents,
    exceptions,
    hops,
    http1,
    loop,
    prompts,
    requesting,
    tracing,
)

JSON = "application/json"
DEFAULT_PRIORITY = 5
MAX_KEY_CHARACTERS = 200

# Calls by which nodes steer a runner. A caller that reached them could give
# it orders or cancel the requests of others.
ENGINE_CALLS = frozenset(
    ("state", "orders", "cancel", "cache-events", "weights"))

_NUMBER = re.compile(r"[0-9]{1,9}")
_KEY = re.compile(r"[\x21-\x7e]{1,%d}" % MAX_KEY_CHARACTERS)


def refusal(status: int, step: str, message: str) -> exceptions.RequestError:
    """Returns the error for a request that can't be taken."""
    return exceptions.RequestError(message, status=status, step=step)


def read_head(request: http1.Request, document: documents.Document, path: str,
              request_id: str, trace: tracing.Context,
              hop_secret: bytes) -> requesting.RequestHead:
    """Returns what the decisions need to know of a request.

    Args:
        request: It, whole.
        document: Of the service that it is for.
        path: What follows the service's name, with its query.
        request_id: What this node calls it.
        trace: Where in a trace its caller is.
        hop_secret: What all nodes know and no caller does.

    Raises:
        RequestError: It can't be taken.
    """
    received_ms = loop.now_ms()
    start = request.start
    headers = start.headers
    caller = account(document, headers)
    _check_path(path)
    prompt = _prompt(request)
    if prompt.streaming and start.minor == 0:
        raise refusal(400, "headers", "a stream needs HTTP/1.1")
    repeatable = _repeatable(document, start.method, path, headers)
    digest = _digest(start.method, path, request.body)
    limits = document.limits
    within_ms = _number(headers, "Cardamommill-Deadline-Ms",
                        limits.default_deadline_ms, 1, None)
    priority = _number(headers, "Cardamommill-Priority", DEFAULT_PRIORITY, 1, 9)
    return requesting.RequestHead(
        request_id=request_id,
        trace_id=trace.trace_id,
        account=caller.name,
        service=document.service,
        method=start.method,
        path=path,
        digest=digest,
        body_bytes=len(request.body),
        prefixes=prompt.prefixes,
        repeatable=repeatable,
        idempotency_key=_idempotency_key(headers, repeatable),
        deadline_ms=received_ms + min(within_ms, limits.max_deadline_ms),
        priority=max(priority, caller.top_priority),
        streaming=prompt.streaming,
        hop=_hop(headers, digest, hop_secret),
        received_ms=received_ms,
        caller_span=trace.span_id)


def account(document: documents.Document,
            headers: datastructures.Headers) -> documents.Account:
    """Returns the client account whose key a request carries.

    Args:
        document: Of the service that it is for.
        headers: Of the request.

    Raises:
        RequestError: None of the service's accounts has this key.
    """
    scheme, _, key = headers.get("Authorization", "").partition(" ")
    found = None
    if scheme.lower() == "bearer":
        given = hashlib.sha256(key.strip().encode("latin-1")).hexdigest()
        # Every account is compared, and each in constant time: how long it
        # takes must not tell how much of a guess was right.
        for each in document.accounts:
            if hmac.compare_digest(each.key_sha256, given):
                found = each
    if found is None:
        raise refusal(401, "account",
                      f"no client account of {document.service} has this key")
    return found


def _check_path(path: str) -> None:
    bare = urllib.parse.unquote(path.partition("?")[0])
    parts = bare.split("/")
    # A runner may take "/x/../orders" for "/orders".
    if "." in parts or ".." in parts or "\\" in bare:
        raise refusal(400, "route", "the path has dot segments")
    first = next((part for part in parts if part), "")
    if first.lower() in ENGINE_CALLS:
        raise refusal(404, "route", f"/{first[:64]} is not for callers")


def _prompt(request: http1.Request) -> prompts.Prompt:
    kind = request.start.headers.get("Content-Type", "").partition(";")[0]
    if kind.strip().lower() != JSON or not request.body:
        return prompts.Prompt()
    try:
        return prompts.read(request.body)
    except ValueError as error:
        raise refusal(422, "body", f"not JSON: {error}") from error


def _repeatable(document: documents.Document, method: str, path: str,
                headers: datastructures.Headers) -> bool:
    said = headers.get("Cardamommill-Repeatable")
    if said is None:
        return document.route(method, path).repeatable
    if said.lower() not in ("yes", "no"):
        raise refusal(400, "headers", "Cardamommill-Repeatable is yes or no")
    return said.lower() == "yes"


def _idempotency_key(headers: datastructures.Headers, repeatable: bool) -> str:
    key = headers.get("Idempotency-Key", "")
    if key and not _KEY.fullmatch(key):
        raise refusal(
            400, "headers", "Idempotency-Key must be 1 to "
            f"{MAX_KEY_CHARACTERS} visible ASCII characters")
    if not key and not repeatable:
        raise refusal(
            400, "headers", "a request that is not repeatable needs an "
            "Idempotency-Key")
    return key


def _number(headers: datastructures.Headers, name: str, default: int,
            least: int, most: int | None) -> int:
    text = headers.get(name)
    if text is None:
        return default
    if _NUMBER.fullmatch(text) and least <= int(text) and (most is None or
                                                           int(text) <= most):
        return int(text)
    allowed = f"at least {least}" if most is None else f"{least} to {most}"
    raise refusal(400, "headers", f"{name} must be a number, {allowed}")


def _hop(headers: datastructures.Headers, digest: str, secret: bytes) -> int:
    hop = _number(headers, hops.HEADER, 0, 0, 1)
    if hop and not hops.is_proof(secret, headers.get("Cardamommill-Attempt",
                                                     ""), digest,
                                 headers.get(hops.PROOF_HEADER, "")):
        raise refusal(400, "headers", f"{hops.HEADER} is for nodes alone")
    return hop


def _digest(method: str, path: str, body: bytes) -> str:
    whole = hashlib.sha256(f"{method} {path}\n".encode())
    whole.update(body)
    return whole.hexdigest()
