"""Tests of the demand that nodes tell each other."""

from hypothesis import given, strategies
import pytest

from cardamommill import exceptions
from cardamommill.gateway.requests import competingdemand

MODEL = competingdemand.model_id("llm", "large")
URGENT = competingdemand.Source(1, competingdemand.account_id("a"))
LEAST = competingdemand.Source(8, competingdemand.account_id("b"))


def demand_of(sources, now_ms=0.0):
    found = competingdemand.CompetingDemand()
    for source in sources:
        found.asked(MODEL, source, now_ms)
    return found


def per_s(one, now_ms, scale=1.0):
    return one.demand(MODEL, scale, now_ms).per_s


def test_counts_of_other_nodes_are_added():
    """Guards against decisions by a node's own few requests."""
    one = demand_of([URGENT])
    one.receive("n2", demand_of([URGENT, LEAST]).encode((MODEL,), 0.0), 0.0)
    assert per_s(one, 1.0) == pytest.approx({URGENT: 2.0, LEAST: 1.0})


def test_counts_are_scaled_to_all_nodes():
    """Guards against a reservation for the requests of one data centre only."""
    assert per_s(demand_of([URGENT]), 1.0, 3.0) == pytest.approx({URGENT: 3.0})


def test_repeated_counts_of_a_node_replace_the_former():
    """Guards against a demand that grows with each datagram."""
    one = competingdemand.CompetingDemand()
    for now_ms in (0.0, 100.0):
        one.receive("n2", demand_of([URGENT]).encode((MODEL,), 0.0), now_ms)
    assert per_s(one, 200.0) == pytest.approx({URGENT: 1.0})


def test_own_counts_end_after_a_second():
    """Guards against room that is kept for requests that ended."""
    one = demand_of([URGENT])
    assert per_s(one, 900.0) == pytest.approx({URGENT: 1.0})
    assert not per_s(one, 1200.0)


def test_counts_of_a_silent_node_end_while_others_are_heard():
    """Guards against the demand of a dead node."""
    one = competingdemand.CompetingDemand()
    one.receive("n2", demand_of([URGENT]).encode((MODEL,), 0.0), 0.0)
    one.receive("n3", demand_of([LEAST]).encode((MODEL,), 0.0), 2100.0)
    assert set(per_s(one, 2200.0)) == {LEAST}


def test_isolated_node_uses_its_last_known_state_for_five_seconds():
    """Guards against a node that forgets all demand when it is cut off."""
    one = competingdemand.CompetingDemand()
    one.receive("n2", demand_of([URGENT]).encode((MODEL,), 0.0), 0.0)
    assert per_s(one, 4900.0) == pytest.approx({URGENT: 1.0})
    assert not per_s(one, 5100.0)


def test_holding_time_is_the_mean_of_all_nodes():
    """Guards against a holding time from one node's few attempts."""
    one, other = demand_of([]), demand_of([])
    one.held(MODEL, 1000.0)
    other.held(MODEL, 2000.0)
    one.receive("n2", other.encode((MODEL,), 0.0), 0.0)
    assert one.demand(MODEL, 1.0, 1.0).hold_ms == 1500.0


def test_demand_takes_few_bytes():
    """Guards against datagrams that grow with the number of accounts.

    A model and priority take 73 bytes at most, whatever the number of accounts.
    """
    one = demand_of([
        competingdemand.Source(1, competingdemand.account_id(str(each)))
        for each in range(100)
    ])
    data = one.encode((MODEL,), 0.0)
    assert len(data) <= 5 + 4 * (competingdemand.MAX_ENTRIES + 1)
    other = competingdemand.CompetingDemand()
    other.receive("n2", data, 0.0)
    assert sum(per_s(other, 1.0).values()) == pytest.approx(100.0)


@given(strategies.binary(max_size=40))
def test_malformed_demand_is_refused_as_such(data):
    """Guards against datagrams that end the receiving of others."""
    try:
        competingdemand.CompetingDemand().receive("n2", data, 0.0)
    except exceptions.BadPeerMessage:
        pass


@pytest.mark.parametrize("data",
                         [None, 7, "text", b"\0", b"\0\0\0\0\x01\0\0\x0a\0"])
def test_demand_of_another_type_is_refused(data):
    """Guards against errors outside of the declared kind."""
    with pytest.raises(exceptions.BadPeerMessage):
        competingdemand.CompetingDemand().receive("n2", data, 0.0)
