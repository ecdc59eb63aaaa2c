"""Tests of the encoding of datagrams between nodes."""

import dataclasses
import struct

import hypothesis
from hypothesis import strategies
import msgpack
import pytest

from cardamommill import exceptions
from cardamommill.domain import model
from cardamommill.gateway.fleet import inflight, loadsums
from cardamommill.gateway.nodes import peermessage
from cardamommill.gateway.requests import ratelimits, reliability
from tests.gateway.nodes import test_peers

KEYS = strategies.builds(model.GroupKey, strategies.text(max_size=20),
                         strategies.integers(0, 2**40))
LOADS = strategies.builds(inflight.GroupLoad, strategies.integers(0, 99),
                          strategies.integers(0, 99),
                          strategies.integers(0, 10**6))


def encoded(sent):
    return peermessage.encode_datagram(sent.echo_ms, sent.interval_ms,
                                       peermessage.encode_body(sent))


def body_of(fields):
    return peermessage.EncodedBody(peermessage.FORMAT_WITHOUT_SECTIONS,
                                   msgpack.packb(fields))


@hypothesis.given(strategies.dictionaries(KEYS, LOADS, max_size=5),
                  strategies.booleans())
def test_decoding_reverses_encoding(in_flight, stopping):
    key = model.GroupKey("g", 3)
    sent = test_peers.message(
        "n",
        "a",
        in_flight=in_flight,
        stopping=stopping,
        alarms=(peermessage.Alarm(key, 40.0, True, ("i-1", "i-7")),),
        opened_groups=(peermessage.OpenedGroup(key, "large", "i-1"),),
        attempt_histories=(reliability.AttemptHistory("i-2", 3,
                                                      ((2**32 - 1, 40.0),
                                                       (0, 7.0))),),
        planning_age_ms={"a": 10.0},
        load_sums=loadsums.LoadSums(120.0, {
            key.short_id: load for key, load in in_flight.items()
        }),
        has_lost_store=stopping)
    assert peermessage.decode(encoded(sent), "peer") == sent


@hypothesis.given(strategies.binary(max_size=200))
def test_arbitrary_bytes_are_refused(data):
    with pytest.raises(exceptions.BadPeerMessage):
        peermessage.decode(data, "10.0.0.9")


@pytest.mark.parametrize("form,left_out", [(3, 3), (4, 1), (5, 0)])
def test_older_formats_are_decoded(form, left_out):
    """During a rollout, nodes of both versions exchange messages."""
    key = model.GroupKey("g", 3)
    sent = test_peers.message("n",
                              "a",
                              alarms=(peermessage.Alarm(key, 40.0, True),))
    fields = msgpack.unpackb(encoded(sent)[17:])
    fields = fields[:len(fields) - left_out]
    fields[7][0] = fields[7][0][:4]
    former = struct.pack("!Bdd", form, 0.0, 200.0)
    assert peermessage.decode(former + msgpack.packb(fields), "peer") == sent


def test_sections_are_passed_on_whole_and_unknown_ones_with_them():
    sent = test_peers.message("n", "a", sections={"novel": [1, {"a": 2.5}]})
    assert peermessage.decode(encoded(sent), "peer") == sent


def test_message_without_sections_has_the_former_format():
    """A node of the former version refuses a format that it doesn't know."""
    assert encoded(test_peers.message("n", "a"))[0] == 5
    assert encoded(test_peers.message("n", "a", sections={"b": 1}))[0] == 6


@pytest.mark.parametrize("sections", [7, [1], None, "x"])
def test_message_with_malformed_sections_is_refused(sections):
    fields = msgpack.unpackb(encoded(test_peers.message("n", "a"))[17:])
    body = peermessage.EncodedBody(6, msgpack.packb([*fields, sections]))
    with pytest.raises(exceptions.BadPeerMessage):
        peermessage.decode(peermessage.encode_datagram(0.0, 200.0, body),
                           "peer")


def test_last_sections_are_left_out_beyond_their_bytes():
    sent = test_peers.message("n",
                              "a",
                              sections={
                                  "first": [1] * 200,
                                  "last": [2] * 200
                              })
    data = encoded(sent)
    assert len(data) <= peermessage.MAX_DATAGRAM_BYTES
    assert list(peermessage.decode(data, "peer").sections) == ["first"]


def test_load_sums_of_many_data_centres_leave_room_for_sections():
    """A reporter's load sums fill each datagram at the largest fleet."""
    sums = loadsums.LoadSums(
        40.0, {number: inflight.GroupLoad(9, 9, 9999) for number in range(700)})
    sent = test_peers.message("n",
                              "a",
                              load_sums=sums,
                              sections={"closed": [["group-1", 7]]})
    data = encoded(sent)
    assert len(data) <= peermessage.MAX_DATAGRAM_BYTES
    received = peermessage.decode(data, "peer")
    assert received.sections == sent.sections
    assert len(received.load_sums.loads) > 40


@pytest.mark.parametrize("load_sums",
                         [[1.0], [1.0, [[3, 1]]], [1.0, [["x", 1, 0, 0]]],
                          ["x", []], 7, [1.0, [[3, 1, 0, 0, 9]]]])
def test_message_with_malformed_load_sums_is_refused(load_sums):
    fields = msgpack.unpackb(encoded(test_peers.message("n", "a"))[17:])
    fields[-3] = load_sums
    with pytest.raises(exceptions.BadPeerMessage):
        peermessage.decode(
            peermessage.encode_datagram(0.0, 200.0, body_of(fields)), "peer")


LIMIT = ratelimits.RateLimit("i-0123456789", 1.6, 500.0, "n", 500.25)


@pytest.mark.parametrize("limit",
                         [LIMIT, dataclasses.replace(LIMIT, per_s=None)])
def test_rate_limits_are_encoded_with_their_age(limit):
    sent = test_peers.message("n", "a", sent_ms=900.0, limits=(limit,))
    assert peermessage.decode(encoded(sent), "peer").limits == (limit,)


@pytest.mark.parametrize("limits", [
    7, [["i-1", 1.0, 5]], [["i-1", -1.0, 5, "n", 1.0]],
    [["i-1", float("nan"), 5, "n", 1.0]], [["i-1", "x", 5, "n", 1.0]]
])
def test_message_with_malformed_limits_is_refused(limits):
    fields = msgpack.unpackb(encoded(test_peers.message("n", "a"))[17:])
    fields[-1] = limits
    with pytest.raises(exceptions.BadPeerMessage):
        peermessage.decode(
            peermessage.encode_datagram(0.0, 200.0, body_of(fields)), "peer")


def test_message_with_many_groups_fits_a_datagram():
    many = {
        model.GroupKey(f"group-{number}", number): inflight.GroupLoad(1)
        for number in range(500)
    }
    failing = tuple(
        reliability.AttemptHistory(f"i-{number:010x}", 30, (
            (2**32 - 1, 2900.0),) * reliability.MAX_REPORTED_FAILURES)
        for number in range(reliability.MAX_REPORTED_RUNNERS))
    load_sums = loadsums.LoadSums(40.0, {
        key.short_id: load for key, load in many.items()
    })
    sent = test_peers.message("n",
                              "a",
                              in_flight=many,
                              attempt_histories=failing,
                              limits=(LIMIT,) * ratelimits.MAX_REPORTED,
                              load_sums=load_sums)
    data = encoded(sent)
    assert len(data) <= peermessage.MAX_DATAGRAM_BYTES
    assert peermessage.decode(data, "peer").in_flight
