"""The controller of requests that crash backend servers; writes `suspects`."""

from collections.abc import Iterable
import functools

from cardamommill import (
    actions,
    controller,
    events,
    peering,
    periods,
    quarantinerows,
    requesting,
    suspicions,
)
from cardamommill import board as board_lib

SERVER_ERROR = 500
_State = peering.SuspectState


class Suspects(controller.Controller):
    """Keeps a request that crashes backend servers from taking them all.

    The caller of such a request sees a broken answer and sends it again,
    through any node. So the first crash makes it a suspect, which runs where
    it can harm little and is not sent again by a node; the second one puts
    it into quarantine. All nodes are told of both at once; the table keeps
    them for those that can't be reached. Its run as a whole clears a
    request, for one that truly crashes its servers never has one.
    """

    name = "suspects"

    def __init__(self, board: board_lib.Board, timing: periods.Timing,
                 seed: int) -> None:
        super().__init__(board, timing, seed)
        self._cases = suspicions.Cases(board.suspects.by_digest)
        self._rows = quarantinerows.QuarantineRows(self._cases, self.token,
                                                   timing)

    @functools.singledispatchmethod
    def step(self, event: events.Event, now_ms: int) -> actions.Actions:
        """Returns what to do about an event."""
        del event, now_ms
        return ()

    @step.register
    def _(self, event: events.RunnerCrashed, now_ms: int) -> actions.Actions:
        crash = f"{event.replica_id}/{event.epoch}/{event.formation}"
        return self._changed([
            digest for digest in event.digests
            if self._cases.crashed(digest, crash)
        ], f"it ran at replica {crash}, which crashed", now_ms)

    @step.register
    def _(self, event: events.RequestEnded, now_ms: int) -> actions.Actions:
        # A recorded answer given again is no run, and an error no proof.
        if (event.outcome is not requesting.Outcome.RAN or not event.attempts or
                not 0 < event.status < SERVER_ERROR):
            return ()
        digest = event.head.digest
        if not self._cases.ran_whole(digest):
            return ()
        return self._changed([digest], "it ran whole", now_ms)

    @step.register
    def _(self, event: events.QuarantineLifted,
          now_ms: int) -> actions.Actions:
        if not self._cases.clear(event.digest):
            return ()
        return self._changed([event.digest], f"lifted by {event.by}", now_ms)

    @step.register
    def _(self, event: events.PeerNotified, now_ms: int) -> actions.Actions:
        del now_ms
        return self._heard(event.notice.suspicions)

    @step.register
    def _(self, event: events.PeerPulled, now_ms: int) -> actions.Actions:
        del now_ms
        return self._heard(event.digest.suspicions) if event.digest else ()

    @step.register
    def _(self, event: events.Tick, now_ms: int) -> actions.Actions:
        del event
        return self._rows.tick(now_ms)

    @step.register
    def _(self, event: events.RowsRead, now_ms: int) -> actions.Actions:
        wanted, changed = self._rows.read(event, now_ms)
        return (*wanted, *self._recorded(changed, "the table says so"))

    @step.register
    def _(self, event: events.TransactAnswered,
          now_ms: int) -> actions.Actions:
        return self._rows.answered(event, now_ms)

    def _heard(self, said: Iterable[peering.Suspicion]) -> actions.Actions:
        changed = [each.digest for each in said if self._cases.heard(each)]
        return self._recorded(changed, "another node says so")

    def _changed(self, digests: list[str], why: str,
                 now_ms: int) -> actions.Actions:
        """Tells everybody of what this node has found out itself."""
        if not digests:
            return ()
        found = tuple(each for each in map(self._cases.state, digests) if each)
        notice = peering.Notice(peering.PROTOCOL_VERSION, self.board.identity,
                                found)
        told = tuple(
            actions.NotifyPeer(peer.identity.peer_address, notice)
            for peer in self.board.peers.by_node.values())
        far = actions.Notify(events.CrashNews(notice))
        return (*told, far, *self._recorded(digests, why),
                *self._rows.write(digests, now_ms))

    def _recorded(self, digests: Iterable[str], why: str) -> actions.Actions:
        return tuple(
            actions.Record(f"request/{each.digest}", f"request-{each.state}",
                           f"{why}; crashes: {', '.join(each.crashes)}")
            for each in map(self._cases.state, digests)
            if each)
