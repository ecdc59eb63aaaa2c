"""Tests of requests that crash backend servers."""

import dataclasses

import hypothesis
from hypothesis import strategies as st
import pytest

from cardamommill import (
    actions,
    board,
    decisions,
    events,
    fakes,
    fleet,
    peering,
    periods,
    requesting,
    store,
    suspects,
    suspicions,
)
from tests import claimfleet

State = peering.SuspectState
Outcome = requesting.Outcome


class Nodes:
    """Nodes in two data centres that share notices and a table."""

    def __init__(self):
        self.now_ms = 1000
        self.table = fakes.FakeTable()
        self.down = False
        self.nodes = {}
        for name, centre in (("a", "dc-1"), ("b", "dc-1"), ("c", "dc-2")):
            identity = fleet.NodeIdentity(name, centre, "r", 1, name, name)
            self.nodes[name] = decisions.Decisions(identity, periods.Timing(),
                                                   1, (suspects.Suspects,))
        for name, node in self.nodes.items():
            node.board.peers.by_node.update({
                other: board.Peer(each.board.identity, 0)
                for other, each in self.nodes.items()
                if other != name and each.board.identity.data_centre ==
                node.board.identity.data_centre
            })

    def post(self, name, event):
        todo = [(name, event)]
        while todo:
            name, event = todo.pop(0)
            for action in self.nodes[name].step(event, self.now_ms):
                todo += self.perform(name, action)

    def perform(self, name, action):
        if isinstance(action, actions.NotifyPeer):
            yield action.address, events.PeerNotified(action.notice)
        elif isinstance(action, actions.ReadRows):
            rows = tuple(map(self.table.read, action.keys))
            yield name, events.RowsRead(action.token,
                                        None if self.down else rows)
        elif isinstance(action, actions.ScanRows):
            rows = self.table.scan(action.table, action.prefix)
            yield name, events.RowsRead(action.token, rows)
        elif isinstance(action, actions.Transact):
            failed = self.table.transact(action)
            outcome = (store.TransactOutcome.CONFLICT
                       if failed else store.TransactOutcome.COMMITTED)
            yield name, events.TransactAnswered(action.token, outcome, failed)

    def tick(self):
        self.now_ms += 5000
        for name in self.nodes:
            self.post(name, events.Tick())

    def crash(self, name, replica, *digests):
        self.post(name, events.RunnerCrashed(replica, 1, 1, digests))

    def ran(self, name, digest, status=200, attempts=1):
        head = dataclasses.replace(claimfleet.head("r"), digest=digest)
        self.post(name, events.RequestEnded(head, Outcome.RAN, status,
                                            attempts))

    def states(self, digest):
        return {
            name:
                known.state if
                (known := node.board.suspects.by_digest.get(digest)) else None
            for name, node in self.nodes.items()
        }

    def rows(self):
        return {
            key.row
            for key, row in self.table.rows.items()
            if key.table == store.QUARANTINE
        }


@pytest.fixture
def nodes():
    return Nodes()


def test_second_crash_quarantines_everywhere(nodes):
    """Its caller sends it to one node, then to one of another data centre.

    The second replica is the last one that it takes with it.
    """
    nodes.crash("a", "r1", "poison")
    assert nodes.states("poison") == {
        "a": State.SUSPECT,
        "b": State.SUSPECT,
        "c": None
    }
    nodes.tick()
    nodes.crash("c", "r2", "poison")
    nodes.tick()
    assert set(nodes.states("poison").values()) == {State.QUARANTINED}


def test_one_crash_seen_by_two_nodes_counts_once(nodes):
    """A runner dies; two nodes tell that the same request ran on it.

    Counted twice, a single crash would put a harmless request in quarantine.
    """
    nodes.crash("a", "r1", "d")
    nodes.crash("b", "r1", "d")
    assert nodes.states("d")["a"] is State.SUSPECT


def test_innocent_neighbour_is_cleared_by_its_run(nodes):
    """A harmless request runs beside a poisonous one in both its crashes.

    It ran whole in between, which clears it of the first crash; only the
    poisonous one is refused from then on.
    """
    nodes.crash("a", "r1", "poison", "innocent")
    nodes.tick()
    nodes.ran("b", "innocent")
    nodes.crash("a", "r2", "poison", "innocent")
    nodes.tick()
    nodes.tick()
    assert set(nodes.states("poison").values()) == {State.QUARANTINED}
    assert set(nodes.states("innocent").values()) == {State.SUSPECT}
    nodes.ran("c", "innocent")
    nodes.tick()
    assert nodes.rows() == {"poison"}


