"""Callers and replicas around nodes' request decisions, on a virtual clock.

For tests and benches. Evidence, peers' news and the table reach the nodes as
late as in a data centre; what ran, what was delivered and what callers were
told is kept in a ledger that the decisions know nothing of.
"""

import collections
from collections.abc import Callable
import dataclasses
import functools
import itertools

from cardamommill import (
    actions,
    controller,
    documents,
    events,
    fedworld,
    replicafakes,
    requesting,
)

_Call = replicafakes.Call
_Replica = replicafakes.Replica
_Work = replicafakes.Work

_Outcome = requesting.Outcome
_Run = replicafakes.Run


@dataclasses.dataclass(slots=True)
class Trouble:
    """Chances of what goes wrong with an attempt.

    Attributes:
        cut: Its connection breaks although the replica goes on with it.
        lose_end: The word of its end never reaches the decisions.
        repeat_end: The word of its end comes a second time, late.
    """

    cut: float = 0.0
    lose_end: float = 0.0
    repeat_end: float = 0.0


class RequestWorld(fedworld.FedWorld):
    """Nodes, replicas and callers of one service in one data centre.

    Attributes:
        calls: By request id.
        trouble: What goes wrong.
        key_runs: How often each key was run.
    """

    def __init__(self,
                 document: documents.Document,
                 kinds: tuple[type[controller.Controller], ...],
                 nodes: int = 2,
                 replicas: int = 4,
                 seed: int = 1) -> None:
        """Makes a world in which all is well.

        Args:
            document: The service's.
            kinds: The controllers of each node.
            nodes: How many nodes there are.
            replicas: How many replicas serve.
            seed: For all chance in it.
        """
        super().__init__(document, kinds, nodes, replicas, seed)
        self.calls: dict[str, _Call] = {}
        self.trouble = Trouble()
        self.key_runs: "collections.Counter[str]" = collections.Counter()
        self._runs: dict[str, _Run] = {}
        self._ids = itertools.count(1)

    # --- Callers ---

    def call(self,
             node: str,
             work: _Work,
             within_ms: int = 10_000,
             **fields: object) -> _Call:
        """Sends a request to a node.

        Args:
            node: Which.
            work: What it asks.
            within_ms: How long its caller waits.
            **fields: Of the `requesting.RequestHead`.
        """
        request_id = f"q{next(self._ids)}"
        now_ms = self.local_ms(node)
        values: dict[str, object] = {
            "trace_id": "",
            "account": "office",
            "service": self.document.service,
            "method": "POST",
            "path": "/v1/completions",
            "digest": request_id,
            "body_bytes": 1000,
            "prefixes": (),
            "repeatable": True,
            "idempotency_key": "",
            "priority": 5,
            "streaming": True,
            "hop": 0,
        }
        head = requesting.RequestHead(request_id=request_id,
                                      deadline_ms=now_ms + within_ms,
                                      received_ms=now_ms,
                                      **values | fields)  # type: ignore
        call = _Call(head, node, work, self.now_ms)
        self.calls[request_id] = call
        self.hand(node, events.RequestArrived(head))
        return call

    def leave(self, call: _Call) -> None:
        """Has a caller close its connection."""
        if not call.answers and not call.gone:
            call.gone = True
            self.hand(call.node, events.CallerGone(call.head.request_id))

    def perform(self, action: actions.Action, name: str) -> None:
        """Performs a node's action."""
        perform = _PERFORM.get(type(action))
        if perform is None:
            super().perform(action, name)
        else:
            perform(self, action, name)

    def _answer_caller(self,
                       action: actions.Refuse | actions.Replay | actions.Finish,
                       name: str) -> None:
        del name
        call = self.calls[action.request_id]
        if not call.answers:
            call.answered_ms = self.now_ms
        call.answers.append(action)

    # --- Replicas ---

    def _dispatch(self, action: actions.Dispatch, name: str) -> None:
        self.later(self.LINK_MS, lambda: self._arrive(action, name))

    def _arrive(self, action: actions.Dispatch, name: str) -> None:
        call = self.calls[action.request_id]
        run = self._runs[action.attempt_id] = _Run(call, name, action,
                                                   self.now_ms)
        replica = self.replicas[action.target.replica_id]
        if action.resume_from != call.delivered:
            call.mixed = (f"{call.delivered} events delivered, went on from "
                          f"{action.resume_from}")
        if (self.local_ms(name) >= action.target.valid_until_ms or
                not replica.up):
            self._end(run, _Outcome.NOT_RUN)
            return
        left_ms = action.deadline_ms - self.local_ms(name)
        self.later(left_ms, lambda: self._give_up(replica, run))
        if replica.is_still:
            replica.unread.append(run)
        else:
            self._take(replica, run)

    def _take(self, replica: _Replica, run: _Run) -> None:
        run.call.attempts += 1
        if run.dispatch.target.formation != replica.boots:
            self._end(run, _Outcome.NOT_RUN, status=421)
        elif (len(replica.running) >= replica.slots and
              len(replica.waiting) >= replica.queue_length):
            self._end(run, _Outcome.NOT_RUN, status=503)
        else:
            replica.waiting.append(run)
            self._fill(replica)

    def _fill(self, replica: _Replica) -> None:
        if replica.is_still:
            return
        while replica.waiting and len(replica.running) < replica.slots:
            run = replica.waiting.popleft()
            replica.running.append(run)
            self._begin(replica, run)
            if not replica.up:
                return

    def _begin(self, replica: _Replica, run: _Run) -> None:
        call, work = run.call, run.call.work
        call.runs += 1
        if not call.head.repeatable:
            self.key_runs[call.head.idempotency_key] += 1
        if work.poison:
            self.crash(replica)
            return
        prefixes = call.head.prefixes
        held = sum(prefix in replica.cache for prefix in prefixes)
        if call.runs == 1:
            call.hits = held
        replica.remember(prefixes, self.now_ms, self._chance)
        missing = 1 - held / len(prefixes) if prefixes else 1.0
        run.began_ms = self.now_ms
        run.first_ms = self.now_ms + round(
            (5 + work.prefill_ms * missing) / replica.speed)
        self.later(run.first_ms - self.now_ms, lambda: self._first(run))
        left = work.tokens - run.dispatch.resume_from
        run.end_ms = run.first_ms + round(left * work.token_ms / replica.speed)
        self.later(run.end_ms - self.now_ms, lambda: self._finish(replica, run))
        if self._chance.random() < self.trouble.cut:
            cut_ms = self._chance.randrange(run.end_ms - self.now_ms + 1)
            self.later(cut_ms, lambda: self._cut(replica, run))

    def _first(self, run: _Run) -> None:
        replica = self.replicas[run.dispatch.target.replica_id]
        if run.over or replica.is_still or self.now_ms < run.first_ms:
            return
        if run.call.first_ms < 0:
            run.call.first_ms = self.now_ms
        self.hand(
            run.node,
            events.AttemptStarted(run.dispatch.request_id,
                                  run.dispatch.attempt_id, 200))

    def _finish(self, replica: _Replica, run: _Run) -> None:
        if run not in replica.running or replica.is_still:
            return
        if self.now_ms < run.end_ms:
            return
        replica.running.remove(run)
        self._hand_over(run)
        self._fill(replica)

    def _hand_over(self, run: _Run) -> None:
        """Gives the caller the whole answer, once its node runs."""
        if run.over:
            return
        if self.nodes[run.node].paused:
            self.later(self.LINK_MS, lambda: self._hand_over(run))
            return
        run.call.delivered = run.call.work.tokens
        run.call.whole = not run.call.gone
        self._end(run, _Outcome.RAN, whole=run.call.whole, status=200)

    def _cut(self, replica: _Replica, run: _Run) -> None:
        """Breaks a connection; the replica runs the request to its end."""
        if not run.over:
            self._deliver(replica, run)
            self._end(run, _Outcome.UNKNOWN, connection_lost=True)

    def _deliver(self, replica: _Replica, run: _Run) -> None:
        work = run.call.work
        at_ms = replica.still_ms if replica.is_still else self.now_ms
        if run.began_ms >= 0 and at_ms > run.first_ms:
            done = int(
                (at_ms - run.first_ms) * replica.speed / max(1, work.token_ms))
            run.call.delivered = min(work.tokens - 1,
                                     run.dispatch.resume_from + done)

    def crash(self, replica: _Replica) -> None:
        """Crashes a replica; it comes back as a new formation."""
        replica.up = False
        replica.boots += 1
        broken = [*replica.running, *replica.waiting, *replica.unread]
        replica.still_ms = -1
        replica.unread.clear()
        replica.running.clear()
        replica.waiting.clear()
        replica.cache.clear()
        for run in broken:
            self._cut(replica, run)
        self.later(replica.restart_ms, lambda: self._restart(replica))

    def _restart(self, replica: _Replica) -> None:
        replica.up = True
        replica.sequence = 0
        replica.told.clear()

    def _give_up(self, replica: _Replica, run: _Run) -> None:
        if run.over:
            return
        if self.nodes[run.node].paused:
            self.later(self.LINK_MS, lambda: self._give_up(replica, run))
            return
        self._remove(replica, run)
        self._end(run, _Outcome.UNKNOWN)

    def _cancel(self, action: actions.CancelAttempt, name: str) -> None:
        del name
        run = self._runs.get(action.attempt_id)
        if run is not None:
            run.over = True
            self._remove(self.replicas[run.dispatch.target.replica_id], run)

    def _abandon(self, action: actions.AbandonAttempt, name: str) -> None:
        del name
        run = self._runs.get(action.attempt_id)
        if run is None or run.over:
            return
        replica = self.replicas[run.dispatch.target.replica_id]
        at_ms = replica.still_ms if replica.is_still else self.now_ms
        begun = run.began_ms >= 0 and at_ms > run.first_ms
        heard_ms = at_ms if begun else run.sent_ms
        if self.now_ms - heard_ms >= action.silent_ms:
            self._deliver(replica, run)
            self._remove(replica, run)
            self._end(run, _Outcome.UNKNOWN, silent=True)

    def stand_still(self, replica: _Replica, for_ms: int) -> None:
        """Lets a replica stand still for a time; its connections stay open."""
        if replica.up and not replica.is_still:
            replica.still_ms = self.now_ms
            self.later(for_ms,
                       functools.partial(self._go_on, replica, self.now_ms))

    def _go_on(self, replica: _Replica, still_ms: int) -> None:
        if replica.still_ms != still_ms:
            return  # It crashed meanwhile.
        replica.still_ms = -1
        stood_ms = self.now_ms - still_ms
        for run in replica.running:
            begun = run.first_ms <= still_ms
            run.first_ms += stood_ms
            run.end_ms += stood_ms
            if not begun:
                self.later(run.first_ms - self.now_ms,
                           functools.partial(self._first, run))
            self.later(run.end_ms - self.now_ms,
                       functools.partial(self._finish, replica, run))
        unread, replica.unread = replica.unread, []
        for run in unread:
            self._take(replica, run)
        self._fill(replica)

    def _remove(self, replica: _Replica, run: _Run) -> None:
        if run in replica.unread:
            replica.unread.remove(run)
        if run in replica.waiting:
            replica.waiting.remove(run)
        if run in replica.running:
            replica.running.remove(run)
        self._fill(replica)

    def _end(self,
             run: _Run,
             outcome: requesting.Outcome,
             *,
             whole: bool = False,
             status: int = 0,
             connection_lost: bool = False,
             silent: bool = False) -> None:
        run.over = True
        keep = run.dispatch.keep_answer and outcome is _Outcome.RAN
        ended = events.AttemptEnded(
            run.dispatch.request_id,
            run.dispatch.attempt_id,
            outcome,
            whole,
            status,
            run.call.delivered,
            connection_lost=connection_lost,
            silent=silent,
            answer=requesting.RecordedAnswer(
                200, "text/plain", run.call.head.request_id) if keep else None)
        if self._chance.random() < self.trouble.lose_end:
            run.call.end_lost = True
        else:
            self.hand(run.node, ended)
        if self._chance.random() < self.trouble.repeat_end:
            self.later(self._chance.randrange(2000),
                       lambda: self.hand(run.node, ended))

    def _tell_peer(self, action: actions.NotifyPeer, name: str) -> None:
        for other, node in self.nodes.items():
            identity = node.decisions.board.identity
            if (identity.peer_address == action.address and
                    self.reachable(name, other)):
                self.later(
                    self.LINK_MS,
                    functools.partial(self.hand, other,
                                      events.PeerNotified(action.notice)))

    def _read_cache(self, action: actions.ReadCacheEvents, name: str) -> None:
        replica = self.replicas[action.vm_id.removeprefix("vm-")]
        found = replica.told_after(action.after_sequence, self.now_ms)
        if replica.up and found:
            self.hand(
                name,
                events.CacheEventsRead(
                    action.vm_id,
                    replica.report().boot_id, found[0].sequence,
                    tuple(each.prefix for each in found if each.stored),
                    tuple(each.prefix for each in found if not each.stored),
                    found[-1].sequence))


_PERFORM: dict[type[actions.Action], Callable[..., None]] = {
    actions.Dispatch: RequestWorld._dispatch,
    actions.CancelAttempt: RequestWorld._cancel,
    actions.AbandonAttempt: RequestWorld._abandon,
    actions.Refuse: RequestWorld._answer_caller,
    actions.Replay: RequestWorld._answer_caller,
    actions.Finish: RequestWorld._answer_caller,
    actions.NotifyPeer: RequestWorld._tell_peer,
    actions.ReadCacheEvents: RequestWorld._read_cache,
}
