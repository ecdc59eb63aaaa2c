"""A stream whose runners fail in any order, as its caller sees it.

Runners cut it, begin anew, skip events, answer with a failure or with another
whole answer, refuse, fall silent; keys, budget and groups come and go. The
caller gets one head and each event once, in order, or learns that the stream is
not whole; nothing else may come within it.
"""

import asyncio

import hypothesis
from hypothesis import stateful, strategies

from tests.gateway import relays

LAST = 6
NOT_RUN = {"X-Cardamommill-Not-Executed": "1"}


class Stream(stateful.RuleBasedStateMachine):
    """One request, at one runner at a time."""

    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.node = relays.FakeNode()
        self.relay = self.loop.run_until_complete(self._begin())
        self.reply = self.relay.reply
        self.ended_well = False
        self.next_id = {}
        self.headed = set()
        self.settle()

    async def _begin(self):
        return relays.begin(self.node)

    def settle(self):

        async def wait():
            for _ in range(5):
                await asyncio.sleep(0)

        self.loop.run_until_complete(wait())

    @property
    def open(self):
        last = self.node.exchanges[-1]
        if last.cancelled or last.receiver.done.done() or self.reply.ended:
            return None
        return last

    def _act(self, act):
        exchange = self.open
        if exchange is not None:

            async def run():
                act(exchange)

            self.loop.run_until_complete(run())
        self.settle()

    def _events(self, exchange, count, skip=0):
        if exchange not in self.headed:
            self.headed.add(exchange)
            exchange.head(200)
        at = self.next_id.get(exchange, exchange.after_event + 1) + skip
        for number in range(at, min(at + count, LAST + 1)):
            exchange.event(number)
        self.next_id[exchange] = min(at + count, LAST + 1)

    @stateful.rule(count=strategies.integers(1, 3))
    def events(self, count):
        self._act(lambda exchange: self._events(exchange, count))

    @stateful.rule()
    def runner_begins_anew(self):

        def act(exchange):
            self.next_id.setdefault(exchange, 1)
            self._events(exchange, 2)

        self._act(act)

    @stateful.rule()
    def runner_leaves_an_event_out(self):
        # Which id is the first one the protocol does not say.
        def act(exchange):
            if self.reply.events:
                self._events(exchange, 1, skip=1)

        self._act(act)

    @stateful.rule()
    def runner_ends_well(self):

        def act(exchange):
            self._events(exchange, LAST)
            if not exchange.receiver.done.done():
                self.ended_well = True
                exchange.complete()

        self._act(act)

    @stateful.rule(status=strategies.sampled_from([500, 503, 429, 404, 201]))
    def runner_gives_a_whole_answer(self, status):

        def act(exchange):
            if exchange not in self.headed:
                exchange.answer(status)

        self._act(act)

    @stateful.rule()
    def runner_refuses(self):

        def act(exchange):
            if exchange not in self.headed:
                exchange.answer(503, **NOT_RUN)

        self._act(act)

    @stateful.rule()
    def runner_is_cut(self):
        self._act(lambda exchange: exchange.cut())

    @stateful.rule()
    def group_is_silent(self):
        self._act(lambda exchange: self.relay.divert("group silent"))

    @stateful.rule(hold=strategies.booleans(),
                   budget=strategies.integers(0, 2),
                   groups=strategies.integers(1, 4))
    def surroundings_change(self, hold, budget, groups):
        self.node.are_keys_valid = hold
        self.node.repeats_left = budget
        self.node.groups = groups

    @stateful.invariant()
    def caller_gets_each_event_once_in_order(self):
        assert self.reply.events == list(range(1, len(self.reply.events) + 1))

    @stateful.invariant()
    def whole_stream_is_whole(self):
        if self.reply.ending == "whole" and not self.reply.complete_bodies:
            assert self.ended_well
            assert self.reply.events == list(range(1, LAST + 1))

    @stateful.invariant()
    def one_end_is_told(self):
        assert len(self.node.ends) <= 1

    @stateful.invariant()
    def serving_does_not_fail(self):
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
