"""Rule on requests that crash the runners that run them."""

import collections
from typing import Protocol

from cardamommill.domain import clock

# Body of a request that crashes each runner that begins to run it.
DEADLY_BODY = b"deadly" * 40
# After this many crashes, a request may reach runners MAX_LATER_ARRIVALS times.
CRASHES = 3
MAX_LATER_ARRIVALS = 3


class Sent(Protocol):
    """A client's attempt; see `oracle.Sent`."""

    target: str
    body: bytes
    tenant: str
    machine: str


class CrashRules:
    """Counts crashes by request and what reaches runners afterwards."""

    def __init__(self, contact_ms: float) -> None:
        """Initialises the instance without crashes.

        Args:
            contact_ms: Requests sent by a machine later than this after the
                last of the first crashes count.
        """
        self._contact_ms = contact_ms
        self._crashes_ms: dict[object,
                               list[float]] = (collections.defaultdict(list))
        self._later_arrivals: dict[object, int] = collections.Counter()
        # When each machine last started, or was last cut off.
        self.out_of_touch_ms: dict[str, float] = {}

    @property
    def crashes(self) -> int:
        """The number of all runners that crashed under a request."""
        return sum(map(len, self._crashes_ms.values()))

    def record_crash(self, sent: Sent) -> None:
        """Records that a runner crashed because it began to run a request."""
        self._crashes_ms[_identity(sent)].append(clock.now_ms())

    def check_arrival(self, sent: Sent) -> str | None:
        """Returns what a request that reaches a runner breaks, or None."""
        crashes_ms = self._crashes_ms.get(_identity(sent), [])
        now_ms = clock.now_ms()
        since_ms = self.out_of_touch_ms.get(sent.machine, float("-inf"))
        if len(crashes_ms) < CRASHES or now_ms - self._contact_ms < max(
                since_ms, crashes_ms[CRASHES - 1]):
            return None
        self._later_arrivals[_identity(sent)] += 1
        later = self._later_arrivals[_identity(sent)]
        if later <= MAX_LATER_ARRIVALS:
            return None
        return (f"{sent.target} crashed {len(crashes_ms)} runners and reached "
                f"{later} more")


def _identity(sent: Sent) -> object:
    return sent.target, sent.body, sent.tenant
