"""What the nodes of other data centres have at which groups, as sums.

Told by each node to each other one it is nodes times nodes, and so seldom to
each that requests were placed by loads of twenty seconds ago. So the reporters
of a data centre tell those of the others its sum of each group, and these pass
on to their own data centre what came from all others.
"""

from collections.abc import Iterable
import dataclasses

from cardamommill.gateway import inflight, model

# One may die while the other still reports.
REPORTERS = 2
REPORT_MS = 500.0
# Two reports that don't come, and their way through two nodes.
SUMS_AGE_MS = 3.5 * REPORT_MS

Loads = dict[int, inflight.GroupLoad]


@dataclasses.dataclass(frozen=True, slots=True)
class LoadSums:
    """Sums of loads, by the short id of the group.

    Attributes:
        age_ms: How long ago the oldest of them was told.
        loads: Those that are not zero.
    """

    age_ms: float
    loads: Loads


def sum_loads(parts: Iterable[Loads]) -> Loads:
    """Returns the sum of each group."""
    found: Loads = {}
    for part in parts:
        for short_id, load in part.items():
            found[short_id] = found.get(short_id, inflight.NO_LOAD).plus(load)
    return found


def loads_by_short_id(loads: dict[model.GroupKey, inflight.GroupLoad]) -> Loads:
    """Returns loads by the marks of their groups."""
    return {key.short_id: load for key, load in loads.items()}


class RemoteLoads:
    """Sums of other data centres, as one node hears them."""

    def __init__(self) -> None:
        # By data centre, from its reporters; known to reporters alone.
        self._told: dict[str, tuple[float, Loads]] = {}
        # The sum of those that are young, and of which it is.
        self._added: Loads = {}
        self._added_of: dict[str, tuple[float, Loads]] = {}
        # Of all other data centres, from a reporter of this one.
        self._passed_on: tuple[float, Loads] = (float("-inf"), {})

    def receive(self, load_sums: LoadSums, data_centre: str | None,
                now_ms: float) -> None:
        """Takes sums that a peer told.

        Args:
            load_sums: What it told.
            data_centre: The peer's, and whose sum it is; None for a peer of
                this data centre, which tells of all others.
            now_ms: The time.
        """
        as_of_ms = now_ms - load_sums.age_ms
        if data_centre is not None:
            self._told[data_centre] = (as_of_ms, load_sums.loads)
        elif as_of_ms > self._passed_on[0]:
            self._passed_on = (as_of_ms, load_sums.loads)

    def sums_to_relay(self, now_ms: float) -> LoadSums | None:
        """Returns what this node's data centre should hear of the others."""
        young = {
            place: told
            for place, told in self._told.items()
            if now_ms - told[0] < SUMS_AGE_MS
        }
        if not young:
            return None
        if young != self._added_of:
            # Asked for in each tick, while reports come twice a second.
            self._added_of = young
            self._added = sum_loads(loads for _, loads in young.values())
        oldest_ms = min(as_of_ms for as_of_ms, _ in young.values())
        return LoadSums(now_ms - oldest_ms, self._added)

    def loads(self, now_ms: float) -> Loads:
        """Returns the newest that is known, without what is too old."""
        own = self.sums_to_relay(now_ms)
        if own is not None:
            return own.loads
        as_of_ms, loads = self._passed_on
        return loads if now_ms - as_of_ms < 2 * SUMS_AGE_MS else {}
