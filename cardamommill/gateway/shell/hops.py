"""Passes requests to peers while this node can't reach runners itself.

The peer admits and serves a request like one of its own callers, by its own
limits and budgets. It never passes it on: a request takes one hop at most.
"""

from collections.abc import Callable
import dataclasses
import random

import logbook

from cardamommill import exceptions, logs, metrics
from cardamommill.domain import clock
from cardamommill.gateway.nodes import hopheaders, hoppeers, peers
from cardamommill.gateway.shell import attempts, forwarding, relay, targets
from cardamommill.platform import fetching, wirenames
from cardamommill.transport import callers, replies

# 421 (Misdirected Request): this peer can't serve it, others may.
NOT_TAKEN = 421
# The most requests of other nodes that a node serves at once.
MAX_CONCURRENT = 256

_LOG = logbook.Logger("requests")


class Hops:
    """The requests of this node's callers that peers serve."""

    def __init__(self, node: str, known_peers: peers.Peers,
                 node_metrics: metrics.Metrics, chance: random.Random) -> None:
        """Initialises the instance without requests.

        Args:
            node: This node's name.
            known_peers: The peers.
            node_metrics: Counts the hops.
            chance: Spreads requests over peers.
        """
        self._node = node
        self._peers = known_peers
        self._metrics = node_metrics
        self._chance = chance
        # Ordered by their starts, so that simulated runs are reproducible.
        self._active: dict[tuple[relay.Relay, targets.PeerTarget], None] = {}

    def find(self, one: relay.Relay, config_version: int,
             allows: Callable[[str], bool]) -> targets.PeerTarget | None:
        """Returns the peer that should serve a request, or None.

        Args:
            one: The request.
            config_version: The configuration in force.
            allows: Whether the request may be sent to a data centre.
        """
        if one.hop is not None:
            return None
        found = hoppeers.choose(
            self._peers,
            hoppeers.Requirements(config_version, allows,
                                  {each.address for each in one.hops}),
            self._chance, clock.now_ms())
        if found is None or found.last_message is None:
            return None
        return targets.PeerTarget(found.last_message.node, found.address,
                                  config_version)

    def request_bytes(self, one: relay.Relay, target: targets.PeerTarget,
                      attempts_so_far: int, has_arrived: bool) -> bytes:
        """Returns the request for a peer, as the caller sent it.

        The deadline stays the caller's, counted from the arrival at this node.
        """
        request = one.request
        hop = hopheaders.Hop(self._node,
                             round(clock.now_ms() - request.arrived_ms,
                                   1), target.config_version, attempts_so_far,
                             has_arrived)
        resumed_from = one.progress.last_event_id
        dropped = {hopheaders.HEADER.lower(), "authorization"}
        if resumed_from is not None:
            dropped.add(wirenames.LAST_EVENT_ID.lower())
        # Hop-by-hop headers end here. The peer checks the key by itself.
        headers = [
            (name, value)
            for name, value in forwarding.end_to_end_headers(request.headers)
            if name.lower() not in dropped
        ]
        headers.append((hopheaders.HEADER, hopheaders.encode(hop)))
        key = request.get("authorization")
        if key is not None:
            headers.append(("Authorization", key))
        if resumed_from is not None:
            headers.append((wirenames.LAST_EVENT_ID, str(resumed_from)))
        return fetching.request_bytes(request.method, request.target, headers,
                                      request.body)

    def started(self, one: relay.Relay, target: targets.PeerTarget) -> None:
        """Records that a request is sent to a peer."""
        self._active[one, target] = None
        self._metrics.count("hops_total")

    def requests(self) -> list[relay.Relay]:
        """Returns the requests that peers serve at the moment."""
        return [one for one, _ in self._active]

    def ended(self, one: relay.Relay, target: targets.PeerTarget,
              outcome: attempts.Outcome) -> None:
        """Records the end of a hop."""
        self._active.pop((one, target), None)
        self._metrics.count("hops_ended_total", result=outcome.result.value)
        _LOG.info(
            logs.line("hop-ended",
                      request=one.attempt_id,
                      peer=target.name,
                      result=outcome.result.value,
                      reason=outcome.reason,
                      events=one.progress.events))

    def check(self, now_ms: float) -> None:
        """Has requests leave peers that are silent; called each tick."""
        if not self._active:
            return
        alive = {
            each.address
            for each in self._peers.peers.values()
            if each.is_alive(now_ms)
        }
        for one, target in list(self._active):
            one.check_hop(target, target.address in alive, now_ms)


