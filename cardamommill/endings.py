"""How requests end: one final answer each, and nothing kept of them."""

import dataclasses

from cardamommill import (
    actions,
    documents,
    events,
    inprogress,
    requesting,
    retries,
    workload,
)
from cardamommill import board as board_lib

_InProgress = inprogress.InProgress


class Endings:
    """Gives final answers and frees what was kept for a request.

    Attributes:
        register: All requests in progress.
        work: What there is to do, by service.
    """

    def __init__(self, board: board_lib.Board) -> None:
        self._board = board
        self.register = inprogress.Register(board.requests)
        self.work: dict[str, workload.Workload] = {}

    def document(self, service: str) -> documents.Document:
        """Returns the document in force of a service that has one."""
        return self._board.documents.in_force[service].document

    def refuse(self, request: _InProgress,
               problem: requesting.Problem) -> actions.Actions:
        """Ends a request with a problem.

        Args:
            request: The request; not running any more.
            problem: What to tell its caller.
        """
        # What is said here must cover every attempt, not the last one alone.
        request.outcome = retries.combined(request.outcome, problem.outcome)
        problem = dataclasses.replace(problem, outcome=request.outcome)
        return (actions.Refuse(request.head.request_id, problem,
                               request.attempts),
                record(request, "refused",
                       f"{problem.status} {problem.title}: {problem.detail}"),
                *self.end(request, problem.status))

    def end(self,
            request: _InProgress,
            status: int,
            answer: requesting.RecordedAnswer | None = None) -> actions.Actions:
        """Frees all that is kept for a request and tells of its end.

        Args:
            request: The request; its outcome is final.
            status: What the caller got; 0 for nothing.
            answer: What to keep for repeats.
        """
        head = request.head
        work = self.work.get(head.service)
        if work is not None:
            work.leave(head)
        self.register.close(request)
        settled = (actions.Notify(
            events.ClaimSettled(head.request_id, request.outcome, answer)),)
        ended = actions.Notify(
            events.RequestEnded(head, request.outcome, status,
                                request.attempts))
        return (settled if request.claimed else ()) + (ended,)

    def close(self, request: _InProgress, outcome: requesting.Outcome,
              whole: bool, now_ms: int) -> actions.Actions:
        """Takes in that the running attempt of a request has ended.

        Args:
            request: The request.
            outcome: Whether the attempt ran, as far as is known.
            whole: Whether the whole answer reached the caller.
            now_ms: The local monotonic time.
        """
        assert request.target is not None
        request.outcome = retries.combined(request.outcome, outcome)
        self.work[request.head.service].stopped(request.head)
        return (actions.Notify(
            events.AttemptClosed(request.head, request.attempt_id,
                                 request.target, outcome, whole,
                                 now_ms - request.sent_ms)),)

    def cancel(self, request: _InProgress, now_ms: int) -> actions.Actions:
        """Gives up the running attempt of a request.

        Args:
            request: The request.
            now_ms: The local monotonic time.
        """
        cancelled = actions.CancelAttempt(request.head.request_id,
                                          request.attempt_id)
        return (cancelled,) + self.close(request, requesting.Outcome.UNKNOWN,
                                         False, now_ms)


def record(request: _InProgress, event: str, detail: str) -> actions.Record:
    """Returns a line of the journal on a request."""
    return actions.Record(f"request/{request.head.request_id}", event, detail,
                          request.head.trace_id)
