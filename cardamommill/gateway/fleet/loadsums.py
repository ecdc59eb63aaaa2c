"""Sums of the load at each group, exchanged between data centres.

If each node sent its loads to each other node, the number of messages would
grow with the square of the number of nodes. Messages would have to be so rare
that loads used for placement were twenty seconds old. Instead, the reporters
of a data centre send its load sums to the reporters of the others, and these
relay them within their own data centre.
"""

from collections.abc import Iterable
import dataclasses

from cardamommill.domain import model
from cardamommill.gateway.fleet import inflight

# Reporters of a data centre: a second one in case the first fails.
REPORTER_COUNT = 2
REPORT_INTERVAL_MS = 500.0
# Allows for two lost reports and for the delay in the two reporters.
MAX_SUMS_AGE_MS = 3.5 * REPORT_INTERVAL_MS

# By the short ID of the group.
Loads = dict[int, inflight.GroupLoad]


@dataclasses.dataclass(frozen=True, slots=True)
class LoadSums:
    """Load sums by the short ID of the group.

    Attributes:
        age_ms: Age of the oldest report among them.
        loads: The sums that are not zero.
    """

    age_ms: float
    loads: Loads


def sum_loads(parts: Iterable[Loads]) -> Loads:
    """Returns the total load of each group."""
    found: Loads = {}
    for part in parts:
        for short_id, load in part.items():
            found[short_id] = found.get(short_id, inflight.NO_LOAD).plus(load)
    return found


def loads_by_short_id(loads: dict[model.GroupKey, inflight.GroupLoad]) -> Loads:
    """Returns loads by the short IDs of their groups."""
    return {key.short_id: load for key, load in loads.items()}


class RemoteLoads:
    """Load sums of remote data centres, as received by one node."""

    def __init__(self) -> None:
        # By data centre, from its reporters; only reporters receive these.
        self._received: dict[str, tuple[float, Loads]] = {}
        # The cached total of the current reports, and the reports that it was
        # computed from.
        self._total: Loads = {}
        self._total_inputs: dict[str, tuple[float, Loads]] = {}
        # The total of all remote data centres, from a reporter of this one.
        self._relayed: tuple[float, Loads] = (float("-inf"), {})

    def receive(self, load_sums: LoadSums, data_centre: str | None,
                now_ms: float) -> None:
        """Stores load sums that a peer sent.

        Args:
            load_sums: The sums.
            data_centre: The data centre of the peer and of the sums; None for
                a peer of this data centre, which sends the total of all others.
            now_ms: The time.
        """
        as_of_ms = now_ms - load_sums.age_ms
        if data_centre is not None:
            self._received[data_centre] = (as_of_ms, load_sums.loads)
        elif as_of_ms > self._relayed[0]:
            self._relayed = (as_of_ms, load_sums.loads)

    def sums_to_relay(self, now_ms: float) -> LoadSums | None:
        """Returns the load sums to relay within this data centre, if any."""
        recent = {
            place: told
            for place, told in self._received.items()
            if now_ms - told[0] < MAX_SUMS_AGE_MS
        }
        if not recent:
            return None
        if recent != self._total_inputs:
            # Cached: called in each tick, while reports come twice a second.
            self._total_inputs = recent
            self._total = sum_loads(loads for _, loads in recent.values())
        oldest_ms = min(as_of_ms for as_of_ms, _ in recent.values())
        return LoadSums(now_ms - oldest_ms, self._total)

    def loads(self, now_ms: float) -> Loads:
        """Returns the newest load sums of all remote data centres.

        Sums that are too old are left out.
        """
        received = self.sums_to_relay(now_ms)
        if received is not None:
            return received.loads
        as_of_ms, loads = self._relayed
        # They may have had the maximum age already when they were relayed.
        return loads if now_ms - as_of_ms < 2 * MAX_SUMS_AGE_MS else {}
