"""Tests of what nodes find out and tell each other of crashes."""

import asyncio
import dataclasses

import msgpack
import pytest

from cardamommill import metrics
from cardamommill.domain import clock, model
from cardamommill.gateway.fleet import isolation
from cardamommill.gateway.nodes import peermessage
from cardamommill.gateway.requests import attemptresult, quarantine
from cardamommill.gateway.shell import attempts, crashes, crashmessages, targets
from tests.gateway import builders
from tests.gateway.nodes import test_peers

KEY = model.GroupKey("g", 1)
BROKEN = attempts.Outcome(attemptresult.Result.BROKEN, "closed")
WHOLE = attempts.Outcome(attemptresult.Result.STREAMED)


@dataclasses.dataclass(eq=False)
class Request:
    """What is needed of a relay."""

    digest: int
    part_digests: tuple[int, ...] = ()


class Node:
    """What one node knows of crashes; time is given to each step."""

    def __init__(self):
        self.isolation = isolation.Isolation()
        self.work = []
        self.crashes = crashes.Crashes(self.isolation, metrics.Metrics(),
                                       self.work.append)

    def end(self, digest, target, outcome, at_ms, first_event_ms=None):
        one = Request(digest)
        if first_event_ms is not None:
            self.crashes.first_event(one, target, first_event_ms)
        self.crashes.attempt_ended(one, target, outcome, at_ms)

    def crash(self, number, digests, at_ms):
        """Lets a head end under some requests, and its end be noticed."""
        target = head(number)
        for digest in digests:
            self.end(digest, target, BROKEN, at_ms)
        target.known.down_ms = at_ms
        self.crashes.check(at_ms + 20)

    def decide(self, at_ms):
        self.crashes.check(at_ms + crashes.SETTLE_MS + 20)

    def left_ms(self, digest, at_ms):
        with clock.override(lambda: at_ms):
            return self.crashes.quarantine_left_ms(Request(digest))

    def tell(self, other, at_ms, is_remote=False):
        message = test_peers.message("n",
                                     "a",
                                     sections=self.crashes.sections(at_ms))
        return other.crashes.receive(message, is_remote, at_ms)


def head(number):
    known = next(iter(builders.view(builders.runner(number)).known.values()))
    return targets.Target(known, KEY)


def test_nodes_find_together_what_each_saw_once():
    """Each copy of the request reached another node."""
    nodes = [Node() for _ in range(3)]
    for number, node in enumerate(nodes):
        at_ms = 1000.0 + 2000 * number
        node.crash(number, [7, 10 + number, 20 + number], at_ms)
        for other in nodes:
            node.tell(other, at_ms + 30)
    for node in nodes:
        node.decide(5100.0)
        assert node.left_ms(7, 6000.0) > 0
        assert not node.left_ms(10, 6000.0)


@pytest.mark.parametrize("is_down,is_isolated,first_event_ms", [
    (False, False, None),
    (True, True, None),
    (True, False, 1.0),
],
                         ids=["alive", "isolated", "ran-long"])
def test_broken_attempt_is_no_crash_under_the_request(is_down, is_isolated,
                                                      first_event_ms):
    """Connections break for other reasons than the end of the runner."""
    node = Node()
    for number in range(3):
        target, at_ms = head(number), 1000.0 * (number + 1)
        node.end(7, target, BROKEN, at_ms, first_event_ms)
        target.known.down_ms = at_ms if is_down else 0.0
        if is_isolated:
            for domain in "de":
                node.isolation.record_unreachable(
                    list(
                        builders.view(builders.runner(
                            1, domain=domain)).known.values()), at_ms)
        node.crashes.check(at_ms + 20)
    node.decide(4000.0)
    assert not node.left_ms(7, 5000.0)


def crash_in_isolation(node, number, at_ms):
    """Lets all runners of a small service end, and the node doubt its link."""
    target = head(number)
    node.end(7, target, BROKEN, at_ms)
    target.known.down_ms = at_ms
    node.isolation.record_no_connection(at_ms)
    node.crashes.check(at_ms + 20)
    return target.known


@pytest.mark.parametrize("is_leaving", [False, True])
def test_crash_counts_for_a_node_that_seemed_cut_off_when_the_list_shows_it(
        is_leaving):
    """All runners of a small service had crashed at once."""
    node = Node()
    for number in range(3):
        known = crash_in_isolation(node, number, 1000.0 + 4000 * number)
        known.has_reported_leaving = is_leaving
        known.listed = False
        node.crashes.check(4600.0 + 4000 * number)
    node.decide(12_700.0)
    assert bool(node.left_ms(7, 13_000.0)) is not is_leaving


def test_crash_counts_for_a_node_that_seemed_cut_off_when_a_peer_saw_it():
    node, peer = Node(), Node()
    for number in range(3):
        at_ms = 1000.0 + 4000 * number
        peer.crash(number, [10 + number], at_ms)
        crash_in_isolation(node, number, at_ms)
        peer.tell(node, at_ms + 50)
        node.crashes.check(at_ms + 70)
    node.decide(9100.0)
    assert node.left_ms(7, 10_000.0)


