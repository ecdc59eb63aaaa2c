"""Talks to other nodes over gRPC; turns what comes into events."""

from collections.abc import Callable
from concurrent import futures
import itertools
import pathlib
import threading
from typing import Any, Self

import grpc
import logbook

from cardamommill import (
    actions,
    events,
    exceptions,
    peering,
    peerwire,
    settings,
    units,
)

SERVICE = "cardamommill.Peer"
PULL = "Pull"
NOTIFY = "Notify"
EXPLAIN = "Explain"
OWNER = "peerlink"

# A pull is answered within milliseconds. These are enough for all peers of a
# data centre at once, and few enough to cost nothing while they wait.
SERVER_THREADS = 8
CLIENT_THREADS = 16
MAX_WAITING = 64
STOP_S = 0.3
MAX_CHANNELS = 128

log = logbook.Logger("peerlink")

Post = Callable[[events.Event], None]
# Answers a question of `asking`; raises ValueError for no question.
Explain = Callable[[bytes], bytes]


def _options(side: settings.PeerSide) -> list[tuple[str, Any]]:
    return [
        ("grpc.max_receive_message_length", side.message_bytes),
        ("grpc.max_send_message_length", side.message_bytes),
        # Left to itself gRPC waits up to two minutes before it tries a peer
        # again, and a mended cut would last that much longer.
        ("grpc.initial_reconnect_backoff_ms", 200),
        ("grpc.min_reconnect_backoff_ms", 500),
        ("grpc.max_reconnect_backoff_ms", 1000),
        # Nodes are reached by IP number as the settings and the table say.
        ("grpc.enable_http_proxy", 0),
        # Two processes on one port would each get a part of the questions.
        ("grpc.so_reuseport", 0),
    ]


def _read(path: str) -> bytes:
    try:
        return pathlib.Path(path).read_bytes()
    except OSError as error:
        raise exceptions.SettingsError(f"can't be read: {error.strerror}",
                                       step="peers",
                                       peer=path) from error


def _explains_nothing(data: bytes) -> bytes:
    del data
    raise ValueError("this node explains nothing")


class PeerServer:
    """Answers other nodes; a context manager that owns the port.

    Attributes:
        address: Where it answers, once entered.
        refused: Messages that were not taken.
    """

    def __init__(self,
                 side: settings.PeerSide,
                 post: Post,
                 timeout_ms: int,
                 explain: Explain = _explains_nothing) -> None:
        """Makes the server.

        Args:
            side: The port and its limits.
            post: Takes events, from any thread.
            timeout_ms: How long a question may wait for its answer.
            explain: Answers what operators ask through another node.
        """
        self._explain = explain
        self.address = side.address
        self.refused = 0
        self._side = side
        self._post = post
        self._timeout_ms = timeout_ms
        self._serials = itertools.count(1)
        self._lock = threading.Lock()
        self._waiting: dict[int, futures.Future[peering.Digest]] = {}
        self._pool = futures.ThreadPoolExecutor(SERVER_THREADS, "peer-server")
        self._server = grpc.server(self._pool,
                                   options=_options(side),
                                   maximum_concurrent_rpcs=MAX_WAITING)

    def __enter__(self) -> Self:
        # Bytes are handed on as they came: a message that can't be read is
        # then refused here, with a line that says from whom and why.
        self._server.add_generic_rpc_handlers(
            (grpc.method_handlers_generic_handler(
                SERVICE, {
                    PULL: grpc.unary_unary_rpc_method_handler(self._pull),
                    NOTIFY: grpc.unary_unary_rpc_method_handler(self._notify),
                    EXPLAIN: grpc.unary_unary_rpc_method_handler(self._tell),
                }),))
        try:
            self._listen()
        except RuntimeError as error:
            raise exceptions.SettingsError(f"can't listen: {error}",
                                           step="peers",
                                           peer=self._side.address) from error
        self._server.start()
        return self

    def _listen(self) -> None:
        if not self._side.tls_certificate:
            port = self._server.add_insecure_port(self._side.address)
        else:
            port = self._server.add_secure_port(
                self._side.address,
                grpc.ssl_server_credentials([(_read(
                    self._side.tls_key), _read(self._side.tls_certificate))],
                                            root_certificates=_read(
                                                self._side.tls_authority),
                                            require_client_auth=True))
        host = self._side.address.rpartition(":")[0]
        self.address = f"{host}:{port}"

    def __exit__(self, *exception: object) -> None:
        self._server.stop(STOP_S).wait()
        self._pool.shutdown()

    def answer(self, action: actions.AnswerPeer) -> None:
        """Performs `actions.AnswerPeer`; late and doubled ones do nothing."""
        if action.token.owner != OWNER:
            return
        with self._lock:
            waiting = self._waiting.pop(action.token.serial, None)
        if waiting is not None:
            waiting.set_result(action.digest)

    def _pull(self, data: bytes, context: Any) -> bytes:
        request = self._decode(data, context, peering.PullRequest)
        token = events.Token(OWNER, next(self._serials))
        waiting: futures.Future[peering.Digest] = futures.Future()
        with self._lock:
            self._waiting[token.serial] = waiting
        try:
            self._post(events.PeerAsked(token, request))
            digest = waiting.result(self._timeout_ms / units.MS_PER_S)
        except futures.TimeoutError:
            context.abort(grpc.StatusCode.UNAVAILABLE, "busy")
        finally:
            with self._lock:
                self._waiting.pop(token.serial, None)
        return peerwire.encode(digest)

    def _notify(self, data: bytes, context: Any) -> bytes:
        notice = self._decode(data, context, peering.Notice)
        self._post(events.PeerNotified(notice))
        # The message `Noted` has no fields.
        return b""

    def _tell(self, data: bytes, context: Any) -> bytes:
        try:
            return self._explain(data)
        except ValueError as error:
            self.refused += 1
            context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(error)[:200])
        except futures.TimeoutError:
            context.abort(grpc.StatusCode.UNAVAILABLE, "busy")
        return b""

    def _decode(self, data: bytes, context: Any, into: Any) -> Any:
        try:
            return peerwire.decode(data, into, context.peer())
        except exceptions.BadPeerMessage as error:
            self.refused += 1
            log.warning("event=peer-refused step={} peer={} detail={!r}",
                        error.step, error.peer, error.message)
            context.abort(grpc.StatusCode.INVALID_ARGUMENT, error.message)


