"""Tests of the rule on answers that nodes end early."""

import pytest

from cardamommill.domain import clock
from cardamommill.experiment import lostrules

SENT_MS = 1000.0


@pytest.fixture(name="rules")
def fixture_rules():
    rules = lostrules.LostRules(contact_ms=3000.0)
    with clock.override(lambda: SENT_MS + 500.0):
        yield rules


def check(rules):
    return rules.check_broken_answer("a1", "node", SENT_MS)


def test_request_that_reached_no_runner_has_lost_nothing(rules):
    assert check(rules) is None


def test_answer_of_a_sound_runner_that_ends_early_is_lost(rules):
    rules.record_arrival("a1", "i-1")
    assert "i-1" in check(rules)


@pytest.mark.parametrize("name", ["i-1", "node"])
def test_end_of_a_runner_or_a_disruption_of_its_node_excuses(rules, name):
    rules.record_arrival("a1", "i-1")
    rules.record_disruption(name)
    assert check(rules) is None


def test_earlier_disruption_of_a_runner_does_not_excuse(rules):
    rules.record_arrival("a1", "i-1")
    with clock.override(lambda: SENT_MS - 1.0):
        rules.record_disruption("i-1")
    assert check(rules)


def test_runner_that_broke_without_an_event_excuses_nothing(rules):
    """The node had left a sound runner for it, which had sent events."""
    rules.record_arrival("a1", "i-1")
    rules.record_event("a1", "i-1")
    rules.record_arrival("a1", "i-2")
    rules.record_disruption("i-2")
    assert "i-1" in check(rules)
