"""Attempts that ended without an answer and may still arrive.

The VM of a process that stands still goes on to acknowledge what it receives.
The process reads it when it goes on, also if the connection was closed.
"""

import dataclasses

from cardamommill.gateway.fleet import runnerrecord
from cardamommill.gateway.requests import attemptresult, retrybudget

# Results of attempts that this node ended.
_ENDED_BY_NODE = frozenset({
    attemptresult.Result.DIVERTED, attemptresult.Result.TIMED_OUT,
    attemptresult.Result.ABANDONED
})
# A process that stands still for longer is not expected to go on.
MAX_STANDSTILL_MS = 30_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Unread:
    """An attempt that ended without an answer.

    Attributes:
        known: The incarnation of the runner.
        budget: The retry budget of its service.
        request: The id of its request.
        ended_ms: When it ended.
    """

    known: runnerrecord.RunnerRecord
    budget: retrybudget.RetryBudget
    request: str
    ended_ms: float


class UnreadAttempts:
    """The attempts of this node that may still arrive, by their runner."""

    def __init__(self, max_delivery_ms: float) -> None:
        """Initialises the instance without attempts.

        Args:
            max_delivery_ms: How long bytes may be on their way, also those of
                an answer from before a standstill.
        """
        self._max_delivery_ms = max_delivery_ms
        self._by_runner: dict[str, list[_Unread]] = {}

    def attempt_ended(self, known: runnerrecord.RunnerRecord,
                      budget: retrybudget.RetryBudget, request: str,
                      result: attemptresult.Result, now_ms: float) -> None:
        """Records the end of an attempt that has brought nothing.

        Args:
            known: Its runner.
            budget: The retry budget of its service.
            request: The id of its request.
            result: How it ended.
            now_ms: The current time.
        """
        if result in _ENDED_BY_NODE:
            budget.record_unread(request)
            self._by_runner.setdefault(known.runner.id, []).append(
                _Unread(known, budget, request, now_ms))

    def heard(self, runner: str, now_ms: float) -> None:
        """Records a sign of life of a runner; it has read what came before."""
        unread = self._by_runner.pop(runner, None)
        if unread is None:
            return
        kept = []
        for each in unread:
            if now_ms - each.ended_ms < self._max_delivery_ms:
                kept.append(each)
            else:
                each.budget.record_read(each.request, now_ms)
        if kept:
            self._by_runner[runner] = kept

    def drop_expired(self, now_ms: float) -> None:
        """Drops attempts that will not arrive any more."""
        for runner, unread in list(self._by_runner.items()):
            kept = []
            for each in unread:
                if each.known.has_ended or (now_ms - each.ended_ms
                                            >= MAX_STANDSTILL_MS):
                    each.budget.record_lost(each.request)
                else:
                    kept.append(each)
            self._by_runner[runner] = kept
            if not kept:
                del self._by_runner[runner]
