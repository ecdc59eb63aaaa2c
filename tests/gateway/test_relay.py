"""Tests of what callers are told in the end."""

import asyncio

import pytest

from cardamommill.gateway import callers, placing, relay
from tests.gateway import builders

REFUSED = placing.Refused("all groups are full", 1300.0)


class Node:
    """Has no target for any request."""

    def __init__(self):
        self.work = []
        self.ends = []

    def spawn(self, work):
        self.work.append(work)

    def find_target(self, one):
        del one
        return REFUSED

    def ended(self, one, status, reason):
        del one
        self.ends.append((status, reason))


class Reply:
    """Keeps the answer."""

    started = False

    def whole(self, status, headers, body):
        self.answer = (status, dict(headers), body)


def end(ran):
    """Returns the answer to a request that nobody takes any more."""
    node, reply = Node(), Reply()
    request = callers.CallerRequest("POST", "/v1", [], b"", 0.0)
    one = relay.Relay(node, request, reply)
    if ran:
        known = next(iter(builders.view(builders.runner(1)).known.values()))
        one.ran_at.append(relay.Target(known))
    one.start()
    (work,) = node.work
    asyncio.run(work)
    return reply.answer


@pytest.mark.parametrize("ran,status", [(False, 503), (True, 502)])
def test_refused_caller_is_told_when_to_come_back(ran, status):
    """No group has a place. Of one that was tried nobody says "not run".

    Its caller may repeat it all the same, and is told when that is of use.
    """
    answer = end(ran)
    assert answer[0] == status
    assert answer[1]["Retry-After"] == "1.300"
