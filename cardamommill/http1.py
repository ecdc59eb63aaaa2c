"""Callers' requests out of bytes: HTTP/1.1, strict and within limits.

The parser reads no socket, so that raw bytes can be tried on it directly. It
takes nothing that two parsers might read in two ways (two lengths, folded
headers, a bare line feed): a request that the balancer and this node read
differently would give one caller the answer of another.
"""

from collections.abc import Callable
import dataclasses
import enum
import re

from werkzeug import datastructures

from cardamommill import exceptions

STEP = "read"
MAX_HEADERS = 100
MAX_CHUNK_LINE_BYTES = 256

METHODS = frozenset(
    ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"))

_REQUEST_LINE = re.compile(rb"([A-Z]{1,16}) (/[\x21-\x7e]*) HTTP/1\.([01])")
_HEADER = re.compile(
    rb"([!#$%&'*+\-.^_`|~0-9A-Za-z]+):[ \t]*([\t\x20-\x7e\x80-\xff]*)")
_LENGTH = re.compile(r"[0-9]{1,15}")
_CHUNK_SIZE = re.compile(rb"([0-9A-Fa-f]{1,8})(?:[ \t]*;[\t\x20-\x7e]*)?")


@dataclasses.dataclass(frozen=True, slots=True)
class RequestStart:
    """A request without its body.

    Attributes:
        method: The HTTP method.
        target: Path and query, as they came.
        minor: The 1 of HTTP/1.1.
        headers: All headers.
    """

    method: str
    target: str
    minor: int
    headers: datastructures.Headers

    @property
    def keep_alive(self) -> bool:
        """Whether the caller may use the connection again."""
        wishes = self.headers.get("Connection", "").lower()
        return self.minor == 1 and "close" not in wishes


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A request that has arrived whole."""

    start: RequestStart
    body: bytes


class _State(enum.Enum):
    HEAD = enum.auto()
    LENGTH = enum.auto()
    CHUNK_SIZE = enum.auto()
    CHUNK_DATA = enum.auto()
    TRAILER = enum.auto()


def refusal(message: str, status: int = 400) -> exceptions.RequestError:
    """Returns the error for a request that can't be read."""
    return exceptions.RequestError(message, status=status, step=STEP)


class RequestParser:
    """Takes the bytes of one connection and gives its requests.

    After an error the connection can't be used: where the next request
    starts is unknown.

    Attributes:
        start: The request that is arriving, once its head is whole.
    """

    def __init__(self, header_bytes: int, screen: Callable[[RequestStart],
                                                           int]) -> None:
        """Makes the parser of a new connection.

        Args:
            header_bytes: The largest head.
            screen: Called with each head before any of its body is kept;
                returns how many bytes the body may have, or raises
                `exceptions.RequestError`.
        """
        self._header_bytes = header_bytes
        self._screen = screen
        self._buffer = bytearray()
        self._body = bytearray()
        self._state = _State.HEAD
        self._left_bytes = 0
        self._body_limit = 0
        self.start: RequestStart | None = None

    @property
    def buffered_bytes(self) -> int:
        """How much of unfinished requests is held."""
        return len(self._buffer) + len(self._body)

    def feed(self, data: bytes) -> None:
        """Takes bytes from the connection."""
        self._buffer += data

    def next(self) -> Request | None:
        """Returns the next whole request, or None until more has come.

        Raises:
            RequestError: The bytes are no request, or above a limit.
        """
        while True:
            done = _STEPS[self._state](self)
            if done is None:
                return None
            if done:
                return self._take()

    def _take(self) -> Request:
        assert self.start is not None
        request = Request(self.start, bytes(self._body))
        self.start = None
        self._body = bytearray()
        self._state = _State.HEAD
        return request

    def _line(self, limit_bytes: int) -> bytes | None:
        end = self._buffer.find(b"\r\n", 0, limit_bytes + 2)
        if end < 0:
            if len(self._buffer) > limit_bytes:
                raise refusal("a line is too long", 413)
            return None
        line = bytes(self._buffer[:end])
        del self._buffer[:end + 2]
        return line

    # Each step returns None where it needs more bytes, True where the
    # request is whole, False where the next step can go on.

    def _head(self) -> bool | None:
        end = self._buffer.find(b"\r\n\r\n", 0, self._header_bytes + 4)
        if end < 0:
            if len(self._buffer) > self._header_bytes:
                raise refusal(
                    f"the head is larger than {self._header_bytes} bytes", 413)
            return None
        lines = bytes(self._buffer[:end]).split(b"\r\n")
        del self._buffer[:end + 4]
        self.start = _parse_start(lines)
        self._body_limit = self._screen(self.start)
        return self._frame(self.start)

    def _frame(self, start: RequestStart) -> bool:
        lengths = start.headers.getlist("Content-Length")
        codings = start.headers.getlist("Transfer-Encoding")
        if codings:
            if lengths or start.minor == 0:
                raise refusal("Transfer-Encoding can't be used here")
            if [coding.strip().lower() for coding in codings] != ["chunked"]:
                raise refusal("the only Transfer-Encoding is chunked")
            self._state = _State.CHUNK_SIZE
            return False
        if len(lengths) > 1 or (lengths and not _LENGTH.fullmatch(lengths[0])):
            raise refusal("Content-Length must be one number")
        self._left_bytes = int(lengths[0]) if lengths else 0
        self._check_size(self._left_bytes)
        self._state = _State.LENGTH
        return False

    def _check_size(self, body_bytes: int) -> None:
        if body_bytes > self._body_limit:
            raise refusal(f"the body is larger than {self._body_limit} bytes",
                          413)

    def _length(self) -> bool | None:
        self._move()
        return True if self._left_bytes == 0 else None

    def _move(self) -> None:
        part = self._buffer[:self._left_bytes]
        del self._buffer[:self._left_bytes]
        self._body += part
        self._left_bytes -= len(part)

    def _chunk_size(self) -> bool | None:
        line = self._line(MAX_CHUNK_LINE_BYTES)
        if line is None:
            return None
        match = _CHUNK_SIZE.fullmatch(line)
        if not match:
            raise refusal("a chunk has no size")
        self._left_bytes = int(match[1], 16)
        self._check_size(len(self._body) + self._left_bytes)
        self._state = (_State.CHUNK_DATA
                       if self._left_bytes else _State.TRAILER)
        return False

    def _chunk_data(self) -> bool | None:
        self._move()
        if self._left_bytes or len(self._buffer) < 2:
            return None
        if self._buffer[:2] != b"\r\n":
            raise refusal("a chunk is longer than its size")
        del self._buffer[:2]
        self._state = _State.CHUNK_SIZE
        return False

    def _trailer(self) -> bool | None:
        line = self._line(self._header_bytes)
        if line is None:
            return None
        if line:
            raise refusal("trailers are not taken")
        return True


_STEPS = {
    _State.HEAD: RequestParser._head,
    _State.LENGTH: RequestParser._length,
    _State.CHUNK_SIZE: RequestParser._chunk_size,
    _State.CHUNK_DATA: RequestParser._chunk_data,
    _State.TRAILER: RequestParser._trailer,
}


def _parse_start(lines: list[bytes]) -> RequestStart:
    first = _REQUEST_LINE.fullmatch(lines[0])
    if not first or first[1].decode() not in METHODS:
        raise refusal("the first line is no HTTP/1.1 request that is taken")
    if len(lines) - 1 > MAX_HEADERS:
        raise refusal(f"more than {MAX_HEADERS} headers", 413)
    headers = datastructures.Headers()
    for line in lines[1:]:
        match = _HEADER.fullmatch(line)
        if not match:
            raise refusal("a header is malformed")
        headers.add(match[1].decode(), match[2].decode("latin-1").rstrip(" \t"))
    minor = int(first[3])
    if minor == 1 and len(headers.getlist("Host")) != 1:
        raise refusal("there must be one Host header")
    return RequestStart(first[1].decode(), first[2].decode(), minor, headers)
