"""Tests of the shares of a runner's permitted rate."""

import pytest

from cardamommill.gateway.requests import ratesharing


def bucket(**fields):
    return ratesharing.TokenBucket(0.0, share_per_s=2.0, **fields)


def test_tokens_accrue_at_the_share():
    one = bucket()
    one.refill(250)
    assert one.wait_ms() == pytest.approx(250)
    one.refill(500)
    assert not one.wait_ms()


@pytest.mark.parametrize("burst_s,tokens", [(0.0, 1.0), (3.0, 6.0)])
def test_saved_tokens_are_bounded(burst_s, tokens):
    """A node that was idle would otherwise send all at once."""
    one = bucket(burst_s=burst_s)
    one.refill(60_000)
    assert one.tokens == tokens


def test_node_without_a_share_keeps_no_tokens():
    """Its former share belongs to another node."""
    one = bucket()
    one.refill(1000)
    one.set_share(0.0, 1000)
    assert not one.tokens


def test_token_that_is_given_back_does_not_exceed_the_burst():
    one = bucket()
    one.refill(1000)
    one.take(1000)
    one.refill(1500)
    one.give_back()
    assert one.tokens == 1


def test_node_without_a_share_gets_no_token_back():
    one = bucket()
    one.set_share(0.0, 0)
    one.give_back()
    assert not one.tokens


def test_senders_are_the_same_in_any_order_of_nodes():
    """Nodes that chose differently would send more than the rate together."""
    nodes = [f"node-{number}" for number in range(20)]
    senders = ratesharing.choose_senders("i-1", nodes, 4)
    assert len(senders) == 4
    assert ratesharing.choose_senders("i-1", reversed(nodes), 4) == senders
