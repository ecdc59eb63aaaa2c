"""State machine test of a stream whose runners fail in any order.

Runners break the connection, start over, skip events, answer in one piece with
a success or a failure, refuse, or fall silent. Keys, retry budget and groups
become unavailable and available again. The caller must get one head and each
event once, in order, or learn that the stream is incomplete; it must get
nothing else.
"""

import asyncio

import hypothesis
from hypothesis import stateful, strategies

from tests.gateway import relays

LAST_EVENT = 6
NOT_RUN_HEADERS = {"X-Cardamommill-Not-Executed": "1"}


class Stream(stateful.RuleBasedStateMachine):
    """A stream that one runner at a time serves."""

    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.node = relays.FakeNode()
        self.relay = self.loop.run_until_complete(self._begin())
        self.reply = self.relay.reply
        self.completed = False
        self.next_id = {}
        self.with_head = set()
        self.run_loop()

    async def _begin(self):
        return relays.begin(self.node)

    def run_loop(self):

        async def wait():
            for _ in range(5):
                await asyncio.sleep(0)

        self.loop.run_until_complete(wait())

    @property
    def open(self):
        """The current exchange, or None if it has ended."""
        last = self.node.exchanges[-1]
        if last.cancelled or last.receiver.done.done() or self.reply.ended:
            return None
        return last

    def _run_on_open_exchange(self, action):
        exchange = self.open
        if exchange is not None:

            async def run():
                action(exchange)

            self.loop.run_until_complete(run())
        self.run_loop()

    def _send_events(self, exchange, count, skip=0):
        if exchange not in self.with_head:
            self.with_head.add(exchange)
            exchange.head(200)
        at = self.next_id.get(exchange, exchange.after_event + 1) + skip
        for number in range(at, min(at + count, LAST_EVENT + 1)):
            exchange.event(number)
        self.next_id[exchange] = min(at + count, LAST_EVENT + 1)

    @stateful.rule(count=strategies.integers(1, 3))
    def events(self, count):
        self._run_on_open_exchange(
            lambda exchange: self._send_events(exchange, count))

    @stateful.rule()
    def runner_starts_over(self):

        def action(exchange):
            self.next_id.setdefault(exchange, 1)
            self._send_events(exchange, 2)

        self._run_on_open_exchange(action)

    @stateful.rule()
    def runner_skips_an_event(self):
        # The protocol does not define the first id, so a gap can be noticed
        # only after an event.
        def action(exchange):
            if self.reply.events:
                self._send_events(exchange, 1, skip=1)

        self._run_on_open_exchange(action)

    @stateful.rule()
    def runner_completes_the_stream(self):

        def action(exchange):
            self._send_events(exchange, LAST_EVENT)
            if not exchange.receiver.done.done():
                self.completed = True
                exchange.complete()

        self._run_on_open_exchange(action)

    @stateful.rule(status=strategies.sampled_from([500, 503, 429, 404, 201]))
    def runner_answers_in_one_piece(self, status):

        def action(exchange):
            if exchange not in self.with_head:
                exchange.answer(status)

        self._run_on_open_exchange(action)

    @stateful.rule()
    def runner_refuses(self):

        def action(exchange):
            if exchange not in self.with_head:
                exchange.answer(503, **NOT_RUN_HEADERS)

        self._run_on_open_exchange(action)

    @stateful.rule()
    def runner_connection_breaks(self):
        self._run_on_open_exchange(lambda exchange: exchange.cut())

    @stateful.rule()
    def group_falls_silent(self):
        self._run_on_open_exchange(
            lambda exchange: self.relay.divert("group silent"))

    @stateful.rule(keys_valid=strategies.booleans(),
                   budget=strategies.integers(0, 2),
                   groups=strategies.integers(1, 4))
    def context_changes(self, keys_valid, budget, groups):
        self.node.are_keys_valid = keys_valid
        self.node.repeats_left = budget
        self.node.groups = groups

    @stateful.invariant()
    def caller_gets_each_event_once_in_order(self):
        assert self.reply.events == list(range(1, len(self.reply.events) + 1))

    @stateful.invariant()
    def completed_stream_has_all_events(self):
        if self.reply.ending == "whole" and not self.reply.complete_bodies:
            assert self.completed
            assert self.reply.events == list(range(1, LAST_EVENT + 1))

    @stateful.invariant()
    def end_is_reported_at_most_once(self):
        assert len(self.node.ends) <= 1

    @stateful.invariant()
    def serving_task_does_not_raise(self):
        if self.node.task.done():
            self.node.task.result()

    def teardown(self):
        self.loop.run_until_complete(self._stop())
        self.loop.close()

    async def _stop(self):
        self.relay.caller_left()
        self.node.task.cancel()
        await asyncio.gather(self.node.task, return_exceptions=True)


TestStream = Stream.TestCase
TestStream.settings = hypothesis.settings(max_examples=60,
                                          stateful_step_count=30,
                                          deadline=None)
