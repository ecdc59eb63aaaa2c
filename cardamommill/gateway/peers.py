"""Who the other nodes are, what they told last, and who plans for whom."""

import dataclasses

from cardamommill.gateway import flights, model, peermessage

Address = tuple[str, int]

# Three heartbeats that don't come, and some for a busy node.
ALIVE_MS = 900.0
# A node that left for good is not spoken to for ever.
FORGOTTEN_MS = 15_000.0
# To an address from which nothing came, to find nodes that start.
SEED_INTERVAL_MS = 1000.0
# Nothing is planned before the other nodes had time to be heard.
SETTLE_MS = 500.0
# Two that began to plan within this did not hear of each other in time.
TOGETHER_MS = 500.0
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
        self._plans_since_ms: dict[str, float] = {}
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

        Whoever plans for one goes on while it lives: a node that comes back
        does not know what was begun. Where nobody plans, the first living
        node of the data centre does, or else the first of all; first is the
        lowest name.
        """
        if now_ms - self._started_ms < SETTLE_MS:
            return frozenset()
        alive = [each.last for each in self.alive(now_ms) if each.last]
        for data_centre in data_centres:
            if self._should_plan(data_centre, alive, now_ms):
                self._plans_since_ms.setdefault(data_centre, now_ms)
            else:
                self._plans_since_ms.pop(data_centre, None)
        return frozenset(self._plans_since_ms)

    def _should_plan(self, data_centre: str,
                     alive: list[peermessage.PeerMessage],
                     now_ms: float) -> bool:
        since_ms = self._plans_since_ms.get(data_centre)
        others = [(each.plans_ms[data_centre], each.node)
                  for each in alive
                  if data_centre in each.plans_ms]
        if since_ms is not None:
            # The longest plans on; of two that began together, the lowest.
            age_ms = now_ms - since_ms
            return all(age_ms > other_ms + TOGETHER_MS or
                       (age_ms > other_ms - TOGETHER_MS and self._node < name)
                       for other_ms, name in others)
        if others:
            return False
        nodes = [(self._data_centre, self._node)]
        nodes += [(each.data_centre, each.node) for each in alive]
        local = sorted(name for place, name in nodes if place == data_centre)
        return self._node == (local or sorted(name for _, name in nodes))[0]

    def plans_ms(self, now_ms: float) -> dict[str, float]:
        """Returns for how long this node has planned for whom."""
        return {
            name: now_ms - since_ms
            for name, since_ms in self._plans_since_ms.items()
        }

    def in_flight(self,
                  now_ms: float) -> dict[model.GroupKey, flights.GroupLoad]:
        """Returns what the peers have at each group."""
        found: dict[model.GroupKey, flights.GroupLoad] = {}
        for peer in self.peers.values():
            if peer.last is None or now_ms - peer.heard_ms > LOAD_AGE_MS:
                continue
            for key, load in peer.last.in_flight.items():
                found[key] = found.get(key, flights.NO_LOAD).plus(load)
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
