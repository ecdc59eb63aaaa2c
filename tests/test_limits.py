"""Tests of limits that hold over all nodes together."""

import bisect

import hypothesis
from hypothesis import strategies as st
import pytest

from cardamommill import board as board_lib
from cardamommill import events, limits, requesting, shares
from tests import requestnode

TICK_MS = 100
RATE_PER_S = 40.0
BURST = 12
CONCURRENT = 20
ACCOUNT = requestnode.account("large",
                              requests_per_s=RATE_PER_S,
                              burst=BURST,
                              concurrent=CONCURRENT)


class Nodes:
    """Nodes of one data centre that pull from each other, some cut off.

    Attributes:
        taken: When each request was let in.
        most: The most that were in progress at once.
    """

    def __init__(self, count: int) -> None:
        self.now_ms = 50_000
        self.taken: list[int] = []
        self.most = 0
        self.groups = [0] * count
        self._serial = 0
        self._open: list[tuple[int, int, events.RequestEnded]] = []
        doc = requestnode.document(accounts=(ACCOUNT,))
        self.nodes = [
            requestnode.Node(replicas=0,
                             kinds=(limits.Limits,),
                             name=f"n{number}",
                             doc=doc) for number in range(count)
        ]

    def run(self, for_ms: int, rates, hold_ms: int = 0) -> None:
        """Lets time pass with so many requests a second at each node."""
        owed = [0.0] * len(self.nodes)
        for _ in range(for_ms // TICK_MS):
            self.now_ms += TICK_MS
            self._end()
            for number, node in enumerate(self.nodes):
                if (self.now_ms // TICK_MS + number * 3) % 7 == 0:
                    self._pull(number)
                node.decisions.step(events.Tick(), self.now_ms)
                owed[number] += rates[number] * TICK_MS / 1000
                while owed[number] >= 1:
                    owed[number] -= 1
                    self._arrive(number, hold_ms)

    def most_above(self, limit_per_s: float) -> float:
        """Returns by how much a window held more than the rate allows."""
        most, least = 0.0, 0.0
        for count, at_ms in enumerate(self.taken):
            line = count - limit_per_s * at_ms / 1000
            least = min(least, line) if count else line
            most = max(most, line + 1 - least)
        return most

    def _arrive(self, number: int, hold_ms: int) -> None:
        self._serial += 1
        node = self.nodes[number]
        head = requestnode.head(str(self._serial), self.now_ms, account="large")
        node.decisions.step(events.RequestArrived(head), self.now_ms)
        ended = events.RequestEnded(head, requesting.Outcome.RAN, 200, 1)
        if head.request_id in node.board.limits.refused:
            node.decisions.step(ended, self.now_ms)
            return
        self.taken.append(self.now_ms)
        bisect.insort(self._open,
                      (self.now_ms + hold_ms, self._serial, (number, ended)))
        self.most = max(self.most, len(self._open))

    def _end(self) -> None:
        while self._open and self._open[0][0] <= self.now_ms:
            _, _, (number, ended) = self._open.pop(0)
            self.nodes[number].decisions.step(ended, self.now_ms)

    def _pull(self, number: int) -> None:
        peers = self.nodes[number].board.peers.by_node
        for other, node in enumerate(self.nodes):
            if other != number and self.groups[other] == self.groups[number]:
                identity = node.board.identity
                peers[identity.node_id] = board_lib.Peer(
                    identity,
                    self.now_ms,
                    uses=tuple(node.board.limits.uses.values()))


COUNT = 4
RATES = st.lists(st.sampled_from([0, 5, 40, 200]),
                 min_size=COUNT,
                 max_size=COUNT)
PHASE = st.tuples(st.sampled_from([500, 3000, 8000]), RATES,
                  st.lists(st.integers(0, 1), min_size=COUNT, max_size=COUNT))


@hypothesis.settings(max_examples=40)
@hypothesis.given(st.lists(PHASE, min_size=1, max_size=4))
def test_rate_holds_over_all_nodes_whatever_changes(phases):
    """Demand moves between nodes, and some are cut off from others.

    A limit that each node held alone would let the account have four times
    as much; a share that grew at once would let it have both the old node's
    and the new one's for as long as the news takes.
    """
    nodes = Nodes(COUNT)
    nodes.run(6000, [0] * COUNT)
    for for_ms, rates, groups in phases:
        nodes.groups = groups
        nodes.run(for_ms, rates)
    assert nodes.most_above(RATE_PER_S) <= BURST + COUNT


@hypothesis.settings(max_examples=30)
@hypothesis.given(st.lists(PHASE, min_size=1, max_size=4))
def test_concurrency_holds_over_all_nodes_whatever_changes(phases):
    nodes = Nodes(COUNT)
    nodes.run(6000, [0] * COUNT)
    for for_ms, rates, groups in phases:
        nodes.groups = groups
        nodes.run(for_ms, rates, hold_ms=2000)
    assert nodes.most <= CONCURRENT + COUNT


@pytest.mark.parametrize("rates", [(100, 0, 0, 0), (100, 100, 0, 0),
                                   (30, 30, 30, 30), (200, 5, 5, 5)])
def test_shares_follow_demand(rates):
    """An account sends nearly all through one node, or through all alike.

    It must get most of its limit either way, not a quarter of it.
    """
    nodes = Nodes(COUNT)
    nodes.run(10_000, rates)
    before = len(nodes.taken)
    nodes.run(10_000, rates)
    assert len(nodes.taken) - before >= 0.75 * RATE_PER_S * 10


def test_node_that_starts_takes_no_more_than_half():
    nodes = Nodes(1)
    nodes.run(4000, [100])
    assert len(nodes.taken) <= 4 * RATE_PER_S / 2 + BURST / 2 + 1


def test_data_centres_split_a_limit_by_the_document():
    doc = requestnode.document(replicas=4)
    doc = doc.model_copy(
        update={
            "capacity": {
                "praha-a":
                    doc.capacity["praha-a"],
                "kladno":
                    doc.capacity["praha-a"].model_copy(update={"replicas": 12})
            }
        })
    parts = [
        shares.data_centre_part(doc, name) for name in ("praha-a", "kladno")
    ]
    assert parts == [0.25, 0.75]


def test_account_that_was_idle_is_forgotten():
    nodes = Nodes(1)
    nodes.run(1000, [10])
    board = nodes.nodes[0].board
    assert board.limits.uses
    nodes.run(limits.IDLE_MS + 1000, [0])
    assert not board.limits.uses and not board.limits.refused


def test_refusal_tells_when_there_will_be_room():
    doc = requestnode.document(
        accounts=(requestnode.account("office", requests_per_s=0.1, burst=1),))
    node = requestnode.Node(doc=doc)
    node.arrive("a")
    refuse = requestnode.only(node.arrive("b"), requestnode.actions.Refuse)
    assert refuse.problem.status == 429
    # A tenth of a request a second, of which a starting node has a half.
    assert 20 <= refuse.problem.retry_after_s <= 41
