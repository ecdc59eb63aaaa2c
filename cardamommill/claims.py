"""The controller that lets a request that may not be repeated run once."""

import collections
from collections.abc import Callable
import dataclasses
import functools

from cardamommill import (
    actions,
    claiming,
    claimproblems,
    claimrecords,
    controller,
    events,
    periods,
    requesting,
    store,
)
from cardamommill import board as board_lib

MAX_BATCH = 64
# Each takes the claims that came while the others were under way.
MAX_TRANSACTIONS = 2

_Claim = claiming.Claim
_Fetch = claiming.Fetch
_Batch = tuple[_Claim, ...]


class Claims(controller.Controller):
    """Claims keys in the table before their requests run.

    The row of a key is written only on the condition that it has the version
    that was last seen, and once it exists it stays.
    So of two nodes one wins, and a write whose answer was lost and that takes
    effect hours later meets another version. Who won is told by the attempt
    token in the row, never by the answer to the write.

    Nothing proves to another node that a claim whose node died was never
    sent to a replica, so such a key stays claimed: its repeats get a 409.
    """

    name = "claims"

    def __init__(self, board: board_lib.Board, timing: periods.Timing,
                 seed: int) -> None:
        super().__init__(board, timing, seed)
        self._waiting: collections.deque[_Claim] = collections.deque()
        self._writing: dict[events.Token, _Batch] = {}
        self._reading: dict[events.Token, _Batch] = {}
        self._fetching: dict[events.Token, _Fetch] = {}
        self._undecided: dict[str, _Claim] = {}
        self._held: dict[str, claimrecords.Held] = {}
        # The keys of both.
        self._taken: dict[store.Key, store.ClaimRow] = {}
        self._records = claimrecords.Records(self.token, timing)

    @functools.singledispatchmethod
    def step(self, event: events.Event, now_ms: int) -> actions.Actions:
        """Returns what to do about an event."""
        del event, now_ms
        return ()

    @step.register
    def _(self, event: events.ClaimWanted, now_ms: int) -> actions.Actions:
        head = event.head
        identity = self.board.identity
        key = store.Key(
            store.CLAIMS,
            f"{head.service}/{head.account}/{head.idempotency_key}")
        row = store.ClaimRow(
            head.digest, f"{identity.node_id}/{identity.incarnation}/"
            f"{self.token().serial}", identity.node_id, identity.incarnation,
            head.request_id, store.ClaimState.RUNNING)
        claim = _Claim(head.request_id, key, row,
                       now_ms + self.timing.store_timeout_ms)
        taken = self._taken.get(key)
        if taken is not None:
            return self._judge(claim, taken)
        pending = self._records.pending(key)
        if pending is not None:
            return self._judge(claim, pending)
        self._undecided[head.request_id] = claim
        self._taken[key] = row
        self._waiting.append(claim)
        wanted = self._send(now_ms)
        self._publish()
        return wanted

    @step.register
    def _(self, event: events.ClaimSettled, now_ms: int) -> actions.Actions:
        held = self._held.pop(event.request_id, None)
        if held is None:
            self._give_up(event.request_id)
            return ()
        self._taken.pop(held.key, None)
        wanted = self._records.settle(held, event.outcome, event.answer, now_ms)
        self._publish()
        return wanted

    @step.register
    def _(self, event: events.RequestEnded, now_ms: int) -> actions.Actions:
        # A request that was given up while its claim was under way must not
        # keep its key: nobody would ever settle it.
        del now_ms
        self._give_up(event.head.request_id)
        return ()

    def _give_up(self, request_id: str) -> None:
        claim = self._undecided.get(request_id)
        if claim is not None:
            claim.refused = True

    @step.register
    def _(self, event: events.Tick, now_ms: int) -> actions.Actions:
        wanted: list[actions.Action] = []
        for claim in tuple(self._undecided.values()):
            if now_ms >= claim.until_ms and not claim.refused:
                # Its caller is told at once. Should the write still take
                # effect, the key is given back: nobody else may run it.
                wanted += self._refuse(claim,
                                       claimproblems.no_table(self.random))
        wanted += self._send(now_ms)
        wanted += self._records.pump(now_ms)
        self._publish()
        return tuple(wanted)

    def _publish(self) -> None:
        # A shutdown waits for these, so it must never see too few.
        section = self.board.claims
        section.held = len(self._held)
        section.unrecorded = len(self._undecided) + len(self._records)

    @step.register
    def _(self, event: events.TransactAnswered,
          now_ms: int) -> actions.Actions:
        batch = self._writing.pop(event.token, None)
        if batch is None:
            return self._records.answered(event, now_ms)
        wanted = _AFTER_WRITING[event.outcome](self, batch, event, now_ms)
        return (*wanted, *self._send(now_ms))

    @step.register
    def _(self, event: events.RowsRead, now_ms: int) -> actions.Actions:
        batch = self._reading.pop(event.token, None)
        if batch is None:
            return self._records.read(event, now_ms)
        if event.rows is None:
            return (*self._no_table(batch, event, now_ms), *self._send(now_ms))
        wanted = [
            action for claim, row in zip(batch, event.rows, strict=True)
            for action in self._seen(claim, row, now_ms)
        ]
        return (*wanted, *self._send(now_ms))

    @step.register
    def _(self, event: events.ObjectAnswered, now_ms: int) -> actions.Actions:
        fetch = self._fetching.pop(event.token, None)
        if fetch is None:
            return self._records.put(event, now_ms)
        if not event.done:
            problem = claimproblems.answer_away(fetch.row, self.random)
            return (actions.Notify(
                events.ClaimRefused(fetch.request_id, problem)),)
        answer = dataclasses.replace(fetch.answer,
                                     body=event.body.decode("latin-1"),
                                     object_key="")
        return (actions.Notify(
            events.ClaimRefused(fetch.request_id, answer=answer)),)

    # --- Writing claims ---

    def _send(self, now_ms: int) -> actions.Actions:
        """Returns the transactions that may start now.

        Claims that come while two are under way share the next one, so the
        rate of transactions follows the table's speed and not the callers.
        """
        wanted: list[actions.Action] = []
        while self._waiting and (len(self._writing) + len(self._reading)
                                 < MAX_TRANSACTIONS):
            batch: list[_Claim] = []
            while self._waiting and len(batch) < MAX_BATCH:
                claim = self._waiting.popleft()
                if claim.refused:
                    wanted += self._drop(claim, now_ms)
                else:
                    batch.append(claim)
            if batch:
                token = self.token()
                self._writing[token] = tuple(batch)
                wanted.append(_transaction(token, batch))
        return tuple(wanted)

    def _committed(self, batch: _Batch, event: events.TransactAnswered,
                   now_ms: int) -> actions.Actions:
        del event
        return tuple(
            action for claim in batch for action in self._won(claim, now_ms))

    def _conflict(self, batch: _Batch, event: events.TransactAnswered,
                  now_ms: int) -> actions.Actions:
        seen = {row.key: row for row in event.rows}
        if not any(claim.key in seen for claim in batch):
            return self._unknown(batch, event, now_ms)
        wanted: list[actions.Action] = []
        for claim in reversed(batch):
            # One caller's repeat must not refuse the others that share its
            # transaction: they go first into the next one.
            if claim.key in seen:
                wanted += self._seen(claim, seen[claim.key], now_ms)
            else:
                self._waiting.appendleft(claim)
        return tuple(wanted)

    def _unknown(self, batch: _Batch, event: events.TransactAnswered,
                 now_ms: int) -> actions.Actions:
        del event, now_ms
        for claim in batch:
            claim.doubtful = True
        token = self.token()
        self._reading[token] = batch
        return (actions.ReadRows(token, tuple(claim.key for claim in batch)),)

    def _no_table(self, batch: _Batch,
                  event: events.TransactAnswered | events.RowsRead,
                  now_ms: int) -> actions.Actions:
        del event
        wanted: list[actions.Action] = []
        for claim in batch:
            wanted += self._refuse(claim, claimproblems.no_table(self.random))
            wanted += self._drop(claim, now_ms)
        return tuple(wanted)

    # --- What rows say ---

    def _seen(self, claim: _Claim, row: store.Row,
              now_ms: int) -> actions.Actions:
        try:
            held = (store.decode(store.ClaimRow, row.value)
                    if row.version != store.ABSENT else None)
        except ValueError:
            refused = self._refuse(claim, claimproblems.unreadable(row.key))
            return (*refused, *self._drop(claim, now_ms))
        if held is None or held.state is store.ClaimState.RETURNED:
            # The token stays the same: whichever of its writes takes effect,
            # the row names this claim.
            claim.version = row.version
            self._waiting.append(claim)
            return ()
        if held.attempt == claim.row.attempt:
            return self._won(claim, now_ms)
        self._forget(claim)
        return self._judge(claim, held)

    def _won(self, claim: _Claim, now_ms: int) -> actions.Actions:
        if claim.refused:
            return self._drop(claim, now_ms, won=True)
        # The key stays taken until the request is settled.
        self._undecided.pop(claim.request_id, None)
        self._held[claim.request_id] = claimrecords.Held(claim.key, claim.row)
        return (actions.Notify(events.ClaimGranted(claim.request_id)),)

    def _judge(self, claim: _Claim, held: store.ClaimRow) -> actions.Actions:
        if (held.digest != claim.row.digest and
                held.state is not store.ClaimState.RETURNED):
            return self._refuse(claim, claimproblems.other_request(held))
        return _ON_STATE[held.state](self, claim, held)

    def _judge_running(self, claim: _Claim,
                       held: store.ClaimRow) -> actions.Actions:
        if self._has_ended(held):
            return self._refuse(claim, claimproblems.lost(held))
        return self._refuse(claim, claimproblems.in_progress(held.node))

    def _has_ended(self, held: store.ClaimRow) -> bool:
        """Tells whether the claim's node is known to live another life."""
        identity = self.board.identity
        if held.node == identity.node_id:
            return held.incarnation != identity.incarnation
        peer = self.board.peers.by_node.get(held.node)
        return peer is not None and (peer.identity.incarnation
                                     > held.incarnation)

    def _judge_finished(self, claim: _Claim,
                        held: store.ClaimRow) -> actions.Actions:
        if claim.refused:
            return ()
        if held.answer is None:
            return self._refuse(claim, claimproblems.answer_not_kept(held))
        if held.answer.object_key:
            token = self.token()
            self._fetching[token] = _Fetch(claim.request_id, held, held.answer)
            return (actions.GetObject(token, held.answer.object_key),)
        return (actions.Notify(
            events.ClaimRefused(claim.request_id, answer=held.answer)),)

    def _judge_lost(self, claim: _Claim,
                    held: store.ClaimRow) -> actions.Actions:
        return self._refuse(claim, claimproblems.lost(held))

    def _judge_returned(self, claim: _Claim,
                        held: store.ClaimRow) -> actions.Actions:
        # This node is still giving the key back.
        del held
        return self._refuse(claim, claimproblems.no_table(self.random))

    # --- Ends ---

    def _refuse(self, claim: _Claim,
                problem: requesting.Problem) -> actions.Actions:
        if claim.refused:
            return ()
        claim.refused = True
        return (actions.Notify(events.ClaimRefused(claim.request_id, problem)),)

    def _drop(self,
              claim: _Claim,
              now_ms: int,
              won: bool = False) -> actions.Actions:
        """Ends a claim whose request will not run, and frees its key."""
        self._forget(claim)
        if not claim.doubtful and not won:
            return ()
        held = claimrecords.Held(claim.key, claim.row, claim.doubtful)
        return self._records.settle(held, requesting.Outcome.NOT_RUN, None,
                                    now_ms)

    def _forget(self, claim: _Claim) -> None:
        self._undecided.pop(claim.request_id, None)
        self._taken.pop(claim.key, None)


_AFTER_WRITING: dict[store.TransactOutcome,
                     Callable[[Claims, _Batch, events.TransactAnswered, int],
                              actions.Actions]] = {
                                  store.TransactOutcome.COMMITTED:
                                      Claims._committed,
                                  store.TransactOutcome.CONFLICT:
                                      Claims._conflict,
                                  store.TransactOutcome.UNKNOWN:
                                      Claims._unknown,
                                  store.TransactOutcome.NOT_RUN:
                                      Claims._no_table,
                              }

_ON_STATE: dict[store.ClaimState,
                Callable[[Claims, _Claim, store.ClaimRow], actions.Actions]] = {
                    store.ClaimState.RUNNING: Claims._judge_running,
                    store.ClaimState.FINISHED: Claims._judge_finished,
                    store.ClaimState.LOST: Claims._judge_lost,
                    store.ClaimState.RETURNED: Claims._judge_returned,
                }


def _transaction(token: events.Token, batch: list[_Claim]) -> actions.Transact:
    return actions.Transact(
        token,
        tuple(store.Condition(claim.key, claim.version) for claim in batch),
        tuple(
            store.Write(claim.key, store.encode(claim.row)) for claim in batch))
