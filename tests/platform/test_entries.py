"""Tests of decoding runners' entries and reports."""

import json

import hypothesis
from hypothesis import strategies
import pytest

from cardamommill import exceptions
from cardamommill.domain import model
from cardamommill.platform import entries, entryerrors

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


@pytest.mark.parametrize("changes,field", [
    ({
        "slots": "8"
    }, "slots"),
    ({
        "slots": 8.0
    }, "slots"),
    ({
        "slots": True
    }, "slots"),
    ({
        "born": 3.0
    }, "born"),
    ({
        "born": True
    }, "born"),
    ({
        "born": "1700000000000"
    }, "born"),
    ({
        "born": None
    }, "born"),
    ({
        "service": 7
    }, "service"),
    ({
        "zone": None
    }, "zone"),
    ({
        "state": "unheard-of"
    }, "state"),
    ({
        "state": ["ready"]
    }, "state"),
    ({
        "address": "10.0.0.9:99999"
    }, "address"),
    ({
        "address": "10.0.0.9:0"
    }, "address"),
    ({
        "address": "...:80"
    }, "address"),
    ({
        "coldLeftMs": "12"
    }, "coldLeftMs"),
    ({
        "coldLeftMs": float("nan")
    }, "coldLeftMs"),
    ({
        "coldLeftMs": True
    }, "coldLeftMs"),
    ({
        "domain": True
    }, "domain"),
    ({
        "staged": "large"
    }, "staged"),
    ({
        "staged": [7]
    }, "staged.0"),
    ({
        "models": ["large"]
    }, "models.0"),
    ({
        "group": []
    }, "group"),
    ({
        "group": {
            "name": "g",
            "epoch": "3",
            "rank": 1,
            "state": "ready"
        }
    }, "group.epoch"),
    ({
        "group": {
            "name": "g",
            "epoch": 2**64,
            "rank": 1,
            "state": "ready"
        }
    }, "group.epoch"),
    ({
        "group": {
            "name": "g",
            "epoch": 3,
            "rank": 1,
            "state": "odd"
        }
    }, "group.state"),
])
def test_entry_of_another_type_is_refused_and_names_the_field(changes, field):
    """Converted values would make a usable runner of another writer's row.

    An epoch above 64 bits failed the encoding of every datagram.
    """
    with pytest.raises(entryerrors.EntryRefused) as caught:
        decode(**changes)
    assert caught.value.field.startswith(field)
    assert caught.value.found and caught.value.expected
    assert len(str(caught.value)) < 400


def test_entry_with_a_number_of_any_size_is_refused():
    """Python writes no whole number of more than 4300 digits as text."""
    entry = json.dumps({**ENTRY, "born": 0}).encode()
    for digits in (17, 5000):
        with pytest.raises(entryerrors.EntryRefused):
            entries.decode_entry(
                "i-1", entry.replace(b'"born": 0',
                                     b'"born": 1' + digits * b"0"), 5)


@pytest.mark.parametrize("field",
                         ["service", "address", "zone", "slots", "state"])
def test_entry_without_a_field_is_refused(field):
    entry = {key: value for key, value in ENTRY.items() if key != field}
    with pytest.raises(entryerrors.EntryRefused) as caught:
        entries.decode_entry("i-1", json.dumps(entry).encode(), 5)
    assert (caught.value.field, caught.value.found) == (field, "nothing")


@pytest.mark.parametrize("key", ["", "a b", "a\r\nX: y", "\u0416", "x" * 201])
def test_row_whose_key_can_be_no_header_is_refused(key):
    """The key is sent as Expect-Instance; a line end would add a header."""
    with pytest.raises(entryerrors.EntryRefused):
        entries.decode_entry(key, json.dumps(ENTRY).encode(), 5)


@pytest.mark.parametrize("changes", [{
    "domain": 4
}, {
    "staged": [{
        "name": "large",
        "version": 2
    }]
}, {
    "group": None
}, {
    "group": {}
}, {
    "coldLeftMs": 12
}, {
    "coldLeftMs": 12.5
}, {
    "slots": 0
}, {
    "unheardOf": [1]
}, {
    "born": 1_700_000_000_000
}])
def test_entries_that_are_written_today_are_accepted(changes):
    assert decode(**changes).host == "10.0.0.9"


JSON = strategies.recursive(
    strategies.none() | strategies.booleans() | strategies.integers() |
    strategies.floats() | strategies.text(max_size=8),
    lambda inner: strategies.lists(inner, max_size=3) | strategies.dictionaries(
        strategies.sampled_from(["name", "epoch", "rank", "state"]),
        inner,
        max_size=4),
    max_leaves=6)


@hypothesis.given(
    strategies.dictionaries(strategies.sampled_from([*ENTRY, "born"]), JSON),
    strategies.text(max_size=5))
def test_any_entry_is_decoded_or_refused(changes, key):
    """Another exception would end the reading of all other rows."""
    try:
        runner = entries.decode_entry(key,
                                      json.dumps({
                                          **ENTRY,
                                          **changes
                                      }).encode(), 5)
    except entryerrors.EntryRefused as error:
        assert len(str(error)) < 400
        return
    assert runner.instance == key
    assert runner.slots >= 1 and runner.cold_left_ms >= 0


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


@pytest.mark.parametrize("version", ["v1", 1, ""])
def test_version_of_the_software_may_be_a_text_or_a_number(version):
    """Guards against the refusal of all runners for a field of no use."""
    entry = {
        "service": "llm",
        "address": "10.0.0.1:8080",
        "zone": "a",
        "version": version,
        "slots": 6,
        "state": "ready",
        "coldLeftMs": 0,
        "seq": 3
    }
    found = entries.decode_entry("i-1", json.dumps(entry).encode(), 1)
    assert found.id == "i-1"
