"""Which groups take requests, kept until the belief about them changes."""

from collections.abc import Iterable
import dataclasses

from cardamommill.gateway import fleetview, model

# A group that is silent here is left alone for this long, while its members
# are asked; and for as long one that stands still though they answer.
SUSPECT_AVOID_MS = 400.0
STALLED_AVOID_MS = 1000.0
# A dead runner's entry goes after three heartbeats without a word; the last may
# have come just before, and one more is lost on the way.
EXPIRY_HEARTBEATS = 4.0


@dataclasses.dataclass(frozen=True, slots=True)
class AvailableGroup:
    """A group that takes requests."""

    key: model.GroupKey
    model: str
    head: fleetview.RunnerRecord
    pace: float
    spans_domains: bool
    has_leaving_member: bool


def confirmed_alarm_ms(heartbeat_ms: float, drain_ms: float) -> float:
    """Returns for how long an alarm is heeded that found a member dead.

    Until then the list still names a dead head as one that serves. Heeded for
    4.5 s, with 3.6 s for the entry to go and 0.8 s or more to read of it, dead
    groups got requests of all nodes a second time.

    Args:
        heartbeat_ms: How often runners tell of themselves.
        drain_ms: By when this node acts on what the list says.
    """
    return EXPIRY_HEARTBEATS * heartbeat_ms + drain_ms


class AvailableGroups:
    """The groups of each service that serve."""

    def __init__(self, view: fleetview.FleetView) -> None:
        self._view = view
        self._version = -1
        self._by_service: dict[str, list[AvailableGroup]] = {}
        self._avoid_until_ms: dict[model.GroupKey, float] = {}

    def of_model(self, service: str,
                 model_name: str) -> Iterable[AvailableGroup]:
        """Returns the standing groups of a model."""
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
        """Has a group used only where no other stands."""
        self._avoid_until_ms[key] = max(until_ms,
                                        self._avoid_until_ms.get(key, 0.0))

    def stop_avoiding(self, key: model.GroupKey) -> None:
        """Takes an alarm back."""
        self._avoid_until_ms.pop(key, None)

    def is_avoided(self, key: model.GroupKey, now_ms: float) -> bool:
        """Whether an alarm is still heeded."""
        until_ms = self._avoid_until_ms.get(key)
        if until_ms is None:
            return False
        if now_ms < until_ms:
            return True
        del self._avoid_until_ms[key]
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
        any(each.is_leaving for each in group.members.values()))
