"""Tests of the choice of a peer for a request that a node can't serve."""

import collections
import random

import pytest

from cardamommill.gateway.nodes import hoppeers, peermessage
from tests.gateway.nodes import test_peers

NOW_MS = 1000.0


def choices(*messages, config_version=7, allowed=("a", "b"), excluded=()):
    """Returns how often each peer is chosen, of 400 times."""
    known = test_peers.node("a-0")
    test_peers.receive(known, NOW_MS, *messages)
    requirements = hoppeers.Requirements(
        config_version, lambda place: place in allowed,
        {(f"10.0.0.{each}", 7340) for each in excluded})
    chance = random.Random(1)
    found = [
        hoppeers.choose(known, requirements, chance, NOW_MS) for _ in range(400)
    ]
    return collections.Counter(
        each.last_message.node if each else None for each in found)


def peer(name, place="a", is_cut_off=False, **fields):
    sections = {peermessage.CUT_OFF_SECTION: True} if is_cut_off else {}
    return test_peers.message(name, place, sections=sections, **fields)


def test_requests_stay_in_their_data_centre():
    assert set(choices(peer("a-1"), peer("a-2"), peer("b-1",
                                                      "b"))) == {"a-1", "a-2"}


def test_few_sound_nodes_do_not_get_the_requests_of_most_of_a_data_centre():
    """Nine of ten nodes of a data centre are cut off at once."""
    cut = [peer(f"a-{number}", is_cut_off=True) for number in range(2, 10)]
    others = [peer(f"b-{number}", "b") for number in range(10)]
    found = choices(peer("a-1"), *cut, *others)
    # One node's requests in nine, as if it had one caller more each.
    assert 400 / 9 * 0.6 < found["a-1"] < 400 / 9 * 1.5
    assert all(found[f"b-{number}"] > 15 for number in range(10))


@pytest.mark.parametrize("found", [
    choices(peer("a-1", is_cut_off=True)),
    choices(peer("a-1", stopping=True)),
    choices(peer("a-1", config_version=6)),
    choices(peer("b-1", "b", config_version=0)),
    choices(peer("b-1", "b"), allowed=("a",)),
    choices(peer("a-1"), excluded=("a-1",)),
    choices(),
],
                         ids=[
                             "cut-off", "stopping", "older-configuration",
                             "no-configuration", "not-allowed", "asked", "alone"
                         ])
def test_peer_that_can_not_serve_it_gets_no_request(found):
    assert set(found) == {None}


def test_configuration_of_a_remote_peer_is_left_to_the_peer():
    """Its messages are rare, so that the last one names an older one."""
    assert set(choices(peer("b-1", "b", config_version=6))) == {"b-1"}


def test_silent_peer_gets_no_request():
    known = test_peers.node("a-0")
    test_peers.receive(known, NOW_MS, peer("a-1"))
    requirements = hoppeers.Requirements(7, lambda place: True)
    assert hoppeers.choose(known, requirements, random.Random(1),
                           NOW_MS + 2000.0) is None
