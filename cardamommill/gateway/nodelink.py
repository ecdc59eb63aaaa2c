"""Datagrams to and from other nodes, and how nodes find each other."""

import asyncio
from collections.abc import Callable
import random

import logbook

from cardamommill import exceptions, logs
from cardamommill.gateway import (
    clock,
    entrysettings,
    peermessage,
    peers,
    sourceselector,
)
from cardamommill.platform import storecalls, words

# The table of nodes is read again this often, by all nodes together where they
# are many, and sooner by a node that hears nobody: a new node writes itself
# there and speaks to all that it finds.
FIND_MS = 20_000.0
FIND_TOGETHER_MS = 3300.0
FIND_ALONE_MS = 2000.0
FIND_RETRY_MS = 1000.0
# After the store was restored nodes write themselves there again, one after
# the other.
REGISTER_EACH_MS = 20.0
# A node that starts waits for so long at most to hear whom it can follow, and
# looks this often. Datagrams are answered within a tick or two.
FIRST_CONTACT_MS = 120.0
CONTACT_LOOK_MS = 10.0
# Nodes that start together hear each other one by one: who reads is known only
# once no more come. By the first two heard, half of a fleet took itself for it.
QUIET_MS = 30.0
# Up to so many others a node that starts need not wait for any.
SMALL_FLEET = 10

_LOG = logbook.Logger("peers")


class NodeLink:
    """Speaks to other nodes."""

    def __init__(self, settings: entrysettings.EntrySettings,
                 others: peers.Peers,
                 compose: Callable[[float, peers.UpdateScope],
                                   peermessage.PeerMessage],
                 heard: Callable[[peermessage.PeerMessage, float],
                                 None], came_back: Callable[[str],
                                                            None]) -> None:
        """Makes it.

        Args:
            settings: Where to listen, and seeds.
            others: What is known of other nodes.
            compose: Returns the message for peers of one kind.
            heard: Takes a message.
            came_back: Takes the data centre of a node that was not heard of.
        """
        self._settings = settings
        self._peers = others
        self._compose = compose
        self._heard = heard
        self._came_back = came_back
        self._udp: asyncio.DatagramTransport | None = None
        self._has_found = False

    async def listen(self) -> None:
        """Begins to hear and to speak."""
        settings = self._settings
        self._udp, _ = await asyncio.get_running_loop(
        ).create_datagram_endpoint(lambda: _Datagrams(self._on_datagram),
                                   local_addr=(settings.ip, settings.peer_port))
        self.add_seeds(settings)

    def add_seeds(self, settings: entrysettings.EntrySettings) -> None:
        """Speaks to the nodes that settings name, too."""
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
        if self._peers.receive(message, address, now_ms):
            _LOG.info(
                logs.line("peer-alive",
                          peer=message.node,
                          incarnation=message.incarnation))
            self._came_back(message.data_centre)
        self._heard(message, now_ms)

    def send_due(self, now_ms: float) -> None:
        """Tells peers what is due."""
        self._send(self._peers.due_peers(now_ms), now_ms)

    def send_now(self, now_ms: float, far: bool) -> None:
        """Tells news at once; see `peers.Peers.urgent_peers`."""
        self._send(self._peers.urgent_peers(now_ms, far), now_ms)

    def _send(self, told: list[tuple[peers.Peer, float]],
              now_ms: float) -> None:
        if self._udp is None:
            return
        bodies: dict[peers.UpdateScope, bytes] = {}
        for peer, interval_ms in told:
            update_scope = self._peers.update_scope(peer)
            if update_scope not in bodies:
                bodies[update_scope] = peermessage.encode_body(
                    self._compose(now_ms, update_scope))
            echo_ms = peer.last_message.sent_ms if peer.last_message else 0.0
            self._udp.sendto(
                peermessage.encode_datagram(echo_ms, interval_ms,
                                            bodies[update_scope]), peer.address)

    async def wait_for_peers(self) -> None:
        """Returns once it is known whom this node follows, or soon after.

        Each node that began by itself read the whole list of the fleet from
        the store, though two of its data centre read it for all. Where nodes
        are few none waits: reading for itself is soonest.
        """
        began_ms = changed_ms = clock.now_ms()
        heard = 0
        while clock.now_ms() - began_ms < FIRST_CONTACT_MS:
            others = self._peers.peers.values()
            if self._has_found and len(others) <= SMALL_FLEET:
                return
            near = sum(each.is_near for each in others)
            if near > heard:
                heard, changed_ms = near, clock.now_ms()
            is_quiet = clock.now_ms() - changed_ms >= QUIET_MS
            if near >= sourceselector.READERS_PER_DATA_CENTRE and is_quiet:
                return
            await asyncio.sleep(CONTACT_LOOK_MS / 1000)

    async def discover_nodes(self, store: storecalls.Store) -> None:
        """Keeps finding nodes by the platform's table; never ends."""
        registered_era = None
        while True:
            try:
                if registered_era != store.eras.newest:
                    await store.put(words.NODES_TABLE, self._settings.node,
                                    self._settings.ip.encode())
                    registered_era = store.eras.newest
                rows = await store.table(words.NODES_TABLE)
            except exceptions.StoreError as error:
                _LOG.warning(logs.line("nodes-unread", reason=str(error)))
                await asyncio.sleep(FIND_RETRY_MS / 1000)
                continue
            for row in rows.rows:
                address = (row.value.decode("ascii", "replace"),
                           self._settings.peer_port)
                if self._peers.add_address(address):
                    _LOG.info(logs.line("node-found", node=row.key))
            self._has_found = True
            others = len(self._peers.live_peers(clock.now_ms()))
            if await store.eras.wait_for_newer(registered_era,
                                               _find_again_ms(others)):
                # All nodes write their rows again, but not at once.
                spread_ms = REGISTER_EACH_MS * (1 + others)
                await asyncio.sleep(random.uniform(0, spread_ms) / 1000)


def _find_again_ms(others: int) -> float:
    if not others:
        return FIND_ALONE_MS
    return max(FIND_MS, FIND_TOGETHER_MS * (1 + others))


class _Datagrams(asyncio.DatagramProtocol):
    """Hands datagrams over."""

    def __init__(self, receive: Callable[[bytes, tuple[str, int]],
                                         None]) -> None:
        self._take = receive

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self._take(data, addr)

    def error_received(self, exc: Exception) -> None:
        # A peer without a process: its silence says the same.
        del exc
