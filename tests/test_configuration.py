"""Tests of which revisions a node obeys."""

import pytest

from cardamommill import (
    actions,
    applying,
    configuration,
    decisions,
    events,
    fleet,
    peering,
    periods,
    store,
)
from tests import fake_fleet, fake_table

TIMING = periods.Timing()
IDENTITY = fleet.NodeIdentity("a", "dc", "r", 1, "10.0.0.1:1", "10.0.0.1:2")
PEER = fleet.NodeIdentity("b", "dc", "r", 1, "10.0.0.2:1", "10.0.0.2:2")


def body(replicas: int) -> str:
    return ("{service: desk, kind: plain, pool: small, accounts: [], "
            f"capacity: {{dc: {{replicas: {replicas}}}}}}}")


def row(revision: int, text: str | None = None) -> str:
    return store.encode(
        store.DocumentRow("desk", revision, "op", "why", "",
                          body(revision) if text is None else text))


class Node:
    """One node's configuration, driven by hand."""

    def __init__(self):
        self.decided = decisions.Decisions(IDENTITY, TIMING, 1,
                                           (configuration.Configuration,))
        self.now_ms = 0
        self.alarms: list[str] = []

    @property
    def documents(self):
        return self.decided.board.documents

    @property
    def revision(self) -> int:
        in_force = self.documents.in_force.get("desk")
        return in_force.row.revision if in_force else 0

    def step(self, event):
        done = self.decided.step(event, self.now_ms)
        self.alarms.extend(action.event
                           for action in done
                           if isinstance(action, actions.Record) and
                           action.event != "document-in-force")
        return done

    def ask(self) -> events.Token:
        """Returns the token of the next read of the index."""
        for _ in range(20):
            self.now_ms += 100
            for action in self.step(events.Tick()):
                return action.token
        raise AssertionError("the index was not read")

    def index(self, token: events.Token, revision: int):
        text = store.encode(store.DocumentsIndex({"desk": revision}))
        key = store.Key(store.INDEX, store.DOCUMENTS_INDEX)
        return self.step(
            events.RowsRead(token, (store.Row(key, revision, text),)))

    def fetch(self, action: actions.ReadRows, text: str):
        return self.step(
            events.RowsRead(action.token,
                            (store.Row(action.keys[0], 1, text),)))

    def hear(self, copies=(), revisions=(), complete=True):
        self.step(
            events.PeerPulled(
                PEER.peer_address,
                peering.Digest(
                    1,
                    PEER,
                    documents_complete=complete,
                    documents=tuple(
                        peering.DocumentCopy("desk", revision, row(revision))
                        for revision in copies),
                    revisions=tuple(
                        peering.Revision("desk", revision)
                        for revision in revisions)), self.now_ms))


def test_only_a_higher_revision_is_fetched_and_taken():
    """Revisions come by the table and from peers, in any order.

    A node that took a late copy of an older one would serve by a document that
    its team has replaced: an accepted one must not revert.
    """
    node = Node()
    assert not node.documents.complete
    fetch, = node.index(node.ask(), 3)
    assert [key.row for key in fetch.keys] == ["desk"]
    assert not node.documents.complete
    node.fetch(fetch, row(3))
    assert node.revision == 3 and node.documents.complete
    assert node.decided.board.store.answered_ms == node.now_ms
    assert node.index(node.ask(), 3) == ()
    node.fetch(fetch, row(2))
    node.hear(copies=(2,), revisions=(2,))
    assert node.revision == 3
    node.hear(copies=(4,), revisions=(4,))
    assert node.revision == 4 and not node.alarms


def test_table_that_went_back_raises_an_alarm_and_changes_nothing():
    """The platform restores its table from yesterday's copy.

    The index names a revision below the one in force. Obeying it would undo
    a change that an operator was told is accepted; the node goes on with
    what it has and says so, once.
    """
    node = Node()
    node.fetch(node.index(node.ask(), 5)[0], row(5))
    for _ in range(3):
        node.index(node.ask(), 4)
    assert node.revision == 5
    assert node.alarms == ["revision-went-back"]


def test_answer_older_than_the_document_is_no_alarm():
    """A read of the index is slow; meanwhile a peer brings the new document.

    The answer names the former revision, as it was when it was asked for.
    Nothing went back, and nobody is to be woken for it.
    """
    node = Node()
    node.fetch(node.index(node.ask(), 1)[0], row(1))
    slow = node.ask()
    node.now_ms += 50
    node.hear(copies=(2,))
    node.index(slow, 1)
    assert node.revision == 2 and not node.alarms


