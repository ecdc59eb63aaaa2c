"""An asyncio event loop with a simulated clock and network.

Nodes run in it unmodified, beside the simulated store, runners and clients.
Waiting takes no real time, and a run is reproducible from its seed.
"""

import asyncio
from collections.abc import Callable
import contextlib
import random
from typing import Any

from cardamommill import units
from cardamommill.domain import clock
from cardamommill.experiment import virtualnetwork


class _Selector:
    """Advances the simulated clock instead of waiting for I/O."""

    def __init__(self, loop: "VirtualLoop") -> None:
        self._loop = loop

    def select(self, timeout: float | None) -> list[Any]:
        """Advances the clock by the timeout; there are never I/O events."""
        if timeout is None:
            raise RuntimeError(
                "deadlock: no callback is scheduled and there is no I/O")
        if timeout > 0:
            self._loop.advance(timeout)
        return []

    def close(self) -> None:
        """Does nothing; required by asyncio."""


class VirtualLoop(asyncio.BaseEventLoop):
    """Event loop that runs many hosts on one simulated clock."""

    def __init__(self, seed: int) -> None:
        super().__init__()
        self._now_s = 0.0
        self._selector = _Selector(self)
        self.network = virtualnetwork.Network(random.Random(seed))
        self.signals: dict[tuple[str, int], Callable[[], None]] = {}

    def advance(self, seconds: float) -> None:
        """Advances the simulated clock."""
        self._now_s += seconds

    def time(self) -> float:
        """Returns the simulated time in seconds."""
        return self._now_s

    def now_ms(self) -> float:
        """Returns the simulated time in milliseconds, for `domain.clock`."""
        return 1e6 + self._now_s * units.MS_PER_S

    def _process_events(self, event_list: Any) -> None:
        del event_list

    def _write_to_self(self) -> None:
        pass

    def add_signal_handler(  # type: ignore[override]
            self, sig: int, callback: Any, *args: Any) -> None:
        """Registers a signal handler of the current host."""
        self.signals[(virtualnetwork.HOST.get(),
                      int(sig))] = lambda: callback(*args)

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
        """Connects; hangs if the peer is unreachable or cut off."""
        del options
        source = virtualnetwork.HOST.get()
        network = self.network
        address = (str(host), int(port))
        await asyncio.sleep(2 * network.delay_s(source, address[0]))
        if not network.reaches(source, address[0]):
            await asyncio.sleep(1e6)
        factory = network.listeners.get(address)
        if factory is None or network.refuses(source, address[0]):
            raise ConnectionRefusedError("connection refused")
        protocol = protocol_factory()
        here = virtualnetwork.FakeTransport(self, network, source, address[0],
                                            protocol)
        token = virtualnetwork.HOST.set(address[0])
        try:
            peer_protocol = factory()
            there = virtualnetwork.FakeTransport(self, network, address[0],
                                                 source, peer_protocol)
            here.join(there)
            there.join(here)
            peer_protocol.connection_made(there)
        finally:
            virtualnetwork.HOST.reset(token)
        protocol.connection_made(here)
        return here, protocol

    async def create_server(self,
                            protocol_factory: Any,
                            host: Any = None,
                            port: Any = None,
                            **options: Any) -> Any:
        """Registers a listener at an address of the simulated network."""
        del options
        address = (str(host), int(port))
        self.network.listeners[address] = protocol_factory
        return virtualnetwork.FakeServer(self.network, address)

    async def create_datagram_endpoint(  # type: ignore[override]
            self,
            protocol_factory: Any,
            local_addr: Any = None,
            **options: Any) -> Any:
        """Binds a datagram socket."""
        del options
        protocol = protocol_factory()
        self.network.datagrams[tuple(local_addr)] = protocol
        transport = virtualnetwork.FakeDatagrams(self, self.network,
                                                 tuple(local_addr))
        protocol.connection_made(transport)
        return transport, protocol


@contextlib.contextmanager
def running(seed: int) -> Any:
    """Yields a loop, with `domain.clock` set to its simulated time."""
    loop = VirtualLoop(seed)
    with clock.override(loop.now_ms):
        try:
            yield loop
        finally:
            for task in asyncio.all_tasks(loop):
                task.cancel()
            loop.run_until_complete(asyncio.sleep(0))
            loop.close()
