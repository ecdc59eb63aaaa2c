"""For which data centres' runners a node plans, by what nodes tell of it."""

from cardamommill.gateway import peermessage

# Two that began to plan within this did not hear of each other in time.
TOGETHER_MS = 500.0


class Election:
    """Decided by each node for itself; one plans for each data centre.

    Whoever plans for one goes on while it lives: a node that comes back does
    not know what was begun. Where nobody plans, the first living node of the
    data centre does, or else the first of all; first is the lowest name.
    """

    def __init__(self, node: str, data_centre: str) -> None:
        self._node = node
        self._data_centre = data_centre
        self._since_ms: dict[str, float] = {}

    @property
    def won(self) -> frozenset[str]:
        """The data centres for which this node plans."""
        return frozenset(self._since_ms)

    def ages_ms(self, now_ms: float) -> dict[str, float]:
        """Returns for how long this node has planned for whom."""
        return {
            name: now_ms - since_ms
            for name, since_ms in self._since_ms.items()
        }

    def hold(self, data_centres: tuple[str, ...],
             alive: list[peermessage.PeerMessage], now_ms: float) -> None:
        """Settles anew for which data centres this node plans.

        Args:
            data_centres: All of them.
            alive: What the living other nodes told last.
            now_ms: The time.
        """
        planners = [each for each in alive if each.planning_age_ms]
        for data_centre in data_centres:
            if self._wins(data_centre, alive, planners, now_ms):
                self._since_ms.setdefault(data_centre, now_ms)
            else:
                self._since_ms.pop(data_centre, None)

    def _wins(self, data_centre: str, alive: list[peermessage.PeerMessage],
              planners: list[peermessage.PeerMessage], now_ms: float) -> bool:
        since_ms = self._since_ms.get(data_centre)
        others = [(each.planning_age_ms[data_centre], each.node)
                  for each in planners
                  if data_centre in each.planning_age_ms]
        if since_ms is not None:
            # The longest plans on; of two that began together, the lowest.
            age_ms = now_ms - since_ms
            return all(age_ms > other_ms + TOGETHER_MS or
                       (age_ms > other_ms - TOGETHER_MS and self._node < name)
                       for other_ms, name in others)
        if others:
            return False
        nodes = [(self._data_centre, self._node)]
        nodes += [(each.data_centre, each.node) for each in alive]
        local = sorted(name for place, name in nodes if place == data_centre)
        return self._node == (local or sorted(name for _, name in nodes))[0]
