"""A local clock that goes on while the VM sleeps."""

import time

from cardamommill import units


def now_ms() -> float:
    """Returns milliseconds since the VM was started, sleep included.

    The monotonic clock of the standard library stands still meanwhile.
    """
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) / units.NS_PER_MS
