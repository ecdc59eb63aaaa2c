"""Tests of the rule violations that simulated clients detect."""

import asyncio

import pytest

from cardamommill.domain import clock
from cardamommill.experiment import (
    modelclients,
    oracle,
    rightanswers,
    virtualloop,
)
from cardamommill.platform import wirenames
from cardamommill.transport import callers

ADDRESS = ("10.1.0.1", 8000)
KIND = modelclients.Kind(name="drafts",
                         host="h",
                         prefix="/v/",
                         service="s",
                         per_s=5.0,
                         method="POST",
                         model="",
                         prompt_tokens=0.0,
                         answer_tokens=40,
                         goal_ms=200.0,
                         gap_goal_ms=300.0,
                         deadline_ms=5000.0,
                         repeatable=True,
                         streaming=True,
                         worth=1.0,
                         late_worth=0.25)


class World:
    """A world with one node."""

    all_keys = (("t", "k"),)

    def choose_node(self, place, rng):
        del place, rng
        return ADDRESS

    def stride(self, service):
        del service
        return 8


def broken_rules(behind_events):
    """Returns the rules that are broken when bytes follow two events."""
    run_oracle = oracle.Oracle(oracle.Limits(1.0))

    def handler(request, reply):
        reply.start(200,
                    [(wirenames.ATTEMPT_ID, request.get(wirenames.ATTEMPT_ID)),
                     (wirenames.RESPONSE_SEAL, "s")])
        for number in (1, 2):
            reply.write(rightanswers.event_bytes(request.target, number))
        connection = next(iter(server.connections))
        connection.write(behind_events)
        connection.close()

    server = callers.CallerServer(handler, lambda status: None)

    async def main():
        await server.listen(*ADDRESS)
        clients = modelclients.Clients(World(), "a", run_oracle, seed=1)
        await clients.send_all(KIND, clock.now_ms() + 500)
        await asyncio.sleep(1)

    with virtualloop.running(1) as loop:
        loop.run_until_complete(main())
    assert run_oracle.sent
    return {each.rule for each in run_oracle.violations}


@pytest.mark.parametrize("behind_events,rules", [
    (b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 9\r\n\r\n"
     b"it failed", {"MIXED"}),
    (b"", set()),
    (b"3\r\ndat", set()),
    (b"0\r\n\r\n", {"ORDER"}),
])
def test_invalid_bytes_after_events_break_a_rule(behind_events, rules):
    """A client gets two events, then bytes that are not part of the stream.

    Counted as a failure only, a second answer within the first would go
    undetected in simulated runs. An answer that is cut off early breaks no
    rule; one that ends early but looks complete does.
    """
    assert broken_rules(behind_events) == rules
