"""An event loop whose clock and network are simulated.

Whole nodes, the model's store, runners and clients run in it unchanged: what
they await takes no time on the real clock, and a run repeats exactly.
"""

import asyncio
from collections.abc import Callable
import contextlib
import contextvars
import dataclasses
import random
from typing import Any

from cardamommill import units
from cardamommill.gateway import clock

Address = tuple[str, int]

# Timers of one moment run in no certain order, packets do.
NEXT_S = 1e-9

# Whose code is running: connections begin at this host.
HOST: contextvars.ContextVar[str] = contextvars.ContextVar("host",
                                                           default="client")


class _Selector:
    """Lets time pass in place of waiting."""

    def __init__(self, loop: "VirtualLoop") -> None:
        self._loop = loop

    def select(self, timeout: float | None) -> list[Any]:
        """Moves the clock on."""
        if timeout is None:
            raise RuntimeError("nothing will ever happen: a deadlock")
        if timeout > 0:
            self._loop.advance(timeout)
        return []

    def close(self) -> None:
        """Does nothing."""


@dataclasses.dataclass(slots=True)
class Host:
    """A machine of the model.

    Attributes:
        place: Its data centre.
        dark: Whether it neither sends nor receives.
        life: Counts its restarts; what an earlier life sent is lost.
    """

    place: str = ""
    dark: bool = False
    life: int = 0


class Network:
    """Links between hosts, with delays and cuts."""

    def __init__(self, chance: random.Random) -> None:
        self.hosts: dict[str, Host] = {}
        self.listeners: dict[Address, Callable[[], asyncio.Protocol]] = {}
        self.datagrams: dict[Address, asyncio.DatagramProtocol] = {}
        self.transports: dict[FakeTransport, None] = {}
        self.in_place_ms = 0.2
        self.between_places_ms = 1.4
        self.loss = 0.0
        self._cut: set[frozenset[str]] = set()
        self._chance = chance

    def host(self, name: str) -> Host:
        """Returns a host, new with its first use."""
        return self.hosts.setdefault(name, Host())

    def cut(self, one: str, other: str) -> None:
        """Cuts two hosts from each other."""
        self._cut.add(frozenset((one, other)))

    def heal(self) -> None:
        """Mends all cuts."""
        self._cut.clear()

    def reaches(self, source: str, target: str) -> bool:
        """Whether what one host sends arrives at another."""
        if self.host(source).dark or self.host(target).dark:
            return False
        return frozenset((source, target)) not in self._cut

    def delay_s(self, source: str, target: str) -> float:
        """Returns how long a packet takes."""
        same = self.host(source).place == self.host(target).place
        base_ms = self.in_place_ms if same else self.between_places_ms
        return base_ms * self._chance.uniform(1.0, 1.1) / units.MS_PER_S

    def lost(self) -> bool:
        """Whether a datagram is lost."""
        return self._chance.random() < self.loss

    def reset_connections(self, name: str) -> None:
        """Resets all connections of a host, which listens on."""
        for transport in [
                each for each in self.transports if each.host == name
        ]:
            transport.abort()

    def end_processes(self, name: str) -> None:
        """Ends all that a host has open; peers see resets unless it is dark."""
        host = self.host(name)
        host.life += 1
        for address in [each for each in self.listeners if each[0] == name]:
            del self.listeners[address]
        for address in [each for each in self.datagrams if each[0] == name]:
            del self.datagrams[address]
        for transport in [
                each for each in self.transports if each.host == name
        ]:
            transport.vanish(reset=not host.dark)


class FakeTransport(asyncio.Transport):
    """One end of a simulated connection."""

    def __init__(self, loop: "VirtualLoop", host: str, peer_host: str,
                 protocol: asyncio.BaseProtocol) -> None:
        super().__init__()
        self.host = host
        self._loop = loop
        self._peer_host = peer_host
        self._protocol = protocol
        self._peer: FakeTransport | None = None
        self._closing = False
        self._paused = False
        self._held: list[bytes] = []
        self._last_s = 0.0
        loop.network.transports[self] = None

    def join(self, peer: "FakeTransport") -> None:
        """Names the other end."""
        self._peer = peer

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Knows nothing; see asyncio."""
        del name
        return default

    def is_closing(self) -> bool:
        """See asyncio."""
        return self._closing

    def get_write_buffer_size(self) -> int:
        """All is sent at once; see asyncio."""
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
        held, self._held = self._held, []
        for data in held:
            self._loop.call_soon(self._receive, data)

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Sends; see asyncio."""
        if not self._closing and data:
            self._pass(self._deliver, bytes(data))

    def close(self) -> None:
        """Ends after what was sent; see asyncio."""
        self._end(None)

    def abort(self) -> None:
        """Ends at once; see asyncio."""
        self._end(ConnectionResetError("reset by peer"))

    def vanish(self, reset: bool) -> None:
        """Its process is gone: the peer hears of it, or never does."""
        if reset:
            self._pass(self._lose_peer, ConnectionResetError("reset by peer"))
        self._closing = True
        self._loop.network.transports.pop(self, None)

    def _end(self, error: Exception | None) -> None:
        if self._closing:
            return
        self._closing = True
        self._loop.network.transports.pop(self, None)
        self._pass(self._lose_peer, error)
        self._loop.call_soon(self._protocol.connection_lost, None)

    def _pass(self, act: Callable[[Any], None], what: Any) -> None:
        network = self._loop.network
        # In order: a later packet never overtakes an earlier one.
        at_s = max(
            self._loop.time() + network.delay_s(self.host, self._peer_host),
            self._last_s + NEXT_S)
        self._last_s = at_s
        self._loop.call_at(at_s, self._arrive, act, what)

    def _arrive(self, act: Callable[[Any], None], what: Any) -> None:
        # Bytes that meet a cut are lost with their connection.
        if self._loop.network.reaches(self.host, self._peer_host):
            act(what)

    def _deliver(self, data: bytes) -> None:
        if self._peer is not None:
            self._peer.receive(data)

    def receive(self, data: bytes) -> None:
        """Takes bytes from the other end."""
        if self._closing:
            return
        if self._paused:
            self._held.append(data)
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

    def _lose_peer(self, error: Exception | None) -> None:
        if self._peer is not None:
            self._peer.lose(error)

    def lose(self, error: Exception | None) -> None:
        """Hears that the other end is gone."""
        if self._closing:
            return
        token = HOST.set(self.host)
        try:
            if error is None and isinstance(self._protocol, asyncio.Protocol):
                self._protocol.eof_received()
            self._closing = True
            self._loop.network.transports.pop(self, None)
            self._protocol.connection_lost(error)
        finally:
            HOST.reset(token)


