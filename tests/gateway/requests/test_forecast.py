"""Tests of the estimate of the overhead beyond an engine's cost model."""

import random

from cardamommill.gateway.requests import forecast


def learned_overhead_ms(deviations_ms):
    estimator = forecast.Forecast()
    for each in deviations_ms:
        estimator.add_sample("llm", 200.0 + each, 200.0)
    return estimator.overhead_ms("llm")


def test_overhead_common_to_all_requests_is_learned():
    """The engine takes 90 ms outside of what its cost model covers."""
    chance = random.Random(1)
    assert 80 <= learned_overhead_ms(
        90 + chance.uniform(-10, 30) for _ in range(40)) <= 110


def test_queueing_of_some_requests_is_no_overhead():
    """Half of the requests wait in a queue that their nodes do not know of."""
    waits = [0.0, 800.0] * 20
    assert learned_overhead_ms(waits) == 0.0


def test_few_samples_give_no_overhead():
    assert learned_overhead_ms([90.0] * (forecast.MIN_SAMPLES - 1)) == 0.0


def test_engine_faster_than_its_cost_model_has_no_overhead():
    assert learned_overhead_ms([-30.0] * 40) == 0.0


def test_overhead_follows_changes():
    assert learned_overhead_ms([90.0] * 40 + [10.0] * 40) == 10.0


def test_overhead_is_separate_for_each_service():
    estimator = forecast.Forecast()
    for _ in range(20):
        estimator.add_sample("one", 300.0, 200.0)
    assert estimator.overhead_ms("other") == 0.0
