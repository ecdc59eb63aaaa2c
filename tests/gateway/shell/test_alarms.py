"""Tests of alarms about groups that fall silent or refuse requests."""

import asyncio
import types

import pytest

from cardamommill import metrics
from cardamommill.domain import clock, model
from cardamommill.experiment import virtualloop
from cardamommill.gateway.fleet import availablegroups, isolation
from cardamommill.gateway.nodes import peermessage
from cardamommill.gateway.requests import silence
from cardamommill.gateway.shell import alarms, groupcontroller
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


class FakeGroupController:
    """Records probes; all runners answer but the dead and the still ones."""

    def __init__(self, view):
        self.probed = []
        self.dead = set()
        self.still = set()
        self._view = view

    async def probe(self, runner, reason):
        del reason
        self.probed.append(runner)
        if runner in self.dead:
            self._view.record_no_answer(runner, clock.now_ms())
            return groupcontroller.ProbeResult.UNREACHABLE
        if runner in self.still:
            return groupcontroller.ProbeResult.STANDS_STILL
        return groupcontroller.ProbeResult.ANSWERED


class FakeLink:
    """The link to runners elsewhere, sound unless the test says otherwise."""

    def __init__(self):
        self.sound = True

    async def is_sound(self, unreachable):
        del unreachable
        return self.sound

    def update(self, now_ms):
        pass


class FakeRelay:
    """A request at a group; records the reasons for which it is diverted."""

    def __init__(self):
        self.reasons = []

    def divert(self, reason, is_dead, key):
        del key
        self.reasons.append(reason)
        self.is_dead = is_dead


class AlarmsFixture:
    """The alarms of one node with four groups of four members each.

    Attributes:
        group_controller: Records probes of members.
        relay: A request at each group.
        update_count: How many urgent updates were sent to peers.
    """

    def __init__(self, plans, domains=("d0", "d0", "d0")):
        keys = (OTHER, THIRD, FOURTH)
        elsewhere = [
            member for number, key in enumerate(keys)
            for member in members(key, 4 + 4 * number, "b", domains[number])
        ]
        self.view = builders.view(*members(KEY, 0), *elsewhere)
        self.group_controller = FakeGroupController(self.view)
        self.relay = FakeRelay()
        self.update_count = 0
        self.requests = types.SimpleNamespace(
            silence=silence.SilenceDetector(),
            available_groups=availablegroups.AvailableGroups(self.view),
            relays_at=lambda key: [self.relay],
            isolation=isolation.Isolation(),
            link=FakeLink(),
            restarts=types.SimpleNamespace())
        self.alarms = alarms.Alarms(
            self.view, self.requests, self.group_controller, metrics.Metrics(),
            6000.0, lambda key: plans, self._count_update,
            lambda work: asyncio.get_running_loop().create_task(work))

    def _count_update(self):
        self.update_count += 1

    def fall_silent(self, key=KEY, for_ms=500):
        """Makes a group silent: a request's first event is long overdue."""
        now_ms = clock.now_ms()
        expected = silence.ExpectedTiming(40.0, 300.0, 20.0, 100.0)
        self.requests.silence.sent(key, "r1", expected, now_ms - for_ms)
        self.alarms.check_groups(now_ms)

    def is_avoided(self, key=KEY):
        return key in self.avoided

    def take_snapshot(self):
        """Stores the alarms and avoided groups while the virtual clock runs."""
        self.updates = self.alarms.updates_for_peers(clock.now_ms())
        self.avoided = {
            key for key in (KEY, OTHER, THIRD, FOURTH)
            if self.requests.available_groups.is_avoided(key, clock.now_ms())
        }


def run(script, plans=False, after_script=None, **fields):

    async def main():
        bench = AlarmsFixture(plans, **fields)
        script(bench)
        await asyncio.sleep(0.1)
        if after_script is not None:
            await after_script(bench)
        bench.take_snapshot()
        return bench

    with virtualloop.running(1) as loop:
        return loop.run_until_complete(main())


def test_first_node_to_find_a_silent_group_probes_and_reports_it():
    bench = run(lambda bench: bench.fall_silent())
    assert len(bench.group_controller.probed) == 4
    assert bench.update_count == 1


def test_node_that_received_an_alarm_neither_probes_nor_reports():
    """A member fails, and many nodes notice it within a few milliseconds.

    If each of them probed the group's sixteen members and alerted all nodes,
    one failure would cost thousands of probes and datagrams.
    """

    def script(bench):
        bench.alarms.receive(peermessage.Alarm(KEY, 10.0, False), "n2",
                             clock.now_ms())
        bench.fall_silent()

    bench = run(script)
    assert not bench.group_controller.probed
    assert not bench.update_count


