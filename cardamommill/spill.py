"""Whether and where a request goes to another data centre."""

from collections import abc
import random

from cardamommill import board as board_lib
from cardamommill import choice, peering, periods, requesting


class Spill:
    """Sends no more to a data centre than its last summary had room for.

    A summary is seconds old. All that a full data centre refuses in that time
    would else go to the same few free slots, and be refused there again.
    """

    def __init__(self) -> None:
        self._sent: dict[tuple[str, str], tuple[int, int]] = {}

    def choose(self, board: board_lib.Board, head: requesting.RequestHead,
               tried: abc.Set[str], timing: periods.Timing,
               chance: random.Random, now_ms: int) -> choice.Choice | None:
        """Returns a node of a data centre that has room, or None.

        One hop at most: data centres that are all full would else pass a
        request round until its deadline. What is returned counts as sent.

        Args:
            board: What the node knows.
            head: The request.
            tried: Places that it was sent to before.
            timing: The periods in force.
            chance: Spreads requests over data centres and their nodes.
            now_ms: The local monotonic time.
        """
        able = self._able(board, head, timing, now_ms)
        if not able:
            return None
        summary, = chance.choices([each for each, _ in able],
                                  [room for _, room in able])
        seen_ms = board.peers.summaries_ms[summary.data_centre, summary.service]
        targets = [
            _target(each, seen_ms + timing.summary_max_age_ms)
            for each in summary.entry_addresses
        ]
        entries = [each for each in targets if choice.place(each) not in tried]
        if not entries:
            return None
        key = (summary.data_centre, summary.service)
        self._sent[key] = (seen_ms, self._sent_since(key, seen_ms) + 1)
        return choice.Choice(
            chance.choice(entries),
            f"{summary.data_centre} has {summary.free_slots} free slots")

    def room(self, board: board_lib.Board, head: requesting.RequestHead,
             timing: periods.Timing, now_ms: int) -> int:
        """Returns how many requests like one other data centres have room for.

        Args:
            board: What the node knows.
            head: The request.
            timing: The periods in force.
            now_ms: The local monotonic time.
        """
        return sum(room for _, room in self._able(board, head, timing, now_ms))

    def _able(self, board: board_lib.Board, head: requesting.RequestHead,
              timing: periods.Timing,
              now_ms: int) -> list[tuple[peering.ServiceSummary, int]]:
        """Returns the data centres that have room, and how much."""
        if head.hop:
            return []
        rooms = ((summary, self._room(board, key, summary))
                 for key, summary in board.peers.summaries.items()
                 if _is_able(board, summary, head, timing, now_ms))
        return [(summary, room) for summary, room in rooms if room > 0]

    def _room(self, board: board_lib.Board, key: tuple[str, str],
              summary: peering.ServiceSummary) -> int:
        # The other nodes of this data centre read the same summary.
        nodes = len(board.peers.by_node) + 1
        seen_ms = board.peers.summaries_ms.get(key, board_lib.NEVER_MS)
        part = -(-summary.free_slots // nodes)
        return part - self._sent_since(key, seen_ms)

    def _sent_since(self, key: tuple[str, str], seen_ms: int) -> int:
        counted_ms, count = self._sent.get(key, (seen_ms, 0))
        return count if counted_ms == seen_ms else 0


def _is_able(board: board_lib.Board, summary: peering.ServiceSummary,
             head: requesting.RequestHead, timing: periods.Timing,
             now_ms: int) -> bool:
    key = (summary.data_centre, summary.service)
    seen_ms = board.peers.summaries_ms.get(key, board_lib.NEVER_MS)
    return (summary.service == head.service and
            summary.data_centre != board.identity.data_centre and
            now_ms - seen_ms < timing.summary_max_age_ms and
            now_ms + summary.wait_ms < head.deadline_ms)


def _target(address: str, valid_until_ms: int) -> requesting.Target:
    return requesting.Target(address, "", address, 0, 0, valid_until_ms, True)
