"""A state machine over several nodes' request decisions and an oracle.

The oracle is the ledger of `requestfakes`: what ran how often, what reached
each caller and what each was told. Nodes see none of it.
"""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from cardamommill import (
    actions,
    claims,
    documents,
    limits,
    replicafakes,
    requestfakes,
    requesting,
    requests,
    routing,
    suspects,
)
from tests import requestnode

NODES = 3
KINDS = (claims.Claims, suspects.Suspects, limits.Limits, routing.Routing,
         requests.Requests)
WORK = st.builds(replicafakes.Work,
                 tokens=st.integers(1, 40),
                 token_ms=st.sampled_from([5, 50]),
                 prefill_ms=st.sampled_from([5, 400]))
CHANCE = st.sampled_from([0.0, 0.2, 0.5])
NODE = st.integers(0, NODES - 1).map("n{}".format)
REPLICA = st.integers(0, 2).map("r{}".format)
WITHIN_MS = st.sampled_from([300, 3000, 20_000])
AFTER_MS = st.sampled_from([0, 50, 500, 2000])


class RequestMachine(stateful.RuleBasedStateMachine):
    """Callers, faults and time in any order."""

    def __init__(self) -> None:
        super().__init__()
        doc = requestnode.document(replicas=3,
                                   limits=documents.Limits(queue_length=6),
                                   accounts=(requestnode.account("office"),
                                             requestnode.account("portal",
                                                                 concurrent=4,
                                                                 weight=3)))
        self.world = requestfakes.RequestWorld(doc, KINDS, NODES, replicas=3)
        self.world.run(2000)
        self.world.trouble = requestfakes.Trouble(0.3, 0.0, 0.3)

    @stateful.rule(node=NODE,
                   work=WORK,
                   within_ms=WITHIN_MS,
                   account=st.sampled_from(["office", "portal"]),
                   priority=st.integers(1, 3),
                   streaming=st.booleans(),
                   count=st.integers(1, 8),
                   after_ms=AFTER_MS)
    def calls(self, node, work, within_ms, account, priority, streaming, count,
              after_ms):
        for _ in range(count):
            self.world.call(node,
                            work,
                            within_ms,
                            account=account,
                            priority=priority,
                            streaming=streaming)
        self.world.run(after_ms)

    @stateful.rule(nodes=st.lists(NODE, min_size=1, max_size=4),
                   work=WORK,
                   within_ms=WITHIN_MS,
                   key=st.integers(0, 20),
                   after_ms=AFTER_MS)
    def calls_once(self, nodes, work, within_ms, key, after_ms):
        for node in nodes:
            self.world.call(node,
                            work,
                            within_ms,
                            repeatable=False,
                            streaming=False,
                            idempotency_key=f"key-{key}",
                            digest=f"digest-{key}")
        self.world.run(after_ms)

    @stateful.rule(number=st.integers(0, 1000))
    def caller_leaves(self, number):
        calls = list(self.world.calls.values())
        if calls:
            self.world.leave(calls[number % len(calls)])

    @stateful.rule(for_ms=st.sampled_from([1, 20, 150, 1000, 4000]))
    def time_passes(self, for_ms):
        self.world.run(for_ms)

    @stateful.rule(node=NODE, number=st.integers(0, 1))
    def calls_poison(self, node, number):
        self.world.call(node,
                        replicafakes.Work(poison=True),
                        digest=f"poison-{number}")

    @stateful.rule(name=REPLICA)
    def replica_crashes(self, name):
        if self.world.replicas[name].up:
            self.world.crash(self.world.replicas[name])

    @stateful.rule(name=REPLICA, speed=st.sampled_from([0.1, 1.0]))
    def replica_changes_speed(self, name, speed):
        self.world.replicas[name].speed = speed

    @stateful.rule(name=REPLICA, for_ms=st.sampled_from([500, 1500, 6000]))
    def replica_stands_still(self, name, for_ms):
        self.world.stand_still(self.world.replicas[name], for_ms)

    @stateful.rule(node=NODE)
    def node_pauses(self, node):
        self.world.pause(node)

    @stateful.rule(node=NODE)
    def node_goes_on(self, node):
        self.world.resume(node)

    @stateful.rule(cut=CHANCE, lose_end=CHANCE, repeat_end=CHANCE)
    def attempts_fail(self, cut, lose_end, repeat_end):
        self.world.trouble = requestfakes.Trouble(cut, lose_end, repeat_end)

    @stateful.rule(down=st.booleans(), lose=CHANCE, late=CHANCE)
    def table_fails(self, down, lose, late):
        self.world.faults.table_down = down
        self.world.faults.lose_answers = lose
        self.world.faults.late_transactions = late

    @stateful.invariant()
    def nothing_runs_twice(self):
        assert all(count == 1 for count in self.world.key_runs.values())

    @stateful.invariant()
    def answers_are_whole_single_and_true(self):
        for call in self.world.calls.values():
            assert len(call.answers) <= 1, call
            assert not call.mixed, call
            for answer in call.answers:
                check(call, answer, self.world)

    def teardown(self):
        """Everybody has been answered, and nothing is kept of them."""
        world = self.world
        world.faults.table_down = False
        for name in world.nodes:
            world.resume(name)
        world.run(25_000)
        self.nothing_runs_twice()
        self.answers_are_whole_single_and_true()
        for call in world.calls.values():
            assert call.answers, call
        for node in world.nodes.values():
            board = node.decisions.board
            assert not board.requests.stages
            assert not board.limits.refused
            assert not any(board.requests.running.values())
            assert not any(board.requests.queued.values())
            assert not any(use.concurrent for use in board.limits.uses.values())
            assert not any(load.in_flight or load.alone
                           for load in board.load.by_replica.values())


def check(call: replicafakes.Call, answer: actions.Action,
          world: requestfakes.RequestWorld) -> None:
    """Checks what a caller was told against what is so."""
    if isinstance(answer, actions.Finish):
        assert call.whole or call.gone, call
    elif isinstance(answer, actions.Refuse):
        assert call.end_lost or not call.whole, call
        if answer.problem.outcome is requesting.Outcome.NOT_RUN:
            assert call.runs == 0, call
    elif isinstance(answer, actions.Replay):
        first = world.calls[answer.answer.body]
        assert (first.head.idempotency_key == call.head.idempotency_key)
        assert first.runs == 1 and call.runs == 0


TestRequestMachine = RequestMachine.TestCase
if hypothesis.settings.get_current_profile_name() != "prove":
    TestRequestMachine.settings = hypothesis.settings(max_examples=50,
                                                      stateful_step_count=40)
