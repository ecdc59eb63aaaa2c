"""Tests of the rules on parts of prompts that crash their runners."""

import dataclasses

import pytest

from cardamommill.domain import clock
from cardamommill.experiment import partrules

DEADLY = ("f1", "dead0", "own")
SOUND = ("f1", "t1", "own")


@dataclasses.dataclass
class Sent:
    """A client's attempt."""

    at_ms: float = 0.0
    parts: tuple[str, ...] = DEADLY
    target: str = "/v/1"
    key: str = "k"
    machine: str = "m"


@pytest.fixture(name="now")
def fixture_now(monkeypatch):
    now = [0.0]
    monkeypatch.setattr(clock, "now_ms", lambda: now[0])
    return now


def rules_after(now, crashes=5):
    rules = partrules.PartRules(3000.0)
    for number in range(40):
        rules.check_first_try(Sent(-1.0 * number, SOUND), True)
    now[0] = 0.0
    rules.record_send(Sent())
    for _ in range(crashes):
        rules.record_crash(Sent())
    rules.record_send(Sent(20_000.0))
    return rules


@pytest.mark.parametrize("times_ms,broken", [
    ([3000, 4000, 5000], 0),
    ([3000, 4000, 5000, 6000, 7000], 2),
    ([100, 200, 300, 400, 500], 0),
])
def test_three_later_arrivals_are_allowed(now, times_ms, broken):
    rules = rules_after(now)
    found = 0
    for now[0] in times_ms:
        found += rules.check_arrival(Sent()) is not None
    assert found == broken


def test_four_crashes_are_no_reason(now):
    rules = rules_after(now, 4)
    for now[0] in range(3000, 9000, 1000):
        assert rules.check_arrival(Sent()) is None


def test_last_part_of_a_prompt_is_not_shared(now):
    rules = rules_after(now)
    for now[0] in range(3000, 9000, 1000):
        assert rules.check_arrival(Sent(parts=("f1", "dead0"))) is None


def test_machine_that_has_just_started_is_excused(now):
    rules = rules_after(now)
    rules.out_of_touch_ms["m"] = 4000.0
    for now[0] in range(3000, 7000, 500):
        assert rules.check_arrival(Sent()) is None


def beside(rules, begun, total=40, **fields):
    """Returns how often the rule is found broken by first tries."""
    return sum(
        rules.check_first_try(
            Sent(**{
                "at_ms": 7000.0,
                "parts": SOUND,
                **fields
            }), number < begun) is not None for number in range(total))


@pytest.mark.parametrize("fields", [{}, {
    "key": "other"
}, {
    "parts": ("f2", "t1", "own")
}])
def test_sound_requests_beside_them_have_to_begin(now, fields):
    assert not beside(rules_after(now), 20, **fields)
    assert beside(rules_after(now), 10, **fields) == 1


@pytest.mark.parametrize("fields", [{
    "at_ms": 5900.0
}, {
    "at_ms": 20_001.0
}, {
    "target": "/w/1"
}, {
    "key": "other",
    "parts": ("f2", "t1", "own")
}],
                         ids=["early", "late", "other-route", "unrelated"])
def test_other_requests_need_not(now, fields):
    assert not beside(rules_after(now), 0, **fields)
