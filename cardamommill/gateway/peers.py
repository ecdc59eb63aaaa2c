"""Who the other nodes are, and what they told last."""

import dataclasses
import enum
import heapq

from cardamommill.gateway import (
    election,
    inflight,
    loadsums,
    model,
    peermessage,
)

Address = tuple[str, int]

# Five a second to each peer tell a change of load in time for a placement.
HEARTBEAT_MS = 200.0
# With more peers each is told less often: these many datagrams a second go to
# peers of this node's data centre, and to all others. Told each as often, a
# large fleet takes most of a node's processor time for that alone.
NEAR_PER_S = 60.0
FAR_PER_S = 20.0
# Bytes between data centres are dear and grow with the nodes that send them, so
# beyond this many nodes each sends fewer, down to the least: what is told so
# seldom is who lives, and sums tell the rest.
FEW_NODES = 6
LEAST_FAR_PER_S = 2.0
# Whoever plans is heard this often at least, so that its death is noticed.
PLANNER_HEARTBEAT_MS = 400.0
# Three heartbeats that don't come, and some for a busy node.
ALIVE_INTERVALS = 3.5
ALIVE_MARGIN_MS = 200.0
# A node that left for good is not spoken to for ever.
FORGOTTEN_MS = 15_000.0
FORGOTTEN_ALIVES = 3.0
# To an address from which nothing came, to find nodes that start.
SEED_INTERVAL_MS = 1000.0
# ... and at least this often while nothing has ever come: in a large fleet the
# first datagram to a node that was still starting was the only one for minutes.
UNHEARD_MS = 3000.0
# Nothing is planned before the other nodes had time to be heard.
SETTLE_MS = 500.0
# A float's last digit must not have a peer told a tick late.
LOOK_MARGIN_MS = 1.0
# How long in-flight counts of a peer are worth something.
LOAD_AGE_MS = 1500.0
LOAD_INTERVALS = 2.5
# A data centre of which no reporter is heard for so long has no living node for
# whoever plans, though single ones may not be missed yet.
DARK_MS = 20_000.0


class UpdateScope(enum.Enum):
    """What a peer is told."""

    # All that this node knows; with the sums of other data centres.
    NEAR = "near"
    # The sums of this data centre in place of this node's loads.
    REPORTER = "reporter"
    # No loads: that it lives, and what is in force.
    FAR = "far"


def _alive_ms(interval_ms: float) -> float:
    return ALIVE_INTERVALS * interval_ms + ALIVE_MARGIN_MS


@dataclasses.dataclass(slots=True)
class Peer:
    """Another node.

    Attributes:
        address: Where it is.
        heard_ms: When it was last heard.
        sent_ms: When it was last told something.
        last_message: Its newest message.
        counted: Whether the requests of that message are in the sum of all.
        is_near: Whether it stands in this node's data centre.
        alive_ms: How long it is believed to live without a word.
        worth_ms: For how long its counts of requests are worth something.
        forgotten_ms: When it is no longer spoken to, unless it is heard.
    """

    address: Address
    heard_ms: float = float("-inf")
    sent_ms: float = float("-inf")
    last_message: peermessage.PeerMessage | None = None
    counted: bool = False
    is_near: bool = False
    alive_ms: float = _alive_ms(HEARTBEAT_MS)
    worth_ms: float = LOAD_AGE_MS
    forgotten_ms: float = float("inf")

    def is_alive(self, now_ms: float) -> bool:
        """Whether it was heard of late."""
        return now_ms - self.heard_ms < self.alive_ms

    def receive(self, message: peermessage.PeerMessage, data_centre: str,
                now_ms: float) -> None:
        """Takes its newest message, heard in a data centre."""
        self.heard_ms = now_ms
        self.last_message = message
        self.is_near = message.data_centre == data_centre
        self.alive_ms = _alive_ms(message.interval_ms)
        self.worth_ms = max(LOAD_AGE_MS, LOAD_INTERVALS * message.interval_ms)
        self.forgotten_ms = now_ms + max(FORGOTTEN_MS,
                                         FORGOTTEN_ALIVES * self.alive_ms)


