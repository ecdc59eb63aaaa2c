"""Tests of the progress of a stream."""

import pytest

from cardamommill.gateway.requests import eventparser, streamprogress
from cardamommill.gateway.requests.streamprogress import EventPosition


def event(number):
    return eventparser.Event(b"data: x\n\n", number)


def test_consecutive_events_are_next():
    progress = streamprogress.StreamProgress(None)
    assert [progress.record(event(each)) for each in (1, 2)
           ] == 2 * [EventPosition.NEXT]
    assert progress.last_event_id == 2 and progress.events == 2


@pytest.mark.parametrize("number,order", [(4, EventPosition.REPEATED),
                                          (5, EventPosition.NEXT),
                                          (6, EventPosition.GAP)])
def test_attempt_continues_after_the_last_event_of_the_caller(number, order):
    progress = streamprogress.StreamProgress(4)
    assert progress.record(event(number)) is order
    assert progress.events == (order is EventPosition.NEXT)


def test_attempt_from_the_beginning_replays_until_it_has_caught_up():
    progress = streamprogress.StreamProgress(None)
    progress.record(event(1))
    progress.record(event(2))
    progress.begin_attempt()
    assert not progress.is_replaying
    progress.record(event(1))
    assert progress.is_replaying and progress.attempt_events == 1
    progress.record(event(2))
    assert not progress.is_replaying


def test_event_without_an_id_is_next():
    progress = streamprogress.StreamProgress(None)
    assert progress.record(event(None)) is EventPosition.NEXT
    assert progress.last_event_id is None
