"""Tests of who looks into groups that fall silent or refuse."""

import asyncio
import types

from cardamommill import metrics
from cardamommill.experiment import virtualloop
from cardamommill.gateway import (
    alarms,
    clock,
    model,
    peermessage,
    silence,
    standing,
)
from tests.gateway import builders

KEY = model.GroupKey("g", 1)
STATE = model.MemberState


class Keeper:
    """Counts questions, all of which are answered."""

    def __init__(self):
        self.asked = []

    async def ask(self, runner, reason):
        del reason
        self.asked.append(runner)
        return True


class Bench:
    """The alarms of one node that sees one group of four.

    Attributes:
        keeper: Counts questions to members.
        spoken: How often all peers were told.
    """

    def __init__(self, plans):
        self.view = builders.view(*(builders.runner(
            number,
            served="large",
            membership=builders.member(KEY, number,
                                       STATE.READY if number else STATE.OPEN))
                                    for number in range(4)))
        self.keeper = Keeper()
        self.spoken = 0
        self.requests = types.SimpleNamespace(silence=silence.SilenceDetector(),
                                              standing=standing.StandingGroups(
                                                  self.view),
                                              relays_at=lambda key: [])
        self.alarms = alarms.Alarms(
            self.view, self.requests, self.keeper, metrics.Metrics(), 6000.0,
            lambda key: plans, self._speak,
            lambda work: asyncio.get_running_loop().create_task(work))

    def _speak(self):
        self.spoken += 1

    def fall_silent(self):
        """Has a request wait for its first event for far too long."""
        now_ms = clock.now_ms()
        self.requests.silence.sent(KEY, "r1", 40.0, 20.0, 100.0, now_ms - 5000)
        self.alarms.look(now_ms)


def play(script, plans=False):

    async def main():
        bench = Bench(plans)
        script(bench)
        await asyncio.sleep(0.1)
        return bench

    with virtualloop.running(1) as loop:
        return loop.run_until_complete(main())


def test_first_to_find_a_group_silent_asks_and_tells():
    bench = play(lambda bench: bench.fall_silent())
    assert len(bench.keeper.asked) == 4
    assert bench.spoken == 1


def test_whoever_has_heard_of_it_neither_asks_nor_tells():
    """A member dies; each of many nodes notices within some ms.

    Were all of them to ask its sixteen members and to tell all others, one
    death would cost thousands of questions and datagrams.
    """

    def script(bench):
        bench.alarms.hear(peermessage.Alarm(KEY, 10.0, False), "n2",
                          clock.now_ms())
        bench.fall_silent()

    bench = play(script)
    assert not bench.keeper.asked
    assert not bench.spoken


def test_group_that_refuses_is_looked_into_by_its_planner_alone():

    def script(bench):
        bench.alarms.refused(KEY, "runner said 503")

    assert not play(script).keeper.asked
    assert len(play(script, plans=True).keeper.asked) == 4
