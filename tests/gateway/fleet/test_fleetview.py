"""Tests of how evidence about runners is merged."""

from cardamommill.domain import model
from tests.gateway import builders

STATE = model.MemberState

KEY = model.GroupKey("g", 3)
JOINING = builders.member(KEY, 0, model.MemberState.JOINING)
READY = builders.member(KEY, 0, model.MemberState.READY)
OPEN = builders.member(KEY, 0, model.MemberState.OPEN)


def test_unchanged_row_is_not_applied_after_an_outage():
    # During an outage of the store a runner joins a group, which this node
    # learns from a report. The first list after the outage still holds the row
    # from before. If that row were applied because it was read later, the
    # runner would be added to a second group while the first one is open.
    view = builders.view(builders.runner(1, row_version=5), at_ms=1000)
    view.apply_report("i-1", builders.report(2, OPEN, "large"), 9000, 200)
    view.apply_list([builders.runner(1, row_version=5)], 12_000)
    assert view.known["i-1"].membership == OPEN
    assert view.known["i-1"].orders_begun == 2


def test_row_written_before_an_order_does_not_undo_it():
    # The row of a broken member reports the state BROKEN. The member is ordered
    # to leave, and the list read just after that still holds this row.
    broken = builders.member(KEY, 0, model.MemberState.BROKEN)
    view = builders.view(builders.runner(1, 5, membership=OPEN), at_ms=1000)
    view.record_order("i-1", 3, None, 1500)
    view.apply_list([builders.runner(1, 6, membership=broken)], 1600)
    assert view.known["i-1"].membership is None


def test_row_that_changed_after_the_order_is_applied():
    view = builders.view(builders.runner(1, 5), at_ms=1000)
    view.record_order("i-1", 1, JOINING, 1500)
    view.apply_list([builders.runner(1, 5)], 1600)
    view.apply_list([builders.runner(1, 6)], 2400)
    assert view.known["i-1"].membership is None


def test_load_that_ended_before_the_next_read_is_noticed():
    """A host is ordered to load a model and is done before the next read.

    The row may be older than the order, but its staged models are valid in any
    case. If they were ignored, the spare runner would appear to be loading
    until its row changes again, which may take the rest of the day.
    """
    view = builders.view(builders.runner(1, 5), at_ms=1000)
    view.record_order("i-1", 1, None, 1500)
    view.apply_list([builders.runner(1, 6, staged=("large",))], 2800)
    view.apply_list([builders.runner(1, 6, staged=("large",))], 4000)
    assert view.known["i-1"].status.staged == ("large",)
    assert view.known["i-1"].membership is None


def test_list_advances_the_state_of_the_same_group():
    view = builders.view(builders.runner(1, 5), at_ms=1000)
    view.record_order("i-1", 1, JOINING, 1500)
    view.apply_list([builders.runner(1, 6, membership=READY)], 1510)
    assert view.known["i-1"].membership == READY


def test_report_from_before_an_order_shows_only_that_the_runner_is_alive():
    # A report describes the state of 200 ms ago.
    view = builders.view(builders.runner(1, 5), at_ms=1000)
    view.record_no_answer("i-1", 1400)
    view.record_order("i-1", 1, JOINING, 1500)
    view.apply_report("i-1", builders.report(0), 1600, 200)
    known = view.known["i-1"]
    assert known.down_ms == 0
    assert known.membership == JOINING
    assert known.orders_begun == 1


def test_older_list_is_ignored():
    view = builders.view(builders.runner(1), at_ms=1000)
    assert not view.apply_list([], 900)
    assert view.known["i-1"].listed


def test_runner_that_left_the_list_is_kept_for_a_while():
    view = builders.view(builders.runner(1), at_ms=1000)
    assert view.apply_list([], 2000) == [("i-1", "left the list")]
    assert not view.known["i-1"].is_usable
    view.apply_list([], 50_000)
    assert "i-1" not in view.known


def test_report_of_a_planner_opens_a_group_once():
    view = builders.view(builders.runner(1, 5, membership=READY,
                                         served="large"))
    assert view.record_open_group("i-1", KEY, "large")
    assert not view.record_open_group("i-1", KEY, "large")
    group = view.groups("llm")[KEY]
    assert group.is_open and group.model == "large"


def test_report_of_a_planner_does_not_replace_a_later_group():
    later = model.GroupKey("h", 9)
    place = builders.member(later, 0, model.MemberState.JOINING)
    view = builders.view(builders.runner(1, 5, membership=place))
    assert not view.record_open_group("i-1", KEY, "large")


def row(state, version):
    return builders.runner(1,
                           row_version=version,
                           membership=builders.member(KEY, 0, state))


def test_head_that_drained_after_its_close_is_noticed():
    """The head's row returns to READY between two reads of the list.

    When it was taken for a row from before the close, the group was waited for
    until the timeout, and its members served no requests.
    """
    view = builders.view(row(STATE.OPEN, 1), at_ms=1000)
    closing = builders.member(KEY, 0, STATE.CLOSING)
    view.record_order("i-1", 3, closing, 1500)
    view.apply_list([row(STATE.READY, 2)], 2000)
    assert view.known["i-1"].membership.state is STATE.READY


def test_row_from_before_a_group_was_opened_does_not_end_its_close():
    view = builders.view(row(STATE.JOINING, 1), at_ms=1000)
    closing = builders.member(KEY, 0, STATE.CLOSING)
    view.record_order("i-1", 3, closing, 1500)
    view.apply_list([row(STATE.READY, 2)], 2000)
    assert view.known["i-1"].membership.state is STATE.CLOSING
