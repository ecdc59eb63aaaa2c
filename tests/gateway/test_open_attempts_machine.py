"""State machine test of a stream that several runners may have at once.

Runners and peers bring events, start over, skip events, end, refuse, break,
fall silent and go on, several of them in one iteration of the event loop, while
the context changes, the caller leaves or the deadline passes.
"""

import asyncio
import dataclasses
import types
from unittest import mock

import hypothesis
from hypothesis import stateful, strategies

from cardamommill.domain import clock, model
from cardamommill.experiment import virtualloop
from cardamommill.gateway.requests import attemptresult, silence
from cardamommill.gateway.shell import diversion, relay, targets
from cardamommill.transport import callers, upstream
from tests.gateway import relays
from tests.gateway.shell import test_dispatcher

LAST_EVENT = 6
DEADLINE_MS = 6000.0
NOT_RUN_HEADERS = {"X-Cardamommill-Not-Executed": "1"}
PEERS = [
    targets.PeerTarget(f"p{number}", ("10.0.0.1", number), 7)
    for number in range(4)
]
PLACED = types.SimpleNamespace(
    candidate=types.SimpleNamespace(is_avoided=False),
    is_deferred=False,
    expected=silence.ExpectedTiming(1.0, 1.0, 1.0, 1.0),
    first_event_ms=1.0,
    overhead_ms=0.0)
NOT_RUN = frozenset({attemptresult.Result.NOT_RUN, attemptresult.Result.UNSENT})


class Exchange(relays.FakeExchange):
    """A request at a runner or a peer.

    Attributes:
        has_head: Whether the head of its answer was sent.
        next_id: The next event that it sends.
        has_ended_itself: Whether the runner ended it, not the node.
        was_left_for: Why the node ended it, if it did.
    """

    def __init__(self, node, request, receiver):
        super().__init__(request, receiver)
        self.node = node
        self.has_head = False
        self.next_id = self.after_event + 1
        self.has_ended_itself = False
        self.was_left_for = ""
        self.was_before_start = False
        self.is_dead = False

    @property
    def is_open(self):
        return not self.receiver.done.done()

    def cancel(self):
        super().cancel()
        if not self.has_ended_itself:
            self.was_left_for = self.node.doing
            self.was_before_start = not self.node.reply.started


class Node(relays.FakeNode):
    """Records the attempts that it starts and ends.

    Attributes:
        tasks: All that it has spawned.
        started: The targets of all attempts and hops, in order.
        ended_results: The result of each, by target.
        doing: What happens at the moment.
    """

    def __init__(self, max_attempts):
        super().__init__()
        self.route = dataclasses.replace(self.route, max_attempts=max_attempts)
        self.tasks = []
        self.started = []
        self.ended_results = {}
        self.doing = ""
        self.is_connecting = False
        self.dispatcher = test_dispatcher.Node().requests

    def spawn(self, work):
        self.tasks.append(asyncio.get_running_loop().create_task(work))

    def send(self, address, request, receiver, new_connection=False):
        del address, new_connection
        exchange = Exchange(self, request, receiver)
        exchange.sent = not self.is_connecting
        self.exchanges.append(exchange)
        return exchange

    def find_target(self, one):
        if len(one.hops) < len(self.peers):
            return PEERS[len(one.hops)]
        if len(one.attempted) >= self.groups:
            return relays.NO_GROUP
        number = len(one.attempted)
        return targets.Target(self._known[number],
                              model.GroupKey(f"g{number}", 1), PLACED)

    def on_attempt_start(self, one, target, repeat):
        super().on_attempt_start(one, target, repeat)
        assert target not in self.started
        self.started.append(target)
        self.dispatcher.on_attempt_start(one, target, repeat)

    def on_attempt_end(self, one, target, outcome):
        self._record_end(target, outcome)
        self.dispatcher.on_attempt_end(one, target, outcome)

    def _record_end(self, target, outcome):
        assert target in self.started
        assert target.name not in self.ended_results
        self.ended_results[target.name] = outcome.result

    def on_stream_event(self, one, target):
        self.dispatcher.on_stream_event(one, target)

    def on_hop_start(self, one, target):
        assert target not in self.started
        self.started.append(target)

    def on_hop_end(self, one, target, outcome):
        self._record_end(target, outcome)


