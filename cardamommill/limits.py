"""The controller that holds client accounts to their limits."""

import dataclasses
import functools
import math

from cardamommill import (
    actions,
    answers,
    controller,
    documents,
    events,
    peering,
    periods,
    requesting,
    shares,
)
from cardamommill import board as board_lib

SHARE_MS = 200
# Demand is smoothed over this time, so that shares don't follow each burst.
DEMAND_MS = 2000
# An account with no requests for so long is forgotten; its bucket is full.
IDLE_MS = 120_000
# What a caller waits at least for another request of its account to end.
BUSY_MS = 1000


@dataclasses.dataclass(slots=True)
class _Account:
    """An account's bucket and use on this node.

    Attributes:
        share: The part of the whole limit that this node may use.
        tokens: Requests that it may send at once.
        filled_ms: When the bucket was last filled.
        demand: Smoothed requests per second, also of refused ones.
        demand_ms: When that was right.
        concurrent: In progress here.
    """

    share: float
    tokens: float
    filled_ms: int
    demand: float = 0.0
    demand_ms: int = 0
    concurrent: int = 0
    window: shares.Window = dataclasses.field(default_factory=shares.Window)

    def demand_now(self, now_ms: int) -> float:
        return self.demand * math.exp((self.demand_ms - now_ms) / DEMAND_MS)

    def arrived(self, now_ms: int) -> None:
        self.demand = self.demand_now(now_ms) + 1000 / DEMAND_MS
        self.demand_ms = now_ms

    def fill(self, limit: documents.Account, now_ms: int) -> None:
        rate_per_ms = limit.requests_per_s * self.share / 1000
        room = max(1.0, limit.burst * self.share)
        grown = self.tokens + rate_per_ms * (now_ms - self.filled_ms)
        self.tokens = min(room, grown)
        self.filled_ms = now_ms


class Limits(controller.Controller):
    """Keeps the section `limits`: who may send what at this node."""

    name = "limits"

    def __init__(self, board: board_lib.Board, timing: periods.Timing,
                 seed: int) -> None:
        super().__init__(board, timing, seed)
        self._accounts: dict[tuple[str, str], _Account] = {}
        self._charged: dict[str, _Account] = {}
        self._nodes = shares.Nodes()
        self._shared_ms = board_lib.NEVER_MS

    @functools.singledispatchmethod
    def step(self, event: events.Event, now_ms: int) -> actions.Actions:
        """Returns what to do about an event."""
        del event, now_ms
        return ()

    @step.register
    def _(self, event: events.Tick, now_ms: int) -> actions.Actions:
        del event
        if now_ms - self._shared_ms >= SHARE_MS:
            self._shared_ms = now_ms
            self._nodes.update(self.board.peers.by_node, self.timing, now_ms)
            for key, account in list(self._accounts.items()):
                self._share(key, account, now_ms)
        return ()

    @step.register
    def _(self, event: events.RequestArrived, now_ms: int) -> actions.Actions:
        head = event.head
        limit = self._limit(head.service, head.account)
        # One that comes from another data centre is charged here as well:
        # that it does is its sender's word, and any caller can give it.
        if limit is None or head.request_id in self._charged:
            return ()
        key = (head.service, head.account)
        account = self._accounts.get(key) or self._new(key, limit, now_ms)
        account.arrived(now_ms)
        account.fill(limit, now_ms)
        problem = self._problem(account, limit)
        if problem is not None:
            self.board.limits.refused[head.request_id] = problem
            return ()
        account.tokens -= 1
        account.concurrent += 1
        self._charged[head.request_id] = account
        self._publish(key, account, now_ms)
        return ()

    @step.register
    def _(self, event: events.RequestEnded, now_ms: int) -> actions.Actions:
        head = event.head
        self.board.limits.refused.pop(head.request_id, None)
        account = self._charged.pop(head.request_id, None)
        if account is not None:
            account.concurrent -= 1
            self._publish((head.service, head.account), account, now_ms)
        return ()

    def _problem(self, account: _Account,
                 limit: documents.Account) -> requesting.Problem | None:
        allowed = max(1, int(limit.concurrent * account.share))
        if account.concurrent >= allowed:
            return answers.problem(
                answers.Reason.LIMITED,
                f"{account.concurrent} requests are in progress at this node, "
                f"of {limit.concurrent} at all nodes",
                retry_after_s=answers.retry_after_s(BUSY_MS, self.random))
        if account.tokens < 1:
            wait_ms = 1000 * (1 - account.tokens) / (limit.requests_per_s *
                                                     account.share)
            return answers.problem(
                answers.Reason.LIMITED,
                f"more than {limit.requests_per_s:g} requests a second at all "
                "nodes",
                retry_after_s=answers.retry_after_s(wait_ms, self.random))
        return None

    def _limit(self, service: str, name: str) -> documents.Account | None:
        in_force = self.board.documents.in_force.get(service)
        if in_force is None:
            return None
        for account in in_force.document.accounts:
            if account.name == name:
                return account
        return None

    def _new(self, key: tuple[str, str], limit: documents.Account,
             now_ms: int) -> _Account:
        self._nodes.update(self.board.peers.by_node, self.timing, now_ms)
        account = _Account(0.0, 0.0, now_ms)
        self._accounts[key] = account
        self._share(key, account, now_ms)
        account.tokens = max(1.0, limit.burst * account.share)
        return account

    def _share(self, key: tuple[str, str], account: _Account,
               now_ms: int) -> None:
        """Works out an account's share; forgets an account that is idle."""
        in_force = self.board.documents.in_force.get(key[0])
        idle_ms = now_ms - account.demand_ms
        if in_force is None or (account.demand_ms and idle_ms > IDLE_MS and
                                not account.concurrent):
            del self._accounts[key]
            self.board.limits.uses.pop(key, None)
            return
        limit = self._limit(*key)
        if limit is not None:
            account.fill(limit, now_ms)
        peers = self.board.peers.by_node
        part = self._nodes.part(account.demand_now(now_ms),
                                shares.demands(peers, self._nodes.heard, *key),
                                self.timing, now_ms)
        account.share = account.window.least(
            part, now_ms, shares.growth_ms(
                self.timing)) * shares.data_centre_part(
                    in_force.document, self.board.identity.data_centre)
        self._publish(key, account, now_ms)

    def _publish(self, key: tuple[str, str], account: _Account,
                 now_ms: int) -> None:
        self.board.limits.uses[key] = peering.AccountUse(
            *key, account.demand_now(now_ms), account.concurrent)
