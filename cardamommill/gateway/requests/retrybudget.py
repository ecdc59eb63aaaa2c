"""Limits the retries of each service, over all nodes together."""

import collections
import dataclasses

from cardamommill.domain import entrysettings

# Nodes learn of each other's retries too late, so each limits its own to a
# share of the budget, and uses at most this fraction of its share.
SHARE_SAFETY_FACTOR = 0.8
# The rest is left for retries that others have sent of the same budget: this
# node before its start, or a node whose callers have come to this one.
REMAINING_FACTOR = 1 - SHARE_SAFETY_FACTOR
# Callers return to a node that restarts within this time. One that gets no
# request for longer after its start had none before.
RETURN_MS = 5000.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Retry:
    """A retry that counts.

    Attributes:
        request: The id of the request.
        at_ms: When it was sent, or when an attempt of the request was found to
            have arrived late.
    """

    request: str
    at_ms: float


class RetryBudget:
    """The retry budget of one service on this node, over a sliding window."""

    def __init__(
        self,
        ratio: float,
        window_ms: float,
        slack: float,
        max_delivery_ms: float,
        started_ms: float = float("-inf")) -> None:
        """Initialises an empty window.

        Args:
            ratio: Allowed retries per request, in any window.
            window_ms: The length of the window.
            slack: Allowed retries in addition, of all nodes together.
            max_delivery_ms: How long after it was sent a retry may arrive. It
                counts for this much longer than the window, since those of two
                windows may arrive within one.
            started_ms: When the node started. It does not know what it sent
                before, so for a window after that its slack grows with time:
                any number of starts within a window use what is left by one.
                Not so if its first request comes `RETURN_MS` later or more.
        """
        self._max_delivery_ms = max_delivery_ms
        self._started_ms = started_ms
        # When this node lost another one, or its own former process.
        self._last_loss_ms = float("-inf")
        self._has_requests = False
        # Whether it is known that no former process had requests.
        self._has_started_idle = False
        self.set_limits(ratio, window_ms, slack)
        self._first_attempts_ms: collections.deque[float] = collections.deque()
        # Those of the window before.
        self._earlier_first_attempts_ms: collections.deque[float] = (
            collections.deque())
        self._retries: collections.deque[_Retry] = collections.deque()
        # Older ones, of requests of which an attempt may still arrive.
        self._held: list[_Retry] = []
        # How many attempts of each request have ended and may still arrive.
        self._unread: collections.Counter[str] = collections.Counter()

    def set_limits(self, ratio: float, window_ms: float, slack: float) -> None:
        """Changes the limits; what was counted goes on counting."""
        self._ratio = ratio
        self._window_ms = window_ms
        self._slack = slack

    def request(self, now_ms: float) -> None:
        """Counts the first attempt of a request."""
        if not self._has_requests:
            self._has_requests = True
            self._has_started_idle = now_ms - self._started_ms >= RETURN_MS
            if not self._has_started_idle:
                self.record_loss(self._started_ms)
        self._first_attempts_ms.append(now_ms)
        self._trim(now_ms)

    def may_retry(self, nodes: int | None, now_ms: float) -> bool:
        """Whether one more retry is within this node's share of the budget.

        Args:
            nodes: The number of nodes that share the budget; None if unknown.
            now_ms: The current time.
        """
        self._trim(now_ms)
        return self.retries + 1 <= self.allowed(nodes, now_ms)

    @property
    def retries(self) -> int:
        """The number of this node's retries that may arrive within a window."""
        return len(self._retries) + self.held

    @property
    def held(self) -> int:
        """How many of these are older than that and may still arrive."""
        return len(self._held)

    def allowed(self, nodes: int | None, now_ms: float) -> float:
        """Returns how many retries this node may make within the window.

        Args:
            nodes: The number of nodes that share the budget. Without it this
                node's share of the slack is unknown, and it uses none.
            now_ms: The current time.
        """
        by_requests = self._ratio * self._weighted_requests(now_ms)
        if nodes is None:
            return by_requests
        return by_requests + self._slack / nodes * self._slack_factor(now_ms)

    def record_loss(self, at_ms: float) -> None:
        """Records that another node stopped, restarted or fell silent."""
        self._last_loss_ms = max(self._last_loss_ms, at_ms)

    def _weighted_requests(self, now_ms: float) -> float:
        """Returns the requests of the window by which retries are allowed.

        While retries of a lost process may still arrive, requests that came
        anew count for less: their callers may have come from there, where their
        requests of the window before have allowed these retries.
        """
        within = len(self._first_attempts_ms)
        if now_ms - self._last_loss_ms >= self._arrival_span_ms:
            return SHARE_SAFETY_FACTOR * within
        before = len(self._earlier_first_attempts_ms)
        return (REMAINING_FACTOR * within +
                (SHARE_SAFETY_FACTOR - REMAINING_FACTOR) * min(within, before))

    def _slack_factor(self, now_ms: float) -> float:
        """Returns which part of its share of the slack this node uses."""
        uptime_ms = now_ms - self._started_ms
        if uptime_ms >= self._arrival_span_ms:
            return SHARE_SAFETY_FACTOR
        if self._has_started_idle:
            return REMAINING_FACTOR
        return REMAINING_FACTOR * uptime_ms / self._arrival_span_ms

    @property
    def _arrival_span_ms(self) -> float:
        """How long a retry may share a window with a later one."""
        return self._window_ms + self._max_delivery_ms

    def repeat(self, request: str, now_ms: float) -> None:
        """Counts a retry of a request."""
        self._retries.append(_Retry(request, now_ms))

    def record_unread(self, request: str) -> None:
        """Records that an attempt has ended and may still arrive.

        Until it has, a retry of its request counts: the attempts of a request
        are one more than its retries, whichever of them arrives last.
        """
        self._unread[request] += 1

    def record_read(self, request: str, now_ms: float) -> None:
        """Records that such an attempt has arrived by now."""
        self._remove_unread(request)
        for retries in (self._held, self._retries):
            for each in retries:
                if each.request == request:
                    retries.remove(each)
                    self._retries.append(_Retry(request, now_ms))
                    return

    def record_lost(self, request: str) -> None:
        """Records that such an attempt will not arrive any more."""
        self._remove_unread(request)
        if request not in self._unread:
            self._held = [
                each for each in self._held if each.request != request
            ]

    def _remove_unread(self, request: str) -> None:
        self._unread[request] -= 1
        if not self._unread[request]:
            del self._unread[request]

    def _trim(self, now_ms: float) -> None:
        self._earlier_first_attempts_ms.extend(
            _take_before(self._first_attempts_ms, now_ms - self._window_ms))
        _take_before(self._earlier_first_attempts_ms,
                     now_ms - 2 * self._window_ms)
        oldest_ms = now_ms - self._arrival_span_ms
        while self._retries and self._retries[0].at_ms < oldest_ms:
            one = self._retries.popleft()
            if one.request in self._unread:
                self._held.append(one)


