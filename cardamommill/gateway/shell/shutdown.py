"""Ends a node as planned: no request is taken too late, no answer is cut."""

import dataclasses
import enum

import logbook

from cardamommill import logs
from cardamommill.gateway.shell import dispatcher, hops
from cardamommill.transport import callers

# Time after which a stopping node gets no more requests. The load balancer
# checks readiness every second and removes a node after two failed checks.
LEAVE_ROTATION_MS = 2600.0
# A stopping node ends this long before it is killed.
GRACE_MARGIN_MS = 500.0
# Requests that last until here are answered as unfinished, which leaves time to
# send the answers.
UNFINISHED_MS = 500.0
# The request of a connection that was accepted this recently may be on its way.
NEW_CONNECTION_MS = 1000.0

_LOG = logbook.Logger("entry")


class Phase(enum.Enum):
    """Phase of a planned stop; values appear in logs."""

    RUNNING = "running"
    # The load balancer may still send requests, and they are served.
    LEAVING = "leaving"
    # Further requests are rejected, since they might not finish.
    REJECTING = "rejecting"
    # No connection is accepted any more.
    CLOSED = "closed"
    ENDED = "ended"


@dataclasses.dataclass(frozen=True, slots=True)
class Progress:
    """How far a planned stop is.

    Attributes:
        since_ms: Time since its start.
        limit_ms: Time from its start to the end of the process at the latest.
        is_busy: Whether a request is in progress, or bytes of an answer have
            not left the node.
        has_new_connections: Whether a request may be on its way.
    """

    since_ms: float
    limit_ms: float
    is_busy: bool
    has_new_connections: bool


def next_phase(phase: Phase, progress: Progress) -> Phase:
    """Returns the phase that follows, or the same one."""
    # Callers may open connections until the end; the last ones need an answer.
    must_close = progress.since_ms > progress.limit_ms - NEW_CONNECTION_MS
    has_followed = {
        Phase.RUNNING:
            False,
        Phase.LEAVING:
            must_close or progress.since_ms > LEAVE_ROTATION_MS,
        Phase.REJECTING:
            must_close or not progress.is_busy,
        Phase.CLOSED:
            not (progress.is_busy or progress.has_new_connections)
            or progress.since_ms > progress.limit_ms,
        Phase.ENDED:
            False,
    }[phase]
    if not has_followed:
        return phase
    phases = list(Phase)
    return phases[phases.index(phase) + 1]


class Shutdown:
    """The planned stop of a node."""

    def __init__(self, server: callers.CallerServer,
                 peer_server: callers.CallerServer, hop_server: hops.HopServer,
                 requests: dispatcher.Dispatcher) -> None:
        """Initialises the instance of a node that runs.

        Args:
            server: Serves callers.
            peer_server: Serves other nodes.
            hop_server: Serves requests that peers passed on.
            requests: The requests of callers and peers.
        """
        self._server = server
        self._peer_server = peer_server
        self._hop_server = hop_server
        self._requests = requests
        self._phase = Phase.RUNNING
        self._began_ms = 0.0
        self._are_ended = False

    @property
    def has_begun(self) -> bool:
        """Whether the node is stopping."""
        return self._phase is not Phase.RUNNING

    @property
    def has_ended(self) -> bool:
        """Whether the process may end."""
        return self._phase is Phase.ENDED

    def begin(self, why: str, now_ms: float) -> None:
        """Begins the stop."""
        self._phase = Phase.LEAVING
        self._began_ms = now_ms
        self._server.stop()
        _LOG.info(logs.line("stopping", why=why, busy=self._server.busy))

    def rejects(self, now_ms: float) -> bool:
        """Whether a request might not finish before the process is killed.

        A stream that began 6 s after SIGTERM was cut off midway.
        """
        return (self._phase not in (Phase.RUNNING, Phase.LEAVING) or
                (self.has_begun and
                 now_ms - self._began_ms > LEAVE_ROTATION_MS))

    def update(self, now_ms: float, grace_ms: float) -> None:
        """Goes on with the stop.

        Args:
            now_ms: The time.
            grace_ms: Time from its start until the process is killed.
        """
        limit_ms = grace_ms - GRACE_MARGIN_MS
        since_ms = now_ms - self._began_ms
        if since_ms > limit_ms - UNFINISHED_MS and not self._are_ended:
            self._are_ended = True
            self._requests.end_unfinished("the node stops")
        if self.rejects(now_ms):
            self._server.close_idle(now_ms, NEW_CONNECTION_MS)
        progress = Progress(
            since_ms, limit_ms,
            bool(self._server.busy or self._hop_server.busy or
                 self._peer_server.unsent_bytes),
            self._server.has_new_connections(now_ms, NEW_CONNECTION_MS))
        phase = next_phase(self._phase, progress)
        if phase is self._phase:
            return
        self._phase = phase
        _LOG.info(
            logs.line("stop-phase",
                      phase=phase.value,
                      since_ms=int(since_ms),
                      busy=self._server.busy,
                      hops=self._hop_server.busy,
                      unsent_bytes=self._server.unsent_bytes +
                      self._peer_server.unsent_bytes,
                      new_connections=progress.has_new_connections))
        if phase is Phase.CLOSED:
            self._server.close()
        if phase is Phase.ENDED:
            self._peer_server.close()
