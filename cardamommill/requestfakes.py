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
import random

from cardamommill import (
    actions,
    controller,
    decisions,
    documents,
    events,
    fakeworld,
    fleet,
    peering,
    periods,
    requesting,
    store,
)
from cardamommill import board as board_lib

DATA_CENTRE = "dc-1"
MODEL = "model@1"
_Outcome = requesting.Outcome


@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """What a request asks of a replica.

    Attributes:
        tokens: Events of its answer.
        token_ms: Time between two events.
        prefill_ms: Time until the first event, with nothing cached.
        poison: Whether it crashes each replica that runs it.
    """

    tokens: int = 10
    token_ms: int = 20
    prefill_ms: int = 50
    poison: bool = False


@dataclasses.dataclass(slots=True)
class Call:
    """A request as its caller sees it, and as the replicas do.

    Attributes:
        head: The request.
        node: The node that it was sent to.
        work: What it asks.
        sent_ms: When it was sent, by the world's clock.
        delivered: Events that the caller has.
        first_ms: When it had the first one; -1 before.
        whole: Whether an attempt gave the caller the whole answer.
        answers: The final answers that the caller got.
        answered_ms: When it got the first of them.
        attempts: Attempts that reached a replica.
        runs: How often a replica began to run it.
        mixed: What is wrong with its answer; empty if nothing.
        end_lost: Whether the word of an attempt's end was lost.
        gone: Whether the caller closed its connection.
        hits: Prefixes that were cached where it first ran.
    """

    head: requesting.RequestHead
    node: str
    work: Work
    sent_ms: int
    delivered: int = 0
    first_ms: int = -1
    whole: bool = False
    answers: list[actions.Action] = dataclasses.field(default_factory=list)
    answered_ms: int = 0
    attempts: int = 0
    runs: int = 0
    mixed: str = ""
    end_lost: bool = False
    gone: bool = False
    hits: int = 0

    @property
    def in_time(self) -> bool:
        """Whether its whole answer came by its deadline."""
        within_ms = self.head.deadline_ms - self.head.received_ms
        return (self.whole and not self.gone and
                self.answered_ms - self.sent_ms <= within_ms)


@dataclasses.dataclass(slots=True)
class _Run:
    call: Call
    node: str
    dispatch: actions.Dispatch
    began_ms: int = -1
    first_ms: int = 0
    over: bool = False


@dataclasses.dataclass(slots=True)
class Replica:
    """A replica of one VM: slots, a queue, a speed and a cache.

    Attributes:
        replica_id: Its name.
        slots: Requests that it runs at once.
        queue_length: Requests that wait in it before it refuses more.
        speed: 1 is as the work says.
        restart_ms: How long it is away after a crash.
        boots: How often it started.
        up: Whether it runs.
        waiting: Attempts that wait.
        running: Attempts that run.
        cache: Prefixes that it holds, the oldest first.
        told: Cache events: sequence, time, prefix, whether stored.
    """

    replica_id: str
    slots: int = 4
    queue_length: int = 8
    speed: float = 1.0
    restart_ms: int = 3000
    boots: int = 1
    up: bool = True
    waiting: "collections.deque[_Run]" = dataclasses.field(
        default_factory=collections.deque)
    running: list[_Run] = dataclasses.field(default_factory=list)
    cache: dict[str, None] = dataclasses.field(default_factory=dict)
    cache_size: int = 200
    sequence: int = 0
    told: list[tuple[int, int, str,
                     bool]] = dataclasses.field(default_factory=list)

    @property
    def vm_id(self) -> str:
        """Its only VM."""
        return f"vm-{self.replica_id}"

    def report(self) -> fleet.RunnerReport:
        """Returns what it says of itself now."""
        return fleet.RunnerReport(self.vm_id,
                                  f"{self.vm_id}/{self.boots}",
                                  self.replica_id,
                                  1,
                                  self.boots,
                                  fleet.RunnerRole.MEMBER,
                                  MODEL,
                                  self.up,
                                  self.slots,
                                  len(self.running),
                                  len(self.waiting),
                                  cache_sequence=self.sequence)


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


