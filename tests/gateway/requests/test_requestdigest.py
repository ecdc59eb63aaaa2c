"""Tests of the digest by which copies of a request are recognized."""

import pytest

from cardamommill.gateway.requests import requestdigest

REQUEST = {
    "method": "POST",
    "host": "h.example",
    "target": "/a/b",
    "account": "acme",
    "body": b"prompt"
}


def digest(**changes):
    return requestdigest.digest(**REQUEST | changes)


def test_copies_have_the_same_digest():
    assert digest() == digest()


@pytest.mark.parametrize("changes", [{
    "method": "PUT"
}, {
    "host": "g.example"
}, {
    "target": "/a/c"
}, {
    "account": "other"
}, {
    "body": b"prompt."
}, {
    "target": "/a/bacme",
    "account": ""
}])
def test_other_requests_have_other_digests(changes):
    """A request of another caller would be refused for what this one did."""
    assert digest(**changes) != digest()


def test_parts_of_prompts_are_told_apart_from_each_other():
    assert requestdigest.part_digest("5c1e") == requestdigest.part_digest(
        "5c1e")
    assert requestdigest.part_digest("5c1e") != requestdigest.part_digest(
        "5c1f")
