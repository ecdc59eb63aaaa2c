"""Tests of the headers of requests that one node passes to another."""

import hypothesis
from hypothesis import strategies
import pytest

from cardamommill import exceptions
from cardamommill.gateway.nodes import hopheaders
from cardamommill.platform import wirenames
from cardamommill.transport import upstream

HOPS = strategies.builds(hopheaders.Hop,
                         node=strategies.text(min_size=1),
                         age_ms=strategies.floats(0, hopheaders.MAX_AGE_MS),
                         config_version=strategies.integers(0, 10**9),
                         attempts=strategies.integers(0, 99),
                         has_arrived=strategies.booleans())
GOOD = hopheaders.encode(hopheaders.Hop("n", 1.0, 7, 1, True))


@hypothesis.given(HOPS)
def test_hop_survives_its_encoding(hop):
    assert hopheaders.decode(hopheaders.encode(hop)) == hop
    assert hopheaders.encode(hop).isascii()


@hypothesis.given(strategies.text())
def test_any_other_header_is_refused_with_its_step(text):
    try:
        hop = hopheaders.decode(text)
    except exceptions.BadPeerMessage as error:
        assert error.step == "hop"
    else:
        assert 0 <= hop.age_ms <= hopheaders.MAX_AGE_MS


@pytest.mark.parametrize("good,bad", [
    ("age_ms=1.0", "age_ms=-1"),
    ("age_ms=1.0", "age_ms=nan"),
    ("age_ms=1.0", "age_ms=1e9"),
    ("attempts=1", "attempts=-1"),
    ("attempts=1", ""),
    ("config_version=7", "config_version=x"),
])
def test_impossible_figures_are_refused(good, bad):
    """A stranger may connect to the port of the peers."""
    with pytest.raises(exceptions.BadPeerMessage):
        hopheaders.decode(GOOD.replace(good, bad))


@pytest.mark.parametrize("status,is_not_run", [
    (503, True),
    (404, True),
    (502, False),
    (504, False),
])
def test_peer_says_which_of_its_own_answers_mean_not_run(status, is_not_run):
    """The first node promises its caller no more than the peer knows."""
    head = upstream.Head(
        status,
        hopheaders.answer_headers(status, [("Retry-After", "0.5")], attempts=2))
    assert (head.get(wirenames.NOT_EXECUTED) is not None) is is_not_run
    assert hopheaders.is_refusal(head) is (status == 503)
    assert hopheaders.attempts_made(head) == 2


def test_answer_of_a_runner_stays_what_it_says():
    headers = [(wirenames.ATTEMPT_ID, "a1"), (wirenames.RESPONSE_SEAL, "s")]
    found = hopheaders.answer_headers(500, headers, attempts=1)
    assert found[:2] == headers
    assert wirenames.NOT_EXECUTED not in dict(found)


def test_answer_without_a_count_leaves_it_open():
    assert hopheaders.attempts_made(upstream.Head(200, [])) is None
