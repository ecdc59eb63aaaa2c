"""Tests of which attempts count towards a route's limit."""

import pytest

from cardamommill.gateway.requests import attemptlimit
from tests.gateway import builders


def known(is_down=False):
    found = next(iter(builders.view(builders.runner(1)).known.values()))
    found.down_ms = 5.0 if is_down else 0.0
    return found


@pytest.mark.parametrize("is_down,is_unlikely,is_isolated,count", [
    (False, False, False, 1),
    (True, False, False, 0),
    (False, True, False, 0),
    (True, True, True, 1),
    (True, False, True, 1),
    (False, True, True, 1),
])
def test_attempts_at_dead_groups_count_only_at_an_isolated_node(
        is_down, is_unlikely, is_isolated, count):
    """Guards against a third run, and against attempts lost to dead groups."""
    limit = attemptlimit.AttemptLimit()
    limit.record(known(is_down), is_unlikely)
    assert limit.count(is_isolated) == count


def test_runner_that_goes_down_later_stops_counting():
    limit, runner = attemptlimit.AttemptLimit(), known()
    limit.record(runner, False)
    assert limit.count(False) == 1
    runner.down_ms = 9.0
    assert limit.count(False) == 0
