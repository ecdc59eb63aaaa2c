"""Tracks the in-flight requests of this node at each group."""

import dataclasses

from cardamommill.domain import model


@dataclasses.dataclass(frozen=True, slots=True)
class GroupLoad:
    """The number of requests at a group.

    Attributes:
        requests: Requests that run, or wait and can meet their objective.
        deferred: Requests that wait behind these and will miss it.
        pending_prompt_tokens: Prompt tokens not yet processed, without those of
            deferred requests.
    """

    requests: int = 0
    deferred: int = 0
    pending_prompt_tokens: int = 0

    @property
    def total_requests(self) -> int:
        """The number of all requests, including deferred ones."""
        return self.requests + self.deferred

    def plus(self, other: "GroupLoad") -> "GroupLoad":
        """Returns the sum of two loads."""
        return GroupLoad(
            self.requests + other.requests, self.deferred + other.deferred,
            self.pending_prompt_tokens + other.pending_prompt_tokens)

    def minus(self, other: "GroupLoad") -> "GroupLoad":
        """Returns the difference of two loads."""
        return GroupLoad(
            self.requests - other.requests, self.deferred - other.deferred,
            self.pending_prompt_tokens - other.pending_prompt_tokens)


@dataclasses.dataclass(slots=True)
class _InFlightRequest:
    """A request at a group; `begun` once it has given an event."""

    prompt_tokens: int
    is_deferred: bool
    begun: bool = False


NO_LOAD = GroupLoad()


class InFlightRequests:
    """Tracks this node's in-flight requests by group."""

    def __init__(self) -> None:
        self._groups: dict[model.GroupKey, dict[str, _InFlightRequest]] = {}

    def add_request(self, key: model.GroupKey, request: str, prompt_tokens: int,
                    is_deferred: bool) -> None:
        """Adds a request that is sent to a group."""
        self._groups.setdefault(key, {})[request] = _InFlightRequest(
            prompt_tokens, is_deferred)

    def event(self, key: model.GroupKey, request: str) -> None:
        """Records an event of a request: its prompt has been processed."""
        entry = self._groups.get(key, {}).get(request)
        if entry is not None:
            entry.begun = True

    def remove_request(self, key: model.GroupKey, request: str) -> None:
        """Removes a request that is no longer at a group."""
        requests = self._groups.get(key)
        if requests is None:
            return
        requests.pop(request, None)
        if not requests:
            del self._groups[key]

    def load(self, key: model.GroupKey) -> GroupLoad:
        """Returns the load of this node at a group.

        A deferred request counts as deferred only until its first event.
        """
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
        """Returns the load of this node at every group."""
        return {key: self.load(key) for key in self._groups}
