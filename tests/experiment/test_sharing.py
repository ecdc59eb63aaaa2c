"""Tests nodes that get the tables of the store from a few reader nodes."""

import pytest

from cardamommill.domain import clock, entrysettings
from cardamommill.experiment import modelrunner, troubles
from cardamommill.gateway.shell import platformreader
from cardamommill.gateway.tables import peertables, sourceselector, tablereader
from cardamommill.platform import storecalls, wirenames
from tests.experiment import test_world

FOUR_CUT = {"kind": "store_cut", "at_s": 1.0, "count": 4, "for_s": 9.0}


def play(*troubles, nodes=6, length_s=8.0, seed=1):
    return test_world.play(*troubles,
                           places={
                               "a": nodes,
                               "b": 1
                           },
                           length_s=length_s,
                           seed=seed)


def served(outcome, from_s, to_s):
    """Returns the fraction served of the requests sent in a time span."""
    inside = [
        each for each in outcome.results
        if from_s * 1000 <= each.at_ms - outcome.started_ms < to_s * 1000
    ]
    return sum(
        each.outcome in ("in-aim", "late") for each in inside) / len(inside)


def test_calls_to_the_store_grow_with_data_centres_not_with_nodes(monkeypatch):
    """Calls are costly and the store's capacity does not grow with nodes."""
    few, many = play(nodes=2), play(nodes=8)
    assert not many.violations
    assert many.share("in-aim") > 0.97
    # Calls of each node at its start, and those of a reader that also plans.
    assert many.store_calls < 1.6 * few.store_calls
    monkeypatch.setattr(sourceselector.SourceSelector, "_reader",
                        lambda *_: None)
    assert play(nodes=8).store_calls > 2.2 * few.store_calls


def test_only_readers_read_the_whole_list_when_all_nodes_start(monkeypatch):
    """Otherwise hundreds of nodes starting at once each read 1000 rows."""
    whole = []
    table = storecalls.StoreClient.table

    async def counted(self, name, part=""):
        whole.append(name)
        return await table(self, name, part)

    monkeypatch.setattr(storecalls.StoreClient, "table", counted)
    assert not play(nodes=12, length_s=1.0).violations
    # Two nodes of one data centre and the only node of the other.
    assert whole.count(wirenames.SERVERS_TABLE) <= 3
    assert whole.count(wirenames.OPERATOR_TABLE) <= 3


def test_nodes_cut_from_the_store_serve_on_what_their_peers_read():
    """Four of seven nodes are cut off from the store alone for 9 s.

    Without data from peers their keys would be unconfirmed after 4.4 s and
    every request refused, though three reachable peers have them confirmed.
    """
    outcome = play(FOUR_CUT, length_s=10.0)
    assert not outcome.violations
    assert served(outcome, 6.0, 10.0) > 0.97


@pytest.mark.parametrize("trouble", [
    {
        "kind": "revoke",
        "at_s": 2.5,
        "count": 3
    },
    {
        "kind": "configuration",
        "at_s": 2.5
    },
    {
        "kind": "runners_drain",
        "at_s": 2.5,
        "count": 2
    },
    {
        "kind": "node_kill",
        "place": "a",
        "at_s": 2.0,
        "for_s": 3.0
    },
])
def test_no_rule_is_broken_where_rows_come_from_peers(trouble):
    """Keys are revoked, runners leave and readers die during a store cut."""
    outcome = play({
        "kind": "store_cut",
        "at_s": 1.0,
        "count": 3,
        "for_s": 8.0
    },
                   trouble,
                   length_s=10.0)
    assert not outcome.violations
    assert outcome.earned > 0.8


def test_copy_of_a_peer_that_is_cut_off_too_is_refused(monkeypatch):
    """All nodes lose the store and could pass on old copies indefinitely.

    Keys are revoked meanwhile. A node that treats an old copy as current
    accepts them for too long.
    """
    troubles = ({
        "kind": "store_silent",
        "at_s": 1.98,
        "for_s": 9.0
    }, {
        "kind": "revoke",
        "at_s": 1.99,
        "count": 3
    })
    assert not play(*troubles, length_s=11.0).violations

    def answer_as_if_new(reply, table, rows, asked_ms):
        table.as_of_ms = clock.now_ms()
        answer(reply, table, rows, asked_ms)

    answer = peertables._answer
    monkeypatch.setattr(peertables, "_answer", answer_as_if_new)
    outcome = play(*troubles, length_s=11.0)
    assert {each.rule for each in outcome.violations} == {"CONFIG"}


def test_nodes_cut_from_the_store_are_not_sent_whole_tables(monkeypatch):
    """Each node retries the store, fails, and continues to read from peers.

    If each failed attempt restarted the read, a data centre that is cut off
    would fetch whole tables from the others for as long as the cut lasts.
    """
    whole = []
    table = peertables.PeerTableClient.table

    async def counted(self, name):
        whole.append(clock.now_ms())
        return await table(self, name)

    monkeypatch.setattr(peertables.PeerTableClient, "table", counted)
    outcome = play(FOUR_CUT, length_s=10.0)
    assert not outcome.violations
    # Only nodes that start later than their reader fetch a whole table.
    assert len(whole) <= 4, whole
    assert all(at_ms < outcome.started_ms for at_ms in whole)


