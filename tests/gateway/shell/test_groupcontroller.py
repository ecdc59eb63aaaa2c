"""Tests of orders and probes of runners that restart under their ids."""

import asyncio
import json

import pytest

from cardamommill.domain import clock, model, orders
from cardamommill.experiment import virtualloop
from cardamommill.gateway.groups import planning
from cardamommill.gateway.shell import groupcontroller
from cardamommill.transport import upstream
from tests.gateway import builders

KEY = model.GroupKey("g", 3)
FORMER, NEXT = "i-1@10", "i-1@20"


class FakeRunner:
    """The pool to a runner that answers all requests at its address.

    Attributes:
        requests: The requests that it got.
        before_answer: Called between a request and its answer.
    """

    def __init__(self, **fields):
        self.requests = []
        self.fields = fields
        self.status = 200
        self.before_answer = lambda: None

    def send(self, address, request, receiver, new_connection=False):
        del address, new_connection
        self.requests.append(request.decode())
        exchange = upstream.Exchange(receiver)
        asyncio.get_running_loop().call_later(0.01, self._answer, receiver)
        return exchange

    def _answer(self, receiver):
        self.before_answer()
        receiver.on_head(upstream.Head(self.status, []))
        receiver.on_body(json.dumps(self.fields).encode())
        receiver.on_end(upstream.Ending.COMPLETE, "")


class Harness:
    """A group controller whose view lists one runner, born at 10."""

    def __init__(self, runner):
        self.now_rows = [builders.runner(1, 5, born_ms=10), builders.runner(2)]
        self.view = builders.view(*self.now_rows)
        self.list_reads = 0
        self.controller = groupcontroller.GroupController(
            self.view, runner, "n", lambda *_: None, self._read_list,
            asyncio.get_running_loop().create_task)

    def _read_list(self):
        self.list_reads += 1

    def restart(self):
        self.view.apply_list([builders.runner(1, 6, born_ms=20)],
                             self.view.list_as_of_ms + 500)

    async def order(self, operation=orders.Operation.JOIN):
        self.controller._execute(
            orders.Order(FORMER,
                         operation,
                         KEY,
                         "large", (FORMER, "i-2"),
                         expected_seq=0))
        await asyncio.sleep(1.0)


def run(script):
    with virtualloop.running(1) as loop:
        loop.run_until_complete(script())


def test_order_names_instances_on_the_wire():
    """Runners know no incarnation ids: they would refuse every order."""

    async def main():
        runner = FakeRunner(born=10, seq=0)
        harness = Harness(runner)
        await harness.order()
        head, _, body = runner.requests[0].partition("\r\n\r\n")
        assert "X-Cardamommill-Expect-Instance: i-1\r\n" in head
        assert json.loads(body)["members"] == ["i-1", "i-2"]
        known = harness.view.known[FORMER]
        assert known.membership == builders.member(KEY, 0,
                                                   model.MemberState.JOINING)

    run(main)


def test_order_for_a_former_incarnation_is_not_sent():
    """The next one has begun as many orders as the former at its start."""

    async def main():
        runner = FakeRunner(born=20, seq=0)
        harness = Harness(runner)
        harness.restart()
        await harness.order()
        assert not runner.requests

    run(main)


def test_answer_of_another_incarnation_to_an_order_is_not_applied():
    """The runner restarted and the list doesn't show it yet."""

    async def main():
        harness = Harness(FakeRunner(born=20, seq=1))
        await harness.order()
        known = harness.view.known[FORMER]
        assert known.membership is None and known.orders_begun == 0
        assert known.has_ended and not known.is_usable
        assert harness.list_reads == 1

    run(main)


def test_answer_that_comes_after_the_restart_is_not_applied():
    """The former incarnation accepted an order just before it ended."""

    async def main():
        runner = FakeRunner(born=10, seq=1)
        harness = Harness(runner)
        runner.before_answer = harness.restart
        await harness.order()
        known = harness.view.known[NEXT]
        assert known.membership is None and known.orders_begun == 0
        assert harness.view.known[FORMER].membership is None

    run(main)


