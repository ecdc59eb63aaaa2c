"""Election of the planner of each data centre, from the nodes' messages."""

from cardamommill.gateway.nodes import peermessage

# Two nodes that began to plan less than this time apart may not have known of
# each other.
SIMULTANEOUS_START_MS = 500.0


class Election:
    """Decides which data centres this node plans for.

    Each node decides for itself, so that one node plans for each data centre. A
    planner stays planner while it is alive, since a node that returns does not
    know which work is under way. Without a planner, the data centre's live node
    with the lowest name takes over. If the data centre has no live node, the
    live node with the lowest name of all does.
    """

    def __init__(self, node: str, data_centre: str) -> None:
        self._node = node
        self._data_centre = data_centre
        self._since_ms: dict[str, float] = {}

    @property
    def planned_data_centres(self) -> frozenset[str]:
        """The data centres for which this node plans."""
        return frozenset(self._since_ms)

    def planning_age_ms(self, now_ms: float) -> dict[str, float]:
        """Returns how long this node has planned, by data centre."""
        return {
            name: now_ms - since_ms
            for name, since_ms in self._since_ms.items()
        }

    def resign(self) -> None:
        """Ends this node's planning of all data centres."""
        self._since_ms.clear()

    def update(self, data_centres: tuple[str, ...],
               messages: list[peermessage.PeerMessage], now_ms: float) -> None:
        """Updates which data centres this node plans for.

        Args:
            data_centres: All data centres.
            messages: The last messages of the other live nodes.
            now_ms: The time.
        """
        planners = [each for each in messages if each.planning_age_ms]
        for data_centre in data_centres:
            if self._is_planner_of(data_centre, messages, planners, now_ms):
                self._since_ms.setdefault(data_centre, now_ms)
            else:
                self._since_ms.pop(data_centre, None)

    def _is_planner_of(self, data_centre: str,
                       messages: list[peermessage.PeerMessage],
                       planners: list[peermessage.PeerMessage],
                       now_ms: float) -> bool:
        since_ms = self._since_ms.get(data_centre)
        others = [(each.planning_age_ms[data_centre], each.node)
                  for each in planners
                  if data_centre in each.planning_age_ms]
        if since_ms is not None:
            # The node that has planned for longest stays planner; of two that
            # began together, the one with the lower name.
            age_ms = now_ms - since_ms
            return all(age_ms > other_ms + SIMULTANEOUS_START_MS or (
                age_ms > other_ms - SIMULTANEOUS_START_MS and self._node < name)
                       for other_ms, name in others)
        if others:
            return False
        nodes = [(self._data_centre, self._node)]
        nodes += [(each.data_centre, each.node) for each in messages]
        local = sorted(name for place, name in nodes if place == data_centre)
        return self._node == (local or sorted(name for _, name in nodes))[0]
