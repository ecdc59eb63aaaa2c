"""The clock of evidence: it counts the time in which a VM was suspended."""

from collections.abc import Callable, Iterator
import contextlib
import time

from cardamommill import units


def _boot_time_ms() -> float:
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) / units.NS_PER_MS


_read: Callable[[], float] = _boot_time_ms


def now_ms() -> float:
    """Returns milliseconds on a clock that goes on while the VM sleeps.

    A node that trusted a clock that stands still would, after a pause, send
    work on evidence from before it, and on keys that were taken away.
    """
    return _read()


@contextlib.contextmanager
def set_to(read: Callable[[], float]) -> Iterator[None]:
    """Has another clock read, for runs in simulated time."""
    global _read
    before, _read = _read, read
    try:
        yield
    finally:
        _read = before
