"""The controller of the node's own life; writes the section `life`."""

import functools

from cardamommill import actions, controller, events, periods
from cardamommill import board as board_lib

_Phase = board_lib.NodePhase

MAX_CUT_NAMED = 100


class Lifecycle(controller.Controller):
    """Starts, notices pauses, and ends the node without cutting anything off.

    On a wish to end, readiness fails first. The balancer goes on sending
    requests until it has seen that, so they are taken for that time: callers
    would see an outage at each shutdown if they were refused at once.
    """

    name = "lifecycle"

    def __init__(self, board: board_lib.Board, timing: periods.Timing,
                 seed: int) -> None:
        super().__init__(board, timing, seed)
        self._asked_ms = 0

    @functools.singledispatchmethod
    def step(self, event: events.Event, now_ms: int) -> actions.Actions:
        """Returns what to do about an event."""
        del event, now_ms
        return ()

    @step.register
    def _(self, event: events.Paused, now_ms: int) -> actions.Actions:
        # While the node stood still, others may have given the VMs that it
        # knows to other replicas. Its evidence looks young only because its
        # own decisions stood still with it.
        self.board.life.not_before_ms = now_ms
        return (self._record("paused", f"stood still for {event.for_ms} ms"),)

    @step.register
    def _(self, event: events.Tick, now_ms: int) -> actions.Actions:
        self.board.life.at = event.at
        return _ON_TICK[self.board.life.phase](self, now_ms)

    def _start(self, now_ms: int) -> actions.Actions:
        if self.board.life.leaving:
            return self._serve(now_ms)
        if not self.board.documents.complete:
            return ()
        self.board.life.phase = _Phase.SERVING
        return (self._record("serving", "all documents have come"),)

    def _serve(self, now_ms: int) -> actions.Actions:
        if not self.board.life.leaving:
            return ()
        if now_ms < self._asked_ms + self.timing.balancer_ms:
            return ()
        self.board.life.phase = _Phase.DRAINING
        running = len(self.board.requests.stages)
        return (self._record("draining", f"{running} requests in progress"),)

    def _drain(self, now_ms: int) -> actions.Actions:
        if now_ms >= self._asked_ms + self.timing.shutdown_ms:
            return self._end("the time for shutting down is over")
        if self.board.requests.stages or self.board.claims.unrecorded:
            return ()
        return self._end("all requests have ended")

    def _ended(self, now_ms: int) -> actions.Actions:
        del now_ms
        return ()

    @step.register
    def _(self, event: events.ShutdownAsked, now_ms: int) -> actions.Actions:
        del event
        life = self.board.life
        if life.phase is _Phase.ENDED:
            return ()
        if life.leaving:
            return self._end("it was asked to end for the second time")
        life.leaving = True
        self._asked_ms = now_ms
        return (self._record("leaving", "it was asked to end"),)

    def _end(self, why: str) -> actions.Actions:
        self.board.life.phase = _Phase.ENDED
        cut = tuple(sorted(self.board.requests.stages))
        named = ", ".join(cut[:MAX_CUT_NAMED])
        told = f"; {len(cut)} requests cut off: {named}" if cut else ""
        unrecorded = self.board.claims.unrecorded
        if unrecorded:
            told += (f"; {unrecorded} ends of claimed requests not written, "
                     "their repeats will be told that they may have run")
        return (self._record("ended", why + told), actions.EndProcess(cut))

    def _record(self, event: str, detail: str) -> actions.Action:
        return actions.Record(f"node/{self.board.identity.node_id}", event,
                              detail)


_ON_TICK = {
    _Phase.STARTING: Lifecycle._start,
    _Phase.SERVING: Lifecycle._serve,
    _Phase.DRAINING: Lifecycle._drain,
    _Phase.ENDED: Lifecycle._ended,
}
