"""A small threaded HTTP server for the stand-ins, cheap to start in dozens.

The stand-ins stay off werkzeug on purpose: tests start many of them at once,
and most of the start time of a stand-in would go into imports.
"""

from collections.abc import Callable, Iterable, Mapping
import dataclasses
import http.server
import json
import socket
import threading
from typing import Any, Self
import urllib.parse

JSON_TYPE = "application/json"
BACKLOG = 512
BUFFER_BYTES = 65_536


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A request that has arrived whole.

    Attributes:
        method: The HTTP method.
        path: The path, unquoted, without its query.
        query: The last value of each query field.
        headers: Header fields, by lower-case name.
        body: The body.
    """

    method: str
    path: str
    query: Mapping[str, str]
    headers: Mapping[str, str]
    body: bytes

    def json(self) -> Any:
        """Returns the body's JSON value; raises ValueError."""
        return json.loads(self.body or b"null")


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """An answer; with `stream` the body comes in chunks.

    Attributes:
        status: The HTTP status.
        body: The whole body, unless there is a stream.
        content_type: Of the body.
        headers: Further header fields.
        stream: Chunks; a `BrokenAnswer` in it closes the connection.
        done: Called when the answer is over, whole or not.
    """

    status: int = 200
    body: bytes = b""
    content_type: str = JSON_TYPE
    headers: Mapping[str, str] = dataclasses.field(default_factory=dict)
    stream: Iterable[bytes] | None = None
    done: Callable[[], None] = lambda: None


class BrokenAnswer(Exception):
    """Closes the connection without an answer, or in the middle of one."""


def json_reply(value: object, status: int = 200) -> Reply:
    """Returns an answer with a JSON body."""
    return Reply(status, json.dumps(value).encode())


class Server:
    """Answers calls on threads of its own; a context manager.

    Attributes:
        address: Where it listens, ``ip:port``.
    """

    def __init__(self, handle: Callable[[Call], Reply], port: int = 0) -> None:
        """Listens at once, and answers once entered.

        Args:
            handle: Answers a call.
            port: The port on 127.0.0.1; 0 for any free one.
        """
        self._listener = _Listener(("127.0.0.1", port), _Connection)
        self._listener.handle_call = handle
        self.address = f"127.0.0.1:{self._listener.server_address[1]}"

    def __enter__(self) -> Self:
        threading.Thread(target=self._listener.serve_forever,
                         kwargs={
                             "poll_interval": 0.1
                         },
                         daemon=True).start()
        return self

    def __exit__(self, *exception: object) -> None:
        self._listener.shutdown()
        self._listener.server_close()
        self._listener.break_connections()


class _Listener(http.server.ThreadingHTTPServer):
    daemon_threads = True
    block_on_close = False
    request_queue_size = BACKLOG
    handle_call: Callable[[Call], Reply]

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self._open: set[socket.socket] = set()

    def process_request(self, request: Any, client_address: Any) -> None:
        self._open.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request: Any) -> None:
        self._open.discard(request)
        super().shutdown_request(request)

    def break_connections(self) -> None:
        """Ends all connections, as the end of a process would."""
        for connection in list(self._open):
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                continue

    def handle_error(self, request: Any, client_address: Any) -> None:
        del request, client_address  # A caller that went away is no news.


class _Connection(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = BUFFER_BYTES
    server: _Listener

    def _answer(self) -> None:
        call = self._read()
        try:
            reply = self.server.handle_call(call)
            try:
                self._write(reply)
            finally:
                reply.done()
        except BrokenAnswer:
            self.close_connection = True
        except (ValueError, KeyError, TypeError) as error:
            self._write(json_reply({"detail": repr(error)}, 400))

    do_GET = do_POST = do_PUT = do_DELETE = do_PATCH = _answer  # noqa: N815

    def _read(self) -> Call:
        split = urllib.parse.urlsplit(self.path)
        headers = {name.lower(): text for name, text in self.headers.items()}
        if headers.get("transfer-encoding", "").lower() == "chunked":
            body = self._read_chunks()
        else:
            body = self.rfile.read(int(headers.get("content-length", "0")))
        return Call(self.command, urllib.parse.unquote(split.path),
                    dict(urllib.parse.parse_qsl(split.query)), headers, body)

    def _read_chunks(self) -> bytes:
        parts = []
        while size := int(self.rfile.readline().split(b";")[0], 16):
            parts.append(self.rfile.read(size))
            self.rfile.readline()
        self.rfile.readline()
        return b"".join(parts)

    def _write(self, reply: Reply) -> None:
        self.send_response(reply.status)
        for name, text in reply.headers.items():
            self.send_header(name, text)
        self.send_header("Content-Type", reply.content_type)
        if reply.stream is None:
            self.send_header("Content-Length", str(len(reply.body)))
            self.end_headers()
            self.wfile.write(reply.body)
        else:
            self.send_header("Transfer-Encoding", "chunked")
            self.end_headers()
            for chunk in reply.stream:
                self.wfile.write(b"%x\r\n%b\r\n" % (len(chunk), chunk))
                self.wfile.flush()
            self.wfile.write(b"0\r\n\r\n")
        self.wfile.flush()

    def log_message(self, *args: Any) -> None:
        """Stays silent: what happened is told by the node's log."""
        del args
