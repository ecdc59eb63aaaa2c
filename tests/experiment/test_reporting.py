"""Tests loads and updates that data centres report to each other."""

import asyncio

from cardamommill.domain import model
from cardamommill.gateway.nodes import peers
from cardamommill.gateway.shell import dispatcher, entrynode, nodelink
from tests.experiment import test_world

# A datagram with its headers, without loads.
DATAGRAM_OVERHEAD_BYTES = 200


def play(nodes=12, length_s=4.0):
    return test_world.play(places={"a": nodes, "b": nodes}, length_s=length_s)


def test_news_of_one_data_centre_reaches_all_nodes_of_the_other(monkeypatch):
    """A planner informs two nodes of the other data centre.

    These two inform the remaining nodes of their data centre.

    With the runner list alone, a new group gets no requests for seconds.
    """
    nodes, known = [], []
    init, opened = entrynode.EntryNode.__init__, entrynode.EntryNode._on_opened

    def record_node(self, *args):
        init(self, *args)
        nodes.append(self)

    def told(self, key, name, head):
        opened(self, key, name, head)
        asyncio.get_running_loop().call_later(0.06, check_all, key, head)

    def check_all(key, head):
        for each in nodes:
            place = each.view.known[head].membership
            known.append(place is not None and place.key == key and
                         place.state is model.MemberState.OPEN)

    monkeypatch.setattr(entrynode.EntryNode, "__init__", record_node)
    monkeypatch.setattr(entrynode.EntryNode, "_on_opened", told)
    assert not play().violations
    assert len(known) >= 8 * 24
    assert all(known)


def test_loads_of_the_other_data_centre_are_known_to_all_nodes(monkeypatch):
    """Loads sent from each node to every other arrive too late to be of use."""
    seen = {}
    update = dispatcher.Dispatcher.update_from_peers

    def record_loads(self, far_load, now_ms):
        update(self, far_load, now_ms)
        node = self._settings.node
        seen[node] = max(seen.get(node, 0),
                         sum(load.requests for load in far_load.values()))

    monkeypatch.setattr(dispatcher.Dispatcher, "update_from_peers",
                        record_loads)
    assert not play().violations
    assert len(seen) == 24
    assert min(seen.values()) > 2


def test_bytes_between_data_centres_follow_reports_not_pairs(monkeypatch):
    """Twice the nodes make four times the pairs, but no more reporters."""

    def far_bytes_per_s(nodes):
        sent = []
        send = nodelink.NodeLink._send

        def counted(self, told, now_ms):
            send(self, told, now_ms)
            send_times_ms.append(now_ms)
            if now_ms - send_times_ms[0] > 6000:
                sent.extend(DATAGRAM_OVERHEAD_BYTES for peer, _ in told
                            if not peer.is_near and self._peers.update_scope(
                                peer) is not peers.UpdateScope.REPORTER)

        send_times_ms = []
        with monkeypatch.context() as patched:
            patched.setattr(nodelink.NodeLink, "_send", counted)
            play(nodes, length_s=2.0)
        return sum(sent)

    assert far_bytes_per_s(16) < 2.5 * far_bytes_per_s(8)
