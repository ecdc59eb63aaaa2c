"""Sends and receives datagrams between nodes, and discovers nodes."""

import asyncio
from collections.abc import Callable
import random

import logbook

from cardamommill import exceptions, logs
from cardamommill.domain import clock, entrysettings
from cardamommill.gateway.nodes import peermessage, peers
from cardamommill.gateway.tables import sourceselector
from cardamommill.platform import storecalls, wire, wirenames

# How often a node reads the table of nodes. Each new node adds itself to this
# table and sends messages to the nodes in it. In a large fleet, the interval
# grows with the number of nodes, which bounds the reads of all nodes together.
# A node without live peers reads more often.
DISCOVERY_INTERVAL_MS = 20_000.0
DISCOVERY_INTERVAL_PER_NODE_MS = 3300.0
ISOLATED_DISCOVERY_INTERVAL_MS = 2000.0
DISCOVERY_RETRY_MS = 1000.0
# After the store was restored, all nodes add themselves to the table again.
# Their writes are spread over this time per node.
REGISTER_INTERVAL_MS = 20.0
# How long a starting node waits at most for messages of nodes from which it can
# read tables, and how often it checks. Peers answer within a tick or two.
MAX_PEER_WAIT_MS = 120.0
PEER_POLL_INTERVAL_MS = 10.0
# Nodes that start together receive each other's messages one by one. A node can
# tell which of them read from the store only after this long without a new
# peer: when nodes decided by their first two peers, half of a fleet considered
# themselves readers.
NO_NEW_PEER_MS = 30.0
# With at most this many other nodes, a starting node does not wait.
MAX_PEERS_WITHOUT_WAIT = 10

_LOG = logbook.Logger("peers")


