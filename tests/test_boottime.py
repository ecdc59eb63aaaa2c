"""Tests of the clock that goes on while the VM sleeps."""

import time

from cardamommill import boottime
from cardamommill.domain import clock


def test_all_read_the_clock_that_counts_sleep():
    # Where the VM never slept this clock is the monotonic one, and no test can
    # tell them apart; where it did, it is ahead for good.
    for read in (boottime.now_ms, clock.now_ms):
        before_ms = time.clock_gettime(time.CLOCK_BOOTTIME) * 1000
        now_ms = read()
        after_ms = time.clock_gettime(time.CLOCK_BOOTTIME) * 1000
        assert before_ms - 0.01 <= now_ms <= after_ms + 0.01
