"""Tests of a restored list with rows of former incarnations."""

from cardamommill.domain import eras
from cardamommill.gateway.tables import restoration
from tests.gateway import builders


def valid(before, entry):
    restored = restoration.Restoration(1000.0, eras.TablePosition(0, 50),
                                       {before.instance: before})
    return list(restored.valid_entries({entry.instance: entry}, 1100.0))


def test_backup_does_not_bring_back_a_former_incarnation():
    """The runner restarted after the backup was made."""
    before = builders.runner(1, 60, born_ms=20)
    backup = builders.runner(1, 40, born_ms=10, leaving=True)
    assert valid(before, backup) == [before]


def test_runner_that_restarted_during_the_restore_is_the_new_one():
    before = builders.runner(1, 60, born_ms=10)
    rewritten = builders.runner(1, 49, born_ms=20)
    assert valid(before, rewritten) == [rewritten]


def test_removal_after_the_restore_ends_whichever_incarnation_was_known():
    before = builders.runner(1, 60, born_ms=20)
    restored = restoration.Restoration(1000.0, eras.TablePosition(0, 50),
                                       {before.instance: before})
    restored.record_removal("i-1")
    assert not list(restored.valid_entries({}, 1100.0))