class NodeLink:
    """Exchanges messages with other nodes over UDP."""

    def __init__(self, settings: entrysettings.EntrySettings,
                 others: peers.Peers,
                 compose: Callable[[float, peers.UpdateScope],
                                   peermessage.PeerMessage],
                 heard: Callable[[peermessage.PeerMessage, float],
                                 None], on_return: Callable[[str],
                                                            None]) -> None:
        """Initialises the link without opening a socket.

        Args:
            settings: The address to listen on, and the seeds.
            others: The membership of other nodes.
            compose: Returns the message to send at a given time, with the parts
                of an update scope.
            heard: Called with each received message and its time.
            on_return: Called with the data centre of a peer that was not alive
                and is now.
        """
        self._settings = settings
        self._peers = others
        self._compose = compose
        self._on_message = heard
        self._on_return = on_return
        self._transport: asyncio.DatagramTransport | None = None
        self._has_read_nodes = False

    async def listen(self) -> None:
        """Opens the socket and adds the seeds of the settings."""
        settings = self._settings
        self._transport, _ = await asyncio.get_running_loop(
        ).create_datagram_endpoint(lambda: _DatagramProtocol(self._on_datagram),
                                   local_addr=(settings.ip, settings.peer_port))
        self.add_seeds(settings)

    def add_seeds(self, settings: entrysettings.EntrySettings) -> None:
        """Adds the seeds of settings to the addresses of peers."""
        for seed in settings.seeds:
            host, _ = entrysettings.address(seed)
            self._peers.add_address((host, settings.peer_port))

    def _on_datagram(self, data: bytes, address: tuple[str, int]) -> None:
        now_ms = clock.now_ms()
        try:
            message = peermessage.decode(data, address[0])
        except exceptions.BadPeerMessage as error:
            _LOG.warning(logs.line("datagram-refused", reason=str(error)))
            return
        self._peers.known_nodes.heard(message.node, message.data_centre, now_ms)
        if self._peers.receive(message, address, now_ms):
            _LOG.info(
                logs.line("peer-alive",
                          peer=message.node,
                          incarnation=message.incarnation))
            self._on_return(message.data_centre)
        self._on_message(message, now_ms)

    def send_due(self, now_ms: float) -> None:
        """Sends the messages that are due."""
        self._send(self._peers.due_peers(now_ms), now_ms)

    def send_now(self, now_ms: float, far: bool) -> None:
        """Sends an urgent update; see `peers.Peers.urgent_peers`."""
        self._send(self._peers.urgent_peers(now_ms, far), now_ms)

    def _send(self, told: list[tuple[peers.Peer, float]],
              now_ms: float) -> None:
        if self._transport is None:
            return
        bodies: dict[peers.UpdateScope, peermessage.EncodedBody] = {}
        for peer, interval_ms in told:
            update_scope = self._peers.update_scope(peer)
            if update_scope not in bodies:
                bodies[update_scope] = peermessage.encode_body(
                    self._compose(now_ms, update_scope))
            echo_ms = peer.last_message.sent_ms if peer.last_message else 0.0
            self._transport.sendto(
                peermessage.encode_datagram(echo_ms, interval_ms,
                                            bodies[update_scope]), peer.address)

    async def wait_for_peers(self) -> None:
        """Waits, up to a timeout, for the nodes to read tables from.

        Without this wait, each starting node read the whole list of the fleet
        from the store, though two nodes of its data centre read it for all. In
        a small fleet no node waits, since reading the store itself is fastest.
        """
        began_ms = changed_ms = clock.now_ms()
        heard = 0
        while clock.now_ms() - began_ms < MAX_PEER_WAIT_MS:
            others = self._peers.peers.values()
            if self._has_read_nodes and len(others) <= MAX_PEERS_WITHOUT_WAIT:
                return
            near = sum(each.is_near for each in others)
            if near > heard:
                heard, changed_ms = near, clock.now_ms()
            is_settled = clock.now_ms() - changed_ms >= NO_NEW_PEER_MS
            if near >= sourceselector.READERS_PER_DATA_CENTRE and is_settled:
                return
            await asyncio.sleep(PEER_POLL_INTERVAL_MS / 1000)

    async def discover_nodes(self, store: storecalls.StoreClient) -> None:
        """Discovers nodes through the platform's table; never returns."""
        registered_era = None
        while True:
            try:
                if registered_era != store.eras.newest:
                    await store.put(wirenames.NODES_TABLE, self._settings.node,
                                    self._settings.ip.encode())
                    registered_era = store.eras.newest
                rows = await store.table(wirenames.NODES_TABLE)
            except exceptions.StoreError as error:
                _LOG.warning(logs.line("nodes-unread", reason=str(error)))
                await asyncio.sleep(DISCOVERY_RETRY_MS / 1000)
                continue
            for row in rows.rows:
                if row.value.startswith(wire.NOT_BASE64):
                    _LOG.warning(logs.line("node-refused", row=row.key[:80]))
                    continue
                address = (row.value.decode("ascii", "replace"),
                           self._settings.peer_port)
                if self._peers.add_address(address):
                    _LOG.info(logs.line("node-found", node=row.key))
            self._peers.known_nodes.listed((row.key for row in rows.rows),
                                           clock.now_ms())
            self._has_read_nodes = True
            others = len(self._peers.live_peers(clock.now_ms()))
            if await store.eras.wait_for_newer(registered_era,
                                               _discovery_interval_ms(others)):
                # All nodes write their rows again; spread the load.
                spread_ms = REGISTER_INTERVAL_MS * (1 + others)
                await asyncio.sleep(random.uniform(0, spread_ms) / 1000)


def _discovery_interval_ms(others: int) -> float:
    if not others:
        return ISOLATED_DISCOVERY_INTERVAL_MS
    return max(DISCOVERY_INTERVAL_MS,
               DISCOVERY_INTERVAL_PER_NODE_MS * (1 + others))


class _DatagramProtocol(asyncio.DatagramProtocol):
    """Passes received datagrams to a callback."""

    def __init__(self, on_datagram: Callable[[bytes, tuple[str, int]],
                                             None]) -> None:
        self._on_datagram = on_datagram

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self._on_datagram(data, addr)

    def error_received(self, exc: Exception) -> None:
        # The system reports that a peer's port is closed, as its process is
        # gone. The peer's liveness timeout handles that.
        del exc
