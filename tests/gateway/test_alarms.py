"""Tests of who looks into groups that fall silent or refuse."""

import asyncio
import types

import pytest

from cardamommill import metrics
from cardamommill.experiment import virtualloop
from cardamommill.gateway import (
    alarms,
    availablegroups,
    clock,
    model,
    peermessage,
    silence,
)
from tests.gateway import builders

KEY = model.GroupKey("g", 1)
OTHER = model.GroupKey("h", 1)
THIRD = model.GroupKey("i", 1)
FOURTH = model.GroupKey("j", 1)
STATE = model.MemberState


def members(key, first, place="a", domain="d0"):
    return [
        builders.runner(first + rank,
                        place=place,
                        domain=domain,
                        served="large",
                        membership=builders.member(
                            key, rank, STATE.READY if rank else STATE.OPEN))
        for rank in range(4)
    ]


class Keeper:
    """Counts questions; all but the dead are answered."""

    def __init__(self, view):
        self.asked = []
        self.dead = set()
        self._view = view

    async def probe(self, runner, reason):
        del reason
        self.asked.append(runner)
        if runner in self.dead:
            self._view.record_no_answer(runner, clock.now_ms())
        return runner not in self.dead


class Relay:
    """A request at a group; keeps why it was asked to leave."""

    def __init__(self):
        self.reasons = []

    def divert(self, reason, is_dead):
        self.reasons.append(reason)
        self.is_dead = is_dead


class Bench:
    """The alarms of one node that sees one group of four.

    Attributes:
        group_controller: Counts questions to members.
        relay: A request at the group.
        spoken: How often all peers were told.
    """

    def __init__(self, plans, domains=("d0", "d0", "d0")):
        keys = (OTHER, THIRD, FOURTH)
        elsewhere = [
            member for number, key in enumerate(keys)
            for member in members(key, 4 + 4 * number, "b", domains[number])
        ]
        self.view = builders.view(*members(KEY, 0), *elsewhere)
        self.group_controller = Keeper(self.view)
        self.relay = Relay()
        self.spoken = 0
        self.requests = types.SimpleNamespace(
            silence=silence.SilenceDetector(),
            available_groups=availablegroups.AvailableGroups(self.view),
            relays_at=lambda key: [self.relay])
        self.alarms = alarms.Alarms(
            self.view, self.requests, self.group_controller, metrics.Metrics(),
            6000.0, lambda key: plans, self._speak,
            lambda work: asyncio.get_running_loop().create_task(work))

    def _speak(self):
        self.spoken += 1

    def fall_silent(self, key=KEY, for_ms=500):
        """Has a request wait for its first event for far too long."""
        now_ms = clock.now_ms()
        expected = silence.ExpectedTiming(40.0, 300.0, 20.0, 100.0)
        self.requests.silence.sent(key, "r1", expected, now_ms - for_ms)
        self.alarms.check_groups(now_ms)

    def is_avoided(self, key=KEY):
        return key in self.avoided

    def look_back(self):
        """Keeps which groups are avoided while the run's clock is read."""
        self.updates = self.alarms.updates_for_peers(clock.now_ms())
        self.avoided = {
            key for key in (KEY, OTHER, THIRD, FOURTH)
            if self.requests.available_groups.is_avoided(key, clock.now_ms())
        }


def play(script, plans=False, then=None, **fields):

    async def main():
        bench = Bench(plans, **fields)
        script(bench)
        await asyncio.sleep(0.1)
        if then is not None:
            await then(bench)
        bench.look_back()
        return bench

    with virtualloop.running(1) as loop:
        return loop.run_until_complete(main())


def test_first_to_find_a_group_silent_asks_and_tells():
    bench = play(lambda bench: bench.fall_silent())
    assert len(bench.group_controller.asked) == 4
    assert bench.spoken == 1


def test_whoever_has_heard_of_it_neither_asks_nor_tells():
    """A member dies; each of many nodes notices within some ms.

    Were all of them to ask its sixteen members and to tell all others, one
    death would cost thousands of questions and datagrams.
    """

    def script(bench):
        bench.alarms.receive(peermessage.Alarm(KEY, 10.0, False), "n2",
                             clock.now_ms())
        bench.fall_silent()

    bench = play(script)
    assert not bench.group_controller.asked
    assert not bench.spoken


def test_group_that_refuses_is_looked_into_by_its_planner_alone():

    def script(bench):
        bench.alarms.refused(KEY, "runner said 503")

    assert not play(script).group_controller.asked
    assert len(play(script, plans=True).group_controller.asked) == 4


def test_silent_group_whose_members_answer_keeps_its_requests():
    """All callers are back at once after a restart of all nodes.

    Their prompts hold each group up for longer than any one node can know.
    Were its requests to leave, their prompts would be read again elsewhere and
    the next group would fall silent.
    """
    bench = play(lambda bench: bench.fall_silent())
    assert bench.group_controller.asked and not bench.relay.reasons
    assert not bench.is_avoided()


def test_requests_leave_a_group_with_a_member_that_does_not_answer():

    def script(bench):
        bench.group_controller.dead = {"i-2"}
        bench.fall_silent()

    bench = play(script)
    assert bench.relay.reasons == ["member does not answer"]
    assert bench.is_avoided()
    assert bench.spoken == 2


def test_requests_leave_a_group_that_stands_still_though_all_answer():
    bench = play(lambda bench: bench.fall_silent(for_ms=1500))
    assert bench.relay.reasons == ["group stands still"]
    assert not bench.relay.is_dead


