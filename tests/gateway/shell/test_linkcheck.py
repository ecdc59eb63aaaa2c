"""Tests of the check whether a node is itself cut off from runners."""

import asyncio
import random

import pytest

from cardamommill import metrics
from cardamommill.domain import clock
from cardamommill.experiment import virtualloop, virtualnetwork
from cardamommill.gateway.fleet import isolation
from cardamommill.gateway.shell import linkcheck
from tests.gateway import builders

NODE = "10.0.0.1"


class LinkFixture:
    """A node in data centre a, with nine runners in three of them."""

    def __init__(self, loop):
        self.network = loop.network
        runners = [
            builders.runner(number,
                            place="abc"[number // 3],
                            domain=f"d{number // 3}") for number in range(9)
        ]
        self.view = builders.view(*runners)
        for each in runners:
            self.network.listeners[(each.host, each.port)] = asyncio.Protocol
        self.isolation = isolation.Isolation()
        self.events = []
        self.link = linkcheck.LinkCheck(
            "a", self.view, self.isolation, metrics.Metrics(), random.Random(1),
            lambda work: asyncio.get_running_loop().create_task(work))
        self.link.on_cut = lambda: self.events.append("cut")
        self.link.on_return = lambda: self.events.append("return")

    def records(self, *numbers):
        return [self.view.known[f"i-{number}"] for number in numbers]

    def cut(self, *numbers):
        """Cuts the node off from some runners, or restores the link to all."""
        self.network.heal()
        for each in self.records(*numbers):
            self.network.cut(NODE, each.runner.host)

    async def run_for(self, seconds):
        for _ in range(round(seconds / 0.02)):
            self.link.update(clock.now_ms())
            await asyncio.sleep(0.02)


def run(script):
    token = virtualnetwork.HOST.set(NODE)
    try:
        with virtualloop.running(1) as loop:
            fixture = LinkFixture(loop)
            loop.run_until_complete(script(fixture))
            return fixture
    finally:
        virtualnetwork.HOST.reset(token)


@pytest.mark.parametrize("cut,sound", [
    ((0, 1, 2), True),
    (range(9), False),
    ((0, 1, 2, 3, 4, 5), True),
    ((0, 1, 2, 3, 4, 5, 6, 7), False),
],
                         ids=["its-group", "all", "two-places", "nearly-all"])
def test_runners_of_other_places_tell_a_cut_from_a_dead_group(cut, sound):
    """Group 0 to 2 gives no answer."""

    async def script(fixture):
        fixture.cut(*cut)
        unreachable = fixture.records(0, 1, 2)
        assert await fixture.link.is_sound(unreachable) is sound

    fixture = run(script)
    assert fixture.events == ([] if sound else ["cut"])


def test_node_without_other_places_to_try_trusts_its_link():

    async def script(fixture):
        fixture.cut(*range(9))
        assert await fixture.link.is_sound(fixture.records(*range(9)))

    assert not run(script).events


def test_data_centre_that_is_cut_off_reaches_its_own_runners():
    """The node's own data centre counts, however many others there are."""

    async def script(fixture):
        fixture.cut(3, 4, 5)
        for _ in range(20):
            assert await fixture.link.is_sound(fixture.records(6))

    assert not run(script).events


def test_cut_ends_soon_after_the_link_is_back():

    async def script(fixture):
        fixture.cut(*range(9))
        await fixture.link.is_sound(fixture.records(0))
        # Much longer than the evidence of one check is used.
        await fixture.run_for(3 * isolation.WINDOW_MS / 1000)
        assert fixture.events == ["cut"]
        fixture.cut()
        await fixture.run_for(0.5)
        assert fixture.events == ["cut", "return"]
        assert not fixture.isolation.is_cut_off(clock.now_ms())

    run(script)


def test_refused_connections_are_a_cut_too():
    """Open connections go on while runners refuse new ones."""

    async def script(fixture):
        for each in fixture.records(*range(9)):
            fixture.network.refuse(NODE, each.runner.host)
        assert not await fixture.link.is_sound(fixture.records(0))

    run(script)
