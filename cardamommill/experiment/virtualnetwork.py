"""A simulated network with delays, datagram loss and partitions."""

import asyncio
from collections.abc import Callable
import contextvars
import dataclasses
import random
import socket
from typing import Any

from cardamommill import units

Address = tuple[str, int]

# Timers due at the same time run in no defined order; this gap between the
# packets of a connection keeps them in order.
MIN_PACKET_GAP_S = 1e-9

# The host whose code is running; its connections originate there.
HOST: contextvars.ContextVar[str] = contextvars.ContextVar("host",
                                                           default="client")


@dataclasses.dataclass(slots=True)
class Host:
    """A simulated machine.

    Attributes:
        place: Its data centre.
        is_unreachable: Whether it can neither send nor receive.
        incarnation: Number of its restarts.
    """

    place: str = ""
    is_unreachable: bool = False
    incarnation: int = 0


class Network:
    """Hosts and the links between them, with delays and partitions."""

    def __init__(self, rng: random.Random) -> None:
        self.hosts: dict[str, Host] = {}
        self.listeners: dict[Address, Callable[[], asyncio.Protocol]] = {}
        self.datagrams: dict[Address, asyncio.DatagramProtocol] = {}
        # A dict is used as a set whose iteration order is reproducible.
        self.transports: dict[FakeTransport, None] = {}
        self.in_place_ms = 0.2
        self.between_places_ms = 1.4
        self.loss = 0.0
        self._cut_links: set[frozenset[str]] = set()
        # Links on which new connections are refused; open ones go on.
        self._refusing_links: set[frozenset[str]] = set()
        self._rng = rng

    def host(self, name: str) -> Host:
        """Returns a host, creating it at first use."""
        return self.hosts.setdefault(name, Host())

    def cut(self, one: str, other: str) -> None:
        """Cuts the link between two hosts."""
        self._cut_links.add(frozenset((one, other)))

    def refuse(self, one: str, other: str) -> None:
        """Has new connections between two hosts refused."""
        self._refusing_links.add(frozenset((one, other)))

    def refuses(self, source: str, target: str) -> bool:
        """Whether new connections from one host to another are refused."""
        return frozenset((source, target)) in self._refusing_links

    def restore(self, one: str, other: str) -> None:
        """Restores the link between two hosts."""
        self._cut_links.discard(frozenset((one, other)))
        self._refusing_links.discard(frozenset((one, other)))

    def heal(self) -> None:
        """Restores all links."""
        self._cut_links.clear()
        self._refusing_links.clear()

    def reaches(self, source: str, target: str) -> bool:
        """Returns whether packets from one host arrive at another."""
        if self.host(source).is_unreachable or self.host(target).is_unreachable:
            return False
        return frozenset((source, target)) not in self._cut_links

    def delay_s(self, source: str, target: str) -> float:
        """Returns the delay of a packet, chosen at random."""
        same_place = self.host(source).place == self.host(target).place
        base_ms = self.in_place_ms if same_place else self.between_places_ms
        return base_ms * self._rng.uniform(1.0, 1.1) / units.MS_PER_S

    def lost(self) -> bool:
        """Returns at random whether a datagram is lost."""
        return self._rng.random() < self.loss

    def reset_link(self, one: str, other: str) -> None:
        """Resets all connections between two hosts, as seen by both."""
        for transport in [
                each for each in self.transports
                if {each.host, each.peer_host} == {one, other}
        ]:
            transport.on_peer_closed(ConnectionResetError("reset by peer"))

    def reset_connections(self, name: str) -> None:
        """Resets all connections of a host; its listeners stay open."""
        for transport in [
                each for each in self.transports if each.host == name
        ]:
            transport.abort()

    def end_processes(self, name: str) -> None:
        """Closes all sockets of a host.

        Peers see connection resets unless the host is unreachable.
        """
        host = self.host(name)
        host.incarnation += 1
        for address in [each for each in self.listeners if each[0] == name]:
            del self.listeners[address]
        for address in [each for each in self.datagrams if each[0] == name]:
            del self.datagrams[address]
        for transport in [
                each for each in self.transports if each.host == name
        ]:
            transport.drop_connection(reset=not host.is_unreachable)


