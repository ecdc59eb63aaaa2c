"""Tests of the rate limits that runners name."""

from cardamommill.gateway import ratelimits


def test_limit_holds_until_an_answer_to_a_later_request_names_none():
    limits = ratelimits.RateLimits()
    assert limits.take_answer("i-1", 1.5, 0, 100)
    assert limits.per_s("i-1") == 1.5
    assert limits.take_answer("i-1", None, 101, 200)
    assert limits.per_s("i-1") is None


def test_answer_that_was_overtaken_lifts_no_limit():
    """A limit taken back by an answer of before it was named is exceeded."""
    limits = ratelimits.RateLimits()
    limits.take_answer("i-1", 1.5, 50, 100)
    assert not limits.take_answer("i-1", None, 60, 120)
    assert limits.per_s("i-1") == 1.5


def test_runner_without_a_limit_is_not_kept():
    limits = ratelimits.RateLimits()
    assert not limits.take_answer("i-1", None, 0, 10)
    assert limits.per_s("i-1") is None