def test_refusing_group_is_probed_by_its_planner_only():

    def script(bench):
        bench.alarms.refused(KEY, "runner said 503")

    assert not run(script).group_controller.probed
    assert len(run(script, plans=True).group_controller.probed) == 4


def test_silent_group_whose_members_answer_keeps_its_requests():
    """After a restart of all nodes, all callers return at once.

    Their prompts delay each group for longer than a single node can know. If
    requests were diverted, their prompts would be read again in another group,
    which would fall silent in turn.
    """
    bench = run(lambda bench: bench.fall_silent())
    assert bench.group_controller.probed and not bench.relay.reasons
    assert not bench.is_avoided()


def test_requests_are_diverted_when_a_member_does_not_answer():

    def script(bench):
        bench.group_controller.dead = {"i-2"}
        bench.fall_silent()

    bench = run(script)
    assert bench.relay.reasons == ["member does not answer"]
    assert bench.is_avoided()
    assert bench.update_count == 2


def test_requests_are_diverted_from_a_stalled_group():
    bench = run(lambda bench: bench.fall_silent(for_ms=1500))
    assert bench.relay.reasons == ["group stands still"]
    assert not bench.relay.is_dead


def test_group_of_a_member_that_stands_still_is_left_but_not_given_up_for_dead(
):
    """A process that was stopped for a second had its group taken apart."""

    def script(bench):
        bench.group_controller.still = {"i-2"}
        bench.fall_silent()

    bench = run(script)
    assert bench.relay.reasons == ["member stands still"]
    assert not bench.relay.is_dead
    assert bench.is_avoided()
    # Peers are told that it is silent, not that a member is down.
    assert bench.update_count == 1


def test_two_groups_down_have_their_data_centre_probed():
    """A data centre is cut off while two of its groups have local requests.

    Without probes, its other groups look healthy until a request is sent there,
    and requests would be diverted from one to the next until their callers
    have left.
    """

    def script(bench):
        bench.group_controller.dead = {f"i-{number}" for number in range(4, 16)}
        bench.fall_silent(OTHER)
        bench.fall_silent(THIRD)

    bench = run(script)
    assert bench.is_avoided(FOURTH)
    assert "i-0" not in bench.group_controller.probed


@pytest.mark.parametrize("domains,is_probed", [
    (("d0", "d0", "d1"), False),
    (("d0", "d0", "d0"), True),
    (("d0", "d1", "d2"), True),
])
def test_two_groups_down_in_a_domain_have_only_that_domain_probed(
        domains, is_probed):
    """A fabric domain fails, and two of its groups are found down.

    If the two groups share that domain, probing all runners of the data centre
    is needless, and each node that found the two groups down would do so. If
    they share no domain, the data centre may be cut off.
    """

    def script(bench):
        bench.group_controller.dead = {f"i-{number}" for number in range(4, 16)}
        bench.fall_silent(OTHER)
        bench.fall_silent(THIRD)

    bench = run(script, domains=domains)
    assert ("i-12" in bench.group_controller.probed) is is_probed
    assert bench.is_avoided(FOURTH) is is_probed


def test_alarm_is_ignored_for_a_group_with_recent_events():
    """An isolated peer finds every group down."""

    def script(bench):
        bench.fall_silent(for_ms=0)
        bench.requests.silence.event(KEY, "r1", clock.now_ms())
        bench.alarms.receive(peermessage.Alarm(KEY, 10.0, True), "n2",
                             clock.now_ms())

    bench = run(script)
    assert not bench.relay.reasons and not bench.is_avoided()


def test_confirmed_alarm_takes_effect_once():

    def script(bench):
        for _ in range(3):
            bench.alarms.receive(peermessage.Alarm(KEY, 10.0, True), "n2",
                                 clock.now_ms())

    bench = run(script)
    assert bench.relay.reasons == ["a peer found a member down"]
    assert bench.is_avoided()


def test_planner_probes_members_that_a_peer_found_silent():
    """A peer has probed a group of 32 members, and 31 of them answered it.

    Probing these again would be needless.
    """

    def script(bench):
        bench.group_controller.dead = {"i-2"}
        bench.alarms.receive(peermessage.Alarm(KEY, 10.0, True, ("i-2",)), "n2",
                             clock.now_ms())

    bench = run(script, plans=True)
    assert bench.group_controller.probed == ["i-2"]
    assert bench.view.known["i-2"].down_ms
    (told,) = bench.updates
    assert told.silent == ("i-2",)


