"""Tests of groups with a member whose process stands still for seconds."""

import asyncio
import pathlib

from cardamommill.domain import clock, entrysettings, orders
from cardamommill.gateway.shell import entrynode
from tests.gateway import builders, planners
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


def test_runner_that_stands_still_joins_no_new_group():
    """Its joins went unanswered, and the group was not formed without it."""
    bench = planners.PlannerHarness(planners.warm_runners(5))
    bench.view.record_standstill("i-1", bench.now_ms)
    joins = planners.orders_of(bench.step(), orders.Operation.JOIN)
    assert len(joins) == 4
    assert "i-1" not in {each.runner for each in joins}


def test_group_is_not_formed_with_a_member_that_stands_still():
    """No request is there yet that an order to leave could cut."""
    bench = planners.PlannerHarness(planners.warm_runners(9))
    joins = planners.orders_of(bench.step(), orders.Operation.JOIN)[:4]
    for each in joins:
        bench.accept(each)
    bench.view.record_standstill(joins[1].runner, bench.now_ms)
    left = planners.orders_of(bench.step(), orders.Operation.LEAVE)
    assert {each.group for each in left} == {joins[0].group}


def test_peers_learn_of_a_runner_that_stood_still_for_too_long():
    """Its planner has no requests there, and never asked it by itself."""

    def script(bench):
        bench.group_controller.still = {"i-2"}
        bench.fall_silent()

    async def give_up(bench):
        bench.view.record_no_answer("i-2", clock.now_ms())
        bench.group_controller.on_down("i-2")

    bench = test_alarms.run(script, after_script=give_up)
    alarm, = bench.updates
    assert alarm.confirmed and alarm.silent == ("i-2",)
    assert bench.relay.is_dead


def test_runner_stands_still_no_longer_than_the_platform_says():
    """Heads break a group after a time that differs between platforms."""
    node = entrynode.EntryNode(
        builders.settings(bounds=entrysettings.Bounds(stall_ms=1500.0)),
        pathlib.Path("/nonexistent"))
    node.view.apply_list([builders.runner(1)], 1000.0)
    (known,) = node.view.known.values()
    assert node.view.record_standstill(known.runner.id, 2000.0)
    assert node.view.record_standstill(known.runner.id, 3400.0)
    assert not node.view.record_standstill(known.runner.id, 3500.0)