class FakeTransport(asyncio.Transport):
    """One end of a simulated connection."""

    def __init__(self, loop: asyncio.AbstractEventLoop, network: Network,
                 host: str, peer_host: str,
                 protocol: asyncio.BaseProtocol) -> None:
        super().__init__()
        self.host = host
        self._loop = loop
        self._network = network
        self.peer_host = peer_host
        self._protocol = protocol
        self._peer: FakeTransport | None = None
        self._closing = False
        self._paused = False
        self._receive_buffer: list[bytes] = []
        self._last_arrival_s = 0.0
        network.transports[self] = None

    def join(self, peer: "FakeTransport") -> None:
        """Sets the other end of the connection."""
        self._peer = peer

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Returns the default; see asyncio."""
        del name
        return default

    def is_closing(self) -> bool:
        """See asyncio."""
        return self._closing

    def get_write_buffer_size(self) -> int:
        """Returns 0, since writes are never buffered; see asyncio."""
        return 0

    def set_protocol(self, protocol: asyncio.BaseProtocol) -> None:
        """See asyncio."""
        self._protocol = protocol

    def get_protocol(self) -> asyncio.BaseProtocol:
        """See asyncio."""
        return self._protocol

    def pause_reading(self) -> None:
        """See asyncio."""
        self._paused = True

    def resume_reading(self) -> None:
        """See asyncio."""
        self._paused = False
        held, self._receive_buffer = self._receive_buffer, []
        for data in held:
            self._loop.call_soon(self._receive, data)

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Sends data to the peer; see asyncio."""
        if not self._closing and data:
            self._schedule_delivery(self._deliver, bytes(data))

    def can_write_eof(self) -> bool:
        """See asyncio."""
        return True

    def write_eof(self) -> None:
        """Closes the sending side after data already sent; see asyncio."""
        if not self._closing:
            self._schedule_delivery(self._notify_peer_sent_all, None)

    def close(self) -> None:
        """Closes after data already sent; see asyncio."""
        self._end(None)

    def abort(self) -> None:
        """Resets the connection; see asyncio."""
        self._end(ConnectionResetError("reset by peer"))

    def drop_connection(self, reset: bool) -> None:
        """Drops the connection of a process that ended.

        Args:
            reset: Whether the peer is notified by a connection reset.
        """
        if reset:
            self._schedule_delivery(self._notify_peer_closed,
                                    ConnectionResetError("reset by peer"))
        self._closing = True
        self._network.transports.pop(self, None)

    def _end(self, error: Exception | None) -> None:
        if self._closing:
            return
        self._closing = True
        self._network.transports.pop(self, None)
        self._schedule_delivery(self._notify_peer_closed, error)
        self._loop.call_soon(self._protocol.connection_lost, None)

    def _schedule_delivery(self, handler: Callable[[Any], None],
                           what: Any) -> None:
        # Packets of a connection stay in order.
        at_s = max(
            self._loop.time() +
            self._network.delay_s(self.host, self.peer_host),
            self._last_arrival_s + MIN_PACKET_GAP_S)
        self._last_arrival_s = at_s
        self._loop.call_at(at_s, self._arrive, handler, what)

    def _arrive(self, handler: Callable[[Any], None], what: Any) -> None:
        # Whatever arrives while the link is cut is lost, also a close or reset.
        if self._network.reaches(self.host, self.peer_host):
            handler(what)

    def _deliver(self, data: bytes) -> None:
        if self._peer is not None:
            self._peer.receive(data)

    def receive(self, data: bytes) -> None:
        """Receives data from the other end, buffering it while paused."""
        if self._closing:
            return
        if self._paused:
            self._receive_buffer.append(data)
            return
        self._receive(data)

    def _receive(self, data: bytes) -> None:
        if self._closing:
            return
        token = HOST.set(self.host)
        try:
            assert isinstance(self._protocol, asyncio.Protocol)
            self._protocol.data_received(data)
        finally:
            HOST.reset(token)

    def _notify_peer_sent_all(self, _: Any) -> None:
        if self._peer is not None:
            self._peer.on_end_of_stream()

    def on_end_of_stream(self) -> None:
        """Handles the close of the other end's sending side."""
        if self._closing:
            return
        token = HOST.set(self.host)
        try:
            assert isinstance(self._protocol, asyncio.Protocol)
            if not self._protocol.eof_received():
                self.close()
        finally:
            HOST.reset(token)

    def _notify_peer_closed(self, error: Exception | None) -> None:
        if self._peer is not None:
            self._peer.on_peer_closed(error)

    def on_peer_closed(self, error: Exception | None) -> None:
        """Handles the close or reset of the connection by the other end."""
        if self._closing:
            return
        token = HOST.set(self.host)
        try:
            if error is None and isinstance(self._protocol, asyncio.Protocol):
                self._protocol.eof_received()
            self._closing = True
            self._network.transports.pop(self, None)
            self._protocol.connection_lost(error)
        finally:
            HOST.reset(token)


class FakeServer:
    """The server object that `create_server` returns."""

    def __init__(self, network: Network, address: Address) -> None:
        self._network = network
        self._address = address

    @property
    def sockets(self) -> tuple[socket.socket, ...]:
        """Returns none, since connections are accepted at once; see asyncio."""
        return ()

    def close(self) -> None:
        """Stops accepting connections."""
        self._network.listeners.pop(self._address, None)

    def is_serving(self) -> bool:
        """See asyncio."""
        return self._address in self._network.listeners

    async def wait_closed(self) -> None:
        """See asyncio."""


class FakeDatagrams(asyncio.DatagramTransport):
    """A bound datagram socket."""

    def __init__(self, loop: asyncio.AbstractEventLoop, network: Network,
                 address: Address) -> None:
        super().__init__()
        self._loop = loop
        self._network = network
        self._address = address

    def sendto(self, data: Any, addr: Any = None) -> None:
        """Sends a datagram, unless it is lost; see asyncio."""
        source, target = self._address[0], addr[0]
        if self._network.lost() or not self._network.reaches(source, target):
            return
        self._loop.call_later(self._network.delay_s(source, target),
                              self._arrive, bytes(data), addr)

    def _arrive(self, data: bytes, addr: Address) -> None:
        protocol = self._network.datagrams.get(addr)
        if protocol is None:
            return
        token = HOST.set(addr[0])
        try:
            protocol.datagram_received(data, self._address)
        finally:
            HOST.reset(token)

    def close(self) -> None:
        """See asyncio."""
        self._network.datagrams.pop(self._address, None)
