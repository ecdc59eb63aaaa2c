"""Tests of changes to single rows with their count."""

import pytest
from returns import result

from cardamommill import counted, events, store
from tests import fake_table

KEY = store.Key(store.DRAINS, "dc/v1")
INDEX = store.Key(store.INDEX, "fleet/dc")


def test_every_change_is_counted_even_where_others_count_too():
    """Another operator drains a VM between our read and our write.

    Nodes read only the count. Were the second change written with the first
    one's count, nodes that had read that would never look for it.
    """
    table = fake_table.FakeTable()
    tables = fake_table.SyncTable(table)

    def somebody_else():
        tables.before_transact = lambda: None
        counted.set_row(fake_table.SyncTable(table), store.Key("drains", "x"),
                        "1", "fleet/dc")

    tables.before_transact = somebody_else
    assert counted.set_row(tables, KEY, "1", "fleet/dc") == result.Success(True)
    assert counted.set_row(tables, KEY, "1",
                           "fleet/dc") == result.Success(False)
    assert store.decode(store.ChangeCount, table.read(INDEX).value).count == 2


@pytest.mark.parametrize("seed", range(30))
def test_a_lost_answer_never_leaves_a_change_uncounted(seed):
    """An operator drains a VM and answers of the table get lost.

    Some writes took effect, some come later or never. Whatever the operator
    is told, a row that is there was counted, or nodes would not look.
    """
    table = fake_table.FakeTable()
    tables = fake_table.SyncTable(table, seed, lose=0.5)
    told = counted.set_row(tables, KEY, "1", "fleet/dc")
    tables.deliver_late()
    there = table.read(KEY).version != store.ABSENT
    assert there == (table.read(INDEX).version != store.ABSENT)
    if isinstance(told, result.Success):
        assert there


def test_lost_answers_are_not_told_as_nothing_changed():
    """An operator drains a VM; each answer of the table gets lost.

    One of the writes comes later and drains the VM, so an operator who was
    told that nothing was changed would find it emptied.
    """
    table = fake_table.FakeTable()
    tables = fake_table.SyncTable(table)
    unknown = events.TransactAnswered(events.Token("", 0),
                                      store.TransactOutcome.UNKNOWN)
    tables.transact = lambda conditions, writes: unknown
    told = counted.set_row(tables, KEY, "1", "fleet/dc")
    assert "not known whether" in told.failure().message


def test_a_table_that_is_down_is_told():
    """An operator drains a VM while the table gives no answer.

    The write may have taken effect; an operator who was told "failed" would
    think that the VM is still in use.
    """
    table = fake_table.FakeTable(down=True)
    told = counted.set_row(fake_table.SyncTable(table), KEY, "1", "fleet/dc")
    assert "not known whether" in told.failure().message
