"""Translates requests and headers between callers and runners."""

import dataclasses
import zlib

from cardamommill.gateway.nodes import hopheaders
from cardamommill.gateway.requests import placing
from cardamommill.platform import fetching, wirenames
from cardamommill.transport import callers, httpheaders, upstream

# The deadline sent to the runner is this much earlier than the caller's, so
# that the runner's own answer is back in time.
DEADLINE_MARGIN_MS = 5.0
# Number of queue ranks for requests that can still be answered in time. As many
# ranks follow for those that cannot.
URGENT_RANKS = 5

_HOP_HEADERS = frozenset({
    "connection", "keep-alive", "proxy-authenticate", "proxy-authorization",
    "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade",
    "content-length", "expect"
})
# Of an answer that another node passed on.
_ANSWER_HEADERS = _HOP_HEADERS | {hopheaders.ATTEMPTS_HEADER.lower()}
_NODE_HEADERS = frozenset(
    each.lower()
    for each in ("Authorization", wirenames.DEADLINE_MS,
                 wirenames.EXPECT_INSTANCE, wirenames.TENANT,
                 wirenames.REQUEST_PRIORITY, wirenames.LAST_EVENT_ID))


def runner_headers(headers: list[tuple[str, str]]) -> list[tuple[str, str]]:
    """Returns a caller's headers without those that a runner must not get.

    These are the hop-by-hop headers and those that this node sets itself.
    """
    return [(name, value)
            for name, value in end_to_end_headers(headers)
            if name.lower() not in _NODE_HEADERS]


def end_to_end_headers(headers: list[tuple[str, str]]) -> list[tuple[str, str]]:
    """Returns headers without those that concern one connection only."""
    dropped = _HOP_HEADERS
    for name, value in headers:
        if name.lower() == "connection":
            dropped |= {each.strip().lower() for each in value.split(",")}
    return [
        (name, value) for name, value in headers if name.lower() not in dropped
    ]


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptParameters:
    """Values that this node adds to a request for one attempt.

    Attributes:
        instance: The id on the wire of the only runner that may run the
            request.
        remaining_ms: The time until the caller's deadline.
        tenant: The name of the caller's client account; None if the request
            needs no key.
        rank: The rank of the request in the runner's queue, 0 is first; None
            for a service whose runners form no groups.
        last_event_id: The event after which a stream resumes; None to start it
            from its beginning.
    """

    instance: str
    remaining_ms: float
    tenant: str | None
    rank: int | None
    last_event_id: int | None


def queue_rank(priority: int, is_deferred: bool) -> int:
    """Returns the rank of a request in a runner's queue, 0 for the first.

    Args:
        priority: The priority of the request, 0 is the highest.
        is_deferred: Whether it can no longer be answered in time and comes
            after all requests that can.
    """
    urgent = min(URGENT_RANKS - 1, priority)
    return urgent + URGENT_RANKS if is_deferred else urgent


def request_bytes(request: callers.CallerRequest,
                  parameters: AttemptParameters) -> bytes:
    """Returns the encoded request for a runner."""
    remaining_ms = max(1, int(parameters.remaining_ms - DEADLINE_MARGIN_MS))
    node_headers = [(wirenames.DEADLINE_MS, str(remaining_ms)),
                    (wirenames.EXPECT_INSTANCE, parameters.instance)]
    if parameters.tenant is not None:
        node_headers.append((wirenames.TENANT, parameters.tenant))
    if parameters.rank is not None:
        node_headers.append((wirenames.REQUEST_PRIORITY, str(parameters.rank)))
    if parameters.last_event_id is not None:
        node_headers.append(
            (wirenames.LAST_EVENT_ID, str(parameters.last_event_id)))
    return fetching.request_bytes(
        request.method, request.target,
        runner_headers(request.headers) + node_headers, request.body)


def caller_headers(head: upstream.Head) -> list[tuple[str, str]]:
    """Returns the headers of a runner's answer that its caller gets."""
    return [(name, value)
            for name, value in head.headers
            if name.lower() not in _ANSWER_HEADERS]


def request_tokens(request: callers.CallerRequest) -> placing.RequestTokens:
    """Returns the token counts from the headers of a request; 0 if unknown.

    The expected length of the answer, if given, replaces a larger limit.
    """
    counts = (request.get(wirenames.TOKEN_COUNTS) or "").split(",")
    numbers = [
        found for each in counts
        if (found := httpheaders.number(each)) is not None
    ]
    hint = httpheaders.number(request.get(wirenames.LENGTH_HINT))
    if len(numbers) != 2:
        return placing.RequestTokens(0, hint or 0)
    return placing.RequestTokens(numbers[0], min(hint or numbers[1],
                                                 numbers[1]))


def fingerprint(request: callers.CallerRequest) -> int:
    """Returns a hash by which copies of the same request are recognized."""
    counts = request.get(wirenames.TOKEN_COUNTS) or ""
    named = f"{request.method} {request.target} {counts}"
    return zlib.crc32(request.body, zlib.crc32(named.encode()))