class PeerClient:
    """Asks other nodes; a context manager that owns the connections.

    Attributes:
        refused: Answers that were not taken.
        sent_bytes: Bytes of all questions and notices.
        received_bytes: Bytes of all answers.
    """

    def __init__(self, side: settings.PeerSide, post: Post, timeout_ms: int,
                 now_ms: Callable[[], int]) -> None:
        """Makes the client.

        Args:
            side: Limits and certificates.
            post: Takes events, from any thread.
            timeout_ms: How long an answer may take.
            now_ms: The local monotonic time that the decisions go by.
        """
        self.refused = 0
        self.sent_bytes = 0
        self.received_bytes = 0
        self._side = side
        self._post = post
        self._timeout_ms = timeout_ms
        self._now_ms = now_ms
        self._lock = threading.Lock()
        self._channels: dict[str, Any] = {}
        self._pool = futures.ThreadPoolExecutor(CLIENT_THREADS, "peer-client")

    def __enter__(self) -> Self:
        self._credentials = (grpc.ssl_channel_credentials(
            _read(self._side.tls_authority), _read(self._side.tls_key),
            _read(self._side.tls_certificate))
                             if self._side.tls_certificate else None)
        return self

    def __exit__(self, *exception: object) -> None:
        self._pool.shutdown(cancel_futures=True)
        for channel in self._channels.values():
            channel.close()

    def pull(self, action: actions.PullPeer) -> None:
        """Performs `actions.PullPeer`; posts `events.PeerPulled`."""
        self._pool.submit(self._pull, action)

    def notify(self, action: actions.NotifyPeer) -> None:
        """Performs `actions.NotifyPeer`; it may be lost."""
        self._pool.submit(self._notify, action)

    def explain(self, address: str, data: bytes) -> bytes | None:
        """Returns a peer's answer to an operator's question; waits for it.

        Args:
            address: The peer's.
            data: The question, as `asking` makes it.
        """
        return self._call(address, EXPLAIN, data)

    def _pull(self, action: actions.PullPeer) -> None:
        # Taken before anything is sent: whatever the answer says was true at
        # or before this time, less the age that it names.
        sent_ms = self._now_ms()
        digest = None
        data = self._call(action.address, PULL, peerwire.encode(action.request))
        if data is not None:
            try:
                digest = peerwire.decode(data, peering.Digest, action.address)
            except exceptions.BadPeerMessage as error:
                self.refused += 1
                log.warning("event=peer-refused step={} peer={} detail={!r}",
                            error.step, error.peer, error.message)
        self._post(events.PeerPulled(action.address, digest, sent_ms))

    def _notify(self, action: actions.NotifyPeer) -> None:
        self._call(action.address, NOTIFY, peerwire.encode(action.notice))

    def _call(self, address: str, method: str, data: bytes) -> bytes | None:
        try:
            call = self._channel(address).unary_unary(f"/{SERVICE}/{method}")
            answer: bytes = call(data,
                                 timeout=self._timeout_ms / units.MS_PER_S)
        except (grpc.RpcError, ValueError) as error:
            # ValueError: the connection was closed to make room for others.
            log.debug("event=peer-silent step={} peer={} detail={!r}", method,
                      address,
                      str(error)[:200])
            return None
        self.sent_bytes += len(data)
        self.received_bytes += len(answer)
        return answer

    def _channel(self, address: str) -> Any:
        with self._lock:
            channel = self._channels.pop(address, None)
            if channel is None:
                channel = (grpc.secure_channel(address, self._credentials,
                                               _options(self._side))
                           if self._credentials else grpc.insecure_channel(
                               address, _options(self._side)))
            # The one that was used last stands last; the first one goes.
            self._channels[address] = channel
            if len(self._channels) > MAX_CHANNELS:
                oldest = next(iter(self._channels))
                self._channels.pop(oldest).close()
            return channel
