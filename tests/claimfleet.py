"""Several nodes' claims around a table that loses, delays and fails."""

import collections
import dataclasses
import functools

from cardamommill import (
    actions,
    claims,
    controller,
    decisions,
    events,
    fakes,
    fleet,
    periods,
    requesting,
    store,
)

TIMING = periods.Timing()
Outcome = requesting.Outcome
Ended = store.TransactOutcome


class Watcher(controller.Controller):
    """Takes what the claims tell the conductor."""

    name = "watcher"

    def __init__(self, *args):
        super().__init__(*args)
        self.told = []

    @functools.singledispatchmethod
    def step(self, event, now_ms):
        if isinstance(event, (events.ClaimGranted, events.ClaimRefused)):
            self.told.append(event)
        return ()


@dataclasses.dataclass
class Life:
    """One life of a node."""

    node: str
    incarnation: int
    decisions: decisions.Decisions
    pending: list = dataclasses.field(default_factory=list)
    running: dict = dataclasses.field(default_factory=dict)

    @property
    def told(self):
        return self.decisions._controllers[1].told


def head(request_id, key="k", digest="d", account="desk"):
    """Returns the head of a request that may run once only."""
    return requesting.RequestHead(request_id,
                                  "t" * 32,
                                  account,
                                  "bookings",
                                  "POST",
                                  "/book",
                                  digest,
                                  2, (),
                                  repeatable=False,
                                  idempotency_key=key,
                                  deadline_ms=10**9,
                                  priority=5,
                                  streaming=False,
                                  hop=0,
                                  received_ms=0)


class Fleet:
    """Nodes, their table, and an oracle that counts runs by key.

    Attributes:
        runs: How often the request of a key ran.
        answers: What the run of a key answered.
        refusals: What each request was told if it did not run.
    """

    def __init__(self, nodes=3):
        self.now_ms = 1000
        self.table = fakes.FakeTable()
        self.objects = {}
        self.late = []
        self.runs = collections.Counter()
        self.run_by = {}
        self.answers = {}
        self.refusals = {}
        self.heads = {}
        self.lives = [self.born(f"node-{index}", 1) for index in range(nodes)]

    def born(self, node, incarnation):
        identity = fleet.NodeIdentity(node, "dc", "r", incarnation, "a", "b")
        return Life(
            node, incarnation,
            decisions.Decisions(identity, TIMING, incarnation,
                                (claims.Claims, Watcher)))

    def post(self, life, event):
        life.pending += life.decisions.step(event, self.now_ms)
        for told in life.told:
            if isinstance(told, events.ClaimGranted):
                life.running[told.request_id] = self.heads[told.request_id]
            else:
                self.refused(told)
        life.told.clear()

    def refused(self, told):
        request_id = told.request_id
        assert request_id not in self.refusals, "a second final answer"
        self.refusals[request_id] = told
        request = self.heads[request_id]
        if told.answer:
            answer, digest = self.answers[request.idempotency_key]
            assert (told.answer.body, request.digest) == (answer, digest)
        elif told.problem.outcome is Outcome.NOT_RUN:
            assert self.run_by.get(request.idempotency_key) != request_id

    def want(self, life, key="k", digest="d"):
        request_id = f"r{len(self.heads)}"
        self.heads[request_id] = head(request_id, key, digest)
        self.post(life, events.ClaimWanted(self.heads[request_id]))
        return request_id

    def run(self, life, request_id, outcome, ran=True, body=None):
        """Runs a granted request, and settles it."""
        request = life.running.pop(request_id)
        key = request.idempotency_key
        answer = None
        if ran:
            assert request_id not in self.refusals, "ran after a refusal"
            self.runs[key] += 1
            self.run_by[key] = request_id
            assert self.runs[key] <= 1, f"{key} ran twice"
            body = body or f"answer to {request_id}"
            self.answers[key] = (body, request.digest)
            answer = requesting.RecordedAnswer(200, "text/plain", body)
        self.post(
            life,
            events.ClaimSettled(request_id, outcome,
                                answer if outcome is Outcome.RAN else None))

    def answer(self, life, fate="ok"):
        """Performs the oldest action of a life, with a fate."""
        action = life.pending.pop(0)
        self.post(life, self._ANSWERS[type(action)](self, action, fate))

    def _transact(self, action, fate):
        if fate == "down":
            return events.TransactAnswered(action.token, Ended.NOT_RUN)
        if fate == "late":
            self.late.append(action)
            return events.TransactAnswered(action.token, Ended.UNKNOWN)
        if fate == "dropped":
            return events.TransactAnswered(action.token, Ended.UNKNOWN)
        failed = self.table.transact(action)
        outcome = Ended.CONFLICT if failed else Ended.COMMITTED
        if fate == "lost":
            return events.TransactAnswered(action.token, Ended.UNKNOWN)
        return events.TransactAnswered(action.token, outcome, failed)

    def _read(self, action, fate):
        rows = tuple(self.table.read(key) for key in action.keys)
        return events.RowsRead(action.token, rows if fate == "ok" else None)

    def _put(self, action, fate):
        if fate == "ok":
            self.objects[action.key] = action.body
        return events.ObjectAnswered(action.token, fate == "ok")

    def _get(self, action, fate):
        return events.ObjectAnswered(action.token, fate == "ok",
                                     self.objects.get(action.key, b""))

    _ANSWERS = {
        actions.Transact: _transact,
        actions.ReadRows: _read,
        actions.PutObject: _put,
        actions.GetObject: _get,
    }

    def take_effect(self, index):
        """Lets a write whose answer was lost reach the table now."""
        self.table.transact(self.late.pop(index))

    def die(self, index):
        """Ends a node; what it had sent may still reach the table."""
        life = self.lives[index]
        self.late += [
            action for action in life.pending
            if isinstance(action, actions.Transact)
        ]
        self.lives[index] = self.born(life.node, life.incarnation + 1)

    def tick(self, by_ms=500):
        self.now_ms += by_ms
        for life in self.lives:
            self.post(life, events.Tick())

    def settle(self):
        """Answers everything, until nothing is left to do."""
        for _ in range(50):
            for life in self.lives:
                while life.pending:
                    self.answer(life)
            self.tick()
