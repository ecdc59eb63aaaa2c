"""A state machine over several nodes' claims; the oracle counts runs by key."""

from hypothesis import stateful
from hypothesis import strategies as st

from cardamommill import requesting
from tests import claimfleet

Outcome = requesting.Outcome
FATES = ("ok", "ok", "ok", "lost", "late", "dropped", "down")


class ClaimMachine(stateful.RuleBasedStateMachine):
    """Requests, faults and deaths in any order; the oracle counts runs."""

    def __init__(self):
        super().__init__()
        self.fleet = claimfleet.Fleet()

    @stateful.rule(node=st.integers(0, 2),
                   key=st.sampled_from("ab"),
                   digest=st.sampled_from("ddde"))
    def want(self, node, key, digest):
        self.fleet.want(self.fleet.lives[node], key, digest)

    @stateful.rule(node=st.integers(0, 2), fate=st.sampled_from(FATES))
    def answer(self, node, fate):
        if self.fleet.lives[node].pending:
            self.fleet.answer(self.fleet.lives[node], fate)

    @stateful.rule(node=st.integers(0, 2),
                   how=st.sampled_from([(Outcome.RAN, True),
                                        (Outcome.RAN, True),
                                        (Outcome.UNKNOWN, True),
                                        (Outcome.UNKNOWN, False),
                                        (Outcome.NOT_RUN, False)]),
                   large=st.booleans())
    def run(self, node, how, large):
        life = self.fleet.lives[node]
        for request_id in tuple(life.running)[:1]:
            self.fleet.run(life, request_id, *how,
                           "x" * 20_000 if large else None)

    @stateful.rule(node=st.integers(0, 2), runs_on=st.booleans())
    def die(self, node, runs_on):
        life = self.fleet.lives[node]
        for request_id in tuple(life.running) if runs_on else ():
            self.fleet.run(life, request_id, Outcome.UNKNOWN)
        self.fleet.die(node)

    @stateful.rule(index=st.integers(0, 50))
    def take_effect(self, index):
        if self.fleet.late:
            self.fleet.take_effect(index % len(self.fleet.late))

    @stateful.rule(by_ms=st.sampled_from([100, 3000]))
    def tick(self, by_ms):
        self.fleet.tick(by_ms)

    def teardown(self):
        """Once all is well again, each request has had one answer."""
        fleet = self.fleet
        alive = {
            request_id for life in fleet.lives for request_id in life.running
        }
        fleet.settle()
        for life in fleet.lives:
            for claims_ in life.decisions._controllers[:1]:
                assert not claims_._undecided
            assert not life.decisions.board.claims.unrecorded
            alive |= set(life.running)
        for request_id in life.running:
            assert request_id not in fleet.refusals


TestClaimMachine = ClaimMachine.TestCase
