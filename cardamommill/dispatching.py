"""Lets requests wait and sends them, the first in order first."""

import itertools
import random

from cardamommill import (
    actions,
    choice,
    documents,
    endings,
    events,
    inprogress,
    peering,
    periods,
    refusals,
    requesting,
    spill,
    workload,
)
from cardamommill import board as board_lib

# Waiting requests that are looked at when the first can't be placed.
SCAN = 8
# A suspect waits so long for a place apart from other suspects.
SUSPECT_WAIT_MS = 1000

_InProgress = inprogress.InProgress
_Stage = requesting.Stage


class Dispatching:
    """Moves requests from admission to a replica or to another node."""

    def __init__(self, ends: endings.Endings, board: board_lib.Board,
                 timing: periods.Timing, chance: random.Random) -> None:
        self._ends = ends
        self._board = board
        self._timing = timing
        self._random = chance
        self._spill = spill.Spill()

    def why_not(self, request: _InProgress,
                now_ms: int) -> requesting.Problem | None:
        """Returns why there is no use in waiting here, or None.

        Args:
            request: One that has just come.
            now_ms: The local monotonic time.
        """
        head = request.head
        work = self._ends.work.setdefault(head.service,
                                          workload.Workload(head.service))
        among = work.candidates(self._board, self._timing, now_ms)
        if not among.each:
            if refusals.may_come(self._board, head.service, head.received_ms,
                                 self._timing, now_ms):
                return None
            return refusals.without_replica(self._timing, self._random)
        over = work.over_share(self._ends.document(head.service),
                               among.own_slots)
        ahead = work.queue.ahead(head.account, head.priority, head.deadline_ms,
                                 over)
        if not ahead:
            return None
        return work.too_late(head, ahead, among.own_slots, self._random, now_ms)

    def enqueue(self, request: _InProgress, now_ms: int) -> actions.Actions:
        """Lets a new request wait, and sends what can be sent.

        Args:
            request: The request.
            now_ms: The local monotonic time.
        """
        service = request.head.service
        work = self._ends.work[service]
        self.wait(request, now_ms)
        wanted = self.drain(service, now_ms)
        document = self._ends.document(service)
        if len(work.queue) > document.limits.queue_length:
            wanted += self._crowd_out(work, document, now_ms)
        return wanted

    def wait(self, request: _InProgress, now_ms: int) -> None:
        """Lets a request wait for a replica."""
        request.queued_ms = now_ms
        self._ends.work[request.head.service].wait(request.head)
        self._ends.register.enter(request, _Stage.QUEUED)

    def drain(self, service: str, now_ms: int) -> actions.Actions:
        """Sends one waiting request; its `AttemptSent` calls for the next.

        Args:
            service: Whose queue.
            now_ms: The local monotonic time.
        """
        work = self._ends.work.get(service)
        if not work or not work.queue:
            return ()
        among = work.candidates(self._board, self._timing, now_ms)
        over = work.over_share(self._ends.document(service), among.own_slots)
        first = tuple(itertools.islice(work.queue.in_order(over), SCAN))
        wanted: actions.Actions = ()
        for waiting in first:
            request = self._ends.register.get(waiting.request_id)
            assert request is not None
            wanted += self._give_up(request, work, among, now_ms)
            if request.stage is not _Stage.QUEUED:
                continue
            sent = self._try_to_send(request, work, among, now_ms)
            if sent:
                return wanted + sent
        return wanted

    def hopeless(self, service: str, now_ms: int) -> actions.Actions:
        """Gives up those waiting for whom no replica is in sight.

        Args:
            service: Whose queue.
            now_ms: The local monotonic time.
        """
        work = self._ends.work[service]
        if work.candidates(self._board, self._timing, now_ms).each:
            return ()
        wanted: actions.Actions = ()
        for waiting in tuple(work.queue.in_order(lambda account: False)):
            request = self._ends.register.get(waiting.request_id)
            assert request is not None
            if refusals.may_come(self._board, service, request.head.received_ms,
                                 self._timing, now_ms):
                continue
            # One that was sent before waits anew, or a stream would break off
            # for a gap of one poll.
            stays = refusals.may_come(self._board, service, request.queued_ms,
                                      self._timing, now_ms)
            problem = refusals.without_replica(self._timing, self._random)
            wanted += self.elsewhere(request, problem, now_ms, stays)
        return wanted

    def elsewhere(self,
                  request: _InProgress,
                  problem: requesting.Problem,
                  now_ms: int,
                  stays: bool = False) -> actions.Actions:
        """Sends a request to another data centre, or else refuses it.

        Args:
            request: One that can't be served here.
            problem: Why not.
            now_ms: The local monotonic time.
            stays: Whether it waits on instead of being refused.
        """
        head = request.head
        found = None
        if self._may_go_elsewhere(head):
            found = self._spill.choose(self._board, head, request.tried,
                                       self._timing, self._random, now_ms)
        if found is None and stays:
            return ()
        self._ends.work[head.service].leave(head)
        if found is None:
            return self._ends.refuse(request, problem)
        return self._send(request, found, False, now_ms)

    def _may_go_elsewhere(self, head: requesting.RequestHead) -> bool:
        # What may not run twice stays with the node that claimed it: no other
        # could tell its claim from a caller's word that there is one. Its
        # caller is told at once that it did not run, and asks elsewhere.
        return head.repeatable and not refusals.suspicion(
            self._board, head.digest)

    def room(self, request: _InProgress, since_ms: int, now_ms: int) -> int:
        """Returns for how many requests like one there is another place.

        Args:
            request: One that runs.
            since_ms: Only replicas count that were heard since.
            now_ms: The local monotonic time.
        """
        head = request.head
        work = self._ends.work[head.service]
        among = work.candidates(self._board, self._timing, now_ms)
        if among.each:
            places = choice.room(self._board, among, request.tried, since_ms,
                                 now_ms)
        elif self._may_go_elsewhere(head):
            places = self._spill.room(self._board, head, self._timing, now_ms)
        else:
            places = 0
        return places - len(work.queue)

    def publish(self, now_ms: int) -> None:
        """Writes what waits and runs to the blackboard.

        Args:
            now_ms: The local monotonic time.
        """
        section = self._board.requests
        for service, work in self._ends.work.items():
            among = work.candidates(self._board, self._timing, now_ms)
            section.queued[service] = len(work.queue)
            section.running[service] = work.running.total()
            section.wait_ms[service] = round(work.drained_ms(among.own_slots))

    def _crowd_out(self, work: workload.Workload, document: documents.Document,
                   now_ms: int) -> actions.Actions:
        among = work.candidates(self._board, self._timing, now_ms)
        last = work.queue.last(work.over_share(document, among.own_slots),
                               self._has_begun)
        request = last and self._ends.register.get(last.request_id)
        if not request:
            return ()
        problem = work.crowded_out(among.own_slots, self._random)
        return self.elsewhere(request, problem, now_ms)

    def _has_begun(self, request_id: str) -> bool:
        request = self._ends.register.get(request_id)
        return request is not None and request.started

    def _give_up(self, request: _InProgress, work: workload.Workload,
                 among: choice.Candidates, now_ms: int) -> actions.Actions:
        """Answers a waiting request that has become impossible to serve."""
        head = request.head
        state = refusals.suspicion(self._board, head.digest)
        if state is peering.SuspectState.QUARANTINED:
            return self._ends.refuse(request, refusals.quarantined())
        problem = refusals.all_tried(self._board, among, request, self._timing,
                                     self._random, now_ms)
        waited = now_ms > head.received_ms
        if problem is None and waited and not request.attempts:
            problem = work.too_late(head, 0, among.own_slots, self._random,
                                    now_ms)
        return self.elsewhere(request, problem, now_ms) if problem else ()

    def _try_to_send(self, request: _InProgress, work: workload.Workload,
                     among: choice.Candidates, now_ms: int) -> actions.Actions:
        head = request.head
        alone = refusals.suspicion(self._board, head.digest) is not None
        patient = now_ms - request.queued_ms < SUSPECT_WAIT_MS
        want = choice.Want(head.prefixes, frozenset(request.tried), alone,
                           patient)
        found = choice.choose(self._board, among, want, self._timing,
                              self._random, now_ms)
        if found is None:
            return ()
        work.leave(head)
        return self._send(request, found, alone, now_ms)

    def _send(self, request: _InProgress, found: choice.Choice, alone: bool,
              now_ms: int) -> actions.Actions:
        head = request.head
        target = found.target
        request.attempts += 1
        request.attempt_id = f"{head.request_id}.{request.attempts}"
        request.target = target
        request.suspect = alone
        request.sent_ms = now_ms
        request.tried.add(choice.place(target))
        evidence = self._board.evidence.by_vm.get(target.vm_id)
        request.boot_id = evidence.report.boot_id if evidence else ""
        self._ends.register.enter(request, _Stage.RUNNING)
        self._ends.work[head.service].started(head)
        return (
            actions.Dispatch(head.request_id, request.attempt_id, target,
                             request.delivered, head.deadline_ms,
                             request.claimed),
            endings.record(
                request, "attempt-sent", f"{request.attempt_id} to "
                f"{target.replica_id} at {target.address}: {found.reason}"),
            actions.Notify(
                events.AttemptSent(head, request.attempt_id, target, alone)),
        )
