"""What is at each group: own requests, and what other nodes told of theirs."""

from cardamommill.gateway import inflight, loadsums, model


class GroupLoads:
    """Loads of groups, as far as this node knows.

    Attributes:
        own: This node's requests.
        age_ms: How old what other nodes told is, in the mean.
    """

    def __init__(self) -> None:
        self.own = inflight.InFlightRequests()
        self.age_ms = 0.0
        self._near: dict[model.GroupKey, inflight.GroupLoad] = {}
        self._far: loadsums.Loads = {}

    def receive(self, near: dict[model.GroupKey, inflight.GroupLoad],
                far: loadsums.Loads, age_ms: float) -> None:
        """Takes what other nodes told last.

        Args:
            near: Of nodes that tell each for itself, by group.
            far: Sums of other data centres, by the group's short id.
            age_ms: How old it is, in the mean.
        """
        self._near = near
        self._far = far
        self.age_ms = age_ms

    def others(self, key: model.GroupKey) -> inflight.GroupLoad:
        """Returns the requests of all other nodes at a group."""
        return self._near.get(key, inflight.NO_LOAD).plus(
            self._far.get(key.short_id, inflight.NO_LOAD))

    def load(self, key: model.GroupKey) -> inflight.GroupLoad:
        """Returns the requests of all nodes at a group."""
        return self.own.load(key).plus(self.others(key))