class _HopReply(replies.Reply):
    """The answer to another node; says which refusals were not run."""

    def __init__(self, reply: replies.Reply,
                 attempts_count: Callable[[], int]) -> None:
        self._reply = reply
        self._attempts_count = attempts_count

    @property
    def started(self) -> bool:
        return self._reply.started

    @property
    def ended(self) -> bool:
        return self._reply.ended

    def send(self, status: int, headers: list[tuple[str, str]],
             body: bytes) -> None:
        self._reply.send(
            status,
            hopheaders.answer_headers(status, headers, self._attempts_count()),
            body)

    def start(self, status: int, headers: list[tuple[str, str]]) -> None:
        self._reply.start(
            status,
            hopheaders.answer_headers(status, headers, self._attempts_count()))

    def write(self, data: bytes) -> None:
        self._reply.write(data)

    def end(self) -> None:
        self._reply.end()

    def abort(self) -> None:
        self._reply.abort()


class HopServer:
    """Serves the requests that peers pass to this node."""

    def __init__(self, node: targets.RelayContext, is_available: Callable[[],
                                                                          bool],
                 node_metrics: metrics.Metrics) -> None:
        """Initialises the instance without requests.

        Args:
            node: The services that relays use.
            is_available: Whether this node may serve requests of peers.
            node_metrics: Counts the requests.
        """
        self._node = node
        self._is_available = is_available
        self._metrics = node_metrics
        self._active: set[relay.Relay] = set()

    @property
    def busy(self) -> int:
        """The number of requests in progress."""
        return len(self._active)

    def on_request(self, request: callers.CallerRequest,
                   reply: replies.Reply) -> callers.ActiveRequest | None:
        """Serves a request, or tells the peer that this node can't."""
        try:
            hop = hopheaders.decode(request.get(hopheaders.HEADER) or "")
        except exceptions.BadPeerMessage as error:
            _LOG.warning(logs.line("hop-refused", reason=str(error)))
            reply.send(400, [], b"no valid hop\n")
            return None
        refused = self._refusal(hop)
        self._metrics.count("hops_received_total", refused=refused or "")
        if refused:
            _LOG.info(
                logs.line("hop-refused",
                          request=request.get(wirenames.ATTEMPT_ID),
                          peer=hop.node,
                          reason=refused))
            reply.send(NOT_TAKEN, [(wirenames.NOT_EXECUTED, "1")],
                       f"{refused}\n".encode())
            return None
        return self._serve(request, reply, hop)

    def _refusal(self, hop: hopheaders.Hop) -> str:
        """Returns why this node does not take a request; empty if it does."""
        table = self._node.table()
        if table is None or not self._is_available():
            return "not available"
        if self._node.reaches_no_runner():
            return "cut off as well"
        if table.configuration.version < hop.config_version:
            return "older configuration"
        if len(self._active) >= MAX_CONCURRENT:
            return "too many hops"
        return ""

    def _serve(self, request: callers.CallerRequest, reply: replies.Reply,
               hop: hopheaders.Hop) -> callers.ActiveRequest | None:
        arrived = dataclasses.replace(
            request,
            headers=[
                each for each in request.headers
                if each[0].lower() != hopheaders.HEADER.lower()
            ],
            arrived_ms=request.arrived_ms - hop.age_ms)
        one = relay.Relay(self._node, arrived,
                          _HopReply(reply, lambda: len(one.attempted)), hop)
        if not one.admit():
            return None
        self._active.add(one)
        self._node.spawn(self._run(one))
        return one

    async def _run(self, one: relay.Relay) -> None:
        try:
            await one.serve()
        finally:
            self._active.discard(one)
