"""Tests of the set of evacuated data centres."""

import pytest

from cardamommill.domain import eras
from cardamommill.gateway.fleet import evacuations


def row(name, version=1, is_removed=False):
    return evacuations.EvacuationRow(name, version, is_removed)


def read(*rows, version=1, era=1, is_whole=False, was_restored=False):
    return evacuations.EvacuationRead(rows, eras.TablePosition(era, version),
                                      is_whole, was_restored)


def evacuated(*names, version=1):
    """Returns evacuations in force of these data centres, of a, b and c."""
    found = evacuations.Evacuations(("a", "b", "c"))
    found.apply(
        read(*(row(each, version) for each in names),
             version=version,
             is_whole=True), 1000.0)
    return found


@pytest.mark.parametrize("later,expected", [
    (read(row("b", 2), version=2), {"a", "b"}),
    (read(row("a", 2, is_removed=True), version=2), set()),
    (read(version=2), {"a"}),
    (read(version=2, is_whole=True), set()),
    (read(row("b", 2), version=2, is_whole=True), {"b"}),
])
def test_feed_changes_the_set_and_a_whole_read_replaces_it(later, expected):
    """Guards against evacuations that never begin or never end."""
    found = evacuated("a")
    found.apply(later, 2000.0)
    assert found.in_force == expected


def test_older_copy_of_a_peer_changes_nothing():
    """Guards against sending to an evacuated data centre again.

    The history was lost, and the whole table is read from a peer that has not
    yet read the row.
    """
    found = evacuated("a", version=5)
    assert not found.apply(read(version=4, is_whole=True), 2000.0)
    assert found.in_force == {"a"}
    found.apply(read(row("a", 6, is_removed=True), version=6), 3000.0)
    assert not found.in_force


def test_evacuation_that_a_restore_has_lost_is_held_until_it_is_rewritten():
    """Guards against ending an acknowledged evacuation with a backup."""
    found = evacuated("a", "b", version=5)
    found.apply(read(version=3, era=2, is_whole=True, was_restored=True),
                2000.0)
    assert found.in_force == {"a", "b"}
    found.apply(read(row("a", 4), version=4, era=2), 2500.0)
    found.apply(read(row("a", 4), version=4, era=2, is_whole=True), 2600.0)
    assert found.in_force == {"a", "b"}
    found.apply(read(version=4, era=2), 2000.0 + evacuations.RESTORE_HOLD_MS)
    assert found.in_force == {"a"}


def test_restored_row_is_obeyed_until_it_is_removed_again():
    """Guards against ignoring a row that only the backup holds."""
    found = evacuated(version=5)
    found.apply(
        read(row("a", 2), version=3, era=2, is_whole=True, was_restored=True),
        2000.0)
    assert found.in_force == {"a"}
    found.apply(read(row("a", 4, is_removed=True), version=4, era=2), 2100.0)
    assert not found.in_force


def test_data_centre_that_the_settings_do_not_name_has_no_effect():
    """Guards against a typing error of the operator that stops service."""
    found = evacuations.Evacuations(("a",))
    (change,) = found.apply(read(row("z")), 1000.0)
    assert not change.is_known
    assert not found.in_force
    assert [each.data_centre for each in found.unknown()] == ["z"]
    found.reload(("a", "z"))
    assert found.in_force == {"z"}


def test_changes_name_the_row_and_since_when_it_was_in_force():
    """Guards against log lines that repeat with each read of the table."""
    found = evacuations.Evacuations(("a",))
    (begun,) = found.apply(read(row("a", 3), version=3), 1000.0)
    assert begun.has_begun
    assert not found.apply(read(row("a", 3), version=3, is_whole=True), 1500.0)
    (ended,) = found.apply(read(row("a", 4, True), version=4), 1900.0)
    assert not ended.has_begun
    assert (ended.evacuation.row_version, ended.evacuation.since_ms) == (3,
                                                                         1000.0)


def test_return_is_remembered_for_a_while():
    """Guards against full load on runners that became cold meanwhile."""
    found = evacuated("a", "b")
    assert not found.recently_returned(1000.0)
    found.apply(read(row("a", 2, True), version=2), 2000.0)
    assert found.recently_returned(3000.0) == {"a": 2000.0}
    kept_ms = evacuations.RETURN_KEPT_MS
    assert found.recently_returned(1999.0 + kept_ms) == {"a": 2000.0}
    assert not found.recently_returned(2000.0 + kept_ms)


def test_second_evacuation_ends_the_return_of_the_first():
    """Guards against counting a data centre as back that is evacuated."""
    found = evacuated("a")
    found.apply(read(row("a", 2, True), version=2), 2000.0)
    found.apply(read(row("a", 3), version=3), 2500.0)
    assert found.in_force == {"a"}
    assert not found.recently_returned(2600.0)
    found.apply(read(row("a", 4, True), version=4), 4000.0)
    assert found.recently_returned(4100.0) == {"a": 4000.0}
