"""Determines which groups accept requests, cached per version of the view."""

from collections.abc import Iterable
import dataclasses

from cardamommill.domain import model
from cardamommill.gateway.fleet import fleetview

# A silent group is avoided for this long, while its members are probed.
SUSPECT_AVOID_MS = 400.0
# A group without progress, although its members answer, is avoided for this
# long.
STALLED_AVOID_MS = 1000.0
# A dead runner's entry expires three heartbeat intervals after its last
# heartbeat, which may have been sent just before the failure. One interval is
# added for delays on the way.
EXPIRY_HEARTBEATS = 4.0


@dataclasses.dataclass(frozen=True, slots=True)
class AvailableGroup:
    """A group that accepts requests.

    Attributes:
        key: The group's key.
        model: The name of the model that it serves.
        head: The runner that receives the group's requests.
        pace: Factor on all durations, from the slowest member.
        spans_domains: Whether the members are in more than one fabric domain.
        has_leaving_member: Whether a member has announced that it is leaving.
        data_centres: The data centres of its members.
    """

    key: model.GroupKey
    model: str
    head: fleetview.RunnerRecord
    pace: float
    spans_domains: bool
    has_leaving_member: bool
    data_centres: frozenset[str]


def confirmed_alarm_ms(heartbeat_ms: float, drain_ms: float) -> float:
    """Returns for how long a group with a dead member is avoided.

    For this long the runner list may still name a dead head as serving. With
    4.5 s, where the entry takes 3.6 s to expire and the node 0.8 s or more to
    read the list, dead groups got requests of all nodes a second time.

    Args:
        heartbeat_ms: Interval between the heartbeats of a runner.
        drain_ms: Time within which this node acts on a change of the list.
    """
    return EXPIRY_HEARTBEATS * heartbeat_ms + drain_ms


class AvailableGroups:
    """The groups of each service that accept requests."""

    def __init__(self, view: fleetview.FleetView) -> None:
        self._view = view
        self._version = -1
        self._by_service: dict[str, list[AvailableGroup]] = {}
        self._avoid_until_ms: dict[model.GroupKey, float] = {}
        # Groups with a member that did not answer a probe, and closed groups.
        self._down_until_ms: dict[model.GroupKey, float] = {}

    def of_model(self, service: str,
                 model_name: str) -> Iterable[AvailableGroup]:
        """Returns the available groups of a model."""
        if self._version != self._view.version:
            self._version = self._view.version
            self._by_service = {}
        if service not in self._by_service:
            self._by_service[service] = [
                available for group in self._view.groups(service).values()
                if (available := _available_group(group)) is not None
            ]
        return [
            each for each in self._by_service[service]
            if each.model == model_name
        ]

    def avoid(self, key: model.GroupKey, until_ms: float) -> None:
        """Makes a group the last choice until some time.

        Args:
            key: The group's key.
            until_ms: When to stop; a later time set before stays in force.
        """
        self._avoid_until_ms[key] = max(until_ms,
                                        self._avoid_until_ms.get(key, 0.0))

    def mark_down(self, key: model.GroupKey, until_ms: float) -> None:
        """Avoids a group that has a dead member or a closed head.

        Args:
            key: The group's key.
            until_ms: When to stop; a later time set before stays in force.
        """
        self.avoid(key, until_ms)
        self._down_until_ms[key] = max(until_ms,
                                       self._down_until_ms.get(key, 0.0))

    def stop_avoiding(self, key: model.GroupKey) -> None:
        """Ends the avoidance of a group."""
        self._avoid_until_ms.pop(key, None)
        self._down_until_ms.pop(key, None)

    def is_avoided(self, key: model.GroupKey, now_ms: float) -> bool:
        """Whether a group is avoided at the moment."""
        return _is_before(self._avoid_until_ms, key, now_ms)

    def is_down(self, key: model.GroupKey, now_ms: float) -> bool:
        """Whether a group is known to have a dead member or a closed head."""
        return _is_before(self._down_until_ms, key, now_ms)


def _is_before(until_ms: dict[model.GroupKey, float], key: model.GroupKey,
               now_ms: float) -> bool:
    """Whether a group's time is still to come; drops it once it is over."""
    end_ms = until_ms.get(key)
    if end_ms is None:
        return False
    if now_ms < end_ms:
        return True
    del until_ms[key]
    return False


def _available_group(group: fleetview.Group) -> AvailableGroup | None:
    head = group.head
    if not group.is_open or head is None or not head.is_usable:
        return None
    if any(each.down_ms for each in group.members.values()):
        return None
    return AvailableGroup(
        group.key, group.model, head,
        max(each.pace for each in group.members.values()),
        len(group.domains) > 1,
        any(each.is_leaving for each in group.members.values()),
        frozenset(each.runner.data_centre for each in group.members.values()))
