"""Which requests this node has at which groups, and what peers have there."""

import dataclasses

from cardamommill.gateway import model


@dataclasses.dataclass(frozen=True, slots=True)
class GroupLoad:
    """What is at a group.

    Attributes:
        requests: Those that run, or wait to be in time.
        deferred: Those that wait behind all of these; they will be late.
        pending_prompt_tokens: Prompt tokens of requests that wait to be in
            time.
    """

    requests: int = 0
    deferred: int = 0
    pending_prompt_tokens: int = 0

    @property
    def total_requests(self) -> int:
        """All of them, late or not."""
        return self.requests + self.deferred

    def plus(self, other: "GroupLoad") -> "GroupLoad":
        """Returns the sum."""
        return GroupLoad(
            self.requests + other.requests, self.deferred + other.deferred,
            self.pending_prompt_tokens + other.pending_prompt_tokens)

    def minus(self, other: "GroupLoad") -> "GroupLoad":
        """Returns the difference."""
        return GroupLoad(
            self.requests - other.requests, self.deferred - other.deferred,
            self.pending_prompt_tokens - other.pending_prompt_tokens)


@dataclasses.dataclass(slots=True)
class _InFlightRequest:
    prompt_tokens: int
    is_deferred: bool
    begun: bool = False


NO_LOAD = GroupLoad()


class InFlightRequests:
    """Counts this node's requests at groups."""

    def __init__(self) -> None:
        self._groups: dict[model.GroupKey, dict[str, _InFlightRequest]] = {}

    def add_request(self, key: model.GroupKey, request: str, prompt_tokens: int,
                    is_deferred: bool) -> None:
        """Notes a request that is sent to a group."""
        self._groups.setdefault(key, {})[request] = _InFlightRequest(
            prompt_tokens, is_deferred)

    def event(self, key: model.GroupKey, request: str) -> None:
        """Notes that a request runs: its prompt has been read."""
        entry = self._groups.get(key, {}).get(request)
        if entry is not None:
            entry.begun = True

    def remove_request(self, key: model.GroupKey, request: str) -> None:
        """Notes that a request is no longer at a group."""
        requests = self._groups.get(key)
        if requests is None:
            return
        requests.pop(request, None)
        if not requests:
            del self._groups[key]

    def load(self, key: model.GroupKey) -> GroupLoad:
        """Returns what this node has at a group."""
        requests = self._groups.get(key)
        if not requests:
            return NO_LOAD
        counted = [
            each for each in requests.values()
            if each.begun or not each.is_deferred
        ]
        return GroupLoad(
            len(counted),
            len(requests) - len(counted),
            sum(each.prompt_tokens for each in counted if not each.begun))

    def loads(self) -> dict[model.GroupKey, GroupLoad]:
        """Returns what this node has at all groups."""
        return {key: self.load(key) for key in self._groups}
