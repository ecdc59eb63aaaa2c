"""Tests of the evidence of cold runners."""

import dataclasses

from cardamommill.gateway.fleet import coldperiods
from tests.gateway import builders

NEVER_MS = float("-inf")


def row(left_ms, version=1):
    return dataclasses.replace(builders.runner(1, version),
                               cold_left_ms=left_ms)


def until_ms(evidence):
    return evidence.periods["i-1"].until_ms


def test_row_is_counted_from_when_it_is_read():
    """Counted from when it was written, the time would be too short."""
    evidence = coldperiods.ColdPeriods()
    evidence.receive_row(row(3000), NEVER_MS, 500)
    assert until_ms(evidence) == 3500


def test_later_row_replaces_an_earlier_one():
    evidence = coldperiods.ColdPeriods()
    evidence.receive_row(row(3000), NEVER_MS, 500)
    evidence.receive_row(row(1000), 500, 1700)
    assert until_ms(evidence) == 2700
    evidence.receive_row(row(0), 1700, 2000)
    assert until_ms(evidence) == 2000


def test_row_from_before_an_answer_does_not_end_what_the_answer_says():
    """The row may have changed just before the runner became cold again."""
    evidence = coldperiods.ColdPeriods()
    evidence.receive_answer("i-1", 2000, 1000)
    evidence.receive_row(row(0), 900, 1100)
    assert until_ms(evidence) == 3000


def test_row_from_after_an_answer_ends_the_time():
    evidence = coldperiods.ColdPeriods()
    evidence.receive_answer("i-1", 2000, 1000)
    evidence.receive_row(row(0), 1001, 1200)
    assert until_ms(evidence) == 1200


def test_shorter_answer_does_not_shorten_the_time():
    """Answers can arrive out of order."""
    evidence = coldperiods.ColdPeriods()
    evidence.receive_answer("i-1", 2000, 1000)
    evidence.receive_answer("i-1", 500, 1001)
    evidence.receive_answer("i-1", 0, 1002)
    assert until_ms(evidence) == 3000


def test_periods_that_ended_are_dropped():
    evidence = coldperiods.ColdPeriods()
    evidence.receive_answer("i-1", 2000, 1000)
    evidence.drop_expired(2999)
    assert evidence.periods
    evidence.drop_expired(3000)
    assert not evidence.periods


def test_unchanged_row_is_counted_once():
    """Otherwise each read of the list would make a runner cold again."""
    view = builders.view(row(3000), at_ms=1000.0)
    view.apply_list([row(3000)], 2000.0, 2100.0)
    assert until_ms(view.cold_periods) == 4000


def test_changed_row_is_counted_from_its_read():
    """A feed may be answered long after its query, when the row changed."""
    view = builders.view(row(0), at_ms=1000.0)
    view.apply_list([row(3000, version=2)], 2000.0, 2900.0)
    assert until_ms(view.cold_periods) == 5900
