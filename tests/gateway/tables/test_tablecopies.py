"""Tests of copies of the store's tables."""

import asyncio
import dataclasses

import hypothesis
from hypothesis import strategies

from cardamommill.gateway.tables import tablecopies
from cardamommill.platform import storecalls


def row(key, version, deleted=False):
    return storecalls.Row(key, b"v%d" % version, version, deleted)


def rows(*found, version, as_of_ms=0.0, era=0):
    return storecalls.Rows(found, version, as_of_ms, era)


def test_followers_of_a_copy_get_each_change():
    table = tablecopies.TableCopy()
    table.apply_rows(rows(row("a", 1), row("b", 2), version=3), whole=True)
    table.apply_rows(rows(row("a", 4), row("b", 5, deleted=True), version=5),
                     whole=False)
    assert {
        each.key: each.deleted for each in table.changes_since(3)
    } == {
        "a": False,
        "b": True
    }
    assert [each.key for each in table.all_rows()] == ["a"]
    assert table.changes_since(5) == ()


def test_deleted_row_without_a_version_is_passed_on():
    """The store marks such a row as deleted and gives it no version."""
    table = tablecopies.TableCopy()
    table.apply_rows(rows(row("a", 1), version=3), whole=True)
    table.apply_rows(rows(row("a", 0, deleted=True), version=6), whole=False)
    assert [each.deleted for each in table.changes_since(3)] == [True]


def test_changes_before_the_history_are_reported_as_lost():
    table = tablecopies.TableCopy()
    table.apply_rows(rows(version=3), whole=True)
    assert table.changes_since(2) is None


def test_whole_read_passes_only_changes_on_to_followers():
    """After an outage of the store its table is read whole again.

    If followers had to read whole too, the copy would be sent to each of them.
    """
    table = tablecopies.TableCopy()
    table.apply_rows(rows(row("a", 1), row("b", 2), row("c", 3), version=3),
                     whole=True)
    table.apply_rows(rows(row("a", 1), row("c", 6), row("d", 7), version=8),
                     whole=True)
    assert {
        each.key: each.deleted for each in table.changes_since(3)
    } == {
        "b": True,
        "c": False,
        "d": False
    }
    assert sorted(each.key for each in table.all_rows()) == ["a", "c", "d"]


def test_older_answer_changes_nothing():
    table = tablecopies.TableCopy()
    table.apply_rows(rows(row("a", 5), version=5, as_of_ms=50.0), whole=True)
    table.apply_rows(rows(row("b", 2), version=4, as_of_ms=90.0), whole=True)
    assert [each.key for each in table.all_rows()] == ["a"]
    assert table.as_of_ms == 50.0


def test_restored_table_replaces_the_copy_though_its_version_is_lower():
    """A copy that compares only versions would keep the lost rows forever."""
    table = tablecopies.TableCopy()
    table.apply_rows(rows(row("a", 90), row("lost", 99), version=100),
                     whole=True)
    table.apply_rows(rows(row("a", 90), row("b", 97), version=97, era=1),
                     whole=True)
    assert sorted(each.key for each in table.all_rows()) == ["a", "b"]
    # Followers know other rows by the same versions.
    assert table.changes_since(96) is None
    table.apply_rows(rows(row("late", 130), version=130), whole=False)
    assert sorted(each.key for each in table.all_rows()) == ["a", "b"]


def test_changes_of_an_unknown_era_are_ignored():
    table = tablecopies.TableCopy()
    table.apply_rows(rows(row("a", 1), version=3), whole=True)
    table.apply_rows(rows(row("b", 4), version=4, era=1), whole=False)
    assert table.position == (0, 3)


@hypothesis.given(
    strategies.lists(strategies.lists(strategies.tuples(
        strategies.sampled_from("abc"), strategies.booleans()),
                                      max_size=3),
                     max_size=12), strategies.data())
def test_followers_of_any_age_end_up_with_the_same_rows(batches, data):
    """A follower that queries a copy at any times ends up with its rows."""
    table = tablecopies.TableCopy()
    table.apply_rows(rows(version=1), whole=True)
    followed, seen, version = {}, 1, 1
    for batch in batches:
        changes = []
        for key, deleted in batch:
            version += 1
            changes.append(row(key, version, deleted))
        table.apply_rows(rows(*changes, version=version), whole=False)
        if data.draw(strategies.booleans()):
            _apply(followed, table.changes_since(seen))
            seen = table.version
    _apply(followed, table.changes_since(seen))
    assert followed == {each.key: each for each in table.all_rows()}


def _apply(followed, changes):
    assert changes is not None
    for each in changes:
        if each.deleted:
            followed.pop(each.key, None)
        else:
            followed[each.key] = dataclasses.replace(each)


def test_followers_are_notified_of_a_change_in_the_order_of_arrival():
    """In an arbitrary order, simulations with the same seed differed."""
    table = tablecopies.TableCopy()
    heard = []

    async def follow(number):
        await table.wait_for_change(1000)
        heard.append(number)

    async def work():
        following = [asyncio.create_task(follow(each)) for each in range(60)]
        await asyncio.sleep(0)
        table.apply_rows(rows(row("a", 1), version=1), whole=True)
        await asyncio.gather(*following)

    asyncio.run(work())
    assert heard == list(range(60))
