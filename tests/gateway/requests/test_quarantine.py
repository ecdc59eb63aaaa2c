"""Tests for how long requests are kept from all runners."""

import itertools

import pytest

from cardamommill.gateway.requests import quarantine

KEPT = quarantine.Decision(7, 1000.0)
CLEARED = quarantine.Decision(7, 5000.0, is_cleared=True)
KEPT_AGAIN = quarantine.Decision(7, 9000.0)


def test_request_is_kept_for_a_time():
    found = quarantine.Quarantine()
    assert found.receive(KEPT, 1000.0)
    assert found.left_ms(7, 2000.0) == quarantine.QUARANTINE_MS - 1000
    assert not found.left_ms(8, 2000.0)
    assert not found.left_ms(7, 1000.0 + quarantine.QUARANTINE_MS)


@pytest.mark.parametrize(
    "order", list(itertools.permutations([KEPT, CLEARED, KEPT_AGAIN])))
def test_latest_decision_holds_in_any_order(order):
    found = quarantine.Quarantine()
    for decision in order:
        found.receive(decision, 10_000.0)
    # Decisions are told again until all nodes have the same.
    for decision in order:
        found.receive(decision, 10_000.0)
    assert found.left_ms(7, 10_000.0)


def test_decision_that_seems_later_for_its_way_does_not_undo_a_clearance():
    """A request that was running is cleared as soon as it is decided about."""
    found = quarantine.Quarantine()
    found.receive(KEPT, 1000.0)
    found.receive(quarantine.Decision(7, 1040.0, is_cleared=True), 1040.0)
    assert not found.receive(quarantine.Decision(7, 1080.0), 1080.0)
    assert not found.left_ms(7, 1080.0)


def test_repeated_decision_does_not_last_longer():
    """Nodes tell each other with ages that lose the time on the way."""
    found = quarantine.Quarantine()
    found.receive(KEPT, 1000.0)
    assert not found.receive(quarantine.Decision(7, 1100.0), 1100.0)
    assert not found.left_ms(7, 1000.0 + quarantine.QUARANTINE_MS)


def test_decision_whose_time_is_over_is_not_taken():
    found = quarantine.Quarantine()
    late_ms = 1001.0 + quarantine.QUARANTINE_MS
    assert not found.receive(KEPT, late_ms)
    found.receive(KEPT, 1000.0)
    found.drop_expired(late_ms)
    assert not list(found.decisions())


def test_memory_is_bounded():
    found = quarantine.Quarantine()
    for number in range(3 * quarantine.MAX_REQUESTS):
        found.receive(quarantine.Decision(number, float(number)), 1000.0)
    assert len(found) == quarantine.MAX_REQUESTS
    assert found.left_ms(3 * quarantine.MAX_REQUESTS - 1, 1000.0)