def test_runners_of_a_returning_data_centre_are_probed_once():
    """The data centre was cut off, and this node marked its runners as down.

    The node is no planner, so nothing else shows it that they answer again, and
    their groups would get no more requests from it.
    """

    def script(bench):
        for number in range(4, 16):
            bench.view.record_no_answer(f"i-{number}", clock.now_ms() - 3000)
        bench.alarms.probe_down_runners(clock.now_ms(), "b")
        bench.alarms.probe_down_runners(clock.now_ms(), "b")

    bench = run(script)
    assert sorted(bench.group_controller.probed) == sorted(
        f"i-{number}" for number in range(4, 16))


def test_listed_runner_that_is_down_is_probed_again():
    """A lost packet made it look dead, and this node is no planner."""

    def script(bench):
        now_ms = clock.now_ms()
        bench.view.record_no_answer("i-0", now_ms)
        bench.alarms.probe_down_runners(now_ms + 1000)
        assert not bench.group_controller.probed
        bench.alarms.probe_down_runners(now_ms + 3100)

    assert run(script).group_controller.probed == ["i-0"]


def test_dead_groups_are_reported_once():
    """Two groups of a data centre lose a member within 0.5 s.

    This causes probes of all groups there, including the two dead ones. If
    their repeated failure to answer counted as new, it would cause further
    probes and reports to all nodes until the dead members expire.
    """

    def script(bench):
        bench.group_controller.dead = {f"i-{number}" for number in range(4, 12)}
        bench.fall_silent(OTHER)
        bench.fall_silent(THIRD)

    async def probe_repeatedly(bench):
        for _ in range(20):
            await asyncio.sleep(0.3)
            for key in (OTHER, THIRD, FOURTH):
                bench.alarms.probe(key, "asked")

    bench = run(script, after_script=probe_repeatedly)
    assert bench.update_count == 4
    assert sum(reason == "member does not answer"
               for reason in bench.relay.reasons) >= 2


def test_old_entries_are_dropped():
    """A node runs for months, and each group has a unique name.

    Without expiry, entries of all groups ever silent would exhaust its memory.
    """

    def script(bench):
        bench.group_controller.dead = {"i-0"}
        bench.alarms.receive(peermessage.Alarm(OTHER, 10.0, False), "n2",
                             clock.now_ms())
        bench.fall_silent()

    def kept(bench):
        return [
            bench.alarms._alarms, bench.alarms._probed_ms,
            bench.alarms._probed_by_peer_ms
        ]

    bench = run(script)
    known_ms = max(bench.alarms._probed_ms.values())
    bench.alarms.drop_expired(known_ms + alarms.EXPIRY_MS - 200)
    assert all(kept(bench))
    bench.alarms.drop_expired(known_ms + alarms.EXPIRY_MS + 200)
    assert not any(kept(bench))


def test_group_of_a_restarted_member_is_given_up_without_a_probe():
    """All nodes learn of the restart from the list, at about the same time.

    If each of them probed the group's members, one restart would cost as many
    probes as there are nodes and members.
    """

    def script(bench):
        bench.requests.restarts.on_lost_member(KEY, "member restarted")

    bench = run(script)
    assert bench.is_avoided()
    assert bench.relay.reasons == ["member restarted"] and bench.relay.is_dead
    assert not bench.group_controller.probed and not bench.update_count


@pytest.mark.parametrize("answering,is_suspected", [(0, True), (1, False)])
def test_node_that_reaches_no_member_of_two_groups_suspects_itself(
        answering, is_suspected):
    """Its link is cut: it must not take all groups for dead.

    Where one member of a group answers, the link works.
    """

    def script(bench):
        runners = list(bench.view.known)
        bench.group_controller.dead = set(runners) - set(runners[:answering])
        bench.fall_silent(OTHER)
        bench.fall_silent(KEY)

    bench = run(script)
    assert bench.requests.isolation.is_suspected(200.0) is is_suspected


def test_node_that_is_cut_off_raises_no_alarm():
    """Its peers gave up groups that served all their requests."""

    def script(bench):
        bench.requests.link.sound = False
        bench.group_controller.dead = set(bench.view.known)
        bench.fall_silent()

    bench = run(script)
    assert not bench.updates
    assert not bench.relay.reasons


def test_groups_are_used_again_once_the_link_is_back():
    """The marks of a cut would last for seconds after it."""

    def script(bench):
        bench.group_controller.dead = {f"i-{number}" for number in range(4)}
        bench.fall_silent()

    async def after_script(bench):
        bench.group_controller.dead.clear()
        assert bench.requests.available_groups.is_avoided(KEY, clock.now_ms())
        bench.alarms.probe_avoided_groups()
        await asyncio.sleep(0.1)

    assert not run(script, after_script=after_script).is_avoided()