class _FakeServer:
    """What create_server returns."""

    def __init__(self, network: Network, address: Address) -> None:
        self._network = network
        self._address = address

    def close(self) -> None:
        """Takes no more connections."""
        self._network.listeners.pop(self._address, None)

    def is_serving(self) -> bool:
        """See asyncio."""
        return self._address in self._network.listeners

    async def wait_closed(self) -> None:
        """See asyncio."""


class _FakeDatagrams(asyncio.DatagramTransport):
    """A bound datagram socket."""

    def __init__(self, loop: "VirtualLoop", address: Address) -> None:
        super().__init__()
        self._loop = loop
        self._address = address

    def sendto(self, data: Any, addr: Any = None) -> None:
        """Sends; see asyncio."""
        network = self._loop.network
        source, target = self._address[0], addr[0]
        if network.lost() or not network.reaches(source, target):
            return
        self._loop.call_later(network.delay_s(source, target), self._arrive,
                              bytes(data), addr)

    def _arrive(self, data: bytes, addr: Address) -> None:
        protocol = self._loop.network.datagrams.get(addr)
        if protocol is None:
            return
        token = HOST.set(addr[0])
        try:
            protocol.datagram_received(data, self._address)
        finally:
            HOST.reset(token)

    def close(self) -> None:
        """See asyncio."""
        self._loop.network.datagrams.pop(self._address, None)


class VirtualLoop(asyncio.BaseEventLoop):
    """Runs many hosts on one simulated clock."""

    def __init__(self, seed: int) -> None:
        super().__init__()
        self._now_s = 0.0
        self._selector = _Selector(self)
        self.network = Network(random.Random(seed))
        self.signals: dict[tuple[str, int], Callable[[], None]] = {}

    def advance(self, seconds: float) -> None:
        """Lets time pass."""
        self._now_s += seconds

    def time(self) -> float:
        """Returns the simulated time in seconds."""
        return self._now_s

    def now_ms(self) -> float:
        """Returns the simulated time as the product's clock."""
        return 1e6 + self._now_s * units.MS_PER_S

    def _process_events(self, event_list: Any) -> None:
        del event_list

    def _write_to_self(self) -> None:
        pass

    def add_signal_handler(  # type: ignore[override]
            self, sig: int, callback: Any, *args: Any) -> None:
        """Notes a handler for `signal_host`."""
        self.signals[(HOST.get(), int(sig))] = lambda: callback(*args)

    def signal_host(self, host: str, sig: int) -> None:
        """Sends a signal to a host's process."""
        handler = self.signals.get((host, int(sig)))
        if handler is not None:
            handler()

    async def create_connection(self,
                                protocol_factory: Any,
                                host: Any = None,
                                port: Any = None,
                                **options: Any) -> Any:
        """Connects; hangs where the peer is dark or cut off."""
        del options
        source = HOST.get()
        network = self.network
        address = (str(host), int(port))
        await asyncio.sleep(2 * network.delay_s(source, address[0]))
        if not network.reaches(source, address[0]):
            await asyncio.sleep(1e6)
        factory = network.listeners.get(address)
        if factory is None:
            raise ConnectionRefusedError("connection refused")
        protocol = protocol_factory()
        here = FakeTransport(self, source, address[0], protocol)
        token = HOST.set(address[0])
        try:
            peer_protocol = factory()
            there = FakeTransport(self, address[0], source, peer_protocol)
            here.join(there)
            there.join(here)
            peer_protocol.connection_made(there)
        finally:
            HOST.reset(token)
        protocol.connection_made(here)
        return here, protocol

    async def create_server(self,
                            protocol_factory: Any,
                            host: Any = None,
                            port: Any = None,
                            **options: Any) -> Any:
        """Listens."""
        del options
        address = (str(host), int(port))
        self.network.listeners[address] = protocol_factory
        return _FakeServer(self.network, address)

    async def create_datagram_endpoint(  # type: ignore[override]
            self,
            protocol_factory: Any,
            local_addr: Any = None,
            **options: Any) -> Any:
        """Binds a datagram socket."""
        del options
        protocol = protocol_factory()
        self.network.datagrams[tuple(local_addr)] = protocol
        transport = _FakeDatagrams(self, tuple(local_addr))
        protocol.connection_made(transport)
        return transport, protocol


@contextlib.contextmanager
def running(seed: int) -> Any:
    """Gives a loop, with the product's clock set to it."""
    loop = VirtualLoop(seed)
    with clock.set_to(loop.now_ms):
        try:
            yield loop
        finally:
            for task in asyncio.all_tasks(loop):
                task.cancel()
            loop.run_until_complete(asyncio.sleep(0))
            loop.close()
