"""The clock of the gateway; it includes the time while a VM is suspended."""

from collections.abc import Callable, Iterator
import contextlib
from typing import TypeVar

from cardamommill import boottime

_Key = TypeVar("_Key")
_Value = TypeVar("_Value")

_read: Callable[[], float] = boottime.now_ms


def now_ms() -> float:
    """Returns milliseconds on a clock that continues while the VM is suspended.

    With a clock that stops, a node would act on outdated data after a
    suspension: it would send requests to runners by their state before it, and
    accept keys that were revoked meanwhile.
    """
    return _read()


@contextlib.contextmanager
def override(read: Callable[[], float]) -> Iterator[None]:
    """Replaces the clock within a context, for runs in simulated time."""
    global _read
    before, _read = _read, read
    try:
        yield
    finally:
        _read = before


def drop_expired(table: dict[_Key, _Value], at_ms: Callable[[_Value], float],
                 age_ms: float, now: float) -> None:
    """Removes the entries of a table that are older than an age.

    Args:
        table: The table; changed in place.
        at_ms: Returns the time of a value.
        age_ms: The greatest age that is kept.
        now: The current time, in ms.
    """
    for key, value in list(table.items()):
        if now - at_ms(value) > age_ms:
            del table[key]
