"""Limits what is sent more than once, over all nodes, for each service."""

import collections

from cardamommill.gateway import entrysettings

# Nodes do not see each other's retries in time, so each keeps to its part.
# What is left over covers a node that counted one peer too few.
SHARE_SAFETY_FACTOR = 0.8


class RetryBudget:
    """A window over first arrivals and repeats of one service."""

    def __init__(self, ratio: float, window_ms: float, slack: float) -> None:
        """Makes it.

        Args:
            ratio: Repeats a request, in any window.
            window_ms: The window.
            slack: Repeats beyond that, of all nodes together.
        """
        self._ratio = ratio
        self._window_ms = window_ms
        self._slack = slack
        self._first: collections.deque[float] = collections.deque()
        self._repeats: collections.deque[float] = collections.deque()

    def request(self, now_ms: float) -> None:
        """Counts a request's first arrival at a runner."""
        self._first.append(now_ms)
        self._trim(now_ms)

    def may_retry(self, nodes: int, now_ms: float) -> bool:
        """Whether one more repeat keeps to this node's part."""
        self._trim(now_ms)
        allowed = (self._ratio * len(self._first) +
                   self._slack / max(1, nodes)) * SHARE_SAFETY_FACTOR
        return len(self._repeats) + 1 <= allowed

    def repeat(self, now_ms: float) -> None:
        """Counts a repeat."""
        self._repeats.append(now_ms)

    def _trim(self, now_ms: float) -> None:
        oldest_ms = now_ms - self._window_ms
        for times in (self._first, self._repeats):
            while times and times[0] < oldest_ms:
                times.popleft()


class RetryBudgets:
    """The budget of each service."""

    def __init__(self, bounds: entrysettings.Bounds) -> None:
        self._bounds = bounds
        self._budgets: dict[str, RetryBudget] = {}

    def for_service(self, service: str) -> RetryBudget:
        """Returns the budget of a service, new with its first use."""
        if service not in self._budgets:
            bounds = self._bounds
            self._budgets[service] = RetryBudget(bounds.retry_ratio,
                                                 bounds.retry_window_s * 1000,
                                                 bounds.retry_slack)
        return self._budgets[service]
