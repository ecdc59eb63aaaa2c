"""All nodes that a node has ever received from or read of, by data centre.

Unlike the live nodes, it keeps nodes that this node can't hear at the moment.
Nodes that are cut off from each other thus still agree on it.
"""

from collections.abc import Iterable

# How long a node is kept after its last message. The shares of dead nodes are
# lost for this long; if three parts of a fleet stay cut off from each other for
# longer, each takes itself for the whole fleet.
RETENTION_MS = 3_600_000.0
# How long a node of the store's table that has never been heard is kept. A
# running node is heard within seconds if it can be reached.
UNHEARD_RETENTION_MS = 600_000.0


class KnownNodes:
    """All nodes that were ever heard or read of, and have not expired."""

    def __init__(self, node: str, data_centre: str) -> None:
        self._node = node
        self._data_centre = data_centre
        # By name: the data centre of each node that was heard, and when it was
        # last heard.
        self._heard: dict[str, tuple[str, float]] = {}
        # When each node that was never heard was first read of.
        self._unheard_ms: dict[str, float] = {}
        self._has_read_table = False

    def heard(self, node: str, data_centre: str, now_ms: float) -> None:
        """Records a message of a node."""
        self._heard[node] = data_centre, now_ms
        self._unheard_ms.pop(node, None)

    def listed(self, nodes: Iterable[str], now_ms: float) -> None:
        """Records a read of the store's table of nodes."""
        self._has_read_table = True
        nodes = set(nodes)
        self._drop_expired(nodes, now_ms)
        for each in nodes:
            if each != self._node and each not in self._heard:
                self._unheard_ms.setdefault(each, now_ms)

    def nodes_of(self, data_centre: str,
                 now_ms: float) -> frozenset[str] | None:
        """Returns the names of the nodes that may be in a data centre.

        The data centre of a node that was never heard is unknown, so that it
        counts in each. Without any node there, all known nodes are returned.

        Args:
            data_centre: The data centre.
            now_ms: The time.

        Returns:
            The names; None if this node has not read the table of nodes yet.
            It then does not know how many others there are.
        """
        if not self._has_read_table:
            return None
        places = self._places(now_ms)
        there = {name for name, place in places.items() if place == data_centre}
        return frozenset((there | self._unheard(now_ms)) or places)

    def count(self, now_ms: float) -> int | None:
        """Returns how many nodes there may be; None as for `nodes_of`."""
        if not self._has_read_table:
            return None
        return len(self._places(now_ms)) + len(self._unheard(now_ms))

    def _unheard(self, now_ms: float) -> set[str]:
        return {
            name for name, since_ms in self._unheard_ms.items()
            if now_ms - since_ms < UNHEARD_RETENTION_MS
        }

    def _places(self, now_ms: float) -> dict[str, str]:
        """Returns the data centre of each node that was heard, by name."""
        return {
            name: place
            for name, (place, heard_ms) in self._heard.items()
            if now_ms - heard_ms < RETENTION_MS
        } | {
            self._node: self._data_centre
        }

    def _drop_expired(self, listed: set[str], now_ms: float) -> None:
        """Drops expired nodes.

        One that is still in the table keeps its entry, so that the next read
        does not count it anew.
        """
        for name, (_, heard_ms) in list(self._heard.items()):
            if now_ms - heard_ms >= RETENTION_MS:
                del self._heard[name]
                self._unheard_ms[name] = heard_ms
        for name, since_ms in list(self._unheard_ms.items()):
            is_expired = now_ms - since_ms >= UNHEARD_RETENTION_MS
            if is_expired and name not in listed:
                del self._unheard_ms[name]