def lags_ms(monkeypatch, *faults):
    """Returns the delays until nodes applied each new configuration."""
    written_ms, found = {}, []
    publish = troubles.Troubles._publish
    take = platformreader.PlatformReader._apply_configuration

    def noted(self):
        publish(self)
        written_ms[self._world.version] = clock.now_ms()

    def timed(self, value):
        before = self.table
        sound = take(self, value)
        if before is not None and self.table is not before:
            version = self.table.configuration.version
            found.append(clock.now_ms() - written_ms[version])
        return sound

    monkeypatch.setattr(troubles.Troubles, "_publish", noted)
    monkeypatch.setattr(platformreader.PlatformReader, "_apply_configuration",
                        timed)
    outcome = play(*faults, nodes=8, length_s=10.0)
    assert not outcome.violations
    return found


@pytest.mark.parametrize("cut", [2, 4])
def test_node_whose_source_is_cut_off_asks_who_knows_more(monkeypatch, cut):
    """Keys are revoked just after readers of a data centre lost the store.

    Other nodes know at once and report it with each heartbeat. A reader that
    is cut off waits some seconds for its call, and its followers wait for the
    reader until its data is too old, even those that can reach the store. A
    dozen nodes of eighty then accepted the revoked keys and later refused all
    keys.
    """
    found = lags_ms(monkeypatch, {
        "kind": "store_cut",
        "at_s": 2.5,
        "count": cut,
        "for_s": 9.0
    }, {
        "kind": "revoke",
        "at_s": 2.6,
        "count": 1
    }, {
        "kind": "configuration",
        "at_s": 5.0
    })
    assert len(found) == 2 * 9
    assert max(found) < entrysettings.Bounds().config_apply_ms / 2


def record_newer_reads(monkeypatch):
    """Returns a list that records nodes that ask peers for newer data."""
    asked = []
    read_newer_from_peer = tablereader.TableReader.read_newer_from_peer

    async def counted(self, version):
        asked.append(self._selector._node)
        return await read_newer_from_peer(self, version)

    monkeypatch.setattr(tablereader.TableReader, "read_newer_from_peer",
                        counted)
    return asked


def test_followers_get_what_their_readers_asked_others_for(monkeypatch):
    """Otherwise each node of a data centre would fetch it from another one."""
    asked = record_newer_reads(monkeypatch)
    found = lags_ms(monkeypatch, {
        "kind": "store_cut",
        "at_s": 2.5,
        "count": 2,
        "for_s": 9.0
    }, {
        "kind": "configuration",
        "at_s": 2.6
    })
    assert len(found) == 9
    assert set(asked) == {"node-a-1", "node-a-2"}


def test_nodes_do_not_ask_peers_while_their_sources_answer(monkeypatch):
    """A heartbeat may announce a configuration some ms before the source."""
    asked = record_newer_reads(monkeypatch)
    found = lags_ms(
        monkeypatch,
        *({
            "kind": "configuration",
            "at_s": 1.0 + 0.3 * number
        } for number in range(10)))
    assert max(found) < 100.0
    assert not asked


def leaving_lags_ms(monkeypatch, **fields):
    """Returns the delays until followers knew that runners leave."""
    left_ms, found = {}, []
    drain = modelrunner.ModelRunner.drain
    take = platformreader.PlatformReader._apply_list

    def noted(runner):
        drain(runner)
        left_ms[runner.id] = clock.now_ms()

    def timed(self, update):
        take(self, update)
        if self._list_reader._selector._node in ("node-a-1", "node-a-2"):
            return
        for known in self._view.known.values():
            pair = (self, known.runner.id)
            if known.leaving_ms and pair not in seen:
                seen.add(pair)
                found.append(clock.now_ms() - left_ms[known.runner.id])

    seen = set()
    monkeypatch.setattr(modelrunner.ModelRunner, "drain", noted)
    monkeypatch.setattr(platformreader.PlatformReader, "_apply_list", timed)
    play({
        "kind": "store_cut",
        "at_s": 2.5,
        "count": 2,
        "for_s": 9.0
    }, {
        "kind": "runners_drain",
        "at_s": 2.55,
        "count": 4,
        "place": "a"
    },
         nodes=8,
         **fields)
    return found


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_followers_of_cut_off_readers_keep_the_drain_bound(monkeypatch, seed):
    """Runners start to leave just after both readers lost the store.

    Their followers can reach the store but keep reading from them. If they
    switch only when the data is 2.8 s old, up to half a second later still,
    requests go to runners that left 2 s before.
    """
    found = leaving_lags_ms(monkeypatch, seed=seed)
    assert len(found) == 4 * 7
    assert max(found) < entrysettings.Bounds().drain_ms


def test_followers_stay_with_sound_readers_of_a_list_without_news(monkeypatch):
    """An unchanged list becomes as old as the long poll that waits for it.

    If readers let it reach the age at which followers switch their source, each
    follower goes to the store by itself, again and again, without any fault.
    """
    left = []
    failed = sourceselector.SourceSelector.failed

    def noted(self, source, now_ms):
        failed(self, source, now_ms)
        left.append(source)

    monkeypatch.setattr(sourceselector.SourceSelector, "failed", noted)
    outcome = play(nodes=12, length_s=6.0)
    assert not outcome.violations
    assert not left
