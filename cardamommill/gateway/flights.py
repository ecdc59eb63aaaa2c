"""Which requests this node has at which groups, and what peers have there."""

import dataclasses

from cardamommill.gateway import model


@dataclasses.dataclass(frozen=True, slots=True)
class GroupLoad:
    """What is at a group.

    Attributes:
        requests: Those that run, or wait to be in time.
        patient: Those that wait behind all of these; they will be late.
        unread_tokens: Prompt tokens of requests that wait to be in time.
    """

    requests: int = 0
    patient: int = 0
    unread_tokens: int = 0

    @property
    def all_requests(self) -> int:
        """All of them, late or not."""
        return self.requests + self.patient

    def plus(self, other: "GroupLoad") -> "GroupLoad":
        """Returns the sum."""
        return GroupLoad(self.requests + other.requests,
                         self.patient + other.patient,
                         self.unread_tokens + other.unread_tokens)

    def minus(self, other: "GroupLoad") -> "GroupLoad":
        """Returns the difference."""
        return GroupLoad(self.requests - other.requests,
                         self.patient - other.patient,
                         self.unread_tokens - other.unread_tokens)


@dataclasses.dataclass(slots=True)
class _Flight:
    prompt_tokens: int
    patient: bool
    begun: bool = False


NO_LOAD = GroupLoad()


class Flights:
    """Counts this node's requests at groups."""

    def __init__(self) -> None:
        self._groups: dict[model.GroupKey, dict[str, _Flight]] = {}

    def begins(self, key: model.GroupKey, request: str, prompt_tokens: int,
               patient: bool) -> None:
        """Notes a request that is sent to a group."""
        self._groups.setdefault(key,
                                {})[request] = _Flight(prompt_tokens, patient)

    def event(self, key: model.GroupKey, request: str) -> None:
        """Notes that a request runs: its prompt has been read."""
        flight = self._groups.get(key, {}).get(request)
        if flight is not None:
            flight.begun = True

    def ends(self, key: model.GroupKey, request: str) -> None:
        """Notes that a request is no longer at a group."""
        flights = self._groups.get(key)
        if flights is None:
            return
        flights.pop(request, None)
        if not flights:
            del self._groups[key]

    def load(self, key: model.GroupKey) -> GroupLoad:
        """Returns what this node has at a group."""
        flights = self._groups.get(key)
        if not flights:
            return NO_LOAD
        counted = [
            each for each in flights.values() if each.begun or not each.patient
        ]
        return GroupLoad(
            len(counted),
            len(flights) - len(counted),
            sum(each.prompt_tokens for each in counted if not each.begun))

    def loads(self) -> dict[model.GroupKey, GroupLoad]:
        """Returns what this node has at all groups."""
        return {key: self.load(key) for key in self._groups}
