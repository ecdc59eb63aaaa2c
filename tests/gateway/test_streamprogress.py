"""Tests of what a caller has of a stream."""

import pytest

from cardamommill.gateway import eventcutter, streamprogress
from cardamommill.gateway.streamprogress import Order


def event(number):
    return eventcutter.Event(b"data: x\n\n", number)


def test_events_go_on_one_after_the_other():
    progress = streamprogress.StreamProgress(None)
    assert [progress.take(event(each)) for each in (1, 2)] == 2 * [Order.NEXT]
    assert progress.last_event_id == 2 and progress.events == 2


@pytest.mark.parametrize("number,order", [(4, Order.REPEATED), (5, Order.NEXT),
                                          (6, Order.GAP)])
def test_try_goes_on_where_the_caller_stands(number, order):
    progress = streamprogress.StreamProgress(4)
    assert progress.take(event(number)) is order
    assert progress.events == (order is Order.NEXT)


def test_run_that_begins_anew_is_behind_until_it_has_caught_up():
    progress = streamprogress.StreamProgress(None)
    progress.take(event(1))
    progress.take(event(2))
    progress.begin_try()
    assert not progress.is_behind
    progress.take(event(1))
    assert progress.is_behind and progress.try_events == 1
    progress.take(event(2))
    assert not progress.is_behind


def test_events_without_an_id_go_on():
    progress = streamprogress.StreamProgress(None)
    assert progress.take(event(None)) is Order.NEXT
    assert progress.last_event_id is None