def test_crash_counts_for_a_node_that_a_peer_told_of_it_first():
    """It does not ask the runner itself then, so it sees no failed query."""
    node, peer = Node(), Node()
    for number in range(3):
        at_ms = 1000.0 + 4000 * number
        peer.crash(number, [10 + number], at_ms)
        node.end(7, head(number), BROKEN, at_ms)
        peer.tell(node, at_ms + 50)
        node.crashes.check(at_ms + 70)
    node.decide(9100.0)
    assert node.left_ms(7, 10_000.0)


def test_crash_in_doubt_is_forgotten_and_leaves_room_for_others():
    node = Node()
    for number in range(2 * crashes.MAX_PENDING):
        crash_in_isolation(node, number, 1000.0)
    assert len(node.crashes._broken) == crashes.MAX_PENDING
    node.crashes.check(1001.0 + crashes.DOUBT_MS)
    assert not node.crashes._broken
    assert not node.crashes.sections(1001.0 + crashes.DOUBT_MS)


def test_runner_that_answers_again_did_not_crash():
    node = Node()
    for number in range(2):
        node.crash(number, [7], 1000.0 * (number + 1))
    target = head(2)
    node.end(7, target, BROKEN, 3000.0)
    target.known.down_ms = 3000.0
    node.crashes.check(3020.0)
    target.known.down_ms, target.known.recovered_ms = 0.0, 3100.0
    node.crashes.drop_expired(3110.0)
    node.decide(3200.0)
    assert not node.left_ms(7, 4000.0)


def test_run_as_a_whole_clears_the_request_on_all_nodes():
    """It was beside the request to blame each time, and runs on elsewhere."""
    first, second = Node(), Node()
    for number in range(3):
        first.crash(number, [7], 1000.0 + 100 * number)
    first.decide(1300.0)
    assert first.tell(second, 1600.0)
    assert second.left_ms(7, 1700.0)
    second.end(7, head(5), WHOLE, 1800.0)
    assert second.tell(first, 1810.0)
    assert not first.left_ms(7, 1900.0)
    first.tell(second, 1950.0)
    assert not second.left_ms(7, 2000.0)


def test_nodes_that_missed_all_reports_are_told_of_the_decision():
    node, late = Node(), Node()
    for number in range(3):
        node.crash(number, [7], 1000.0 + 100 * number)
    node.decide(1300.0)
    later_ms = 60_000.0
    node.tell(late, later_ms)
    assert late.left_ms(7, later_ms) == pytest.approx(quarantine.QUARANTINE_MS -
                                                      (later_ms - 1520),
                                                      abs=100)


def test_crashes_in_a_remote_data_centre_are_passed_on():
    there, reporter, here = Node(), Node(), Node()
    there.crash(1, [7], 1000.0)
    assert there.tell(reporter, 1030.0, is_remote=True)
    assert reporter.tell(here, 1040.0)
    assert not here.crashes.sections(1050.0)


def test_sections_leave_room_for_others():
    """Twenty requests at each of ten runners, and many decisions."""
    node = Node()
    for number in range(10):
        node.crash(number, range(2**60, 2**60 + 20), 1000.0)
    for number in range(100):
        node.crashes.restore([quarantine.Decision(2**60 + number, 900.0)],
                             1000.0)
    heard = Node()
    for step in range(60):
        at_ms = 1030.0 + step
        sections = node.crashes.sections(at_ms)
        assert len(msgpack.packb(sections)) <= peermessage.MAX_SECTIONS_BYTES
        node.tell(heard, at_ms)
    assert len(heard.crashes.quarantine) == 100
    assert all(
        len(crash.accused) == 20
        for crash in heard.crashes._causes._crashes.values())


@pytest.mark.parametrize("told", [
    7, "x", [7], [[1]], [[1, -1, [2]]], [["a", 1, [2]]], [[1, 2, 3]],
    [[1, None, True]], None
])
@pytest.mark.parametrize("section", [
    crashmessages.CRASHES_SECTION, crashmessages.PARTS_SECTION,
    crashmessages.QUARANTINE_SECTION
])
def test_malformed_section_changes_nothing(section, told):
    node = Node()
    message = test_peers.message("n", "a", sections={section: told})
    assert not node.crashes.receive(message, False, 1000.0)
    assert not node.crashes.sections(1000.0)


@pytest.mark.parametrize("is_listening", [False, True])
def test_plain_runner_that_refuses_connections_has_crashed(is_listening):
    """Nothing else asks it: it is no member of a group."""
    node = Node()

    async def run():
        server = await asyncio.start_server(lambda *_: None, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        if not is_listening:
            server.close()
            await server.wait_closed()
        found = head(1).known
        runner = dataclasses.replace(found.runner, host="127.0.0.1", port=port)
        known = dataclasses.replace(found, runner=runner)
        node.end(7, targets.Target(known), BROKEN, 1000.0)
        await node.work.pop()
        server.close()

    asyncio.run(run())
    node.crashes.check(1020.0)
    assert bool(node.crashes.sections(1030.0)) is not is_listening
