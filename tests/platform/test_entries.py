"""Tests of decoding runners' entries and reports."""

import json

import hypothesis
from hypothesis import strategies
import pytest

from cardamommill import exceptions
from cardamommill.domain import model
from cardamommill.platform import entries

ENTRY = {
    "service": "s",
    "address": "10.0.0.9:8080",
    "zone": "a",
    "version": "v1",
    "slots": 13,
    "state": "ready",
    "coldLeftMs": 0,
    "seq": 4711,
    "domain": "d1",
    "staged": ["large"],
    "models": [{
        "name": "large",
        "version": 1
    }],
    "group": {
        "name": "g",
        "epoch": 3,
        "rank": 1,
        "state": "ready"
    }
}


def decode(**changes):
    return entries.decode_entry("i-1",
                                json.dumps({
                                    **ENTRY,
                                    **changes
                                }).encode(), 5)


def test_entry_is_decoded():
    runner = decode()
    assert (runner.host, runner.port) == ("10.0.0.9", 8080)
    assert runner.status.membership == model.Membership("g", 3, 1,
                                                        model.MemberState.READY)
    assert runner.status.staged == ("large",)
    assert not runner.leaving


def test_entry_of_a_plain_service_has_no_group():
    entry = {
        key: value
        for key, value in ENTRY.items()
        if key not in ("domain", "staged", "models", "group")
    }
    runner = entries.decode_entry("i-1", json.dumps(entry).encode(), 1)
    assert runner.status.membership is None


@pytest.mark.parametrize("changes", [
    {
        "state": "unheard-of"
    },
    {
        "address": "nowhere"
    },
    {
        "address": None
    },
    {
        "group": {
            "name": "g",
            "epoch": 1,
            "rank": 0,
            "state": "odd"
        }
    },
    {
        "group": {
            "name": "g"
        }
    },
])
def test_entry_with_unknown_or_missing_values_is_refused(changes):
    with pytest.raises(exceptions.BadPeerMessage):
        decode(**changes)


@hypothesis.given(strategies.binary(max_size=100))
def test_bytes_that_are_no_entry_are_refused(data):
    with pytest.raises(exceptions.BadPeerMessage):
        entries.decode_entry("i-1", data, 1)


def test_count_of_orders_comes_only_from_reports():
    # The runner list has a field of the same name that counts heartbeats. When
    # it was taken for the count of orders, half of all orders were refused.
    report = entries.decode_report("i-1", json.dumps({"seq": 2}).encode())
    assert report.orders_begun == 2
    assert not hasattr(decode().status, "seq")
