"""Which part of an account's limit a node may use.

The document splits a limit over data centres, and the nodes of one split its
part by their demand. Bounds over all nodes together, for a limit L in any time
t: ``L * t`` for the rate, plus the burst and one for each node; for requests
in progress, L plus one for each node, or what was running when a share shrank.
Where a part of the nodes is cut off, each part uses as much of the limit as it
has of the nodes.
"""

import collections
from collections.abc import Iterable, Mapping
import dataclasses

from cardamommill import board as board_lib
from cardamommill import documents, periods

# This part is shared out equally, so that an account that has just come to a
# node need not wait there until the others have heard of it.
EQUAL_PART = 0.25
# A node that isn't heard keeps its place for so long: it may only be cut off,
# and use its part at the other side.
REMEMBER_MS = 60_000
# Until it has had time to hear of others, a node takes itself for one of two.
START_NODES = 2


def growth_ms(timing: periods.Timing) -> int:
    """Returns how long a larger share has to last before it is used.

    Those whose share shrinks must have learned of it before another's grows:
    news is one pull old at most, or a peer counts as away.

    Args:
        timing: The periods in force.
    """
    return (timing.peer_timeout_ms + timing.pull_ms + timing.pull_timeout_ms)


def data_centre_part(document: documents.Document, data_centre: str) -> float:
    """Returns the part of every limit that a data centre may use.

    It follows from the document alone, so a data centre that is cut off need
    not agree with anybody.

    Args:
        document: The service's.
        data_centre: Which.
    """
    weights = {
        name: max(1, each.replicas) for name, each in document.capacity.items()
    }
    if not weights:
        return 1.0
    return weights.get(data_centre, 1) / sum(weights.values())


class Nodes:
    """The nodes of this data centre: heard, or not for some time.

    Attributes:
        heard: Nodes that were heard lately, without this one.
        silent: How many are remembered besides.
    """

    def __init__(self) -> None:
        self._heard_ms: dict[str, int] = {}
        self._left: set[str] = set()
        self._first_ms: int | None = None
        self.heard: frozenset[str] = frozenset()
        self.silent = 0

    def update(self, peers: Mapping[str, board_lib.Peer],
               timing: periods.Timing, now_ms: int) -> None:
        """Takes in who is heard now."""
        if self._first_ms is None:
            self._first_ms = now_ms
        for name, peer in peers.items():
            self._heard_ms[name] = peer.heard_ms
            if peer.ready:
                self._left.discard(name)
            else:
                self._left.add(name)
        silent = 0
        heard = set()
        for name, heard_ms in list(self._heard_ms.items()):
            age_ms = now_ms - heard_ms
            if name in peers and age_ms <= timing.peer_timeout_ms:
                heard.add(name)
            elif age_ms > REMEMBER_MS or name in self._left:
                del self._heard_ms[name]
                self._left.discard(name)
            else:
                silent += 1
        self.heard = frozenset(heard)
        self.silent = silent

    def part(self, own: float, others: Iterable[float], timing: periods.Timing,
             now_ms: int) -> float:
        """Returns the part of the data centre's limit by the demand of now.

        Args:
            own: This node's demand.
            others: The demand of each node that was heard.
            timing: The periods in force.
            now_ms: The local monotonic time.
        """
        count = len(self.heard) + 1
        total = own + sum(others)
        by_demand = own / total if total else 1 / count
        part = EQUAL_PART / count + (1 - EQUAL_PART) * by_demand
        # Both sides of a cut count all nodes, and use no more together.
        part *= count / (count + self.silent)
        if (self._first_ms is None or
                now_ms - self._first_ms < growth_ms(timing)):
            part = min(part, 1 / max(START_NODES, count))
        return part


@dataclasses.dataclass(slots=True)
class Window:
    """The least value of the last while."""

    _values: "collections.deque[tuple[int, float]]" = dataclasses.field(
        default_factory=collections.deque)

    def least(self, value: float, now_ms: int, window_ms: int) -> float:
        """Adds a value and returns the least one in the window.

        Args:
            value: The newest.
            now_ms: The local monotonic time.
            window_ms: How long a value counts.
        """
        values = self._values
        while values and values[-1][1] >= value:
            values.pop()
        values.append((now_ms, value))
        while values[0][0] < now_ms - window_ms:
            values.popleft()
        return values[0][1]


def demands(peers: Mapping[str, board_lib.Peer], heard: Iterable[str],
            service: str, account: str) -> list[float]:
    """Returns the demand of an account at each node that was heard."""
    return [
        sum(use.requests_per_s
            for use in peers[name].uses
            if (use.service, use.account) == (service, account))
        for name in heard
    ]
