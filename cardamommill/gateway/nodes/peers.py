"""Membership of the fleet's nodes and the last message of each peer."""

import dataclasses
import enum
import heapq

from cardamommill.domain import model
from cardamommill.gateway.fleet import inflight, loadsums
from cardamommill.gateway.nodes import (
    election,
    knownnodes,
    peermessage,
)

Address = tuple[str, int]

# Five messages a second to each peer report a change of load in time for the
# placement of requests.
HEARTBEAT_MS = 200.0
# Upper bounds on the datagrams sent per second to peers in this data centre and
# in remote ones; with more peers, each gets fewer. At a constant rate per peer,
# a large fleet would take most of a node's processor time.
NEAR_MESSAGES_PER_S = 60.0
REMOTE_MESSAGES_PER_S = 20.0
# Traffic between data centres is expensive and grows with the number of
# senders. Beyond this many nodes, each node sends fewer remote datagrams, down
# to the minimum. Such rare messages only prove liveness; load sums carry the
# rest.
SMALL_FLEET_NODES = 6
MIN_REMOTE_MESSAGES_PER_S = 2.0
# Upper bound on a planner's heartbeat interval, so that its failure is detected
# quickly.
PLANNER_HEARTBEAT_MS = 400.0
# A peer is dead after three missed heartbeats, with a margin for a busy node.
ALIVE_INTERVALS = 3.5
ALIVE_MARGIN_MS = 200.0
# A peer is removed after this long without a message, or after this many
# liveness timeouts, whichever is longer.
EXPIRY_MS = 15_000.0
EXPIRY_LIVENESS_TIMEOUTS = 3.0
# How often a message goes to a silent address, to discover nodes that start.
SEED_INTERVAL_MS = 1000.0
# Upper bound on that interval for addresses that have never sent anything. In a
# large fleet, a node that was still starting when its first datagram came
# otherwise got no second one for minutes.
MAX_SEED_INTERVAL_MS = 3000.0
# A node plans nothing for this long after its start, so that it first receives
# messages of the other nodes.
SETTLE_MS = 500.0
# Keeps a rounding error from delaying a message by a tick.
DUE_MARGIN_MS = 1.0
# How long the in-flight counts of a peer are used: this long, or for this many
# of its message intervals, whichever is longer. While messages to remote peers
# are no rarer than this, they contain full updates.
MIN_LOAD_LIFETIME_MS = 1500.0
LOAD_INTERVALS = 2.5
# A data centre whose reporters have been silent for this long counts as having
# no live nodes, though the liveness timeouts of its nodes have not expired yet.
REPORTS_TIMEOUT_MS = 20_000.0


class UpdateScope(enum.Enum):
    """Which parts of this node's state a peer is sent."""

    # All state; a reporter adds the load sums of remote data centres. Also sent
    # to remote peers while the fleet is small.
    NEAR = "near"
    # The load sums of this data centre instead of this node's own loads.
    REPORTER = "reporter"
    # No loads; mainly liveness and the configuration in force.
    FAR = "far"


def _liveness_timeout_ms(interval_ms: float) -> float:
    return ALIVE_INTERVALS * interval_ms + ALIVE_MARGIN_MS


@dataclasses.dataclass(slots=True)
class Peer:
    """State of another node.

    Attributes:
        address: Its address.
        heard_ms: When its last message was received.
        sent_ms: When a message was last sent to it.
        last_message: Its newest message.
        is_load_counted: Whether the loads in that message are included in the
            sum over all peers.
        is_near: Whether it is in this node's data centre.
        liveness_timeout_ms: How long it counts as alive after a message.
        load_lifetime_ms: How long its in-flight counts are used.
        expires_ms: When it is removed unless another message arrives.
    """

    address: Address
    heard_ms: float = float("-inf")
    sent_ms: float = float("-inf")
    last_message: peermessage.PeerMessage | None = None
    is_load_counted: bool = False
    is_near: bool = False
    liveness_timeout_ms: float = _liveness_timeout_ms(HEARTBEAT_MS)
    load_lifetime_ms: float = MIN_LOAD_LIFETIME_MS
    expires_ms: float = float("inf")

    def is_alive(self, now_ms: float) -> bool:
        """Whether a message arrived within the liveness timeout."""
        return now_ms - self.heard_ms < self.liveness_timeout_ms

    def receive(self, message: peermessage.PeerMessage, data_centre: str,
                now_ms: float) -> None:
        """Stores its newest message.

        Args:
            message: The message.
            data_centre: The receiving node's data centre.
            now_ms: The time.
        """
        self.heard_ms = now_ms
        self.last_message = message
        self.is_near = message.data_centre == data_centre
        self.liveness_timeout_ms = _liveness_timeout_ms(message.interval_ms)
        self.load_lifetime_ms = max(MIN_LOAD_LIFETIME_MS,
                                    LOAD_INTERVALS * message.interval_ms)
        self.expires_ms = now_ms + max(
            EXPIRY_MS, EXPIRY_LIVENESS_TIMEOUTS * self.liveness_timeout_ms)


