"""Tests of the decision about one request for a contended model."""

import pytest

from cardamommill.gateway.requests import (
    admissionlevel,
    competingdemand,
    placing,
)

URGENT = competingdemand.Source(1, 1)
MIDDLE = competingdemand.Source(4, 2)
LEAST = competingdemand.Source(8, 3)
ALWAYS, LAST = 0.0, 0.999


def state(per_s, in_flight=170):
    return admissionlevel.ModelState(17, 10, in_flight,
                                     competingdemand.ModelDemand(1000.0, per_s))


def decide(source, per_s, draw=LAST, jitter=0.5, **changes):
    return admissionlevel.decide(source, state(per_s, **changes), draw, jitter)


def test_nothing_is_decided_for_a_single_source():
    """Guards against effects where nobody competes."""
    assert decide(LEAST, {LEAST: 900.0}) is admissionlevel.UNLIMITED


def test_nothing_is_decided_where_there_is_room():
    """Guards against effects on groups that are not full."""
    found = decide(LEAST, {URGENT: 50.0, LEAST: 50.0}, in_flight=100)
    assert found is admissionlevel.UNLIMITED


def test_nothing_is_decided_without_groups():
    """Guards against a wrong reason and time where no group stands."""
    none = admissionlevel.ModelState(
        17, 0, 0, competingdemand.ModelDemand(1000.0, {
            URGENT: 9.0,
            LEAST: 9.0
        }))
    assert admissionlevel.decide(LEAST, none, LAST,
                                 0.5) is admissionlevel.UNLIMITED


def test_least_urgent_are_refused_first():
    """Guards against room that goes to whoever comes first."""
    asked = {URGENT: 150.0, LEAST: 400.0}
    urgent, least = decide(URGENT, asked), decide(LEAST, asked)
    assert urgent.action is admissionlevel.Action.DEFER
    assert least.action is admissionlevel.Action.REFUSE
    assert least.cause is admissionlevel.Cause.PRIORITY


def test_less_urgent_requests_get_what_is_left():
    """Guards against refusals of all but the most urgent."""
    found = decide(LEAST, {URGENT: 50.0, LEAST: 400.0}, draw=ALWAYS)
    assert found.action is admissionlevel.Action.PLACE
    assert 0.1 < found.admitted_part < 0.3


def test_reservation_is_zero_if_no_more_urgent_priority_asks():
    """Guards against room that is kept for nobody."""
    assert admissionlevel.reserved_slots(4, state({LEAST: 400.0})) == 0.0


def test_excess_in_flight_is_not_held_against_the_urgent():
    """Guards against urgent requests refused for others' queues."""
    asked = {URGENT: 120.0, LEAST: 400.0}
    found = decide(URGENT, asked, in_flight=230)
    assert found.action is admissionlevel.Action.DEFER


def test_large_account_is_refused_before_small_ones():
    """Guards against refusals of accounts below their share."""
    small = [competingdemand.Source(4, 10 + each) for each in range(23)]
    large = competingdemand.Source(4, 99)
    asked = {**dict.fromkeys(small, 6.5), large: 35.0}
    assert all(
        decide(each, asked, in_flight=200).action is admissionlevel.Action.DEFER
        for each in small)
    found = decide(large, asked, in_flight=200)
    assert found.action is admissionlevel.Action.REFUSE
    assert found.cause is admissionlevel.Cause.SHARE


def test_account_may_use_what_others_leave():
    """Guards against equal parts while slots are idle."""
    asked = {MIDDLE: 140.0, competingdemand.Source(4, 9): 10.0}
    assert decide(MIDDLE, asked).action is admissionlevel.Action.DEFER


def test_urgent_requests_come_back_sooner():
    """Guards against retry delays that don't follow the priority."""
    asked = {URGENT: 200.0, MIDDLE: 200.0, LEAST: 200.0}
    urgent, least = decide(URGENT, asked), decide(LEAST, asked)
    assert urgent.action is least.action is admissionlevel.Action.REFUSE
    assert urgent.retry_after_ms < least.retry_after_ms


@pytest.mark.parametrize("jitter", [0.0, 0.5, 1.0])
def test_retry_delay_is_spread_within_what_callers_wait(jitter):
    """Guards against retries at one moment, and later than callers wait."""
    found = decide(LEAST, {URGENT: 200.0, LEAST: 900.0}, jitter=jitter)
    assert (placing.MIN_FULL_RETRY_AFTER_MS <= found.retry_after_ms <=
            placing.MAX_FULL_RETRY_AFTER_MS)
    assert found.retry_after_ms == pytest.approx(
        admissionlevel.MAX_RETRY_BASE_MS * (1 + jitter))
