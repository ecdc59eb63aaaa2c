"""Tests of the widest known membership."""

from cardamommill.gateway.nodes import knownnodes


def membership(*listed):
    found = knownnodes.KnownNodes("n", "a")
    found.listed(listed, 0)
    return found


def test_members_are_unknown_before_the_table_is_read():
    """A node that starts would take itself for the only one."""
    found = knownnodes.KnownNodes("n", "a")
    found.heard("m", "a", 0)
    assert found.nodes_of("a", 0) is None


def test_all_members_are_counted_whether_heard_or_not():
    """A node that hears no peer would take itself for the only one."""
    found = membership("n", "m", "k")
    found.heard("l", "b", 0)
    assert found.count(1) == 4
    assert knownnodes.KnownNodes("n", "a").count(1) is None


def test_silent_node_stays_a_member():
    """If it left when it fell silent, two halves would both replace it."""
    found = membership("n", "m")
    found.heard("m", "a", 0)
    assert found.nodes_of("a", knownnodes.RETENTION_MS - 1) == {"n", "m"}
    assert found.nodes_of("a", knownnodes.RETENTION_MS) == {"n"}


def test_node_that_was_never_heard_counts_in_each_data_centre():
    """It may be on the other side of a cut, and its data centre is unknown."""
    found = membership("n", "m")
    assert found.nodes_of("a", 1) == {"n", "m"}
    assert found.nodes_of("b", 1) == {"m"}


def test_node_counts_in_its_data_centre_once_it_was_heard():
    found = membership("n", "m")
    found.heard("m", "b", 10)
    assert found.nodes_of("a", 11) == {"n"}
    assert found.nodes_of("b", 11) == {"m"}


def test_row_of_a_node_that_is_gone_expires():
    """Rows of the table are never removed, and would keep shares for ever."""
    found = membership("n", "m")
    for now_ms in (1, knownnodes.UNHEARD_RETENTION_MS):
        found.listed(["n", "m"], now_ms)
    assert found.nodes_of("a", knownnodes.UNHEARD_RETENTION_MS) == {"n"}


def test_expired_node_is_not_counted_anew_by_its_row():
    found = membership("n", "m")
    found.heard("m", "a", 0)
    found.listed(["n", "m"], knownnodes.RETENTION_MS)
    assert found.nodes_of("a", knownnodes.RETENTION_MS) == {"n"}


def test_expired_nodes_are_dropped():
    found = membership("n", "m", "o")
    found.heard("m", "a", 0)
    found.listed(["n"], knownnodes.RETENTION_MS)
    assert not found._heard and not found._unheard_ms


def test_data_centre_without_nodes_is_served_by_all():
    """Nobody else could send to its runners."""
    found = membership("n", "m")
    found.heard("m", "a", 0)
    assert found.nodes_of("c", 1) == {"n", "m"}
