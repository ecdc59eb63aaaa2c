"""A node's edge for tests: real sockets around a conductor of a few lines."""

import contextlib
import dataclasses
import functools
import hashlib
import socket
import socketserver
import threading
import time

from cardamommill import (
    actions,
    controller,
    edgefakes,
    events,
    fleet,
    requesting,
    settings,
)

KEY = "a-key-of-a-client-account"
IDENTITY = fleet.NodeIdentity("node-1", "dc-1", "r-1", 1, "127.0.0.1:1",
                              "127.0.0.1:1")
REPLICA = "replica-1"
EPOCH = 7
FORMATION = 2
PATIENCE_S = 40

DOCUMENT = f"""
service: drafts
kind: plain
pool: p
capacity: {{dc-1: {{replicas: 1}}}}
routes: [{{prefix: /book, repeatable: false}}]
limits: {{body_bytes: 5000, max_deadline_ms: 20000}}
accounts:
- name: desk
  key_sha256: {hashlib.sha256(KEY.encode()).hexdigest()}
  top_priority: 3
"""


def wait_for(condition):
    """Returns what the condition gives once it is true."""
    until_s = time.monotonic() + PATIENCE_S
    while time.monotonic() < until_s:
        found = condition()
        if found:
            return found
        time.sleep(0.005)
    raise AssertionError("it did not come true")


@dataclasses.dataclass
class Received:
    """A request at the runner."""

    line: str
    headers: dict[str, str]
    body: bytes


class Runner(contextlib.ExitStack):
    """A runner whose answers a test scripts, byte by byte.

    Attributes:
        received: All requests, in order.
        script: Called with each request and a function that sends bytes.
    """

    def __init__(self, script):
        super().__init__()
        self.script = script
        self.received = []
        runner = self

        class Serve(socketserver.StreamRequestHandler):
            disable_nagle_algorithm = True

            def handle(self):
                while True:
                    received = self.read()
                    if received is None:
                        return
                    runner.received.append(received)
                    if received.line.startswith("POST /cancel/"):
                        self.wfile.write(b"HTTP/1.1 204 No Content\r\n\r\n")
                    elif runner.script(received, self.wfile.write) is False:
                        return

            def read(self):
                line = self.rfile.readline().decode().strip()
                if not line:
                    return None
                headers = {}
                while header := self.rfile.readline().decode().strip():
                    name, _, value = header.partition(":")
                    headers[name.lower()] = value.strip()
                length = int(headers.get("content-length", 0))
                return Received(line, headers, self.rfile.read(length))

        class Server(socketserver.ThreadingTCPServer):
            daemon_threads = True
            allow_reuse_address = True

            def handle_error(self, request, client_address):
                pass  # A caller that went away is what some tests want.

        self._server = Server(("127.0.0.1", 0), Serve)
        self.address = f"127.0.0.1:{self._server.server_address[1]}"

    def __enter__(self):
        threading.Thread(target=self._server.serve_forever,
                         args=(0.02,),
                         daemon=True).start()
        self.callback(self._server.server_close)
        self.callback(self._server.shutdown)
        return self

    def stop_listening(self):
        """Refuses new connections, as after a crash."""
        self._server.socket.shutdown(socket.SHUT_RDWR)

    @property
    def work(self):
        """The requests that were not cancellations."""
        return [
            each for each in self.received
            if not each.line.startswith("POST /cancel/")
        ]


def head(received, status="200 OK", **more):
    """Returns the head of an answer that belongs to a request."""
    names = ("request", "replica", "epoch", "formation")
    lines = [f"HTTP/1.1 {status}"]
    for name in names:
        value = more.pop(name, received.headers[f"cardamommill-{name}"])
        lines.append(f"Cardamommill-{name.title()}: {value}")
    resumed = received.headers.get("cardamommill-resume-from")
    if more.pop("resumes", True) and resumed:
        lines.append(f"Cardamommill-Resume-From: {resumed}")
    lines += [
        f"{name.replace('_', '-')}: {value}" for name, value in more.items()
    ]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def json_answer(body=b'{"text": "whole"}', status="200 OK", **more):
    """Returns a script that gives one answer."""

    def script(received, send):
        send(
            head(received,
                 status,
                 Content_Type="application/json",
                 Content_Length=len(body),
                 **more) + body)

    return script