class Reply(relays.FakeReply):
    """Also checks that no attempt was given up for its silence."""

    def abort(self):
        super().abort()
        self.on_abort()


which = strategies.integers(0, 3)
actions = strategies.one_of(
    strategies.tuples(strategies.just("events"), which,
                      strategies.integers(1, 3)),
    strategies.tuples(strategies.just("start_over"), which),
    strategies.tuples(strategies.just("skip"), which),
    strategies.tuples(strategies.just("complete"), which),
    strategies.tuples(strategies.just("answer"), which,
                      strategies.sampled_from([500, 503, 429, 404, 201])),
    strategies.tuples(strategies.just("refuse"), which),
    strategies.tuples(strategies.just("cut"), which),
    strategies.tuples(strategies.just("connect"), which, strategies.booleans()),
    strategies.tuples(strategies.just("silent"), which,
                      strategies.sampled_from([False, False, True])),
    strategies.tuples(strategies.just("all_silent")),
    strategies.tuples(strategies.just("restart"), which),
    strategies.tuples(strategies.just("node_cut"),),
    strategies.tuples(strategies.just("hops_silent"),),
)


class OpenAttempts(stateful.RuleBasedStateMachine):
    """A stream whose attempts are silent and go on in any order."""

    @stateful.initialize(max_attempts=strategies.integers(2, 3),
                         peers=strategies.integers(0, 1))
    def begin(self, max_attempts, peers):
        self.patches = [
            mock.patch.object(relay, "_LOG"),
        ]
        self.log = self.patches[0].start()
        self.loop = virtualloop.VirtualLoop(1)
        self.clock = clock.override(self.loop.now_ms)
        self.clock.__enter__()
        self.faults = []
        self.loop.set_exception_handler(
            lambda loop, context: self.faults.append(context))
        self.node = Node(max_attempts)
        self.node.groups = 4
        self.node.peers = PEERS[:peers]
        self.has_left = False
        self.has_completed = False
        # Whether an attempt has brought the whole answer.
        self.is_decided = False
        self.reply = Reply()
        self.reply.on_abort = self.check_abort
        self.node.reply = self.reply
        self.relay = self.loop.run_until_complete(self._begin())
        self.settle()

    async def _begin(self):
        request = callers.CallerRequest(
            "POST", "/v/1", [("X-Cardamommill-Attempt-Id", relays.ATTEMPT_ID)],
            b"", clock.now_ms())
        one = relay.Relay(self.node, request, self.reply)
        one.route = self.node.route
        one.tenant = model.Tenant("t", (), None)
        one.deadline_at_ms = clock.now_ms() + DEADLINE_MS
        self.deadline_at_ms = one.deadline_at_ms
        one.start()
        return one

    def settle(self, seconds=0.0):

        async def wait():
            await asyncio.sleep(seconds)
            for _ in range(12):
                await asyncio.sleep(0)

        self.loop.run_until_complete(wait())

    def choose(self, number):
        found = [each for each in self.node.exchanges if each.is_open]
        return found[number % len(found)] if found else None

    def target_of(self, exchange):
        return self.node.started[self.node.exchanges.index(exchange)]

    def act(self, name, *arguments):
        self.node.doing = name
        if name in ("all_silent", "node_cut", "hops_silent"):
            getattr(self, f"do_{name}")()
        else:
            exchange = self.choose(arguments[0])
            if exchange is not None:
                if not exchange.sent and name not in ("connect", "silent",
                                                      "restart"):
                    exchange.sent = True
                getattr(self, f"do_{name}")(exchange, *arguments[1:])
        self.node.doing = ""

    def do_events(self, exchange, count):
        if not exchange.has_head:
            exchange.has_head = True
            exchange.head(
                200,
                **({
                    "Entry-Hop-Attempts": "1"
                } if isinstance(self.target_of(exchange), targets.PeerTarget)
                   else {}))
        for _ in range(count):
            if exchange.is_open and exchange.next_id <= LAST_EVENT:
                exchange.next_id += 1
                before = len(self.reply.events)
                exchange.event(exchange.next_id - 1)
                if len(self.reply.events) > before:
                    # Events of two runs must not be joined.
                    assert not any(each.is_open and each is not exchange
                                   for each in self.node.exchanges)

    def do_start_over(self, exchange):
        if not exchange.has_head:
            exchange.next_id = 1
            self.do_events(exchange, 2)

    def do_skip(self, exchange):
        # A runner that leaves out the last event can't be told from one whose
        # stream is shorter.
        if self.reply.events and exchange.next_id < LAST_EVENT:
            exchange.next_id += 1
            before = len(self.reply.events)
            self.do_events(exchange, 1)
            if not exchange.is_open and len(self.reply.events) == before:
                exchange.has_ended_itself = True

    def do_complete(self, exchange):
        self.do_events(exchange, LAST_EVENT)
        if exchange.is_open and exchange.next_id > LAST_EVENT:
            exchange.has_ended_itself = True
            if self.reply.events and self.reply.events[-1] == LAST_EVENT:
                self.has_completed = self.is_decided = True
            exchange.complete()

    def do_answer(self, exchange, status):
        if not exchange.has_head:
            exchange.has_head = exchange.has_ended_itself = True
            self.is_decided |= (status in (404, 201) and not self.reply.started)
            exchange.answer(status)

    def do_refuse(self, exchange):
        if not exchange.has_head:
            exchange.has_head = exchange.has_ended_itself = True
            exchange.answer(503, **NOT_RUN_HEADERS)

    def do_cut(self, exchange):
        exchange.has_ended_itself = True
        exchange.cut()

    def do_connect(self, exchange, is_reached):
        if exchange.sent:
            return
        if is_reached:
            exchange.sent = True
        else:
            exchange.has_ended_itself = True
            exchange.receiver.on_end(upstream.Ending.NOT_SENT, "connect")

    def do_silent(self, exchange, is_dead):
        target = self.target_of(exchange)
        if isinstance(target, targets.Target):
            exchange.is_dead |= is_dead
            self.relay.divert("silent", is_dead, target.key)

    def do_all_silent(self):
        self.relay.divert("all are silent")

    def do_restart(self, exchange):
        target = self.target_of(exchange)
        if isinstance(target, targets.Target):
            exchange.has_ended_itself = True
            self.relay.end_attempts_at(target.known.runner.id, "restarted")

    def do_node_cut(self):
        self.relay.leave_runner("this node is cut off")

    def do_hops_silent(self):
        for each in PEERS:
            self.relay.check_hop(each, False, clock.now_ms())

    @stateful.rule(batch=strategies.lists(actions, min_size=1, max_size=3),
                   settles=strategies.booleans())
    def something_happens(self, batch, settles):

        async def run():
            for name, *arguments in batch:
                self.act(name, *arguments)

        self.loop.run_until_complete(run())
        if settles:
            self.settle()
            assert self.node.ends or not self.is_decided

    @stateful.rule(seconds=strategies.sampled_from([0.0, 0.05, 0.3, 1.6]))
    def time_passes(self, seconds):
        self.settle(seconds)

    @stateful.rule(keys_valid=strategies.booleans(),
                   budget=strategies.integers(0, 2),
                   groups=strategies.integers(1, 5),
                   peers=strategies.sampled_from([0, 0, 1, 2, 3]),
                   is_connecting=strategies.booleans())
    def context_changes(self, keys_valid, budget, groups, peers, is_connecting):
        self.node.are_keys_valid = keys_valid
        self.node.repeats_left = budget
        self.node.groups = groups
        self.node.peers = PEERS[:peers]
        self.node.is_connecting = is_connecting

    @stateful.rule(batch=strategies.lists(actions, max_size=1))
    @stateful.precondition(lambda self: len(self.node.exchanges) > 1)
    def caller_leaves(self, batch):

        async def run():
            for name, *arguments in batch:
                self.act(name, *arguments)
            self.has_left = True
            self.relay.caller_left()

        self.loop.run_until_complete(run())
        # A begun stream without an attempt looks for a group at intervals.
        self.settle(2 * diversion.POLL_MS / 1000)
        assert self.node.ends

    def check_abort(self):
        """A begun answer ends early only if all its runners ended it."""
        if self.has_left or clock.now_ms() >= self.deadline_at_ms - 1:
            return
        for each in self.node.exchanges:
            assert each.has_ended_itself or each.was_left_for not in (
                "", "silent", "all_silent", "node_cut",
                "hops_silent") or each.was_before_start, (each.was_left_for,
                                                          self.node.ends)

    @stateful.invariant()
    def caller_gets_each_event_once_in_order(self):
        assert self.reply.events == list(range(1, len(self.reply.events) + 1))

    @stateful.invariant()
    def completed_stream_has_all_events(self):
        if self.reply.ending == "whole" and not self.reply.complete_bodies:
            assert self.has_completed
            assert len(self.reply.events) == LAST_EVENT

    @stateful.invariant()
    def whole_stream_is_not_broken_off(self):
        if self.has_completed and not self.has_left:
            assert self.reply.ending != "broken off"

    @stateful.invariant()
    def end_is_reported_at_most_once(self):
        assert len(self.node.ends) <= 1

    @stateful.invariant()
    def nothing_raises(self):
        assert not self.faults
        assert not self.log.exception.called, self.log.exception.mock_calls
        for each in self.node.tasks:
            if each.done() and not each.cancelled():
                each.result()

    @stateful.invariant()
    def budget_is_kept(self):
        assert self.node.repeats_left >= 0

    @stateful.invariant()
    def request_has_no_more_runs_than_its_route_allows(self):
        runs = 0
        for target, exchange in zip(self.node.started,
                                    self.node.exchanges,
                                    strict=True):
            result = self.node.ended_results.get(target.name)
            if result in NOT_RUN or not exchange.sent:
                continue
            # A group that lost a member before its first event has not run it.
            runs += exchange.has_head or not exchange.is_dead
        assert runs <= self.node.route.max_attempts

    @stateful.invariant()
    def nothing_is_left_after_the_end(self):
        if not self.node.ends:
            return
        assert not any(each.is_open for each in self.node.exchanges)
        assert {each.name for each in self.node.started
               } == set(self.node.ended_results)
        self.settle()
        assert all(each.done() for each in self.node.tasks)
        assert not [
            each for each in self.loop._scheduled if not each.cancelled()
        ]

    @stateful.invariant()
    def dispatcher_knows_exactly_the_open_attempts(self):
        self.settle()
        requests = self.node.dispatcher
        running = {
            each.known.runner.id
            for each in self.node.started
            if isinstance(each, targets.Target) and
            each.name not in self.node.ended_results
        }
        assert len(requests._running) == len(running)
        assert len(requests._unanswered_since_ms) <= len(running)
        assert len(requests.crashes._first_event_ms) <= len(running)
        assert set(requests.restarts._relays) == running
        assert set(requests._plain_runners._in_flight) == running
        keys = {
            each.key for each in self.node.started if
            isinstance(each, targets.Target) and each.known.runner.id in running
        }
        assert set(requests._relays) == keys
        assert set(requests.in_flight_requests.loads()) == keys
        watched = {
            key for key, watch in requests.silence._watches.items()
            if watch.waiting or watch.streaming
        }
        assert watched == keys

    def teardown(self):
        if not hasattr(self, "loop"):
            return
        self.loop.run_until_complete(self._stop())
        self.clock.__exit__(None, None, None)
        self.loop.close()
        for each in self.patches:
            each.stop()

    async def _stop(self):
        self.relay.caller_left()
        for each in self.node.tasks:
            each.cancel()
        await asyncio.gather(*self.node.tasks, return_exceptions=True)


TestOpenAttempts = OpenAttempts.TestCase
TestOpenAttempts.settings = hypothesis.settings(max_examples=300,
                                                stateful_step_count=30,
                                                deadline=None)
