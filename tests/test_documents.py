"""Tests of the documents of services."""

import traceback

import pytest

from cardamommill import documents, exceptions

PLAIN = """
service: bookingdesk
kind: plain
pool: web
capacity: {hcm-q1: {replicas: 1}}
routes: [{prefix: PREFIX, methods: [POST], repeatable: false}]
accounts: [{name: court, key_sha256: HASH}]
""".replace("HASH", "a" * 64)


@pytest.mark.parametrize("prefix", ["bookings", "/bookings"])
@pytest.mark.parametrize("path", ["bookings/7", "/bookings/7"])
def test_slash_makes_no_call_repeatable(prefix, path):
    """A team writes its prefix with or without the leading slash.

    Either way the booking must count as not repeatable: it had run twice,
    once through each of two nodes, because ``bookings`` did not match
    ``/bookings/7`` and the default is repeatable.
    """
    document = documents.parse(PLAIN.replace("PREFIX", prefix), "test")
    assert not document.route("POST", path).repeatable
    assert document.route("GET", path).repeatable


@pytest.mark.parametrize(("old", "new", "named"), [
    ("service: bookingdesk", "service: Booking Desk", "service"),
    ("kind: plain", "kind: plain\nreplica_vms: 4", "replica_vms"),
    ("kind: plain", "kind: model", "model"),
    ("replicas: 1", "replicas: -1", "capacity.hcm-q1.replicas"),
    ("pool: web", "pool: web\nshape: round", "shape"),
    ("a" * 64, "plain-text-key", "accounts.0.key_sha256"),
    (PLAIN, "[", "not YAML"),
])
def test_fault_is_named(old, new, named):
    with pytest.raises(exceptions.DocumentError) as raised:
        documents.parse(PLAIN.replace(old, new), "desk.yaml")
    assert named in raised.value.message
    assert raised.value.peer == "desk.yaml"
    shown = "".join(traceback.format_exception(raised.value))
    assert "plain-text-key" not in shown
