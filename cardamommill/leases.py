"""The planner's lease of a data centre: who may give orders there."""

import dataclasses
import functools

from cardamommill import actions, controller, events, periods, store
from cardamommill import board as board_lib

RETRY_MS = 500
# Who does not hold the lease looks at it this often. These are the most of all
# reads of the table, and a successor's wait is counted from what it sees, so
# looking less often makes it later and never earlier.
LOOK_MS = 1500
# Nodes that see a lease end at the same time try at different moments.
MAX_JITTER_MS = 400

RENEW = "renew"
TAKE = "take"
GIVE_UP = "give-up"
READ = "read"


@dataclasses.dataclass(frozen=True, slots=True)
class _Call:
    token: events.Token
    sent_ms: int
    attempt: str = ""


class Leases(controller.Controller):
    """Takes, renews and gives up the lease; judges it by its own clock only.

    Two rows: ``leases/DC`` names the holder and changes only when the holder
    does, so that a planner can make its transactions conditional on it
    without racing its own renewals; ``leases/DC/renewal`` moves with each
    renewal.
    """

    name = "leases"

    def __init__(self, board: board_lib.Board, timing: periods.Timing,
                 seed: int) -> None:
        super().__init__(board, timing, seed)
        dc = board.identity.data_centre
        self._row_key = store.Key(store.LEASES, dc)
        self._renewal_key = store.Key(store.LEASES, f"{dc}/renewal")
        self._call: _Call | None = None
        self._taken: _Call | None = None
        self._next_ms = 0
        self._saw_ms: int | None = None
        self._seen = (-1, -1)
        self._seen_ms = 0
        self._jitter_ms = 0
        self._given_up_epoch = 0

    @functools.singledispatchmethod
    def step(self, event: events.Event, now_ms: int) -> actions.Actions:
        """Returns what to do about an event; other types need nothing."""
        del event, now_ms
        return ()

    @step.register
    def _(self, event: events.Tick, now_ms: int) -> actions.Actions:
        del event
        lease = self.board.lease
        if lease.held and now_ms >= lease.valid_until_ms:
            lease.held = False
        self._look(now_ms)
        if self._call or now_ms < self._next_ms:
            return ()
        if not self._mine():
            return self._read(now_ms)
        if self._ending() or self._is_blind(now_ms):
            return self._give_up(now_ms)
        return self._renew(now_ms)

    @step.register
    def _(self, event: events.Paused, now_ms: int) -> actions.Actions:
        # A holder that stood still may have been succeeded without knowing:
        # it gives no order until a renewal has shown that it still holds.
        del event
        self.board.lease.held = False
        self.board.lease.valid_until_ms = board_lib.NEVER_MS
        self._taken = None
        self._seen = (-1, -1)
        self._next_ms = now_ms
        return ()

    @step.register
    def _(self, event: events.ShutdownAsked, now_ms: int) -> actions.Actions:
        del event
        self._next_ms = now_ms
        return ()

    @step.register
    def _(self, event: events.RowsRead, now_ms: int) -> actions.Actions:
        call = self._answered(event.token)
        if call is None:
            return ()
        self._next_ms = now_ms + RETRY_MS
        if event.rows is None:
            # Time in which the table gave no answer doesn't count against
            # the holder: after an outage it gets a whole lease to renew in.
            self._seen = (-1, -1)
            return ()
        return self._judge(event.rows[0], event.rows[1], now_ms)

    @step.register
    def _(self, event: events.TransactAnswered, now_ms: int) -> actions.Actions:
        call = self._answered(event.token)
        if call is None:
            return ()
        if event.token.subject == RENEW:
            self._renewed(call, event.outcome, now_ms)
        else:
            # Also after a commit: only a read tells the row's new version.
            self._next_ms = now_ms
        return ()

    def _answered(self, token: events.Token) -> _Call | None:
        if self._call is None or self._call.token != token:
            return None
        call, self._call = self._call, None
        return call

    def _mine(self) -> bool:
        """Tells whether this node may renew the lease.

        A lease that was given up is never renewed, even while its row still
        names this node: the write that gives it up may have lost its answer
        and take effect late, and a successor then takes the lease at once,
        beside a holder that had thought better of it.
        """
        row = self.board.lease.row
        return (row is not None and self._names_me(row) and
                row.epoch > self._given_up_epoch)

    def _names_me(self, row: store.LeaseRow) -> bool:
        identity = self.board.identity
        return ((row.holder, row.incarnation) == (identity.node_id,
                                                  identity.incarnation))

    def _look(self, now_ms: int) -> None:
        board = self.board
        if self._saw_ms is None or not board.vms.listed:
            self._saw_ms = now_ms
        self._saw_ms = max(
            (self._saw_ms,
             *(evidence.seen_ms for evidence in board.evidence.by_vm.values())))

    def _is_blind(self, now_ms: int) -> bool:
        """Tells whether VMs are listed and no runner was heard for long.

        A holder that is cut off from the runners, but not from the table,
        would keep the lease for ever and repair nothing, while other nodes
        hear the runners.
        """
        return (self._saw_ms is not None and
                now_ms - self._saw_ms >= self.timing.lease_ms)

    def _ending(self) -> bool:
        return self.board.life.leaving

    def _read(self, now_ms: int) -> actions.Actions:
        self._call = _Call(self.token(READ), now_ms)
        return (actions.ReadRows(self._call.token,
                                 (self._row_key, self._renewal_key)),)

    def _judge(self, row: store.Row, renewal: store.Row,
               now_ms: int) -> actions.Actions:
        lease = self.board.lease
        lease.version = row.version
        lease.row = (store.decode(store.LeaseRow, row.value)
                     if row.version else None)
        if self._mine():
            return self._found_mine(now_ms)
        lease.held = False
        if lease.row is not None and self._names_me(lease.row):
            return self._give_up(now_ms)
        self._next_ms = now_ms + LOOK_MS
        if self._seen != (row.version, renewal.version):
            # Counted from the answer, which came after the renewal that it
            # shows was sent: the holder's own reckoning ends earlier.
            self._seen = (row.version, renewal.version)
            self._seen_ms = now_ms
            self._jitter_ms = self.random.randrange(MAX_JITTER_MS)
        stood_ms = now_ms - self._seen_ms
        free = lease.row is None or not lease.row.holder
        if self._ending() or self._is_blind(now_ms) or not (
                free or stood_ms >= self.timing.lease_ms + self._jitter_ms):
            return ()
        return self._take(renewal.version, now_ms)

    def _found_mine(self, now_ms: int) -> actions.Actions:
        lease = self.board.lease
        assert lease.row is not None
        if lease.epoch != lease.row.epoch:
            # Also where the write that took it was taken for lost.
            lease.first_order_ms = now_ms + self.timing.order_max_age_ms
        lease.epoch = lease.row.epoch
        self._next_ms = now_ms
        if self._taken and self._taken.attempt == lease.row.attempt:
            self._hold_from(self._taken.sent_ms, now_ms)
            self._taken = None
            return (actions.Record(
                f"lease/{self._row_key.row}", "lease-taken",
                f"{lease.row.holder} plans {self._row_key.row} with epoch "
                f"{lease.epoch}"),)
        return ()

    def _hold_from(self, sent_ms: int, now_ms: int) -> None:
        lease = self.board.lease
        lease.valid_until_ms = (sent_ms + self.timing.lease_ms -
                                self.timing.lease_margin_ms)
        lease.held = now_ms < lease.valid_until_ms
        if lease.held:
            self._next_ms = max(now_ms, sent_ms + self.timing.lease_renew_ms)

    def _renewed(self, call: _Call, outcome: store.TransactOutcome,
                 now_ms: int) -> None:
        if outcome is store.TransactOutcome.COMMITTED:
            self._hold_from(call.sent_ms, now_ms)
        elif outcome is store.TransactOutcome.CONFLICT:
            self.board.lease.held = False
            self.board.lease.row = None
            self._next_ms = now_ms
        else:
            # Sent again without a read: it only moves the row once more.
            self._next_ms = now_ms + RETRY_MS

    def _renew(self, now_ms: int) -> actions.Actions:
        self._call = _Call(self.token(RENEW), now_ms)
        return (actions.Transact(self._call.token, (store.Condition(
            self._row_key, self.board.lease.version),), (self._renewal(),)),)

    def _renewal(self) -> store.Write:
        return store.Write(self._renewal_key,
                           store.encode(store.ChangeCount(self._serial)))

    def _take(self, renewal_version: int, now_ms: int) -> actions.Actions:
        lease, identity = self.board.lease, self.board.identity
        epoch = lease.row.epoch + 1 if lease.row else 1
        token = self.token(TAKE)
        attempt = (f"{identity.node_id}/{identity.incarnation}/"
                   f"{self.name}/{token.serial}")
        self._call = self._taken = _Call(token, now_ms, attempt)
        row = store.LeaseRow(identity.node_id, identity.incarnation, epoch, 0,
                             attempt)
        return (actions.Transact(
            token, (store.Condition(self._row_key, lease.version),
                    store.Condition(self._renewal_key, renewal_version)),
            (store.Write(self._row_key, store.encode(row)), self._renewal())),)

    def _give_up(self, now_ms: int) -> actions.Actions:
        lease = self.board.lease
        assert lease.row is not None
        lease.held = False
        lease.valid_until_ms = board_lib.NEVER_MS
        self._given_up_epoch = lease.row.epoch
        self._call = _Call(self.token(GIVE_UP), now_ms)
        row = dataclasses.replace(lease.row, holder="")
        lease.row = None
        return (actions.Transact(
            self._call.token, (store.Condition(self._row_key, lease.version),),
            (store.Write(self._row_key, store.encode(row)),)),)


def may_order(lease: board_lib.LeaseSection, now_ms: int) -> bool:
    """Tells whether this node may give orders at this moment."""
    return lease.held and now_ms < lease.valid_until_ms
