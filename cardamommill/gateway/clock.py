"""The clock of evidence: it counts the time in which a VM was suspended."""

import time

from cardamommill import units


def now_ms() -> float:
    """Returns milliseconds on a clock that goes on while the VM sleeps.

    A node that trusted a clock that stands still would, after a pause, send
    work on evidence from before it, and on keys that were taken away.
    """
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) / units.NS_PER_MS