class RequestWorld(fakeworld.FakeWorld):
    """Nodes, replicas and callers of one service in one data centre.

    Attributes:
        replicas: By name.
        calls: By request id.
        trouble: What goes wrong.
        key_runs: How often each key was run.
        cpu_events: Events that the nodes decided on.
    """

    EVIDENCE_MS = 700

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
        super().__init__(periods.Timing(), seed)
        self.document = document
        self.replicas = {
            f"r{number}": Replica(f"r{number}") for number in range(replicas)
        }
        self.calls: dict[str, Call] = {}
        self.trouble = Trouble()
        self.key_runs: "collections.Counter[str]" = collections.Counter()
        self.cpu_events = 0
        self._runs: dict[str, _Run] = {}
        self._chance = random.Random(f"requests/{seed}")
        self._ids = itertools.count(1)
        for number in range(nodes):
            name = f"n{number}"
            node = decisions.Decisions(
                fleet.NodeIdentity(name, DATA_CENTRE, "region", 1,
                                   f"10.1.0.{number}:1", f"10.1.0.{number}:2"),
                self.timing, seed + number, kinds)
            self.add_node(name, fakeworld.FakeNode(node, 1000 * number))
            self._start(name)

    # --- What the rest of a node would know ---

    def _start(self, name: str) -> None:
        board = self.nodes[name].decisions.board
        board.life.phase = board_lib.NodePhase.SERVING
        row = store.DocumentRow(self.document.service, 1, "", "", "", "")
        board.documents.in_force[self.document.service] = (
            board_lib.DocumentInForce(self.document, row, 0))
        for replica in self.replicas.values():
            board.vms.listed[replica.vm_id] = fleet.Vm(
                replica.vm_id, f"10.2.0.1:{len(board.vms.listed)}", DATA_CENTRE,
                "domain", self.document.pool)
            self._look(name, replica)
        self._pull(name)

    def _look(self, name: str, replica: Replica) -> None:
        """Lets a node see a replica as it was some time ago."""
        board = self.nodes[name].decisions.board
        if replica.up and not self.nodes[name].paused:
            seen_ms = self.local_ms(name)
            report = replica.report()
            late_ms = self._chance.randrange(self.EVIDENCE_MS)
            self.later(late_ms,
                       lambda: self._see(board, replica, report, seen_ms))
        self.later(self.EVIDENCE_MS, lambda: self._look(name, replica))

    def _see(self, board: board_lib.Board, replica: Replica,
             report: fleet.RunnerReport, seen_ms: int) -> None:
        board.evidence.by_vm[report.vm_id] = fleet.Evidence(
            report, seen_ms, "watcher")
        board.assignments.replicas[replica.replica_id] = fleet.ReplicaRow(
            replica.replica_id, self.document.service, DATA_CENTRE, 1,
            report.formation, (replica.vm_id,), (), MODEL,
            fleet.ReplicaState.ASSIGNED, 1, "")

    def _pull(self, name: str) -> None:
        """Lets a node hear its peers."""
        board = self.nodes[name].decisions.board
        for other, node in self.nodes.items():
            if other == name or not node.alive or not self.reachable(
                    name, other):
                continue
            theirs = node.decisions.board
            counts = tuple(
                peering.ReplicaInFlight(replica_id, load.in_flight)
                for replica_id, load in theirs.load.by_replica.items())
            board.peers.by_node[other] = board_lib.Peer(
                theirs.identity,
                self.local_ms(name),
                in_flight=counts,
                uses=tuple(theirs.limits.uses.values()))
        self.later(self.timing.pull_ms, lambda: self._pull(name))

    # --- Callers ---

    def call(self,
             node: str,
             work: Work,
             within_ms: int = 10_000,
             **fields: object) -> Call:
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
        call = Call(head, node, work, self.now_ms)
        self.calls[request_id] = call
        self.hand(node, events.RequestArrived(head))
        return call

    def leave(self, call: Call) -> None:
        """Has a caller close its connection."""
        if not call.answers and not call.gone:
            call.gone = True
            self.hand(call.node, events.CallerGone(call.head.request_id))

    def hand(self, name: str, event: events.Event) -> None:
        """Hands an event to a node and performs what it decides."""
        self.cpu_events += 1
        super().hand(name, event)

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
        run = self._runs[action.attempt_id] = _Run(call, name, action)
        replica = self.replicas[action.target.replica_id]
        if action.resume_from != call.delivered:
            call.mixed = (f"{call.delivered} events delivered, went on from "
                          f"{action.resume_from}")
        if (self.local_ms(name) >= action.target.valid_until_ms or
                not replica.up):
            self._end(run, _Outcome.NOT_RUN)
            return
        call.attempts += 1
        if action.target.formation != replica.boots:
            self._end(run, _Outcome.NOT_RUN, status=421)
        elif (len(replica.running) >= replica.slots and
              len(replica.waiting) >= replica.queue_length):
            self._end(run, _Outcome.NOT_RUN, status=503)
        else:
            replica.waiting.append(run)
            left_ms = action.deadline_ms - self.local_ms(name)
            self.later(left_ms, lambda: self._give_up(replica, run))
            self._fill(replica)

    def _fill(self, replica: Replica) -> None:
        while replica.waiting and len(replica.running) < replica.slots:
            run = replica.waiting.popleft()
            replica.running.append(run)
            self._begin(replica, run)
            if not replica.up:
                return

    def _begin(self, replica: Replica, run: _Run) -> None:
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
        self._remember(replica, prefixes)
        missing = 1 - held / len(prefixes) if prefixes else 1.0
        run.began_ms = self.now_ms
        run.first_ms = self.now_ms + round(
            (5 + work.prefill_ms * missing) / replica.speed)
        self.later(run.first_ms - self.now_ms, lambda: self._first(run))
        left = work.tokens - run.dispatch.resume_from
        end_ms = run.first_ms + round(left * work.token_ms / replica.speed)
        self.later(end_ms - self.now_ms, lambda: self._finish(replica, run))
        if self._chance.random() < self.trouble.cut:
            cut_ms = self._chance.randrange(end_ms - self.now_ms + 1)
            self.later(cut_ms, lambda: self._cut(replica, run))

    def _first(self, run: _Run) -> None:
        if run.over:
            return
        if run.call.first_ms < 0:
            run.call.first_ms = self.now_ms
        self.hand(
            run.node,
            events.AttemptStarted(run.dispatch.request_id,
                                  run.dispatch.attempt_id, 200))

    def _finish(self, replica: Replica, run: _Run) -> None:
        if run not in replica.running:
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

    def _cut(self, replica: Replica, run: _Run) -> None:
        """Breaks a connection; the replica runs the request to its end."""
        if not run.over:
            self._deliver(replica, run)
            self._end(run, _Outcome.UNKNOWN, connection_lost=True)

    def _deliver(self, replica: Replica, run: _Run) -> None:
        work = run.call.work
        if run.began_ms >= 0 and self.now_ms > run.first_ms:
            done = int((self.now_ms - run.first_ms) * replica.speed /
                       max(1, work.token_ms))
            run.call.delivered = min(work.tokens - 1,
                                     run.dispatch.resume_from + done)

    def crash(self, replica: Replica) -> None:
        """Crashes a replica; it comes back as a new formation."""
        replica.up = False
        replica.boots += 1
        broken = [*replica.running, *replica.waiting]
        replica.running.clear()
        replica.waiting.clear()
        replica.cache.clear()
        for run in broken:
            self._cut(replica, run)
        self.later(replica.restart_ms, lambda: self._restart(replica))

    def _restart(self, replica: Replica) -> None:
        replica.up = True
        replica.sequence = 0
        replica.told.clear()

    def _give_up(self, replica: Replica, run: _Run) -> None:
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

    def _remove(self, replica: Replica, run: _Run) -> None:
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
             connection_lost: bool = False) -> None:
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
            answer=requesting.RecordedAnswer(
                200, "text/plain", run.call.head.request_id) if keep else None)
        if self._chance.random() < self.trouble.lose_end:
            run.call.end_lost = True
        else:
            self.hand(run.node, ended)
        if self._chance.random() < self.trouble.repeat_end:
            self.later(self._chance.randrange(2000),
                       lambda: self.hand(run.node, ended))

    # --- Caches ---

    def _remember(self, replica: Replica, prefixes: tuple[str, ...]) -> None:
        for prefix in prefixes:
            if prefix not in replica.cache:
                self._tell(replica, prefix, True)
            replica.cache.pop(prefix, None)
            replica.cache[prefix] = None
        while len(replica.cache) > replica.cache_size:
            oldest = next(iter(replica.cache))
            del replica.cache[oldest]
            self._tell(replica, oldest, False)

    def _tell(self, replica: Replica, prefix: str, stored: bool) -> None:
        replica.sequence += 1
        # One event in twenty is lost, and all come half a second late.
        if self._chance.random() >= 0.05:
            replica.told.append(
                (replica.sequence, self.now_ms + 500, prefix, stored))

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
        found = list(
            itertools.takewhile(lambda each: each[1] <= self.now_ms,
                                (each for each in replica.told
                                 if each[0] > action.after_sequence)))
        if not replica.up or not found:
            return
        self.hand(
            name,
            events.CacheEventsRead(
                action.vm_id,
                replica.report().boot_id, found[0][0],
                tuple(each[2] for each in found if each[3]),
                tuple(each[2] for each in found if not each[3]), found[-1][0]))


_PERFORM: dict[type[actions.Action], Callable[..., None]] = {
    actions.Dispatch: RequestWorld._dispatch,
    actions.CancelAttempt: RequestWorld._cancel,
    actions.Refuse: RequestWorld._answer_caller,
    actions.Replay: RequestWorld._answer_caller,
    actions.Finish: RequestWorld._answer_caller,
    actions.NotifyPeer: RequestWorld._tell_peer,
    actions.ReadCacheEvents: RequestWorld._read_cache,
}
