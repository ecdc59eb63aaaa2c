"""Tests of groups with a member whose process stands still for seconds."""

import asyncio

from cardamommill.domain import clock
from tests.gateway import builders
from tests.gateway.shell import test_alarms


def test_group_is_avoided_for_as_long_as_its_member_stands_still():
    """It is found once, and looked free again after a second.

    It had no load then, so that it got the new requests of its node, which were
    not moved away again: the group was known to stand still.
    """

    def script(bench):
        bench.group_controller.still = {"i-2"}
        bench.view.record_standstill("i-2", clock.now_ms())
        bench.fall_silent()

    async def wait(bench):
        for _ in range(50):
            await asyncio.sleep(0.05)
            bench.view.record_standstill("i-2", clock.now_ms())
            bench.alarms.check_groups(clock.now_ms())

    bench = test_alarms.run(script, after_script=wait)
    assert bench.is_avoided()


def test_request_sent_to_a_stalled_group_is_moved_too():
    """Only the requests that were there when the group stalled were moved."""

    async def send_one_more(bench):
        for _ in range(50):
            await asyncio.sleep(0.05)
            bench.alarms.check_groups(clock.now_ms())
        bench.relay.reasons.clear()
        bench.fall_silent()
        for _ in range(50):
            await asyncio.sleep(0.05)
            bench.alarms.check_groups(clock.now_ms())

    bench = test_alarms.run(lambda bench: bench.fall_silent(for_ms=1500),
                            after_script=send_one_more)
    assert bench.relay.reasons


def test_runner_that_answered_a_later_probe_does_not_stand_still():
    """An earlier probe of it ran out of time after that.

    The requests of its group left it, and it was avoided.
    """
    view = builders.view(builders.runner(1))
    (known,) = view.known.values()
    view.apply_report(known.runner.id, builders.report(0), 2100.0, 0.0)
    view.record_standstill(known.runner.id, 2000.0)
    assert not known.still_since_ms
