"""The controller that takes each request from its arrival to its answer."""

import collections
from collections.abc import Callable, Iterator
import dataclasses
import functools
from typing import Any

from cardamommill import (
    actions,
    answers,
    choice,
    controller,
    dispatching,
    endings,
    events,
    inprogress,
    periods,
    refusals,
    requesting,
    retries,
    serving,
)
from cardamommill import board as board_lib

# The shell ends attempts at their deadline; this long after, it has or its
# word was lost, and the caller is answered all the same.
OVERDUE_MS = 500
# Between two looks for attempts at replicas that serve no more: a tenth of the
# time that it takes evidence to run out.
LOOK_MS = 250

_InProgress = inprogress.InProgress
_Outcome = requesting.Outcome
_Reason = answers.Reason
_Stage = requesting.Stage


class Requests(controller.Controller):
    """Admits, queues, sends, retries and answers; writes `requests`.

    Each request has one stage, and what an event means is looked up by stage:
    events that come late, twice or for a former attempt find no entry.
    """

    name = "requests"

    def __init__(self, board: board_lib.Board, timing: periods.Timing,
                 seed: int) -> None:
        super().__init__(board, timing, seed)
        self._ends = endings.Endings(board)
        self._register = self._ends.register
        self._timing = timing
        self._looked_ms = board_lib.NEVER_MS
        self._dispatching = dispatching.Dispatching(self._ends, board, timing,
                                                    self.random)

    @functools.singledispatchmethod
    def step(self, event: events.Event, now_ms: int) -> actions.Actions:
        """Returns what to do about an event."""
        request = self._register.get(getattr(event, "request_id", ""))
        if request is None:
            return ()
        handle = _HANDLERS.get((request.stage, type(event)))
        return handle(self, request, event, now_ms) if handle else ()

    @step.register
    def _(self, event: events.RequestArrived, now_ms: int) -> actions.Actions:
        head = event.head
        if self._register.get(head.request_id) is not None:
            return ()
        request = self._register.open(head)
        problem = refusals.at_arrival(self.board, head, self.random, now_ms)
        if problem is not None:
            return self._ends.refuse(request, problem)
        problem = self._dispatching.why_not(request, now_ms)
        if problem is not None:
            return self._dispatching.elsewhere(request, problem, now_ms)
        if head.repeatable:
            return self._dispatching.enqueue(request, now_ms)
        self._register.enter(request, _Stage.CLAIMING)
        return (actions.Notify(events.ClaimWanted(head)),)

    @step.register
    def _(self, event: events.ClaimGranted, now_ms: int) -> actions.Actions:
        request = self._register.get(event.request_id)
        if request is None:
            # It was answered `not-run` while the table took its time: the
            # claim must not stand in the way of the caller's repeat.
            return (actions.Notify(
                events.ClaimSettled(event.request_id, _Outcome.NOT_RUN)),)
        if request.stage is not _Stage.CLAIMING:
            return ()
        request.claimed = True
        problem = self._dispatching.why_not(request, now_ms)
        if problem is not None:
            return self._dispatching.elsewhere(request, problem, now_ms)
        return self._dispatching.enqueue(request, now_ms)

    @step.register
    def _(self, event: events.AttemptSent, now_ms: int) -> actions.Actions:
        return self._dispatching.drain(event.head.service, now_ms)

    @step.register
    def _(self, event: events.AttemptClosed, now_ms: int) -> actions.Actions:
        return self._dispatching.drain(event.head.service, now_ms)

    @step.register
    def _(self, event: events.Tick, now_ms: int) -> actions.Actions:
        del event
        wanted = [
            action for request in self._register.due(now_ms)
            for action in self._overdue(request, now_ms)
        ]
        wanted += self._leave_the_lost(now_ms)
        for service, work in self._ends.work.items():
            if work.queue:
                wanted += self._dispatching.hopeless(service, now_ms)
                wanted += self._dispatching.drain(service, now_ms)
        self._dispatching.publish(now_ms)
        return tuple(wanted)

    def _leave_the_lost(self, now_ms: int) -> Iterator[actions.Action]:
        """Ends silent attempts at replicas that serve no more.

        A runner that stands still keeps its connections: a caller whose
        request was there got nothing for 30 s, though others could serve it.
        But it may go on, so silence ends no attempt that none can follow.
        """
        if now_ms - self._looked_ms < LOOK_MS:
            return
        self._looked_ms = now_ms
        since_pause_ms = now_ms - self.board.life.not_before_ms
        if since_pause_ms < self._timing.evidence_max_age_ms:
            # The evidence of runners that serve has not all come yet.
            return
        silent_since: dict[str, int | None] = {}
        left: collections.Counter[str] = collections.Counter()
        retried: collections.Counter[str] = collections.Counter()
        for request in self._register.running():
            target = request.target
            if (target is None or target.remote_node or request.claimed or
                    not request.head.repeatable or request.gone):
                continue
            replica_id = target.replica_id
            if replica_id not in silent_since:
                silent_since[replica_id] = self._silent_since_ms(target, now_ms)
            since_ms = silent_since[replica_id]
            if since_ms is not None and (
                    self._has_ended(request, target) or
                    self._may_leave(request, since_ms, left, retried, now_ms)):
                yield actions.AbandonAttempt(request.head.request_id,
                                             request.attempt_id,
                                             self._timing.evidence_max_age_ms,
                                             "its replica serves no more")

    def _has_ended(self, request: _InProgress,
                   target: requesting.Target) -> bool:
        """Tells whether a run is certainly over, and not only silent.

        Its VM is gone from the platform's list, its runner started again, or
        its replica was formed anew.

        Args:
            request: A running one.
            target: Where it runs.
        """
        row = self.board.assignments.replicas.get(target.replica_id)
        evidence = self.board.evidence.by_vm.get(target.vm_id)
        return (row is None or choice.place(row) != choice.place(target) or
                target.vm_id not in self.board.vms.listed or
                (evidence is not None and bool(request.boot_id) and
                 evidence.report.boot_id != request.boot_id))

    def _may_leave(self, request: _InProgress, since_ms: int,
                   left: "collections.Counter[str]",
                   retried: "collections.Counter[str]", now_ms: int) -> bool:
        """Tells whether another attempt may follow on a silent one.

        If not, its end would be the end of an answer that may still come.

        Args:
            request: A running one.
            since_ms: Since when its replica is silent.
            left: How many of each service are left before it; counted here.
            retried: How many of those take a retry; counted here.
            now_ms: The local monotonic time.
        """
        service = request.head.service
        ended = self._ended(request, _Outcome.UNKNOWN, True,
                            not request.started, now_ms)
        # The next place may refuse it, which takes one more attempt.
        ended = dataclasses.replace(ended, attempts=ended.attempts + 1)
        if (retries.hurdle(ended) is not None or left[service]
                >= self._dispatching.room(request, since_ms, now_ms)):
            return False
        if not retries.is_free(ended):
            if retried[service] + 1 > self._ends.work[service].budget.left:
                return False
            retried[service] += 1
        left[service] += 1
        return True

    def _silent_since_ms(self, target: requesting.Target,
                         now_ms: int) -> int | None:
        """Returns since when a replica is silent; None if it serves."""
        row = self.board.assignments.replicas.get(target.replica_id)
        if row is None:
            return board_lib.NEVER_MS
        if serving.serving_replica(self.board, row, self._timing,
                                   now_ms) is not None:
            return None
        heard_ms = serving.heard_ms(self.board, row)
        if now_ms - heard_ms < self._timing.evidence_max_age_ms:
            # All its members answer: it says itself that it does not serve.
            return board_lib.NEVER_MS
        # When its next answer was due. What others said before that does not
        # tell whether they fell silent with it.
        return heard_ms + self._timing.poll_ms

    # --- What happens to a running request ---

    def _attempt_started(self, request: _InProgress,
                         event: events.AttemptStarted,
                         now_ms: int) -> actions.Actions:
        del now_ms
        if event.attempt_id == request.attempt_id:
            request.started = True
        return ()

    def _attempt_ended(self, request: _InProgress, event: events.AttemptEnded,
                       now_ms: int) -> actions.Actions:
        # The end of a former attempt may come after the next was sent.
        if event.attempt_id != request.attempt_id:
            return ()
        request.delivered = max(request.delivered, event.delivered)
        request.started = request.started or event.delivered > 0
        if event.silent and request.target is not None:
            # It has not failed there, and may go on there once others refuse.
            request.tried.discard(choice.place(request.target))
        crash = (self._register.crash(request)
                 if event.connection_lost else None)
        closed: actions.Actions = (actions.Notify(crash),) if crash else ()
        closed += (endings.record(
            request, "attempt-ended",
            f"{event.attempt_id}: {event.outcome.value}, status {event.status},"
            f" {event.delivered} events delivered; {event.detail}"),)
        closed += self._ends.close(request, event.outcome, event.whole, now_ms)
        if event.whole or (request.gone and event.answer is not None):
            return closed + self._finish(request, event, now_ms)
        return closed + self._again(request, event, now_ms)

    def _finish(self, request: _InProgress, event: events.AttemptEnded,
                now_ms: int) -> actions.Actions:
        work = self._ends.work[request.head.service]
        if event.status < 500:
            limits = self._ends.document(request.head.service).limits
            work.budget.succeeded(limits.retry_fraction)
            work.pace.finished(now_ms - request.sent_ms)
        request.outcome = _Outcome.RAN
        finish = actions.Finish(request.head.request_id, request.attempts)
        return (finish, *self._ends.end(request, event.status, event.answer))

    def _again(self, request: _InProgress, event: events.AttemptEnded,
               now_ms: int) -> actions.Actions:
        """Retries or resumes where that is allowed, or else answers."""
        head = request.head
        work = self._ends.work[head.service]
        ended = self._ended(
            request, event.outcome, event.outcome is not _Outcome.NOT_RUN or
            event.status > 0, not request.delivered, now_ms)
        why_not = ("its caller has gone" if request.gone else retries.why_not(
            ended, work.budget))
        if why_not is None:
            self._dispatching.wait(request, now_ms)
            return ()
        late = now_ms >= head.deadline_ms
        peer = request.target.address if request.target else ""
        problem = answers.problem(
            _Reason.DEADLINE if late else _Reason.BROKEN,
            f"attempt {request.attempts} ended {event.outcome.value}: "
            f"{event.detail or 'no whole answer'}; {why_not}",
            outcome=request.outcome,
            peer=peer,
            retry_after_s=answers.retry_after_s(refusals.OTHER_NODE_MS,
                                                self.random))
        return self._ends.refuse(request, problem)

    def _ended(self, request: _InProgress, outcome: _Outcome, reached: bool,
               fresh: bool, now_ms: int) -> retries.Ended:
        """Returns what decides whether another attempt may follow.

        Args:
            request: The request.
            outcome: Of its last attempt.
            reached: Whether that reached a backend server, as far as is known.
            fresh: Whether the next one would run it from the beginning.
            now_ms: The local monotonic time.
        """
        head = request.head
        work = self._ends.work[head.service]
        engine = self._ends.document(head.service).engine
        return retries.Ended(outcome=outcome,
                             reached=reached,
                             repeatable=head.repeatable,
                             progress=request.progress,
                             resumable=engine.can_resume or fresh,
                             suspect=request.suspect,
                             attempts=request.attempts,
                             left_ms=head.deadline_ms - now_ms -
                             (work.pace.run_ms if fresh else 0),
                             crowded=len(work.queue) > 0)

    # --- Ends ---

    def _claim_refused(self, request: _InProgress, event: events.ClaimRefused,
                       now_ms: int) -> actions.Actions:
        del now_ms
        head = request.head
        if event.answer is not None:
            request.outcome = _Outcome.RAN
            replay = actions.Replay(head.request_id, event.answer)
            return (replay,) + self._ends.end(request, event.answer.status)
        problem = event.problem or answers.problem(
            _Reason.NO_CAPACITY, "the claim to run it was not given")
        return self._ends.refuse(request, problem)

    def _caller_gone(self, request: _InProgress, event: events.CallerGone,
                     now_ms: int) -> actions.Actions:
        del event
        cancelled: actions.Actions = ()
        if request.stage is _Stage.RUNNING:
            if request.claimed:
                # It may not run again, so its answer is worth having for the
                # caller's repeat: it goes on, up to its deadline.
                request.gone = True
                return ()
            cancelled = self._ends.cancel(request, now_ms)
        problem = answers.problem(_Reason.GONE,
                                  f"it was {request.stage.value}",
                                  outcome=request.outcome)
        return (*cancelled, *self._ends.refuse(request, problem))

    def _overdue(self, request: _InProgress, now_ms: int) -> actions.Actions:
        """Answers a request whose deadline has passed."""
        deadline_ms = request.head.deadline_ms
        cancelled: actions.Actions = ()
        if request.stage is _Stage.RUNNING:
            if now_ms < deadline_ms + OVERDUE_MS:
                self._register.wake(request.head.request_id,
                                    deadline_ms + OVERDUE_MS)
                return ()
            cancelled = self._ends.cancel(request, now_ms)
        detail = f"it was {request.stage.value}"
        return cancelled + self._ends.refuse(
            request,
            answers.problem(_Reason.DEADLINE, detail, outcome=request.outcome))


_Handler = Callable[[Requests, _InProgress, Any, int], actions.Actions]

# What an event means, by the stage that the request is in; anything that isn't
# here is late or about somebody else, and ignored.
_HANDLERS: dict[tuple[requesting.Stage, type[events.Event]], _Handler] = {
    (_Stage.CLAIMING, events.ClaimRefused): Requests._claim_refused,
    (_Stage.CLAIMING, events.CallerGone): Requests._caller_gone,
    (_Stage.QUEUED, events.CallerGone): Requests._caller_gone,
    (_Stage.RUNNING, events.CallerGone): Requests._caller_gone,
    (_Stage.RUNNING, events.AttemptStarted): Requests._attempt_started,
    (_Stage.RUNNING, events.AttemptEnded): Requests._attempt_ended,
}
