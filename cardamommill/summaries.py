"""What a data centre can do for others: made here, kept from there."""

from collections.abc import Iterable, Iterator
import dataclasses

from cardamommill import board as board_lib
from cardamommill import peering, periods, serving

MAX_SUMMARIES = 8192
ENTRY_ADDRESSES = 3
# A data centre of another region is asked this many times less often.
FAR_FACTOR = 3


def own(board: board_lib.Board, timing: periods.Timing,
        now_ms: int) -> tuple[peering.ServiceSummary, ...]:
    """Returns what this node's data centre can do, by its own evidence.

    Args:
        board: What the node knows.
        timing: The periods in force.
        now_ms: The local monotonic time.
    """
    data_centre = board.identity.data_centre
    entries = _entry_addresses(board)
    made = []
    for service, in_force in board.documents.in_force.items():
        if data_centre not in in_force.document.capacity:
            continue
        heads = [
            replica.head.report for replica in serving.serving_replicas(
                board, service, timing, now_ms)
        ]
        free = sum(
            max(0, head.slots - head.running - head.queued) for head in heads)
        made.append(
            peering.ServiceSummary(service, data_centre, free,
                                   board.requests.wait_ms.get(service, 0),
                                   in_force.row.revision, 0, entries))
    return tuple(made)


def _entry_addresses(board: board_lib.Board) -> tuple[str, ...]:
    own_entry = ((board.identity.caller_address,)
                 if board.life.phase is board_lib.NodePhase.SERVING else ())
    others = (peer.identity.caller_address
              for peer in board.peers.by_node.values()
              if peer.ready)
    return (*own_entry, *others)[:ENTRY_ADDRESSES]


def packed(
    told: Iterable[peering.ServiceSummary]
) -> tuple[peering.ServiceSummary, ...]:
    """Returns summaries without addresses that stand in one before.

    The addresses are half of a summary, and the same for all services of a
    data centre.
    """
    last: dict[str, tuple[str, ...]] = {}
    short = []
    for each in told:
        same = last.get(each.data_centre) == each.entry_addresses
        last[each.data_centre] = each.entry_addresses
        short.append(
            dataclasses.replace(each, entry_addresses=()) if same else each)
    return tuple(short)


def unpacked(
        told: Iterable[peering.ServiceSummary]
) -> Iterator[peering.ServiceSummary]:
    """Yields what `packed` was given."""
    last: dict[str, tuple[str, ...]] = {}
    for each in told:
        addresses = each.entry_addresses or last.get(each.data_centre, ())
        last[each.data_centre] = addresses
        yield dataclasses.replace(each, entry_addresses=addresses)


def keep(section: board_lib.PeersSection,
         told: Iterable[peering.ServiceSummary], sent_ms: int) -> None:
    """Keeps summaries that are fresher than those held.

    Args:
        section: Where they are kept.
        told: What a peer said.
        sent_ms: When it was asked.
    """
    for summary in told:
        key = (summary.data_centre, summary.service)
        seen_ms = sent_ms - max(0, summary.age_ms)
        if seen_ms <= section.summaries_ms.get(key, board_lib.NEVER_MS):
            continue
        if key not in section.summaries and len(
                section.summaries) >= MAX_SUMMARIES:
            continue
        section.summaries[key] = summary
        section.summaries_ms[key] = seen_ms


def forget(section: board_lib.PeersSection, before_ms: int) -> None:
    """Drops summaries that are older than a time."""
    for key, seen_ms in list(section.summaries_ms.items()):
        if seen_ms < before_ms:
            del section.summaries[key]
            del section.summaries_ms[key]


def period_ms(timing: periods.Timing, near: bool) -> int:
    """Returns how often another data centre is asked, in milliseconds."""
    return timing.summary_ms * (1 if near else FAR_FACTOR)
