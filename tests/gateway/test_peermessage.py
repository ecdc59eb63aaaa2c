"""Tests of datagrams between nodes."""

import hypothesis
from hypothesis import strategies
import pytest

from cardamommill import exceptions
from cardamommill.gateway import flights, model, peermessage, reliability
from tests.gateway import test_peers

KEYS = strategies.builds(model.GroupKey, strategies.text(max_size=20),
                         strategies.integers(0, 2**40))
LOADS = strategies.builds(flights.GroupLoad, strategies.integers(0, 99),
                          strategies.integers(0, 99),
                          strategies.integers(0, 10**6))


def encoded(sent):
    return peermessage.datagram(sent.echo_ms, sent.interval_ms,
                                peermessage.encode_body(sent))


@hypothesis.given(strategies.dictionaries(KEYS, LOADS, max_size=5),
                  strategies.booleans())
def test_message_comes_through(in_flight, stopping):
    key = model.GroupKey("g", 3)
    sent = test_peers.message(
        "n",
        "a",
        in_flight=in_flight,
        stopping=stopping,
        alarms=(peermessage.Alarm(key, 40.0, True),),
        opened=(peermessage.OpenedGroup(key, "large", "i-1"),),
        tries=(reliability.Tries("i-2", 3, ((2**32 - 1, 40.0), (0, 7.0))),),
        plans_ms={"a": 10.0})
    assert peermessage.decode(encoded(sent), "peer") == sent


@hypothesis.given(strategies.binary(max_size=200))
def test_bytes_that_are_no_message_are_refused(data):
    with pytest.raises(exceptions.BadPeerMessage):
        peermessage.decode(data, "10.0.0.9")


def test_message_fits_a_datagram_however_many_groups_there_are():
    many = {
        model.GroupKey(f"group-{number}", number): flights.GroupLoad(1)
        for number in range(500)
    }
    failing = tuple(
        reliability.Tries(f"i-{number:010x}", 30, ((2**32 - 1, 2900.0),) *
                          reliability.MAX_TOLD_FAILURES)
        for number in range(reliability.MAX_TOLD_RUNNERS))
    sent = test_peers.message("n", "a", in_flight=many, tries=failing)
    data = encoded(sent)
    assert len(data) <= peermessage.MAX_BYTES
    assert peermessage.decode(data, "peer").in_flight