def test_second_group_down_in_a_data_centre_has_all_its_groups_asked():
    """A data centre is cut off; only two of its groups have requests of here.

    The others look sound until somebody tries them: requests went from each to
    the next until their callers had left.
    """

    def script(bench):
        bench.group_controller.dead = {f"i-{number}" for number in range(4, 16)}
        bench.fall_silent(OTHER)
        bench.fall_silent(THIRD)

    bench = play(script)
    assert bench.is_avoided(FOURTH)
    assert "i-0" not in bench.group_controller.asked


@pytest.mark.parametrize("domains,is_asked", [
    (("d0", "d0", "d1"), False),
    (("d0", "d0", "d0"), True),
    (("d0", "d1", "d2"), True),
])
def test_two_groups_down_in_a_domain_have_that_domain_asked(domains, is_asked):
    """A fabric domain falls dark and two of its groups are found down.

    All runners of the data centre were asked, by each node that found two.
    Where the two share no domain, the data centre may be cut off.
    """

    def script(bench):
        bench.group_controller.dead = {f"i-{number}" for number in range(4, 16)}
        bench.fall_silent(OTHER)
        bench.fall_silent(THIRD)

    bench = play(script, domains=domains)
    assert ("i-12" in bench.group_controller.asked) is is_asked
    assert bench.is_avoided(FOURTH) is is_asked


def test_alarm_of_a_peer_is_no_reason_to_leave_a_group_that_moves():
    """The peer is cut off itself, and finds every group down."""

    def script(bench):
        bench.fall_silent(for_ms=0)
        bench.requests.silence.event(KEY, "r1", clock.now_ms())
        bench.alarms.receive(peermessage.Alarm(KEY, 10.0, True), "n2",
                             clock.now_ms())

    bench = play(script)
    assert not bench.relay.reasons and not bench.is_avoided()


def test_alarm_of_a_peer_that_found_a_member_down_is_heeded_once():

    def script(bench):
        for _ in range(3):
            bench.alarms.receive(peermessage.Alarm(KEY, 10.0, True), "n2",
                                 clock.now_ms())

    bench = play(script)
    assert bench.relay.reasons == ["a peer found a member down"]
    assert bench.is_avoided()


def test_planner_asks_whom_a_peer_found_silent():
    """Asked by the peer a moment ago, 31 of 32 members have answered it."""

    def script(bench):
        bench.group_controller.dead = {"i-2"}
        bench.alarms.receive(peermessage.Alarm(KEY, 10.0, True, ("i-2",)), "n2",
                             clock.now_ms())

    bench = play(script, plans=True)
    assert bench.group_controller.asked == ["i-2"]
    assert bench.view.known["i-2"].down_ms
    (told,) = bench.updates
    assert told.silent == ("i-2",)


def test_runners_of_a_data_centre_that_is_heard_again_are_asked():
    """It was cut off; this node plans for no data centre and found all down.

    Nothing else would tell it that they answer: their groups got no request
    of here again for as long as they stood.
    """

    def script(bench):
        for number in range(4, 16):
            bench.view.record_no_answer(f"i-{number}", clock.now_ms() - 3000)
        bench.alarms.probe_down_runners(clock.now_ms(), "b")
        bench.alarms.probe_down_runners(clock.now_ms(), "b")

    bench = play(script)
    assert sorted(bench.group_controller.asked) == sorted(
        f"i-{number}" for number in range(4, 16))


def test_runner_that_is_down_and_still_listed_is_asked_again_in_time():
    """A lost packet was taken for its death; no planner of here asks it."""

    def script(bench):
        now_ms = clock.now_ms()
        bench.view.record_no_answer("i-0", now_ms)
        bench.alarms.probe_down_runners(now_ms + 1000)
        assert not bench.group_controller.asked
        bench.alarms.probe_down_runners(now_ms + 3100)

    assert play(script).group_controller.asked == ["i-0"]


def test_dead_groups_are_asked_and_told_of_once():
    """Two groups of a data centre lose a member within 0.5 s.

    Each has all groups there asked. Asked themselves, the dead ones do not
    answer again; were that news, each would have all asked anew, and every node
    told, for as long as the dead are remembered.
    """

    def script(bench):
        bench.group_controller.dead = {f"i-{number}" for number in range(4, 12)}
        bench.fall_silent(OTHER)
        bench.fall_silent(THIRD)

    async def asks_in_turn(bench):
        for _ in range(20):
            await asyncio.sleep(0.3)
            for key in (OTHER, THIRD, FOURTH):
                bench.alarms.probe(key, "asked")

    bench = play(script, then=asks_in_turn)
    assert bench.spoken == 4
    assert sum(reason == "member does not answer"
               for reason in bench.relay.reasons) >= 2


def test_what_is_old_is_forgotten():
    """A node lives for months, and each group has a name of its own.

    What is kept of each that ever fell silent would fill the process.
    """

    def script(bench):
        bench.group_controller.dead = {"i-0"}
        bench.alarms.receive(peermessage.Alarm(OTHER, 10.0, False), "n2",
                             clock.now_ms())
        bench.fall_silent()

    def kept(bench):
        return [
            bench.alarms._alarms, bench.alarms._probed_ms,
            bench.alarms._asked_by_peer_ms
        ]

    bench = play(script)
    known_ms = max(bench.alarms._probed_ms.values())
    bench.alarms.drop_expired(known_ms + alarms.FORGET_MS - 200)
    assert all(kept(bench))
    bench.alarms.drop_expired(known_ms + alarms.FORGET_MS + 200)
    assert not any(kept(bench))
