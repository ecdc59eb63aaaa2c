"""What is passed on of a request to a runner, and of its answer."""

import dataclasses
import zlib

from cardamommill.gateway import (
    callers,
    fetching,
    httpheaders,
    placing,
    upstream,
)
from cardamommill.platform import words

# Before a try that ends at the caller's time the runner is told less, so that
# its own answer is back in time.
DEADLINE_MARGIN_MS = 5.0
# Ranks of the runner's queue: those that can be in time come before all that
# can't.
URGENT_RANKS = 5

_HOP_HEADERS = frozenset({
    "connection", "keep-alive", "proxy-authenticate", "proxy-authorization",
    "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade",
    "content-length", "expect"
})
_OWN_HEADERS = frozenset(
    each.lower()
    for each in ("Authorization", words.DEADLINE_MS, words.EXPECT_INSTANCE,
                 words.TENANT, words.REQUEST_PRIORITY, words.LAST_EVENT_ID))

_NOT_PASSED_ON = _HOP_HEADERS | _OWN_HEADERS


def runner_headers(headers: list[tuple[str, str]]) -> list[tuple[str, str]]:
    """Returns a caller's headers without those that this node sets itself."""
    dropped = _NOT_PASSED_ON
    for name, value in headers:
        if name.lower() == "connection":
            dropped |= {each.strip().lower() for each in value.split(",")}
    return [
        (name, value) for name, value in headers if name.lower() not in dropped
    ]


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptParameters:
    """On what terms a runner gets a request.

    Attributes:
        runner: The only one that may run it.
        remaining_ms: How much time its caller has left.
        tenant: Whose it is; None where it needs no key.
        rank: In the runner's queue, 0 is first; None for a plain service.
        last_event_id: Where a stream goes on; None for its beginning.
    """

    runner: str
    remaining_ms: float
    tenant: str | None
    rank: int | None
    last_event_id: int | None


def queue_rank(priority: int, is_deferred: bool) -> int:
    """Returns the rank in a runner's queue of a request of a priority."""
    urgent = min(URGENT_RANKS - 1, priority)
    return urgent + URGENT_RANKS if is_deferred else urgent


def request_bytes(request: callers.CallerRequest,
                  terms: AttemptParameters) -> bytes:
    """Returns a request as a runner gets it."""
    remaining_ms = max(1, int(terms.remaining_ms - DEADLINE_MARGIN_MS))
    own = [(words.DEADLINE_MS, str(remaining_ms)),
           (words.EXPECT_INSTANCE, terms.runner)]
    if terms.tenant is not None:
        own.append((words.TENANT, terms.tenant))
    if terms.rank is not None:
        own.append((words.REQUEST_PRIORITY, str(terms.rank)))
    if terms.last_event_id is not None:
        own.append((words.LAST_EVENT_ID, str(terms.last_event_id)))
    return fetching.request_bytes(request.method, request.target,
                                  runner_headers(request.headers) + own,
                                  request.body)


def caller_headers(head: upstream.Head) -> list[tuple[str, str]]:
    """Returns the headers of a runner's answer that its caller gets."""
    return [(name, value)
            for name, value in head.headers
            if name.lower() not in _HOP_HEADERS]


def token_counts(request: callers.CallerRequest) -> placing.TokenCounts:
    """Returns what a request says that it asks of an engine."""
    counts = (request.get(words.TOKEN_COUNTS) or "").split(",")
    numbers = [
        found for each in counts
        if (found := httpheaders.number(each)) is not None
    ]
    hint = httpheaders.number(request.get(words.LENGTH_HINT))
    if len(numbers) != 2:
        return placing.TokenCounts(0, hint or 0)
    return placing.TokenCounts(numbers[0], min(hint or numbers[1], numbers[1]))


def fingerprint(request: callers.CallerRequest) -> int:
    """Returns what is the same when the same request is sent again."""
    counts = request.get(words.TOKEN_COUNTS) or ""
    named = f"{request.method} {request.target} {counts}"
    return zlib.crc32(request.body, zlib.crc32(named.encode()))
