"""Which runners this node asks for their state, and when."""

from collections.abc import Collection, Iterable
import random as random_lib

from cardamommill import actions, periods, watching
from cardamommill import board as board_lib

# A pull that is due waits for a tick, and its answer for another one.
DOUBT_TICKS = 3


class PollSchedule:
    """Shares the runners of a data centre among its nodes, two to each."""

    def __init__(self, board: board_lib.Board, timing: periods.Timing,
                 random: random_lib.Random) -> None:
        self._board = board
        self._timing = timing
        self._random = random
        self._due_ms: dict[str, int] = {}
        self._round_ms = board_lib.NEVER_MS
        self._basis: object = None

    def alive(self, now_ms: int) -> frozenset[str]:
        """Returns the nodes that are relied on to watch, with this one.

        A peer that missed one answer may be dead. It is passed over long
        before it is declared away, since the evidence that it alone gives
        runs out sooner than that; if it lives, a runner is asked once more.
        """
        doubt_ms = (now_ms - self._timing.pull_ms -
                    DOUBT_TICKS * self._timing.tick_ms)
        return frozenset(
            node_id for node_id, peer in self._board.peers.by_node.items()
            if peer.heard_ms >= doubt_ms) | {self._board.identity.node_id}

    def share_out(self, alive: Collection[str], now_ms: int) -> None:
        """Reckons anew which runners are this node's, if anything changed.

        Args:
            alive: The nodes that share the runners, with this one.
            now_ms: The local monotonic time.
        """
        basis = (alive, frozenset(self._board.vms.listed))
        if basis == self._basis:
            return
        self._basis = basis
        mine = watching.watched(self._board.identity.node_id, alive,
                                self._board.vms.listed)
        self._due_ms = {
            vm_id:
                self._due_ms.get(
                    vm_id,
                    now_ms + self._random.randrange(self._timing.poll_ms // 2))
            for vm_id in sorted(mine)
        }

    def polls(self, now_ms: int) -> Iterable[actions.Action]:
        """Yields the questions that are due."""
        # All in one go: a question that is sent alone wakes every thread on
        # its way for itself, which costs several times the question's own
        # work. Different nodes ask at different times all the same.
        if now_ms >= self._round_ms:
            self._round_ms = now_ms + int(
                self._timing.poll_ms * self._random.uniform(0.9, 1.0))
        listed = self._board.vms.listed
        for vm_id, due_ms in self._due_ms.items():
            if now_ms >= due_ms and vm_id in listed:
                self._due_ms[vm_id] = self._round_ms
                yield actions.PollRunner(vm_id, listed[vm_id].address)

    def ask_at_once(self, vm_id: str, now_ms: int) -> None:
        """Makes a runner due, if it is this node's."""
        if vm_id in self._due_ms:
            self._due_ms[vm_id] = now_ms

    def ask_all(self, now_ms: int) -> None:
        """Makes all runners of this node due."""
        self._due_ms = dict.fromkeys(self._due_ms, now_ms)
