"""Plays nodes that share what a few of them read of the store."""

import pytest

from cardamommill.experiment import modelrunner, troubles
from cardamommill.gateway import (
    clock,
    entrysettings,
    peertables,
    platformreader,
    sourceselector,
    tablereader,
)
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
    """The part of requests that were served, of those sent within a time."""
    inside = [
        each for each in outcome.results
        if from_s * 1000 <= each.at_ms - outcome.started_ms < to_s * 1000
    ]
    return sum(
        each.outcome in ("in-aim", "late") for each in inside) / len(inside)


def test_calls_to_the_store_grow_with_data_centres_not_with_nodes(monkeypatch):
    """Each call has a price and the store a bound, whatever nodes there are."""
    few, many = play(nodes=2), play(nodes=8)
    assert not many.violations
    assert many.share("in-aim") > 0.97
    # What each does at its start, and a reader that plans besides.
    assert many.store_calls < 1.6 * few.store_calls
    monkeypatch.setattr(sourceselector.SourceSelector, "_reader",
                        lambda *_: None)
    assert play(nodes=8).store_calls > 2.2 * few.store_calls


def test_only_readers_read_the_whole_list_when_all_nodes_start(monkeypatch):
    """Hundreds of nodes that start at once each read a thousand rows."""
    whole = []
    table = storecalls.StoreClient.table

    async def counted(self, name, part=""):
        whole.append(name)
        return await table(self, name, part)

    monkeypatch.setattr(storecalls.StoreClient, "table", counted)
    assert not play(nodes=12, length_s=1.0).violations
    # Two of the one data centre, the only node of the other.
    assert whole.count(wirenames.SERVERS_TABLE) <= 3
    assert whole.count(wirenames.OPERATOR_TABLE) <= 3


def test_nodes_cut_from_the_store_serve_on_what_their_peers_read():
    """Four of seven nodes are cut off from the store alone, for 9 s.

    Their keys would be unconfirmed after 4.4 s and every request refused,
    though three peers that they reach have it confirmed all the while.
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
    """Keys go, runners leave, readers die while half the nodes are cut off."""
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
    """All nodes lose the store; each would pass its old copy on for ever.

    Keys are taken away then. Whoever takes an old copy for news of now
    lets them work for too long.
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
    """Each tries the store now and then, which fails, and asks peers on.

    Made to begin anew by each such try, a data centre that was cut off had
    whole tables sent from the others for as long as the cut lasted.
    """
    whole = []
    table = peertables.PeerTableClient.table

    async def counted(self, name):
        whole.append(clock.now_ms())
        return await table(self, name)

    monkeypatch.setattr(peertables.PeerTableClient, "table", counted)
    outcome = play(FOUR_CUT, length_s=10.0)
    assert not outcome.violations
    # What nodes that start later than their reader have it send.
    assert len(whole) <= 4, whole
    assert all(at_ms < outcome.started_ms for at_ms in whole)


def lags_ms(monkeypatch, *faults):
    """Returns how long after its writing nodes took each configuration."""
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
    """Keys go just after the store fell silent for readers of a data centre.

    The other nodes know at once, and say so with each heartbeat. A cut-off
    reader waited for its call of some seconds, and its followers, also those
    that the store would have answered, for the reader, until what it told was
    too old: a dozen nodes of eighty let the keys in, then refused all keys.
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
    """Returns which nodes ask for a newer configuration, as they do."""
    asked = []
    read_newer_from_peer = tablereader.TableReader.read_newer_from_peer

    async def counted(self, version):
        asked.append(self._selector._node)
        return await read_newer_from_peer(self, version)

    monkeypatch.setattr(tablereader.TableReader, "read_newer_from_peer",
                        counted)
    return asked


def test_followers_get_what_their_readers_asked_others_for(monkeypatch):
    """Asked for by each node of a data centre, it would come as often."""
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


def test_nodes_do_not_ask_each_other_while_their_sources_tell(monkeypatch):
    """Each heartbeat may tell of a configuration some ms before the source."""
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
    """Returns how long followers took to know that runners leave."""
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
            mark = (self, known.runner.id)
            if known.leaving_ms and mark not in seen:
                seen.add(mark)
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
    """Runners begin to leave just after both readers lost the store.

    Their followers, whom the store would answer, read on what these had. It
    was left when it was 2.8 s old, up to half a second later still, and
    requests went to runners that had left 2 s before.
    """
    found = leaving_lags_ms(monkeypatch, seed=seed)
    assert len(found) == 4 * 7
    assert max(found) < entrysettings.Bounds().drain_ms


def test_followers_stay_with_sound_readers_of_a_list_without_news(monkeypatch):
    """A list that is waited for grows as old as the wait.

    Readers let it grow to the very age at which their followers left them, so
    these went to the store each for itself, again and again, in calm times.
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
