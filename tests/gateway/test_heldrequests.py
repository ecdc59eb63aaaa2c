"""Tests of requests that come to a node that has just started."""

import asyncio

from cardamommill.experiment import virtualloop
from cardamommill.gateway import callers, clock, heldrequests
from tests.gateway import relays


class Serving:
    """Keeps whether it was told that its caller left."""

    def __init__(self):
        self.left = False

    def caller_left(self):
        self.left = True


def play(known_after_ms, left_after_ms=1e9, length_ms=400.0, fails=False):
    """Returns what became of a request, and after how long it was served."""
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
            return clock.now_ms() - began_ms >= known_after_ms

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


def test_request_is_served_as_soon_as_the_node_knows_what_it_serves():
    """Callers of a stopped node are back before its successor has read much.

    It refused them, and many do not come twice.
    """
    (served_ms,), _ = play(known_after_ms=40.0)
    assert 40.0 <= served_ms <= 40.0 + 2 * heldrequests.POLL_INTERVAL_MS


def test_request_is_not_held_for_a_node_that_learns_nothing():
    """The store is away; the request is answered, and told to come back."""
    (served_ms,), _ = play(known_after_ms=1e9)
    assert served_ms <= 1.1 * heldrequests.MAX_HOLD_MS


def test_request_whose_caller_left_is_not_served():
    served, _ = play(known_after_ms=100.0, left_after_ms=50.0)
    assert not served


def test_caller_that_leaves_later_is_told_to_whoever_serves():
    _, serving = play(known_after_ms=20.0, left_after_ms=100.0)
    assert serving.left


def test_request_whose_serving_fails_is_not_left_without_an_end():
    """An error in a task of its own would reach nobody who answers."""
    _, serving = play(known_after_ms=20.0, fails=True)
    assert serving.reply.ending == "broken off"
