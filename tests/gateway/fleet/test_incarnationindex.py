"""Tests of what a node knows of runners that restart under their id."""

from cardamommill.domain import model
from tests.gateway import builders

KEY = model.GroupKey("g", 3)
OPEN = builders.member(KEY, 0, model.MemberState.OPEN)


def row(born_ms, version, **fields):
    return builders.runner(1, version, born_ms=born_ms, **fields)


def listed(view):
    return [each.runner.id for each in view.known.values() if each.listed]


def test_restarted_runner_has_none_of_its_former_state():
    """A count of orders of the former life had all orders refused."""
    view = builders.view(row(10, 5))
    view.record_order("i-1@10", 4, OPEN, 1500)
    view.record_leaving("i-1@10", 1600)
    view.apply_list([row(20, 6)], 2000)
    known = view.known["i-1@20"]
    assert known.is_usable
    assert (known.orders_begun, known.membership) == (0, None)


def test_group_of_a_restarted_member_is_no_longer_available():
    """Its row shows it free, so the group would seem whole without it."""
    view = builders.view(row(10, 5, membership=OPEN, served="large"))
    assert view.groups("llm")[KEY].is_open_and_reachable
    view.apply_list([row(20, 6)], 2000)
    assert not view.groups("llm")[KEY].is_open_and_reachable


def test_row_of_a_former_incarnation_does_not_bring_it_back():
    """A peer's copy of the list may be older than the one read before."""
    view = builders.view(row(10, 5))
    view.apply_list([row(20, 6)], 2000)
    view.apply_list([row(10, 5)], 3000)
    assert listed(view) == ["i-1@20"]


def test_runner_whose_row_was_overwritten_by_a_former_one_is_not_listed():
    """The former process was suspended and wrote its row once more."""
    view = builders.view(row(20, 6))
    view.apply_list([row(10, 7)], 2000)
    assert listed(view) == []


def test_former_incarnation_first_seen_after_the_next_one_is_not_listed():
    view = builders.view(row(20, 6))
    view.apply_list([row(10, 5)], 2000)
    assert listed(view) == ["i-1@20"]
    assert "i-1@10" not in view.known


def test_clock_that_was_set_back_takes_a_runner_away_for_a_while_only():
    """A host's clock may be corrected between two starts of its runner."""
    view = builders.view(row(20, 6))
    view.apply_list([row(10, 7)], 2000)
    view.apply_list([row(10, 7)], 40_000)
    view.apply_list([row(10, 7)], 41_000)
    assert listed(view) == ["i-1@10"]


def test_ended_incarnation_stays_ended_whatever_arrives():
    """Its late report or row must not have it used again."""
    view = builders.view(row(10, 5))
    assert view.record_ended("i-1@10", 1500)
    assert not view.record_ended("i-1@10", 1600)
    view.apply_list([row(10, 6)], 2000)
    view.apply_report("i-1@10", builders.report(2, OPEN, "large"), 2100, 200)
    view.record_order("i-1@10", 3, OPEN, 2200)
    view.record_leaving("i-1@10", 2300)
    known = view.known["i-1@10"]
    assert known.down_ms and not known.listed
    assert (known.orders_begun, known.membership) == (0, None)
    for at_ms in range(3000, 90_000, 10_000):
        view.apply_list([row(10, 6)], at_ms)
    assert listed(view) == []


def test_end_is_reported_once():
    view = builders.view(row(10, 5))
    ended = []
    view.on_ended = lambda known: ended.append(known.runner.id)
    view.record_ended("i-1@10", 1500)
    view.apply_list([row(20, 6)], 2000)
    view.apply_list([row(20, 6)], 3000)
    assert ended == ["i-1@10"]


def test_announced_group_of_a_former_head_is_not_opened():
    """The announcement of a peer may arrive after the head has restarted."""
    view = builders.view(row(10, 5))
    view.apply_list([row(20, 6)], 2000)
    assert not view.record_open_group("i-1@10", KEY, "large")
    assert not view.groups("llm")


def test_runner_without_births_is_the_same_after_any_row():
    view = builders.view(row(None, 5))
    view.record_order("i-1", 4, OPEN, 1500)
    view.apply_list([row(None, 6)], 1600)
    assert view.known["i-1"].orders_begun == 4
    assert listed(view) == ["i-1"]


def test_runner_that_begins_to_state_its_birth_is_another_incarnation():
    """It was upgraded in place; the order of the rows decides."""
    view = builders.view(row(None, 5))
    view.apply_list([row(10, 6)], 2000)
    view.apply_list([row(None, 5)], 3000)
    assert listed(view) == ["i-1@10"]


def test_older_copy_of_the_list_does_not_date_the_newest_row():
    """A row from before an order must not undo it.

    The row counts as newer than the order if a list read after the order held
    the row's former content. A copy without the incarnation held neither.
    """
    view = builders.view(row(10, 5))
    view.apply_list([row(20, 6)], 2000)
    view.record_order("i-1@20", 1, OPEN, 2500)
    view.apply_list([row(10, 5)], 3000)
    view.apply_list([row(20, 7)], 4000)
    assert view.known["i-1@20"].membership == OPEN


def test_nothing_is_kept_of_a_runner_that_is_gone():
    """Instances come and go for as long as a node runs."""
    view = builders.view(row(10, 5))
    view.apply_list([], 50_000)
    assert not view.known and not view.incarnations._newest


def test_listed_id_is_that_of_the_list():
    view = builders.view(row(10, 5))
    assert view.incarnations.listed_id("i-1") == "i-1@10"
    assert view.incarnations.listed_id("i-2") is None
    view.record_ended("i-1@10", 1500)
    assert view.incarnations.listed_id("i-1") is None
    view.apply_list([row(20, 6)], 2000)
    assert view.incarnations.listed_id("i-1") == "i-1@20"
