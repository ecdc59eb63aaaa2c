"""Tests of decoding the operator's configuration."""

import json

import pytest

from cardamommill import exceptions
from cardamommill.domain import model
from cardamommill.experiment import deployments
from cardamommill.platform import configurations

DEPLOYMENT = deployments.Deployment(name="d",
                                    models=(deployments.ModelSpec(name="large",
                                                                  size=4,
                                                                  share=1.0),),
                                    kinds=(deployments.KindSpec(
                                        name="k", per_s=1, model="large"),))


def decode(change=None):
    wire = DEPLOYMENT.configuration(7, [("t", "secret-key")])
    if change is not None:
        change(wire)
    return configurations.decode(json.dumps(wire).encode())


def test_configuration_is_decoded_whole():
    found = decode()
    assert found.version == 7
    assert found.routes[0].kind is model.RouteKind.STREAMING
    assert found.routes[0].repeatable
    engine = found.services["engine"].engine
    assert engine.models[0].load_ms == 16_000
    assert engine.read_tokens_per_ms == pytest.approx(50.7)
    assert found.services["plain"].engine is None


def test_only_digests_of_keys_are_kept():
    assert "secret-key" not in repr(decode())
    assert decode().tenants[0].key_digests == (
        configurations.key_digest("secret-key"),)


def test_route_may_have_several_backends():
    backends = [{"service": "x", "weight": 9}, {"service": "y", "weight": 1}]
    found = decode(
        lambda wire: wire["routes"][0].update(backends=backends, service=""))
    assert found.routes[0].backends == (("x", 9.0), ("y", 1.0))


def test_unknown_fields_are_ignored():
    assert decode(lambda wire: wire.update(novel={"a": 1})).version == 7


@pytest.mark.parametrize("change", [
    lambda wire: wire.pop("version"),
    lambda wire: wire["routes"][0].update(type="odd"),
    lambda wire: wire["routes"][0].update(prefix="no-slash"),
    lambda wire: wire["tenants"][0].update(apiKeys="secret-key"),
])
def test_error_for_invalid_configuration_holds_no_api_key(change):
    with pytest.raises(exceptions.BadPeerMessage) as caught:
        decode(change)
    assert "secret-key" not in str(caught.value)