@pytest.mark.parametrize(
    "text", ("{", row(6, "service: ["), row(6,
                                            body(6).replace("desk", "other"))),
    ids=("no-row", "no-document", "other-service"))
def test_document_that_cannot_be_used_leaves_the_old_one(text):
    """A newer version's row, or a damaged one, is accepted in the table.

    The revision before it stays in force, the alarm is raised once, and the
    other services' documents are still taken.
    """
    node = Node()
    node.fetch(node.index(node.ask(), 5)[0], row(5))
    for _ in range(3):
        for fetch in node.index(node.ask(), 6):
            node.fetch(fetch, text)
    assert node.revision == 5
    assert len(node.alarms) == 1
    fetch, = node.index(node.ask(), 7)
    node.fetch(fetch, row(7))
    assert node.revision == 7


def test_unreadable_index_is_an_alarm_and_no_completeness():
    """The index row of the documents can't be read, twice.

    A node that took it for an empty one would serve without knowing of most
    services, and refuse their callers. It stays not ready and tells it once.
    """
    node = Node()
    key = store.Key(store.INDEX, store.DOCUMENTS_INDEX)
    for _ in range(2):
        node.step(events.RowsRead(node.ask(), (store.Row(key, 1, "nonsense"),)))
    assert node.alarms == ["index-unreadable"]
    assert not node.documents.complete


def test_first_peer_with_an_older_copy_does_not_make_a_node_complete():
    """A node restarts during an outage; its first peer is behind.

    The other peer has the revision that the node itself had before. Were the
    first answer enough, the node would take traffic under the older one: an
    accepted change would have gone back.
    """
    node = Node()
    node.ask()
    node.hear(copies=(4,), revisions=(4,))
    assert not node.documents.complete
    node.now_ms += 1000
    node.hear(copies=(5,), revisions=(5,))
    node.now_ms += TIMING.peer_timeout_ms
    node.step(events.Tick())
    assert node.documents.complete and node.revision == 5


def test_revision_that_a_peer_only_names_is_waited_for():
    """A node starts while the table is down, with one peer.

    The peer names revision 5 but hands on its copy of 4. Ready with that, the
    node would serve by a document that was replaced before it started.
    """
    node = Node()
    node.ask()
    node.hear(copies=(4,), revisions=(5,))
    node.now_ms += 2 * TIMING.peer_timeout_ms
    node.step(events.Tick())
    assert not node.documents.complete
    node.hear(copies=(5,))
    node.step(events.Tick())
    assert node.documents.complete


def test_incomplete_peer_is_not_enough():
    """A node starts while the table is down, with one peer that just started.

    That peer doesn't know all documents itself; a node that was ready after
    hearing it would refuse callers of the services that neither knows.
    """
    node = Node()
    node.ask()
    node.hear(copies=(4,), revisions=(4,), complete=False)
    node.now_ms += 2 * TIMING.peer_timeout_ms
    node.step(events.Tick())
    assert not node.documents.complete


def test_restart_during_an_outage_brings_back_the_newest_of_the_peers():
    """Three nodes; one is cut off before revision 2; then the table fails.

    A node that has revision 2 is restarted. It hears the one that was cut
    off (revision 1) and the one that was not (revision 2), in any order, and
    must not be in force with 1.
    """
    for seed in range(5):
        fleet_ = fake_fleet.FakeFleet(nodes=3, seed=seed)
        tables = fake_table.SyncTable(fleet_.table)

        def apply(revision, tables=tables):
            change = applying.Change(body(revision), "op", "why", "",
                                     f"{revision}", revision - 1)
            applying.apply(tables, change).unwrap()

        apply(1)
        fleet_.advance(4000)
        others = ("dc-a-1", "dc-a-2")
        fleet_.table_cuts.add("dc-a-0")
        fleet_.cuts |= {frozenset(("dc-a-0", other)) for other in others}
        fleet_.advance(1000)
        apply(2)
        fleet_.advance(2000)
        fleet_.table.down = True
        fleet_.cuts.clear()
        fleet_.restart_node("dc-a-1")
        node = fleet_.nodes["dc-a-1"]
        for _ in range(80):
            fleet_.advance(100)
            documents = node.board.documents
            if documents.complete:
                assert documents.in_force["desk"].row.revision == 2
        assert node.board.documents.complete
        held = fleet_.nodes["dc-a-0"].board.documents.in_force["desk"]
        assert held.row.revision == 2