class Peers:
    """Membership as one node sees it, from received datagrams alone."""

    def __init__(self, node: str, data_centre: str, incarnation: int,
                 address: Address, now_ms: float) -> None:
        self._node = node
        self._data_centre = data_centre
        self._incarnation = incarnation
        self._address = address
        self._started_ms = now_ms
        self._max_node_count = 1
        self._election = election.Election(node, data_centre)
        self._loads: dict[model.GroupKey, inflight.GroupLoad] = {}
        self.peers: dict[Address, Peer] = {}
        self.known_nodes = knownnodes.KnownNodes(node, data_centre)
        # Whether this node reports the load of its data centre, and the
        # reporters of remote data centres that receive these reports.
        self.is_reporter = False
        self._remote_reporters: frozenset[Address] = frozenset()
        self._near_interval_ms = self._remote_interval_ms = HEARTBEAT_MS
        # When the last report of each remote data centre was received.
        self._last_report_ms: dict[str, float] = {}
        # When a peer was last heard first in a later incarnation.
        self._last_restart_ms = float("-inf")
        # Until this time no peer is due, unless an event resets it. Checking 79
        # peers in each tick took half of an idle node's processor time.
        self._none_due_until_ms = float("-inf")

    def add_address(self, address: Address) -> bool:
        """Adds an address where a node may be; returns whether it is new."""
        if address == self._address or address in self.peers:
            return False
        self.peers[address] = Peer(address)
        self._reset_next_due()
        return True

    def receive(self, message: peermessage.PeerMessage, address: Address,
                now_ms: float) -> bool:
        """Processes a message.

        Returns:
            Whether its sender was not alive before, or has restarted.
        """
        if message.node == self._node:
            return False
        self.add_address(address)
        peer = self.peers[address]
        if peer.last_message is not None and (
                peer.last_message.incarnation == message.incarnation and
                message.sent_ms < peer.last_message.sent_ms):
            # Reordered on the way: a newer message has arrived already.
            return False
        was_alive, was_near = peer.is_alive(now_ms), peer.is_near
        if (peer.last_message is None or
                peer.last_message.incarnation != message.incarnation):
            # The peer has just started. Send to it at once, as it reads the
            # store's tables from the first nodes that send to it.
            was_alive = False
            peer.sent_ms = float("-inf")
            if peer.last_message is not None:
                self._last_restart_ms = now_ms
        self._remove_load(peer)
        peer.receive(message, self._data_centre, now_ms)
        self._add_load(peer)
        if message.load_sums is not None and not peer.is_near:
            self._last_report_ms[message.data_centre] = now_ms
        if not was_alive or peer.is_near != was_near:
            self._reset_next_due()
        return not was_alive

    def due_peers(self, now_ms: float) -> list[tuple[Peer, float]]:
        """Returns the peers to send to now, and marks them as sent to.

        Returns:
            Each peer with the time until its next message, in ms.
        """
        if now_ms < self._none_due_until_ms:
            return []
        found = []
        self._update_intervals()
        next_ms = now_ms + EXPIRY_MS
        for peer in list(self.peers.values()):
            if now_ms > peer.expires_ms:
                self._remove_load(peer)
                del self.peers[peer.address]
                # With fewer peers, the others are sent to more often.
                next_ms = now_ms
                continue
            interval_ms = self._interval_ms(peer, now_ms)
            if now_ms - peer.sent_ms >= interval_ms:
                peer.sent_ms = now_ms
                found.append((peer, interval_ms))
            next_ms = min(next_ms, peer.sent_ms + interval_ms, peer.expires_ms)
        self._none_due_until_ms = next_ms - DUE_MARGIN_MS
        return found

    def urgent_peers(self, now_ms: float,
                     far: bool) -> list[tuple[Peer, float]]:
        """Returns the peers for an urgent update, and marks them as sent to.

        In remote data centres only the reporters are sent to, and they relay
        the update. When urgent updates were sent to each remote node, they were
        most of the bytes between data centres.

        Args:
            now_ms: The time.
            far: Whether to include the reporters of remote data centres.

        Returns:
            Each peer with the time until its next message, in ms.
        """
        self._update_intervals()
        found = []
        for peer in self.peers.values():
            if peer.is_near or (far and peer.address in self._remote_reporters):
                peer.sent_ms = now_ms
                found.append((peer, self._interval_ms(peer, now_ms)))
        return found

    def update_scope(self, peer: Peer) -> UpdateScope:
        """Returns which parts of this node's state a peer is sent.

        In a small fleet, messages to remote peers are frequent enough for
        placement and contain this node's own loads. Otherwise remote peers get
        load sums, and only from a reporter to a reporter.
        """
        if peer.is_near or self._remote_interval_ms <= MIN_LOAD_LIFETIME_MS:
            return UpdateScope.NEAR
        if self.is_reporter and peer.address in self._remote_reporters:
            return UpdateScope.REPORTER
        return UpdateScope.FAR

    def choose_reporters(self, now_ms: float) -> None:
        """Makes the first nodes of each data centre, by name, its reporters."""
        first = {
            place:
                frozenset(address for _, address in heapq.nsmallest(
                    loadsums.REPORTER_COUNT, nodes))
            for place, nodes in self._live_nodes_with_addresses(now_ms).items()
        }
        before = self.is_reporter, self._remote_reporters
        self.is_reporter = self._address in first.pop(self._data_centre)
        self._remote_reporters = frozenset().union(*first.values())
        if before != (self.is_reporter, self._remote_reporters):
            self._reset_next_due()

    def live_nodes(self, now_ms: float) -> dict[str, list[str]]:
        """Returns the live nodes' names by data centre, this node included."""
        return {
            place: [name for name, _ in nodes]
            for place, nodes in self._live_nodes_with_addresses(now_ms).items()
        }

    def _live_nodes_with_addresses(
            self, now_ms: float) -> dict[str, list[tuple[str, Address]]]:
        places = {self._data_centre: [(self._node, self._address)]}
        for each in self.live_peers(now_ms):
            if each.last_message is not None:
                places.setdefault(each.last_message.data_centre, []).append(
                    (each.last_message.node, each.address))
        return places

    def near_loads(self) -> loadsums.Loads:
        """Returns the summed load of the other nodes of this data centre."""
        return loadsums.sum_loads(
            loadsums.loads_by_short_id(each.last_message.in_flight)
            for each in self.peers.values()
            if each.is_load_counted and each.is_near and
            each.last_message is not None)

    def _reset_next_due(self) -> None:
        """Makes the next call of `due_peers` check all peers."""
        self._none_due_until_ms = float("-inf")

    def _update_intervals(self) -> None:
        """Updates the intervals of messages to near and to remote peers."""
        near = sum(each.is_near for each in self.peers.values())
        far = len(self.peers) - near
        self._near_interval_ms = max(HEARTBEAT_MS,
                                     1000 * near / NEAR_MESSAGES_PER_S)
        if self.is_planner:
            self._near_interval_ms = min(self._near_interval_ms,
                                         PLANNER_HEARTBEAT_MS)
        nodes = 1 + len(self.peers)
        far_per_s = max(
            MIN_REMOTE_MESSAGES_PER_S,
            REMOTE_MESSAGES_PER_S * min(1, SMALL_FLEET_NODES / nodes))
        self._remote_interval_ms = max(HEARTBEAT_MS, 1000 * far / far_per_s)

    def _interval_ms(self, peer: Peer, now_ms: float) -> float:
        if peer.last_message is None:
            return min(max(SEED_INTERVAL_MS, self._remote_interval_ms),
                       MAX_SEED_INTERVAL_MS)
        interval_ms = (self._near_interval_ms
                       if peer.is_near else self._remote_interval_ms)
        if self.update_scope(peer) is UpdateScope.REPORTER:
            interval_ms = loadsums.REPORT_INTERVAL_MS
        if now_ms - peer.heard_ms > 2 * peer.liveness_timeout_ms:
            # It is probably dead; these messages only discover its return.
            interval_ms = max(interval_ms, SEED_INTERVAL_MS)
        return interval_ms

    def _add_load(self, peer: Peer) -> None:
        assert peer.last_message is not None
        peer.is_load_counted = True
        for key, load in peer.last_message.in_flight.items():
            self._loads[key] = self._loads.get(key, inflight.NO_LOAD).plus(load)

    def _remove_load(self, peer: Peer) -> None:
        if not peer.is_load_counted or peer.last_message is None:
            return
        peer.is_load_counted = False
        for key, load in peer.last_message.in_flight.items():
            left = self._loads[key].minus(load)
            if left == inflight.NO_LOAD:
                del self._loads[key]
            else:
                self._loads[key] = left

    def live_peers(self, now_ms: float) -> list[Peer]:
        """Returns the peers that are alive and not stopping."""
        return [
            each for each in self.peers.values()
            if now_ms - each.heard_ms < each.liveness_timeout_ms and
            each.last_message is not None and not each.last_message.stopping
        ]

    def nodes(self, now_ms: float) -> int | None:
        """Returns how many nodes share the retry budget; None if unknown.

        This is the largest number ever known at once: an isolated node does not
        hear the others, but they go on sending retries too. One that has just
        started may never have heard them, so those of the store's table count.
        """
        known = self.known_nodes.count(now_ms)
        if known is None:
            return None
        heard = 1 + sum(
            now_ms - each.heard_ms < max(EXPIRY_MS, each.liveness_timeout_ms)
            for each in self.peers.values())
        self._max_node_count = max(self._max_node_count, known, heard)
        return self._max_node_count

    def last_loss_ms(self, now_ms: float) -> float:
        """Returns when a node was last heard that its callers have to leave.

        That is a peer that is silent, stops, or has restarted since. Minus
        infinity without any.
        """
        lost_ms = (
            each.heard_ms
            for each in self.peers.values()
            if not each.is_alive(now_ms) or
            (each.last_message is not None and each.last_message.stopping))
        return max(self._last_restart_ms, *lost_ms, float("-inf"))

    def planned_data_centres(self,
                             data_centres: tuple[str, ...],
                             now_ms: float,
                             is_cut_off: bool = False) -> frozenset[str]:
        """Updates and returns the data centres that this node plans for.

        Args:
            data_centres: All data centres.
            now_ms: The time.
            is_cut_off: Whether this node reaches no runner. It then plans for
                none, and nodes that reach some take over. If there is no such
                node, the runners may have failed and need a planner.
        """
        if now_ms - self._started_ms < SETTLE_MS:
            return frozenset()
        messages = [
            each.last_message
            for each in self.live_peers(now_ms)
            if each.last_message and not each.last_message.is_cut_off and
            not self._has_stopped_reporting(each.last_message.data_centre,
                                            now_ms)
        ]
        planned = self.is_planner
        if is_cut_off and messages:
            self._election.resign()
        else:
            self._election.update(data_centres, messages, now_ms)
        if self.is_planner != planned:
            self._reset_next_due()
        return self._election.planned_data_centres

    def _has_stopped_reporting(self, data_centre: str, now_ms: float) -> bool:
        """Whether the reports of a remote data centre have ceased.

        Its nodes send so rarely that their liveness timeouts take minutes, and
        until then nobody would replace its broken groups.
        """
        last_report_ms = self._last_report_ms.get(data_centre)
        return (self.is_reporter and last_report_ms is not None and
                now_ms - last_report_ms > REPORTS_TIMEOUT_MS)

    @property
    def is_planner(self) -> bool:
        """Whether this node plans for any data centre."""
        return bool(self._election.planned_data_centres)

    def planning_age_ms(self, now_ms: float) -> dict[str, float]:
        """Returns how long this node has planned, by data centre."""
        return self._election.planning_age_ms(now_ms)

    def in_flight(self,
                  now_ms: float) -> dict[model.GroupKey, inflight.GroupLoad]:
        """Returns the load of all peers at each group, without expired loads.

        The result changes in place when messages arrive.
        """
        if self._loads:
            for peer in self.peers.values():
                if (peer.is_load_counted and
                        now_ms - peer.heard_ms > peer.load_lifetime_ms):
                    self._remove_load(peer)
        return self._loads

    def load_age_ms(self) -> float:
        """Returns the mean age of reported loads, from the message intervals.

        Load sums of remote data centres wait for two messages: that of the
        remote reporter, and that of the local reporter which relays them.
        """
        if not self.peers:
            return 0.0
        age_ms = self._near_interval_ms / 2
        if self._remote_interval_ms > MIN_LOAD_LIFETIME_MS:
            age_ms += loadsums.REPORT_INTERVAL_MS / 2
        return age_ms

    def config_confirmed_ms(self, config_version: int) -> float:
        """Returns when a peer last confirmed this configuration as the newest.

        The time is by this node's clock: the peer echoes when this node's last
        message was sent, so that a delayed datagram only makes the confirmation
        look older.
        """
        return max(
            (each.last_message.echo_ms -
             each.last_message.config_confirmed_age_ms
             for each in self.peers.values()
             if each.last_message is not None and each.last_message.echo_ms and
             each.last_message.config_version == config_version),
            default=float("-inf"))

    def any_requests_seen(self) -> bool:
        """Whether any peer has received a caller's request."""
        return any(each.last_message.has_seen_requests
                   for each in self.peers.values()
                   if each.last_message is not None)
