"""What is passed on of a request to a runner, and of its answer."""

from cardamommill.gateway import callers, headfields, placing, upstream
from cardamommill.platform import words

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


def to_runner(headers: list[tuple[str, str]]) -> list[tuple[str, str]]:
    """Returns a caller's headers without those that this node sets itself."""
    dropped = _NOT_PASSED_ON
    for name, value in headers:
        if name.lower() == "connection":
            dropped |= {each.strip().lower() for each in value.split(",")}
    return [
        (name, value) for name, value in headers if name.lower() not in dropped
    ]


def to_caller(head: upstream.Head) -> list[tuple[str, str]]:
    """Returns the headers of a runner's answer that its caller gets."""
    return [(name, value)
            for name, value in head.headers
            if name.lower() not in _HOP_HEADERS]


def work(request: callers.CallerRequest) -> placing.Work:
    """Returns what a request says that it asks of an engine."""
    counts = (request.get(words.TOKEN_COUNTS) or "").split(",")
    numbers = [
        found for each in counts
        if (found := headfields.number(each)) is not None
    ]
    hint = headfields.number(request.get(words.LENGTH_HINT))
    if len(numbers) != 2:
        return placing.Work(0, hint or 0)
    return placing.Work(numbers[0], min(hint or numbers[1], numbers[1]))
