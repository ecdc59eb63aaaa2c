"""Whether and where a request goes to another data centre."""

from collections import abc
import random

from cardamommill import board as board_lib
from cardamommill import choice, peering, periods, requesting


def choose(board: board_lib.Board, head: requesting.RequestHead,
           tried: abc.Set[str], timing: periods.Timing, chance: random.Random,
           now_ms: int) -> choice.Choice | None:
    """Returns a node of a data centre that has room, or None.

    One hop at most: data centres that are all full would else pass a request
    round until its deadline.

    Args:
        board: What the node knows.
        head: The request.
        tried: Nodes and replicas that it was sent to before.
        timing: The periods in force.
        chance: Spreads requests over data centres and their nodes.
        now_ms: The local monotonic time.
    """
    if head.hop:
        return None
    able = []
    for key, summary in board.peers.summaries.items():
        seen_ms = board.peers.summaries_ms.get(key, board_lib.NEVER_MS)
        if (summary.service == head.service and summary.free_slots > 0 and
                summary.data_centre != board.identity.data_centre and
                now_ms - seen_ms < timing.summary_max_age_ms and
                now_ms + summary.wait_ms < head.deadline_ms):
            able.append((summary, seen_ms))
    if not able:
        return None
    weights = [summary.free_slots for summary, _ in able]
    summary, seen_ms = chance.choices(able, weights)[0]
    addresses = [each for each in summary.entry_addresses if each not in tried]
    if not addresses:
        return None
    return _choice(summary, chance.choice(addresses),
                   seen_ms + timing.summary_max_age_ms)


def _choice(summary: peering.ServiceSummary, address: str,
            valid_until_ms: int) -> choice.Choice:
    target = requesting.Target(address, "", address, 0, 0, valid_until_ms, True)
    return choice.Choice(
        target, f"{summary.data_centre} has {summary.free_slots} free slots")