class Peers:
    """Membership by datagrams alone; each node decides for itself."""

    def __init__(self, node: str, data_centre: str, incarnation: int,
                 address: Address, now_ms: float) -> None:
        self._node = node
        self._data_centre = data_centre
        self._incarnation = incarnation
        self._address = address
        self._started_ms = now_ms
        self._most_alive = 1
        self._election = election.Election(node, data_centre)
        self._loads: dict[model.GroupKey, inflight.GroupLoad] = {}
        self.peers: dict[Address, Peer] = {}
        # Whether this node speaks for its data centre, and to whom it does.
        self.is_reporter = False
        self._far_reporters: frozenset[Address] = frozenset()
        self._near_ms = self._far_ms = HEARTBEAT_MS
        # When a reporter of a data centre was last heard.
        self._reported_ms: dict[str, float] = {}
        # Until then, and until something is heard that changes it, nobody is
        # due. Looked through in each tick, 79 peers took half of what a node
        # spent while nothing happened.
        self._idle_until_ms = float("-inf")

    def add_address(self, address: Address) -> bool:
        """Notes an address where a node may be; True where it is new."""
        if address == self._address or address in self.peers:
            return False
        self.peers[address] = Peer(address)
        self._look_soon()
        return True

    def receive(self, message: peermessage.PeerMessage, address: Address,
                now_ms: float) -> bool:
        """Takes a message; True where its sender was not alive before."""
        if message.node == self._node:
            return False
        self.add_address(address)
        peer = self.peers[address]
        if peer.last_message is not None and (
                peer.last_message.incarnation == message.incarnation and
                message.sent_ms < peer.last_message.sent_ms):
            # Overtaken on its way.
            return False
        was_alive, was_near = peer.is_alive(now_ms), peer.is_near
        if (peer.last_message is None or
                peer.last_message.incarnation != message.incarnation):
            # It has just started, and follows whomever it hears first.
            was_alive = False
            peer.sent_ms = float("-inf")
        self._discount(peer)
        peer.receive(message, self._data_centre, now_ms)
        self._count(peer)
        if message.load_sums is not None and not peer.is_near:
            self._reported_ms[message.data_centre] = now_ms
        if not was_alive or peer.is_near != was_near:
            self._look_soon()
        return not was_alive

    def due_peers(self, now_ms: float) -> list[tuple[Peer, float]]:
        """Returns the peers to send to now, and notes that it is done.

        Returns:
            Each with how soon it will be sent to again, in ms.
        """
        if now_ms < self._idle_until_ms:
            return []
        found = []
        self._settle_intervals()
        next_ms = now_ms + FORGOTTEN_MS
        for peer in list(self.peers.values()):
            if now_ms > peer.forgotten_ms:
                self._discount(peer)
                del self.peers[peer.address]
                # The others are told more often now.
                next_ms = now_ms
                continue
            interval_ms = self._interval_ms(peer, now_ms)
            if now_ms - peer.sent_ms >= interval_ms:
                peer.sent_ms = now_ms
                found.append((peer, interval_ms))
            next_ms = min(next_ms, peer.sent_ms + interval_ms,
                          peer.forgotten_ms)
        self._idle_until_ms = next_ms - LOOK_MARGIN_MS
        return found

    def urgent_peers(self, now_ms: float,
                     far: bool) -> list[tuple[Peer, float]]:
        """Returns the peers that hear news now, and notes that it is done.

        Told to each node of each data centre, the news of a fleet were most of
        the bytes between data centres. Reporters pass them on.

        Args:
            now_ms: The time.
            far: Whether reporters of other data centres hear them, too.

        Returns:
            As `due_peers` does.
        """
        self._settle_intervals()
        found = []
        for peer in self.peers.values():
            if peer.is_near or (far and peer.address in self._far_reporters):
                peer.sent_ms = now_ms
                found.append((peer, self._interval_ms(peer, now_ms)))
        return found

    def update_scope(self, peer: Peer) -> UpdateScope:
        """Returns what a peer is told."""
        if peer.is_near or self._far_ms <= LOAD_AGE_MS:
            return UpdateScope.NEAR
        if self.is_reporter and peer.address in self._far_reporters:
            return UpdateScope.REPORTER
        return UpdateScope.FAR

    def choose_reporters(self, now_ms: float) -> None:
        """Settles who speaks for each data centre: the first by name."""
        first = {
            place:
                frozenset(
                    address
                    for _, address in heapq.nsmallest(loadsums.REPORTERS, nodes)
                ) for place, nodes in self._living(now_ms).items()
        }
        before = self.is_reporter, self._far_reporters
        self.is_reporter = self._address in first.pop(self._data_centre)
        self._far_reporters = frozenset().union(*first.values())
        if before != (self.is_reporter, self._far_reporters):
            self._look_soon()

    def live_nodes(self, now_ms: float) -> dict[str, list[str]]:
        """Returns the names of living nodes by data centre, with this one."""
        return {
            place: [name for name, _ in nodes]
            for place, nodes in self._living(now_ms).items()
        }

    def _living(self, now_ms: float) -> dict[str, list[tuple[str, Address]]]:
        places = {self._data_centre: [(self._node, self._address)]}
        for each in self.live_peers(now_ms):
            if each.last_message is not None:
                places.setdefault(each.last_message.data_centre, []).append(
                    (each.last_message.node, each.address))
        return places

    def near_loads(self) -> loadsums.Loads:
        """Returns the sums of what the other nodes of this place have."""
        return loadsums.sum_loads(
            loadsums.loads_by_short_id(each.last_message.in_flight)
            for each in self.peers.values()
            if each.counted and each.is_near and each.last_message is not None)

    def _look_soon(self) -> None:
        """Has the next look for who is due go through all peers."""
        self._idle_until_ms = float("-inf")

    def _settle_intervals(self) -> None:
        """Settles how often near peers are told, and all others."""
        near = sum(each.is_near for each in self.peers.values())
        far = len(self.peers) - near
        self._near_ms = max(HEARTBEAT_MS, 1000 * near / NEAR_PER_S)
        if self.is_planner:
            self._near_ms = min(self._near_ms, PLANNER_HEARTBEAT_MS)
        nodes = 1 + len(self.peers)
        far_per_s = max(LEAST_FAR_PER_S, FAR_PER_S * min(1, FEW_NODES / nodes))
        self._far_ms = max(HEARTBEAT_MS, 1000 * far / far_per_s)

    def _interval_ms(self, peer: Peer, now_ms: float) -> float:
        if peer.last_message is None:
            return min(max(SEED_INTERVAL_MS, self._far_ms), UNHEARD_MS)
        interval_ms = self._near_ms if peer.is_near else self._far_ms
        if self.update_scope(peer) is UpdateScope.REPORTER:
            interval_ms = loadsums.REPORT_MS
        if now_ms - peer.heard_ms > 2 * peer.alive_ms:
            interval_ms = max(interval_ms, SEED_INTERVAL_MS)
        return interval_ms

    def _count(self, peer: Peer) -> None:
        assert peer.last_message is not None
        peer.counted = True
        for key, load in peer.last_message.in_flight.items():
            self._loads[key] = self._loads.get(key, inflight.NO_LOAD).plus(load)

    def _discount(self, peer: Peer) -> None:
        if not peer.counted or peer.last_message is None:
            return
        peer.counted = False
        for key, load in peer.last_message.in_flight.items():
            left = self._loads[key].minus(load)
            if left == inflight.NO_LOAD:
                del self._loads[key]
            else:
                self._loads[key] = left

    def live_peers(self, now_ms: float) -> list[Peer]:
        """Returns the peers that were heard of late."""
        return [
            each for each in self.peers.values()
            if now_ms - each.heard_ms < each.alive_ms and
            each.last_message is not None and not each.last_message.stopping
        ]

    def nodes(self, now_ms: float) -> int:
        """Returns how many nodes share limits; never fewer than seen once.

        A node that is cut off does not see the others, which retry too.
        """
        count = 1 + sum(
            now_ms - each.heard_ms < max(FORGOTTEN_MS, each.alive_ms)
            for each in self.peers.values())
        self._most_alive = max(self._most_alive, count)
        return self._most_alive

    def planned_data_centres(self, data_centres: tuple[str, ...],
                             now_ms: float) -> frozenset[str]:
        """Returns the data centres whose runners this node orders."""
        if now_ms - self._started_ms < SETTLE_MS:
            return frozenset()
        live_peers = [
            each.last_message
            for each in self.live_peers(now_ms)
            if each.last_message and
            not self._is_dark(each.last_message.data_centre, now_ms)
        ]
        planned = self.is_planner
        self._election.hold(data_centres, live_peers, now_ms)
        if self.is_planner != planned:
            self._look_soon()
        return self._election.won

    def _is_dark(self, data_centre: str, now_ms: float) -> bool:
        """Whether a data centre that reported does so no more.

        Its single nodes speak so seldom that they are not missed for minutes,
        and its groups were not mended by anybody meanwhile.
        """
        reported_ms = self._reported_ms.get(data_centre)
        return (self.is_reporter and reported_ms is not None and
                now_ms - reported_ms > DARK_MS)

    @property
    def is_planner(self) -> bool:
        """Whether this node orders any runners."""
        return bool(self._election.won)

    def planning_age_ms(self, now_ms: float) -> dict[str, float]:
        """Returns for how long this node has planned for whom."""
        return self._election.ages_ms(now_ms)

    def in_flight(self,
                  now_ms: float) -> dict[model.GroupKey, inflight.GroupLoad]:
        """Returns what the peers have at each group; kept up to date.

        Without any there is none to forget.
        """
        if self._loads:
            for peer in self.peers.values():
                if peer.counted and now_ms - peer.heard_ms > peer.worth_ms:
                    self._discount(peer)
        return self._loads

    def load_age_ms(self) -> float:
        """Returns how old told loads are in the mean, by how often peers tell.

        Sums of other data centres wait for two tellings.
        """
        if not self.peers:
            return 0.0
        told_ms = self._near_ms / 2
        if self._far_ms > LOAD_AGE_MS:
            told_ms += loadsums.REPORT_MS / 2
        return told_ms

    def config_confirmed_ms(self, config_version: int) -> float:
        """Returns as of when a peer knows our configuration as the newest.

        Dated by this node's own question: the peer echoes when it was sent,
        so a datagram that was late only makes the evidence older.
        """
        return max(
            (each.last_message.echo_ms -
             each.last_message.config_confirmed_age_ms
             for each in self.peers.values()
             if each.last_message is not None and each.last_message.echo_ms and
             each.last_message.config_version == config_version),
            default=float("-inf"))

    def any_requests_seen(self) -> bool:
        """Whether any peer has had a caller's request."""
        return any(each.last_message.has_seen_requests
                   for each in self.peers.values()
                   if each.last_message is not None)
