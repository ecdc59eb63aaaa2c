"""Tests of requests that arrive at a node that has just started."""

import asyncio

from cardamommill.domain import clock
from cardamommill.experiment import virtualloop
from cardamommill.gateway.shell import heldrequests
from cardamommill.transport import callers
from tests.gateway import relays


class Serving:
    """A request in progress that records whether its caller left."""

    def __init__(self):
        self.left = False

    def caller_left(self):
        self.left = True


def run_held_request(ready_after_ms,
                     left_after_ms=1e9,
                     length_ms=400.0,
                     fails=False):
    """Returns when a request was served, in ms, and its state at the end."""
    served = []
    reply = relays.FakeReply()

    async def main():
        began_ms = clock.now_ms()
        serving = Serving()

        def serve(request, reply):
            del request, reply
            served.append(clock.now_ms() - began_ms)
            if fails:
                raise ValueError("a fault of the program")
            return serving

        def may_serve():
            return clock.now_ms() - began_ms >= ready_after_ms

        held = heldrequests.HeldRequest(
            serve, callers.CallerRequest("GET", "/x", [], b"", began_ms), reply)
        loop = asyncio.get_running_loop()
        loop.call_later(left_after_ms / 1000, held.caller_left)
        loop.create_task(held.serve_when_ready(may_serve))
        await asyncio.sleep(length_ms / 1000)
        serving.reply = reply
        return serving

    with virtualloop.running(1) as loop:
        return served, loop.run_until_complete(main())


def test_request_is_served_as_soon_as_the_node_is_ready():
    """Callers of a stopped node retry before its successor is ready.

    The successor refused them, and many do not retry again.
    """
    (served_ms,), _ = run_held_request(ready_after_ms=40.0)
    assert 40.0 <= served_ms <= 40.0 + 2 * heldrequests.POLL_INTERVAL_MS


def test_request_is_not_held_longer_if_the_node_stays_unready():
    """A node that cannot read the configuration from the store stays unready.

    It passes the request on to be refused, so that the caller may retry later.
    """
    (served_ms,), _ = run_held_request(ready_after_ms=1e9)
    assert served_ms <= 1.1 * heldrequests.MAX_HOLD_MS


def test_request_whose_caller_disconnected_is_not_served():
    served, _ = run_held_request(ready_after_ms=100.0, left_after_ms=50.0)
    assert not served


def test_later_disconnect_is_reported_to_the_active_request():
    _, serving = run_held_request(ready_after_ms=20.0, left_after_ms=100.0)
    assert serving.left


def test_request_whose_handler_fails_is_aborted():
    """An exception in the task of a held request is handled nowhere else."""
    _, serving = run_held_request(ready_after_ms=20.0, fails=True)
    assert serving.reply.ending == "broken off"
