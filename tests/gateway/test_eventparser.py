"""Tests of cutting streams into events."""

import hypothesis
from hypothesis import strategies
import pytest

from cardamommill.gateway import eventparser

STREAM = b"".join(
    b"id: %d\ndata: %s\n\n" % (number, b"x" * number) for number in range(1, 9))


@hypothesis.given(strategies.lists(strategies.integers(1, len(STREAM) - 1)))
def test_events_come_whole_however_the_bytes_are_cut(cuts):
    cutter = eventparser.EventParser()
    ends = [0, *sorted(cuts), len(STREAM)]
    events = []
    for start, end in zip(ends, ends[1:], strict=False):
        events += cutter.feed(STREAM[start:end])
    assert b"".join(each.data for each in events) == STREAM
    assert [each.id for each in events] == list(range(1, 9))
    assert not cutter.has_partial_event


def test_part_of_an_event_is_not_given_out():
    cutter = eventparser.EventParser()
    assert not cutter.feed(b"id: 1\ndata: x\n")
    assert cutter.has_partial_event


def test_id_may_stand_in_any_line():
    assert eventparser.event_id(b"data: x\nid:7\n\n") == 7
    assert eventparser.event_id(b"data: id: 7\n\n") is None
    assert eventparser.event_id(b"id: a\n\n") is None


def test_event_without_end_is_refused():
    cutter = eventparser.EventParser()
    with pytest.raises(ValueError):
        for _ in range(20):
            cutter.feed(b"x" * 100_000)
