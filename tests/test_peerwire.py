"""Tests of the border between nodes: what is written can be read, no more."""

import dataclasses

import hypothesis
from hypothesis import strategies
import pytest

from cardamommill import exceptions, fleet, peer_pb2, peering, peerwire

IDENTITY = fleet.NodeIdentity("n", "dc", "r", 3, "127.0.0.1:1", "127.0.0.1:2")

_texts = strategies.text(max_size=20)
_names = strategies.text(min_size=1, max_size=20)
_counts = strategies.integers(0, peerwire.MAX_INTEGER)
_rates = strategies.floats(0, 1e6, width=32)


def built(kind, **fields):
    """Returns a strategy for a dataclass, by the types of its fields."""
    by_type = {"str": _texts, "int": _counts, "float": _rates}
    return strategies.builds(
        kind, **{
            field.name: by_type[getattr(field.type, "__name__", field.type)]
            for field in dataclasses.fields(kind)
            if getattr(field.type, "__name__", field.type) in by_type
        } | fields)


def few(items):
    return strategies.lists(items, max_size=3).map(tuple)


_identities = built(fleet.NodeIdentity,
                    node_id=_names,
                    data_centre=_names,
                    peer_address=strategies.just("10.0.0.1:80"),
                    caller_address=strategies.just("10.0.0.1:81"))
_reports = built(fleet.RunnerReport, vm_id=_names)
_rows = strategies.builds(fleet.ReplicaRow, _names, _names, _names, _counts,
                          _counts, few(_names), few(_names), _texts,
                          strategies.sampled_from(fleet.ReplicaState), _counts,
                          _texts, few(built(fleet.Cause)))
_suspicions = built(peering.Suspicion, crashes=few(_texts))
_version = strategies.just(peering.PROTOCOL_VERSION)

MESSAGES = strategies.one_of(
    built(peering.PullRequest,
          version=_version,
          sender=_identities,
          revisions=few(built(peering.Revision))),
    built(peering.Notice,
          version=_version,
          sender=_identities,
          suspicions=few(_suspicions),
          lost_vms=few(built(peering.LostVm))),
    built(peering.Digest,
          version=_version,
          sender=_identities,
          nodes=few(_identities),
          reports=few(built(peering.AgedReport, report=_reports)),
          unchanged=few(built(peering.Unchanged)),
          in_flight=few(built(peering.ReplicaInFlight)),
          uses=few(built(peering.AccountUse)),
          documents=few(built(peering.DocumentCopy)),
          replicas=few(strategies.builds(peering.ReplicaCopy, _counts, _rows)),
          summaries=few(
              built(peering.ServiceSummary, entry_addresses=few(_texts))),
          suspicions=few(_suspicions),
          drained=few(_texts),
          revisions=few(built(peering.Revision)),
          vms=few(built(fleet.Vm))))


@hypothesis.given(message=MESSAGES)
def test_what_is_written_is_read_again(message):
    data = peerwire.encode(message)
    assert peerwire.decode(data, type(message), "peer") == message


@hypothesis.given(data=strategies.binary(max_size=300),
                  into=strategies.sampled_from(
                      (peering.PullRequest, peering.Digest, peering.Notice)))
def test_random_bytes_are_refused_and_crash_nothing(data, into):
    try:
        value = peerwire.decode(data, into, "10.0.0.9:1")
    except exceptions.BadPeerMessage as error:
        assert (error.step, error.peer) == (peerwire.STEP, "10.0.0.9:1")
    else:
        assert value.version == peering.PROTOCOL_VERSION


@hypothesis.given(message=MESSAGES, data=strategies.data())
def test_damaged_messages_are_refused_or_well_formed(message, data):
    """A message is cut, or a byte in it changes, on its way.

    What comes out is either refused or a value whose every field is within
    bounds; nothing half understood reaches the decisions.
    """
    whole = peerwire.encode(message)
    place = data.draw(strategies.integers(0, len(whole) - 1))
    damaged = data.draw(
        strategies.sampled_from(
            (whole[:place],
             whole[:place] + bytes([data.draw(strategies.integers(0, 255))]) +
             whole[place + 1:])))
    try:
        value = peerwire.decode(damaged, type(message), "peer")
    except exceptions.BadPeerMessage:
        return
    assert peerwire.decode(peerwire.encode(value), type(message),
                           "peer") == value


def _digest(**fields) -> peer_pb2.Digest:
    message = peer_pb2.Digest(version=1)
    message.ParseFromString(peerwire.encode(peering.Digest(1, IDENTITY)))
    message.MergeFrom(peer_pb2.Digest(**fields))
    return message


ODD = {
    "other-version":
        _digest(version=2),
    "no-sender":
        peer_pb2.Digest(version=1),
    "host-name":
        _digest(sender=peer_pb2.Identity(peer_address="evil:1")),
    "line-break":
        _digest(sender=peer_pb2.Identity(peer_address="10.0.0.1:1\n")),
    "negative-age":
        _digest(unchanged=[peer_pb2.Unchanged(age_ms=-1)]),
    "not-a-number":
        _digest(uses=[peer_pb2.AccountUse(requests_per_s=float("nan"))]),
    "infinite":
        _digest(uses=[peer_pb2.AccountUse(requests_per_s=float("inf"))]),
    "unknown-state":
        _digest(suspicions=[peer_pb2.Suspicion(state="odd")]),
    "unknown-role":
        _digest(
            reports=[peer_pb2.AgedReport(report=peer_pb2.Report(vm_id="v"))]),
    "long-text":
        _digest(drained=["x" * (peerwire.MAX_TEXT + 1)]),
    "many-items":
        _digest(drained=["x"] * (peerwire.MAX_ITEMS + 1)),
    "row-no-json":
        _digest(replicas=[peer_pb2.ReplicaCopy(row="{")]),
    "row-other-json":
        _digest(replicas=[peer_pb2.ReplicaCopy(row="[1]")]),
}


@pytest.mark.parametrize("name", ODD)
def test_odd_messages_are_refused(name):
    with pytest.raises(exceptions.BadPeerMessage):
        peerwire.decode(ODD[name].SerializeToString(), peering.Digest, "peer")
