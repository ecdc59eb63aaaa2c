"""The clock of evidence: it counts the time in which a VM was suspended."""

from collections.abc import Callable, Iterator
import contextlib

from cardamommill import boottime

_read: Callable[[], float] = boottime.now_ms


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