def test_common_harmless_request_is_not_suspected(nodes):
    """Many callers send the same request; it is running in every crash."""
    for replica in ("r1", "r2", "r3"):
        nodes.ran("a", "common")
        nodes.crash("a", replica, "poison", "common")
    assert nodes.states("common")["a"] in (None, State.CLEARED)
    assert nodes.states("poison")["a"] is State.QUARANTINED


@pytest.mark.parametrize(("status", "attempts"), [(500, 1), (200, 0)])
def test_error_or_replay_clears_nothing(nodes, status, attempts):
    nodes.crash("a", "r1", "d")
    nodes.ran("a", "d", status, attempts)
    assert nodes.states("d")["a"] is State.SUSPECT


@pytest.mark.parametrize("how", ["event", "row deleted"])
def test_operator_lifts(nodes, how):
    for replica in ("r1", "r2"):
        nodes.crash("a", replica, "d")
    nodes.tick()
    if how == "event":
        nodes.post("a", events.QuarantineLifted("d", "operator"))
    else:
        index = store.Key(store.INDEX, store.QUARANTINE_INDEX)
        nodes.table.transact(
            actions.Transact(events.Token("cli", 1), (), (
                store.Write(store.Key(store.QUARANTINE, "d"), None),
                store.Write(index, store.encode(store.ChangeCount(9))),
            )))
    nodes.tick()
    nodes.tick()
    assert set(nodes.states("d").values()) == {State.CLEARED}
    assert not nodes.rows()
    # Somebody who heard of the lift late says again what he knew.
    stale = peering.Suspicion("d", State.QUARANTINED, ("r1/1/1", "r2/1/1"))
    notice = peering.Notice(1, nodes.nodes["b"].board.identity, (stale,))
    nodes.post("a", events.PeerNotified(notice))
    assert nodes.states("d")["a"] is State.CLEARED


def test_quarantine_is_written_once_the_table_is_back(nodes):
    """A request crashes two runners while the table is down.

    The nodes know of it by notices; a node that starts later learns of it from
    the table alone, so the row must be written when the table is back.
    """
    nodes.down = True
    nodes.crash("a", "r1", "d")
    nodes.crash("b", "r2", "d")
    nodes.tick()
    assert not nodes.rows()
    nodes.down = False
    nodes.tick()
    nodes.tick()
    assert set(nodes.states("d").values()) == {State.QUARANTINED}
    newcomer = suspects.Suspects(board.Board(nodes.nodes["a"].board.identity),
                                 periods.Timing(), 1)
    nodes.nodes["d"] = decisions.Decisions(newcomer.board.identity,
                                           periods.Timing(), 2,
                                           (suspects.Suspects,))
    nodes.tick()
    assert nodes.states("d")["d"] is State.QUARANTINED


def test_cases_are_bounded():
    published = {}
    cases = suspicions.Cases(published)
    for replica in ("r1", "r2"):
        cases.crashed("poison", replica)
    for index in range(suspicions.MAX_CASES + 100):
        cases.crashed(f"d{index}", "r1")
        cases.ran_whole(f"w{index}")
    assert len(published) <= suspicions.MAX_CASES
    assert published["poison"].state is State.QUARANTINED


NEWS = st.builds(
    peering.Suspicion, st.just("d"),
    st.sampled_from([State.SUSPECT, State.CLEARED]),
    st.lists(st.sampled_from(["r1", "r2", "r3"]), max_size=3).map(tuple))


@hypothesis.given(st.lists(NEWS, max_size=6), st.randoms())
def test_news_in_any_order_and_twice_give_the_same(news, chance):
    published = {}, {}
    for target, order in zip(published, (0, 1), strict=True):
        cases = suspicions.Cases(target)
        said = list(news) * (order + 1)
        if order:
            chance.shuffle(said)
        for each in said:
            cases.heard(each)
    states = [{
        digest: (known.state, known.crashes)
        for digest, known in target.items()
        if known.state is not State.CLEARED
    }
              for target in published]
    assert states[0] == states[1]