def _take_before(times_ms: collections.deque[float],
                 oldest_ms: float) -> list[float]:
    taken = []
    while times_ms and times_ms[0] < oldest_ms:
        taken.append(times_ms.popleft())
    return taken


class RetryBudgets:
    """The retry budgets of all services."""

    def __init__(self, bounds: entrysettings.Bounds, max_delivery_ms: float,
                 started_ms: float) -> None:
        """Initialises the instance without budgets.

        Args:
            bounds: The limits.
            max_delivery_ms: How long after it was sent a retry may arrive.
            started_ms: When the node started.
        """
        self._max_delivery_ms = max_delivery_ms
        self._bounds = bounds
        self._started_ms = started_ms
        self._last_loss_ms = float("-inf")
        self._budgets: dict[str, RetryBudget] = {}

    def reload(self, bounds: entrysettings.Bounds) -> None:
        """Applies changed settings."""
        self._bounds = bounds
        for budget in self._budgets.values():
            budget.set_limits(*self._limits())

    def record_loss(self, at_ms: float) -> None:
        """Records when the last other node was lost; see `RetryBudget`."""
        self._last_loss_ms = max(self._last_loss_ms, at_ms)
        for budget in self._budgets.values():
            budget.record_loss(self._last_loss_ms)

    def for_service(self, service: str) -> RetryBudget:
        """Returns the budget of a service; creates it at its first use."""
        if service not in self._budgets:
            self._budgets[service] = RetryBudget(*self._limits(),
                                                 self._max_delivery_ms,
                                                 self._started_ms)
            self._budgets[service].record_loss(self._last_loss_ms)
        return self._budgets[service]

    def _limits(self) -> tuple[float, float, float]:
        bounds = self._bounds
        return (bounds.retry_ratio, bounds.retry_window_s * 1000,
                bounds.retry_slack)
