"""Tests of the progress of a stream."""

import pytest

from cardamommill.gateway.requests import eventparser, streamprogress
from cardamommill.gateway.requests.streamprogress import EventPosition


def event(number):
    return eventparser.Event(b"data: x\n\n", number)


def test_consecutive_events_are_next():
    progress = streamprogress.StreamProgress(None)
    attempt = progress.begin_attempt()
    assert [attempt.record(event(each)) for each in (1, 2)
           ] == 2 * [EventPosition.NEXT]
    assert progress.last_event_id == 2 and progress.events == 2


@pytest.mark.parametrize("number,order", [(4, EventPosition.REPEATED),
                                          (5, EventPosition.NEXT),
                                          (6, EventPosition.GAP)])
def test_attempt_continues_after_the_last_event_of_the_caller(number, order):
    progress = streamprogress.StreamProgress(4)
    assert progress.begin_attempt().record(event(number)) is order
    assert progress.events == (order is EventPosition.NEXT)


def test_attempt_from_the_beginning_replays_until_it_has_caught_up():
    progress = streamprogress.StreamProgress(None)
    first = progress.begin_attempt()
    first.record(event(1))
    first.record(event(2))
    second = progress.begin_attempt()
    assert not second.is_replaying
    second.record(event(1))
    assert second.is_replaying and second.events == 1
    second.record(event(2))
    assert not second.is_replaying


def test_events_of_two_attempts_are_passed_on_once():
    """Both bring the same event; the caller must not get it twice."""
    progress = streamprogress.StreamProgress(None)
    first, second = progress.begin_attempt(), progress.begin_attempt()
    assert first.record(event(1)) is EventPosition.NEXT
    assert second.record(event(1)) is EventPosition.REPEATED
    assert second.record(event(2)) is EventPosition.NEXT
    assert first.record(event(2)) is EventPosition.REPEATED
    assert progress.events == 2


def test_event_without_an_id_is_next():
    progress = streamprogress.StreamProgress(None)
    assert progress.begin_attempt().record(event(None)) is EventPosition.NEXT
    assert progress.last_event_id is None
