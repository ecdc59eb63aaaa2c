"""Tests of the row with the decisions about harmful requests."""

import asyncio

import pytest

from cardamommill import exceptions, metrics
from cardamommill.domain import clock
from cardamommill.gateway.fleet import isolation
from cardamommill.gateway.nodes import peers
from cardamommill.gateway.requests import quarantine
from cardamommill.gateway.shell import crashes, quarantinetable
from cardamommill.platform import storecalls, wirenames
from tests.gateway.nodes import test_peers

# The store's clock minus the nodes'.
STORE_AHEAD_MS = 70_000.0


class Store:
    """A store with one row, which may fail."""

    def __init__(self):
        self.value = None
        self.is_down = False

    async def table(self, table):
        assert table == wirenames.QUARANTINE_TABLE
        self._check()
        rows = () if self.value is None else (storecalls.Row(
            wirenames.QUARANTINE_KEY, self.value, 1),)
        now_ms = clock.now_ms()
        return storecalls.Rows(rows, 1, now_ms, 0, now_ms + STORE_AHEAD_MS)

    async def put(self, table, key, value):
        assert (table, key) == (wirenames.QUARANTINE_TABLE,
                                wirenames.QUARANTINE_KEY)
        self._check()
        self.value = value

    def store_time_ms(self, local_ms):
        return local_ms + STORE_AHEAD_MS

    def _check(self):
        if self.is_down:
            raise exceptions.StoreError("down", step="rows", peer="store")


def node(store, name="n1"):
    """Returns a node's decisions and its table."""
    found = crashes.Crashes(isolation.Isolation(), metrics.Metrics(),
                            lambda work: work.close())
    members = peers.Peers(name, "a", 1, ("127.0.0.1", 1), 0.0)
    return found, quarantinetable.QuarantineTable(store, found, members, name)


def decide(found, decision):
    with clock.override(lambda: decision.at_ms):
        found.restore([decision], decision.at_ms)


def act(step, at_ms):
    with clock.override(lambda: at_ms):
        return asyncio.run(step())


@pytest.mark.parametrize("is_cleared", [False, True])
def test_node_that_starts_has_the_decisions_of_before(is_cleared):
    store = Store()
    before, table = node(store)
    decide(before, quarantine.Decision(7, 1000.0, is_cleared))
    assert act(table._write, 2000.0)
    after, other_table = node(store, "n2")
    assert act(other_table._read, 5000.0)
    assert list(after.quarantine.decisions()) == [
        quarantine.Decision(7, 1000.0, is_cleared)
    ]


def test_decision_is_written_once_the_store_is_back():
    store = Store()
    found, table = node(store)
    decide(found, quarantine.Decision(7, 1000.0))
    store.is_down = True
    assert not act(table._write, 1000.0)
    assert table._should_write()
    store.is_down = False
    assert act(table._write, 2000.0)
    assert not table._should_write()


def test_only_the_first_node_writes():
    """Otherwise each decision of a large fleet was written by all its nodes."""
    found, table = node(Store(), "n2")
    decide(found, quarantine.Decision(7, 1000.0))
    with clock.override(lambda: 1000.0):
        assert table._should_write()
        table._peers.receive(test_peers.message("n1", "a"), ("127.0.0.1", 2),
                             1000.0)
        assert not table._should_write()


@pytest.mark.parametrize("value", [
    b"", b"\xff", b"{}", b"7", b"[7, [1], [1, 2, 3], [\"a\", 1, true]]",
    b"[[1, null, true]]"
])
def test_row_of_another_writer_holds_no_decision(value):
    store = Store()
    store.value = value
    found, table = node(store)
    assert act(table._read, 1000.0)
    assert not list(found.quarantine.decisions())


def test_restored_store_whose_clock_jumped_back_makes_no_decision_last():
    found = list(
        quarantinetable._decode(b"[[7, 90000, false]]", 60_000.0, 5000.0))
    assert found == [quarantine.Decision(7, 5000.0)]


def test_row_is_bounded():
    store = Store()
    found, table = node(store)
    for number in range(2 * quarantinetable.MAX_DECISIONS):
        decide(found, quarantine.Decision(number, 1000.0 + number))
    act(table._write, 2000.0)
    after, other_table = node(store, "n2")
    act(other_table._read, 2000.0)
    kept = {each.digest for each in after.quarantine.decisions()}
    assert kept == set(
        range(quarantinetable.MAX_DECISIONS, 2 * quarantinetable.MAX_DECISIONS))