class SilentRunner:
    """The pool to a runner whose process answers nothing.

    Attributes:
        is_reachable: Whether its VM takes new connections.
        answering: What serves it once its process goes on; None before.
    """

    def __init__(self, is_reachable):
        self.is_reachable = is_reachable
        self.answering = None

    def send(self, address, request, receiver, new_connection=False):
        if self.answering is not None:
            return self.answering.send(address, request, receiver)
        exchange = upstream.Exchange(receiver)
        if self.is_reachable or not new_connection:
            exchange.connection = upstream.Connection(lambda _: None)
        return exchange


def test_runner_whose_vm_is_gone_is_down():
    """Its reused connection seems to take the request all the same."""

    async def main():
        harness = Harness(SilentRunner(is_reachable=False))
        result = await harness.controller.probe(FORMER, "silent")
        assert result is groupcontroller.ProbeResult.UNREACHABLE
        assert harness.view.known[FORMER].down_ms

    run(main)


def test_runner_that_stands_still_for_a_second_is_not_down():
    """Its group was taken apart, and all its streams were cut."""

    async def main():
        runner = SilentRunner(is_reachable=True)
        harness = Harness(runner)
        result = await harness.controller.probe(FORMER, "silent")
        assert result is groupcontroller.ProbeResult.STANDS_STILL
        await asyncio.sleep(1.2)
        known = harness.view.known[FORMER]
        assert known.still_since_ms and not known.down_ms
        runner.answering = FakeRunner(born=10, seq=0)
        await asyncio.sleep(1.0)
        assert not known.still_since_ms and not known.down_ms

    run(main)


@pytest.mark.parametrize("is_listed", [False, True])
def test_runner_that_stands_still_for_long_is_down(is_listed):
    """Its group would never be formed anew, since nothing else finds it."""

    async def main():
        harness = Harness(SilentRunner(is_reachable=True))
        known = harness.view.known[FORMER]
        await harness.controller.probe(FORMER, "silent")
        known.listed = is_listed
        await asyncio.sleep(1.0)
        assert bool(known.down_ms) is not is_listed
        await asyncio.sleep(4.0)
        assert known.down_ms

    run(main)


def test_report_of_another_incarnation_ends_the_known_one():
    """It is not taken for a runner that is down: its successor lives."""

    async def main():
        harness = Harness(FakeRunner(born=20, seq=7, pace=3.0))
        result = await harness.controller.probe(FORMER, "test")
        assert result is groupcontroller.ProbeResult.UNREACHABLE
        known = harness.view.known[FORMER]
        assert known.has_ended
        assert (known.orders_begun, known.pace) == (0, 1.0)
        assert harness.list_reads == 1

    run(main)


def test_ended_incarnation_is_not_asked_again():
    """The runner at its address answers for the next incarnation."""

    async def main():
        runner = FakeRunner(born=10, seq=7)
        harness = Harness(runner)
        harness.view.record_ended(FORMER, clock.now_ms())
        result = await harness.controller.probe(FORMER, "test")
        assert result is groupcontroller.ProbeResult.UNREACHABLE
        harness.controller._execute(planning.Probe(FORMER, "test"))
        await asyncio.sleep(0.5)
        assert not runner.requests

    run(main)


@pytest.mark.parametrize("runner,fields", [("i-2", {}), (FORMER, {}),
                                           (FORMER, {
                                               "born": 10
                                           }), ("i-2", {
                                               "born": 10
                                           })])
def test_report_that_shows_no_other_incarnation_is_applied(runner, fields):
    """Where either side states no birth, all is as without births."""

    async def main():
        harness = Harness(FakeRunner(seq=7, **fields))
        result = await harness.controller.probe(runner, "test")
        assert result is groupcontroller.ProbeResult.ANSWERED
        assert harness.view.known[runner].orders_begun == 7
        assert not harness.list_reads

    run(main)


@pytest.mark.parametrize("born", [20.0, "20", True, -1])
def test_report_with_a_malformed_birth_is_refused(born):
    """A converted value could end a runner that is alive."""

    async def main():
        harness = Harness(FakeRunner(seq=7, born=born))
        result = await harness.controller.probe(FORMER, "test")
        assert result is groupcontroller.ProbeResult.UNREACHABLE
        known = harness.view.known[FORMER]
        assert not known.has_ended and known.orders_begun == 0

    run(main)
