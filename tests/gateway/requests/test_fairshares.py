"""Tests of the max-min division."""

import math

from hypothesis import given, strategies
import pytest

from cardamommill.gateway.requests import fairshares

AMOUNTS = strategies.floats(0.0, 1000.0)


def test_what_small_demands_leave_goes_to_large_ones():
    """Guards against equal parts that some do not use."""
    assert fairshares.max_min_level([1.0, 10.0, 10.0], 13.0) == 6.0


def test_demands_that_fit_are_not_limited():
    """Guards against limits without a shortage."""
    assert fairshares.max_min_level([1.0, 2.0], 3.0) == math.inf


def test_no_capacity_leaves_nothing():
    """Guards against shares of a capacity that is used up."""
    assert fairshares.max_min_level([1.0], -2.0) == 0.0


@given(strategies.lists(AMOUNTS, min_size=1), AMOUNTS)
def test_shares_use_exactly_the_capacity(demands, capacity):
    """Guards against a division that gives more or less than there is."""
    level = fairshares.max_min_level(demands, capacity)
    assert sum(min(each, level) for each in demands) == pytest.approx(min(
        capacity, sum(demands)),
                                                                      abs=1e-6)
