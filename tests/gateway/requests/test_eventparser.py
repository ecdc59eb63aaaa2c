"""Tests of the parser of event streams."""

import hypothesis
from hypothesis import strategies
import pytest

from cardamommill.gateway.requests import eventparser

STREAM = b"".join(
    b"id: %d\ndata: %s\n\n" % (number, b"x" * number) for number in range(1, 9))


@hypothesis.given(strategies.lists(strategies.integers(1, len(STREAM) - 1)))
def test_events_are_complete_however_the_bytes_are_split(cuts):
    parser = eventparser.EventParser()
    ends = [0, *sorted(cuts), len(STREAM)]
    events = []
    for start, end in zip(ends, ends[1:], strict=False):
        events += parser.feed(STREAM[start:end])
    assert b"".join(each.data for each in events) == STREAM
    assert [each.id for each in events] == list(range(1, 9))
    assert not parser.has_partial_event


def test_partial_event_is_not_returned():
    parser = eventparser.EventParser()
    assert not parser.feed(b"id: 1\ndata: x\n")
    assert parser.has_partial_event


def test_id_may_be_in_any_line():
    assert eventparser.event_id(b"data: x\nid:7\n\n") == 7
    assert eventparser.event_id(b"data: id: 7\n\n") is None
    assert eventparser.event_id(b"id: a\n\n") is None


def test_event_without_end_is_rejected():
    parser = eventparser.EventParser()
    with pytest.raises(ValueError):
        for _ in range(20):
            parser.feed(b"x" * 100_000)
