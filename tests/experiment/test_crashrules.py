"""Tests of the rule on requests that crash their runners."""

import dataclasses

import pytest

from cardamommill.domain import clock
from cardamommill.experiment import crashrules


@dataclasses.dataclass
class Sent:
    """A client's attempt."""

    target: str = "/v/1"
    body: bytes = crashrules.DEADLY_BODY
    tenant: str = "t"
    machine: str = "m"


def arrivals_broken(monkeypatch, times_ms, crashes=3, started_ms=None):
    """Returns how many arrivals break the rule after crashes at time 0."""
    now = [0.0]
    monkeypatch.setattr(clock, "now_ms", lambda: now[0])
    rules = crashrules.CrashRules(3000)
    for _ in range(crashes):
        rules.record_crash(Sent())
    if started_ms is not None:
        rules.out_of_touch_ms["m"] = started_ms
    broken = 0
    for now[0] in times_ms:
        broken += rules.check_arrival(Sent()) is not None
    return broken


@pytest.mark.parametrize("times_ms,broken", [
    ([3000, 4000, 5000], 0),
    ([3000, 4000, 5000, 6000, 7000], 2),
    ([100, 200, 300, 400, 500], 0),
])
def test_three_later_arrivals_are_allowed(monkeypatch, times_ms, broken):
    assert arrivals_broken(monkeypatch, times_ms) == broken


def test_two_crashes_are_no_reason(monkeypatch):
    assert not arrivals_broken(monkeypatch, range(3000, 9000, 1000), 2)


def test_machine_that_has_just_started_is_excused(monkeypatch):
    assert not arrivals_broken(
        monkeypatch, range(4000, 7000, 500), started_ms=4000)
