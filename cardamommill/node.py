"""The process of an entry VM: all parts of a node, wired together."""

from concurrent import futures
import contextlib
import functools
import secrets
import signal
import time
from typing import Self

import logbook

from cardamommill import (
    actions,
    asking,
    decisions,
    events,
    exchange,
    frontend,
    httpcalls,
    journal,
    logs,
    loop,
    metrics,
    observing,
    operations,
    operators,
    peerdatagram,
    peerlink,
    platformlink,
    runnerlink,
    tracing,
    units,
    upstream,
)
from cardamommill import settings as settings_lib

log = logbook.Logger("node")

SIGNALS = (signal.SIGTERM, signal.SIGINT)
SIGNAL_POLL_S = 0.2
# Seconds for the last bytes of answers to leave after the last decision.
FLUSH_S = 0.2


class Node:
    """Owns everything that a node is made of; a context manager.

    The shell (links, caller side, peers) turns what happens into events for
    the control loop, and performs the actions that come back.

    Attributes:
        control: The control loop.
        journal: What happened lately.
        metrics: The node's figures.
    """

    def __init__(self, settings: settings_lib.Settings) -> None:
        """Makes a node; nothing runs before it is entered.

        Args:
            settings: Checked settings.
        """
        self._settings = settings
        self._timing = settings.timing_in_force()
        # Only ever compared with other lives of this same node. The table's
        # row of the node catches a wall clock that went back in between.
        identity = settings.identity(time.time_ns() // units.NS_PER_MS)
        self.journal = journal.Journal()
        self.metrics = metrics.Metrics()
        self._tracer = tracing.Tracer(settings.tracing, settings.node)
        self._observer = observing.Observer(self.metrics, self._tracer)
        self.control = loop.ControlLoop(
            decisions.Decisions(identity, self._timing, secrets.randbits(63)),
            self._perform)
        self._ended: futures.Future[actions.EndProcess] = futures.Future()
        self._owned = contextlib.ExitStack()
        self._make_links()

    def _make_links(self) -> None:
        settings, timing = self._settings, self._timing
        self._calls = httpcalls.HttpCalls("calls")
        self._platform = platformlink.PlatformLink(self._calls,
                                                   settings.platform.address,
                                                   settings.data_centre,
                                                   timing.store_timeout_ms)
        self._runners = runnerlink.RunnerLink(self._calls,
                                              timing.poll_timeout_ms,
                                              timing.order_timeout_ms)
        self._peer_client = peerlink.PeerClient(settings.peers, self._post,
                                                timing.pull_timeout_ms,
                                                loop.now_ms)
        self._datagrams = peerdatagram.DatagramLink(settings.peers, self._post,
                                                    timing.pull_timeout_ms,
                                                    loop.now_ms,
                                                    self._peer_client.pull)
        self._peers = asking.PeerAsker(self._peer_client.explain)
        done_by = operations.Operations(
            self.control, self.journal,
            platformlink.SyncPlatform(self._platform), self._peers)
        self._operators = operators.OperatorServer(settings.operators, done_by)
        self.metrics.collect(done_by.samples)
        self._peer_server = peerlink.PeerServer(settings.peers, self._post,
                                                timing.pull_timeout_ms,
                                                done_by.answer_peer)
        self._replicas = upstream.Upstream(self._post)
        # All nodes have it in their settings, and callers don't know it.
        hop_secret = settings.operators.key_sha256.encode()
        self._requests = exchange.Exchange(self._post, self._replicas,
                                           settings.callers.answer_bytes,
                                           hop_secret)
        self._callers = frontend.Frontend(settings.callers, self.control,
                                          self._requests, self.metrics.render,
                                          hop_secret)

    def __enter__(self) -> Self:
        with contextlib.ExitStack() as starting:
            for part in (logs.LogHandler(self._settings.logging,
                                         self._settings.node), self._tracer,
                         self._calls, self._replicas, self._peer_client,
                         self._peers, self.control, self._peer_server,
                         self._datagrams, self._operators, self._callers):
                starting.enter_context(part)
            self._owned = starting.pop_all()
        self.control.post(events.Started(self._settings.peers.known))
        return self

    def __exit__(self, *exception: object) -> None:
        self._owned.close()

    def run(self) -> None:
        """Runs until a signal has ended the node gracefully.

        Raises:
            CardamommillError: The control thread failed.
        """
        asked: list[int] = []
        # Handlers, and not sigtimedwait: after SIGSTOP and SIGCONT that
        # returns as if a signal had come (it is interrupted with its time
        # over), and a node that had only been paused ended itself.
        for number in SIGNALS:
            signal.signal(number, lambda number, frame: asked.append(number))
        log.info(logs.line("node-started", node=self._settings.node))
        while not self._ended.done():
            futures.wait((self._ended,), SIGNAL_POLL_S)
            while asked:
                log.info(logs.line("signal", number=asked.pop()))
                self.control.post(events.ShutdownAsked())
            self.control.check()
        time.sleep(FLUSH_S)
        log.info(logs.line("node-ended", cut=len(self._ended.result().cut)))

    def _post(self, event: events.Event) -> None:
        self._observer.event(event)
        self.control.post(event)

    @functools.singledispatchmethod
    def _perform(self, action: actions.Action) -> None:
        raise NotImplementedError(type(action).__name__)

    @_perform.register(actions.Transact)
    @_perform.register(actions.ReadRows)
    @_perform.register(actions.ScanRows)
    @_perform.register(actions.PutObject)
    @_perform.register(actions.GetObject)
    @_perform.register(actions.ListVms)
    def _(self, action: actions.Action) -> None:
        self._platform.perform(action, self._post)

    @_perform.register(actions.PollRunner)
    @_perform.register(actions.SendOrder)
    @_perform.register(actions.ReadCacheEvents)
    def _(self, action: actions.Action) -> None:
        self._runners.perform(action, self._post)

    @_perform.register(actions.Dispatch)
    @_perform.register(actions.CancelAttempt)
    @_perform.register(actions.AbandonAttempt)
    @_perform.register(actions.Refuse)
    @_perform.register(actions.Replay)
    @_perform.register(actions.Finish)
    def _(self, action: actions.Action) -> None:
        self._observer.action(action)
        self._requests.perform(action)

    @_perform.register
    def _(self, action: actions.PullPeer) -> None:
        self._datagrams.pull(action)

    @_perform.register
    def _(self, action: actions.NotifyPeer) -> None:
        self._peer_client.notify(action)

    @_perform.register
    def _(self, action: actions.AnswerPeer) -> None:
        # Each knows its own questions by their token.
        self._peer_server.answer(action)
        self._datagrams.answer(action)

    @_perform.register
    def _(self, action: actions.Record) -> None:
        self.journal.record(action)

    @_perform.register
    def _(self, action: actions.EndProcess) -> None:
        if not self._ended.done():
            self._ended.set_result(action)
