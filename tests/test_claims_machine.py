"""A state machine over several nodes' claims; the oracle counts runs by key."""

from hypothesis import stateful
from hypothesis import strategies as st

from cardamommill import requesting
from tests import claimfleet

Outcome = requesting.Outcome
FATES = ("ok",) * 8 + ("lost", "late", "dropped", "down")


class ClaimMachine(stateful.RuleBasedStateMachine):
    """Requests, faults and deaths in any order; the oracle counts runs."""

    def __init__(self):
        super().__init__()
        self.fleet = claimfleet.Fleet()

    @stateful.rule(node=st.integers(0, 2),
                   key=st.sampled_from("aabc"),
                   digest=st.sampled_from("ddddddde"))
    def want(self, node, key, digest):
        self.fleet.want(self.fleet.lives[node], key, digest)

    @stateful.precondition(lambda self: self.pending())
    @stateful.rule(fates=st.lists(st.sampled_from(FATES), max_size=12))
    def answer(self, fates):
        for fate in fates:
            for life in self.fleet.lives:
                if life.pending:
                    self.fleet.answer(life, fate)

    def pending(self):
        return any(life.pending for life in self.fleet.lives)

    def running(self):
        return any(life.running for life in self.fleet.lives)

    @stateful.precondition(lambda self: self.running())
    @stateful.rule(how=st.sampled_from([(Outcome.RAN, True),
                                        (Outcome.RAN, True),
                                        (Outcome.UNKNOWN, True),
                                        (Outcome.UNKNOWN, False),
                                        (Outcome.NOT_RUN, False)]),
                   large=st.booleans())
    def run(self, how, large):
        body = "x" * 20_000 if large else None
        for life in self.fleet.lives:
            for request_id in tuple(life.running):
                self.fleet.run(life, request_id, *how, body)
                return

    @stateful.rule(node=st.integers(0, 2),
                   runs_on=st.booleans(),
                   often=st.sampled_from([False] * 5 + [True]))
    def die(self, node, runs_on, often):
        if not often:
            return
        life = self.fleet.lives[node]
        for request_id in tuple(life.running) if runs_on else ():
            self.fleet.run(life, request_id, Outcome.UNKNOWN)
        self.fleet.die(node)

    @stateful.precondition(lambda self: self.fleet.late)
    @stateful.rule(index=st.integers(0, 50))
    def take_effect(self, index):
        self.fleet.take_effect(index % len(self.fleet.late))

    @stateful.rule(by_ms=st.sampled_from([100, 3000]))
    def tick(self, by_ms):
        self.fleet.tick(by_ms)

    def teardown(self):
        """Once all is well again, each request has had one answer."""
        fleet = self.fleet
        fleet.settle()
        for life in fleet.lives:
            assert not life.decisions.board.claims.unrecorded
            for request_id in life.running:
                assert request_id not in fleet.refusals


TestClaimMachine = ClaimMachine.TestCase
