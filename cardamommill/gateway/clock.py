"""The clock of evidence: it counts the time in which a VM was suspended."""

from collections.abc import Callable, Iterator
import contextlib
from typing import TypeVar

from cardamommill import boottime

_Key = TypeVar("_Key")
_Value = TypeVar("_Value")

_read: Callable[[], float] = boottime.now_ms


def now_ms() -> float:
    """Returns milliseconds on a clock that goes on while the VM sleeps.

    A node that trusted a clock that stands still would, after a pause, send
    work on evidence from before it, and on keys that were taken away.
    """
    return _read()


@contextlib.contextmanager
def override(read: Callable[[], float]) -> Iterator[None]:
    """Has another clock read, for runs in simulated time."""
    global _read
    before, _read = _read, read
    try:
        yield
    finally:
        _read = before


def drop_expired(table: dict[_Key, _Value], at_ms: Callable[[_Value], float],
                 age_ms: float, now: float) -> None:
    """Drops from a table what is older than an age.

    Args:
        table: Changed in place.
        at_ms: Returns a value's time.
        age_ms: The greatest that is kept.
        now: The time, in ms.
    """
    for key, value in list(table.items()):
        if now - at_ms(value) > age_ms:
            del table[key]
