"""Tests of what first events take beyond the engine's arithmetic."""

import random

from cardamommill.gateway import forecast


def learned(later_ms):
    made = forecast.Forecast()
    for each in later_ms:
        made.add_sample("llm", 200.0 + each, 200.0)
    return made.overhead_ms("llm")


def test_overhead_that_all_requests_have_is_learned():
    """The engine takes 90 ms before and after what its figures describe."""
    chance = random.Random(1)
    assert 80 <= learned(90 + chance.uniform(-10, 30) for _ in range(40)) <= 110


def test_waits_of_some_are_not_taken_for_an_overhead_of_all():
    """Half of the requests met a queue of which their nodes did not know."""
    waits = [0.0, 800.0] * 20
    assert learned(waits) == 0.0


def test_few_events_say_nothing():
    assert learned([90.0] * (forecast.MIN_SAMPLES - 1)) == 0.0


def test_engine_that_is_sooner_than_its_figures_has_no_overhead():
    assert learned([-30.0] * 40) == 0.0


def test_overhead_follows_what_changes():
    assert learned([90.0] * 40 + [10.0] * 40) == 10.0


def test_services_have_overheads_of_their_own():
    made = forecast.Forecast()
    for _ in range(20):
        made.add_sample("one", 300.0, 200.0)
    assert made.overhead_ms("other") == 0.0
