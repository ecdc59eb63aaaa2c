"""Combines this node's requests at groups with those that peers report."""

from cardamommill.domain import model
from cardamommill.gateway.fleet import inflight, loadsums


class GroupLoads:
    """The load of each group, as far as this node knows.

    Attributes:
        own: This node's in-flight requests.
        age_ms: Mean age of the loads that other nodes reported.
    """

    def __init__(self) -> None:
        self.own = inflight.InFlightRequests()
        self.age_ms = 0.0
        self._near: dict[model.GroupKey, inflight.GroupLoad] = {}
        self._far: loadsums.Loads = {}

    def receive(self, near: dict[model.GroupKey, inflight.GroupLoad],
                far: loadsums.Loads, age_ms: float) -> None:
        """Replaces the loads that other nodes reported.

        Args:
            near: Sums over the nodes whose individual reports reach this node,
                by group.
            far: Sums over the nodes of other data centres, by the group's
                short id.
            age_ms: Mean age of the reports.
        """
        self._near = near
        self._far = far
        self.age_ms = age_ms

    def others(self, key: model.GroupKey) -> inflight.GroupLoad:
        """Returns the load of all other nodes at a group."""
        return self._near.get(key, inflight.NO_LOAD).plus(
            self._far.get(key.short_id, inflight.NO_LOAD))

    def load(self, key: model.GroupKey) -> inflight.GroupLoad:
        """Returns the load of all nodes at a group."""
        return self.own.load(key).plus(self.others(key))
