"""Plain policies for requests, to measure the node's own against."""

import functools
import itertools

from cardamommill import (
    actions,
    controller,
    events,
    periods,
    requesting,
    serving,
)
from cardamommill import board as board_lib

_Sent = actions.Dispatch


class RoundRobin(controller.Controller):
    """Sends each request at once to the next replica, and again until it runs.

    No queue, no limits, no budget: whatever gave no whole answer is sent to
    the next replica at the next tick, until the deadline.
    """

    name = "round-robin"

    def __init__(self, board: board_lib.Board, timing: periods.Timing,
                 seed: int) -> None:
        super().__init__(board, timing, seed)
        self._heads: dict[str, requesting.RequestHead] = {}
        self._running: dict[str, str] = {}
        self._replicas: dict[str, str] = {}
        self._again: dict[str, int] = {}
        self._attempts: dict[str, int] = {}
        self._turn = itertools.count(seed)

    @functools.singledispatchmethod
    def step(self, event: events.Event, now_ms: int) -> actions.Actions:
        """Returns what to do about an event."""
        del event, now_ms
        return ()

    @step.register
    def _(self, event: events.RequestArrived, now_ms: int) -> actions.Actions:
        self._heads[event.head.request_id] = event.head
        self._attempts[event.head.request_id] = 0
        return self._send(event.head.request_id, 0, now_ms)

    @step.register
    def _(self, event: events.AttemptEnded, now_ms: int) -> actions.Actions:
        del now_ms
        if self._running.get(event.request_id) != event.attempt_id:
            return ()
        self._sent_ended(event.request_id)
        if event.whole:
            del self._heads[event.request_id]
            return (actions.Finish(event.request_id,
                                   self._attempts.pop(event.request_id)),)
        self._again[event.request_id] = event.delivered
        return ()

    @step.register
    def _(self, event: events.Tick, now_ms: int) -> actions.Actions:
        del event
        again, self._again = self._again, {}
        return tuple(action for request_id, delivered in again.items()
                     for action in self._send(request_id, delivered, now_ms))

    def _send(self, request_id: str, delivered: int,
              now_ms: int) -> actions.Actions:
        head = self._heads[request_id]
        if now_ms >= head.deadline_ms:
            del self._heads[request_id]
            problem = requesting.Problem(504, "The deadline has passed", "",
                                         "deadline")
            return (actions.Refuse(request_id, problem,
                                   self._attempts.pop(request_id)),)
        replicas = serving.serving_replicas(self.board, head.service,
                                            self.timing, now_ms)
        if not replicas:
            self._again[request_id] = delivered
            return ()
        row = self._pick(replicas).row
        self._attempts[request_id] += 1
        attempt_id = f"{request_id}.{self._attempts[request_id]}"
        self._running[request_id] = attempt_id
        self._replicas[request_id] = row.replica_id
        self._count(row.replica_id, 1)
        target = requesting.Target(
            self.board.vms.listed[row.members[0]].address, row.members[0],
            row.replica_id, row.epoch, row.formation,
            now_ms + self.timing.evidence_max_age_ms)
        return (_Sent(request_id, attempt_id, target, delivered,
                      head.deadline_ms, not head.repeatable),)

    def _sent_ended(self, request_id: str) -> None:
        del self._running[request_id]
        self._count(self._replicas.pop(request_id), -1)

    def _count(self, replica_id: str, change: int) -> None:
        loads = self.board.load.by_replica
        loads.setdefault(replica_id, board_lib.ReplicaLoad())
        loads[replica_id].in_flight += change

    def _pick(
            self, replicas: tuple[serving.ServingReplica,
                                  ...]) -> serving.ServingReplica:
        return replicas[next(self._turn) % len(replicas)]


class LeastLoaded(RoundRobin):
    """Sends to the replica whose last report names the fewest requests."""

    name = "least-loaded"

    def _pick(
            self, replicas: tuple[serving.ServingReplica,
                                  ...]) -> serving.ServingReplica:
        return min(
            replicas,
            key=lambda each: each.head.report.running + each.head.report.queued)
