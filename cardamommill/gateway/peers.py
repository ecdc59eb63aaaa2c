"""Who the other nodes are, what they told last, and who plans for whom."""

import dataclasses

from cardamommill.gateway import model, peermessage

Address = tuple[str, int]

# Three heartbeats that don't come, and some for a busy node.
ALIVE_MS = 900.0
# A node that left for good is not spoken to for ever.
FORGOTTEN_MS = 15_000.0
# To an address from which nothing came, to find nodes that start.
SEED_INTERVAL_MS = 1000.0
# Nothing is planned before the other nodes had time to be heard.
SETTLE_MS = 500.0
# What in-flight counts of a peer are worth.
LOAD_AGE_MS = 1500.0


@dataclasses.dataclass(slots=True)
class Peer:
    """Another node."""

    address: Address
    heard_ms: float = float("-inf")
    sent_ms: float = float("-inf")
    last: peermessage.PeerMessage | None = None


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
        self.peers: dict[Address, Peer] = {}

    def learn(self, address: Address) -> bool:
        """Notes an address where a node may be; True where it is new."""
        if address == self._address or address in self.peers:
            return False
        self.peers[address] = Peer(address)
        return True

    def take(self, message: peermessage.PeerMessage, address: Address,
             now_ms: float) -> bool:
        """Takes a message; True where its sender was not alive before."""
        if message.node == self._node:
            return False
        self.learn(address)
        peer = self.peers[address]
        if peer.last is not None and (peer.last.incarnation
                                      == message.incarnation and
                                      message.sent_ms < peer.last.sent_ms):
            # Overtaken on its way.
            return False
        was_alive = now_ms - peer.heard_ms < ALIVE_MS
        peer.heard_ms = now_ms
        peer.last = message
        return not was_alive

    def due(self, now_ms: float, interval_ms: float) -> list[Peer]:
        """Returns the peers to send to now, and notes that it is done."""
        found = []
        for peer in list(self.peers.values()):
            quiet_ms = now_ms - peer.heard_ms
            if quiet_ms > FORGOTTEN_MS and peer.last is not None:
                del self.peers[peer.address]
                continue
            wait_ms = interval_ms if quiet_ms < 2 * ALIVE_MS else (
                SEED_INTERVAL_MS)
            if now_ms - peer.sent_ms >= wait_ms:
                peer.sent_ms = now_ms
                found.append(peer)
        return found

    def alive(self, now_ms: float) -> list[Peer]:
        """Returns the peers that were heard of late."""
        return [
            each for each in self.peers.values()
            if each.last is not None and now_ms -
            each.heard_ms < ALIVE_MS and not each.last.stopping
        ]

    def nodes(self, now_ms: float) -> int:
        """Returns how many nodes share limits; never fewer than seen once.

        A node that is cut off does not see the others, which retry too.
        """
        count = 1 + sum(now_ms - each.heard_ms < FORGOTTEN_MS
                        for each in self.peers.values())
        self._most_alive = max(self._most_alive, count)
        return self._most_alive

    def planned_data_centres(self, data_centres: tuple[str, ...],
                             now_ms: float) -> frozenset[str]:
        """Returns the data centres whose runners this node orders.

        Each is planned for by its own first living node, or else by the first
        living node of all; first is the lowest name.
        """
        if now_ms - self._started_ms < SETTLE_MS:
            return frozenset()
        alive = [(self._data_centre, self._node)
                ] + [(each.last.data_centre, each.last.node)
                     for each in self.alive(now_ms)
                     if each.last is not None]
        ours = set()
        for data_centre in data_centres:
            local = sorted(
                name for place, name in alive if place == data_centre)
            others = sorted(name for _, name in alive)
            first = local[0] if local else others[0]
            if first == self._node:
                ours.add(data_centre)
        return frozenset(ours)

    def in_flight(self, now_ms: float) -> dict[model.GroupKey, tuple[int, int]]:
        """Returns what the peers have at each group: requests and tokens."""
        found: dict[model.GroupKey, tuple[int, int]] = {}
        for peer in self.peers.values():
            if peer.last is None or now_ms - peer.heard_ms > LOAD_AGE_MS:
                continue
            for key, (count, tokens) in peer.last.in_flight.items():
                before = found.get(key, (0, 0))
                found[key] = (before[0] + count, before[1] + tokens)
        return found

    def confirmed_ms(self, config_version: int, now_ms: float) -> float:
        """Returns as of when a peer knows our configuration as the newest.

        Dated by this node's own question: the peer echoes when it was sent,
        so a datagram that was late only makes the evidence older.
        """
        del now_ms
        return max((each.last.echo_ms - each.last.confirmed_age_ms
                    for each in self.peers.values()
                    if each.last is not None and each.last.echo_ms and
                    each.last.config_version == config_version),
                   default=float("-inf"))

    def newest_version(self) -> int:
        """Returns the newest configuration that a peer has."""
        return max((each.last.config_version
                    for each in self.peers.values()
                    if each.last is not None),
                   default=0)

    def any_requests_seen(self) -> bool:
        """Whether any peer has had a caller's request."""
        return any(each.last.requests_seen
                   for each in self.peers.values()
                   if each.last is not None)