def chunk(data):
    """Returns data as a chunk."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def stream_head(received, **more):
    """Returns the head of a stream of events."""
    return head(received,
                Content_Type="text/event-stream",
                Transfer_Encoding="chunked",
                **more)


class Conductor(controller.Controller):
    """Sends each request once to the one replica there is."""

    name = "conductor"
    address = ""
    valid_ms = 5000
    keep = False
    remote = False
    seen: list = []
    on_end = None

    @functools.singledispatchmethod
    def step(self, event, now_ms):
        return ()

    @step.register
    def _(self, event: events.RequestArrived, now_ms):
        self.seen.append(event)
        kind = type(self)
        return (dispatch(event.head,
                         kind.address,
                         now_ms + kind.valid_ms,
                         remote=kind.remote,
                         keep_answer=kind.keep),)

    @step.register
    def _(self, event: events.AttemptStarted, now_ms):
        self.seen.append(event)
        return ()

    @step.register
    def _(self, event: events.CallerGone, now_ms):
        self.seen.append(event)
        if type(self).keep:
            return ()
        return (actions.CancelAttempt(event.request_id,
                                      f"{event.request_id}-1"),)

    @step.register
    def _(self, event: events.AttemptEnded, now_ms):
        self.seen.append(event)
        if type(self).on_end:
            return type(self).on_end(event, now_ms)
        if event.whole:
            return (actions.Finish(event.request_id, 1),)
        return (actions.Refuse(event.request_id, problem(event.outcome)),)


def problem(outcome=requesting.Outcome.UNKNOWN):
    """Returns a problem."""
    return requesting.Problem(503, "Not now", "the attempt failed", "dispatch",
                              "peer-1", outcome, 2)


def dispatch(request, address, valid_until_ms, number=1, remote=False, **more):
    """Returns a dispatch of a request."""
    values = {"resume_from": 0, "deadline_ms": request.deadline_ms}
    return actions.Dispatch(
        request.request_id, f"{request.request_id}-{number}",
        requesting.Target(address, "vm-1", REPLICA, EPOCH, FORMATION,
                          valid_until_ms, remote), **(values | more))


class Node(edgefakes.Edge):
    """The edge of a node around a conductor.

    Attributes:
        seen: The events that the conductor saw.
    """

    def __init__(self,
                 address,
                 on_end=None,
                 document=DOCUMENT,
                 valid_ms=5000,
                 **limits):
        self.seen = []
        self.kind = type(
            "ThisConductor", (Conductor,), {
                "address": address,
                "on_end": staticmethod(on_end) if on_end else None,
                "seen": self.seen,
                "valid_ms": valid_ms,
            })
        callers = settings.CallerSide(address="127.0.0.1:0", **limits)
        super().__init__(IDENTITY, self.kind, document, callers,
                         lambda: "metric 1\n")

    def __enter__(self):
        super().__enter__()
        wait_for(lambda: self.control.view().ready)
        return self

    def connect(self):
        """Returns a new connection to it."""
        host, port = self.frontend.address.split(":")
        sock = socket.create_connection((host, int(port)), PATIENCE_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return self.enter_context(contextlib.closing(sock))

    def of(self, kind):
        """Returns the events of a kind that the conductor saw."""
        return [event for event in self.seen if isinstance(event, kind)]

    def call(self, *args, **more):
        """Sends a request and returns its answer."""
        sock = self.connect()
        sock.sendall(request(*args, **more))
        return Reply(sock)


def request(method="POST",
            path="/services/drafts/v1/completions",
            body=b"{}",
            key=KEY,
            **headers):
    """Returns the bytes of a request."""
    lines = [f"{method} {path} HTTP/1.1", "Host: a"]
    if key:
        lines.append(f"Authorization: Bearer {key}")
    values = {"Content_Type": "application/json", "Content_Length": len(body)}
    lines += [
        f"{name.replace('_', '-')}: {value}"
        for name, value in (values | headers).items()
        if value is not None
    ]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Reply:
    """An answer, read from a socket.

    Attributes:
        status: The HTTP status.
        headers: By lower-case name.
        body: What came of the body.
        whole: Whether the message ended as HTTP says that it must.
    """

    def __init__(self, sock):
        self._read(sock.makefile("rb"))

    @classmethod
    def of(cls, file):
        """Returns the next answer of a connection."""
        reply = cls.__new__(cls)
        reply._read(file)
        return reply

    def _read(self, file):
        self._file = file
        line = self._file.readline().decode()
        self.status = int(line.split()[1])
        self.headers = {}
        while header := self._file.readline().decode().strip():
            name, _, value = header.partition(":")
            self.headers[name.lower()] = value.strip()
        if "content-length" in self.headers:
            length = int(self.headers["content-length"])
            self.body = self._file.read(length)
            self.whole = len(self.body) == length
        else:
            self.body, self.whole = self._chunks()

    def _chunks(self):
        body = b""
        while True:
            size = self._file.readline()
            if not size:
                return body, False
            if int(size, 16) == 0:
                return body, self._file.readline() == b"\r\n"
            body += self._file.read(int(size, 16))
            self._file.readline()
