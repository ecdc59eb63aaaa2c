"""Evidence on runners: what is kept, and what is told to peers.

Evidence is dated by the moment at which the question was sent, so every delay
on its way makes it older and none makes it fresher.
"""

import dataclasses

from cardamommill import board as board_lib
from cardamommill import changelog, events, fleet, peering, periods

MAX_VMS = 4096
FORGET_MS = 60_000


@dataclasses.dataclass(frozen=True, slots=True)
class OwnReport:
    """A runner's last word to this node.

    Attributes:
        report: What it said.
        seen_ms: When this node asked.
        sequence: When all of it but the load last changed, by the count of
            this node's changes.
    """

    report: fleet.RunnerReport
    seen_ms: int
    sequence: int


class EvidenceBook:
    """Writes the board's evidence and remembers which of it is first-hand.

    Attributes:
        own: What runners told this node itself, by VM.
    """

    def __init__(self, board: board_lib.Board, timing: periods.Timing,
                 counter: changelog.Counter) -> None:
        self.own: dict[str, OwnReport] = {}
        self._board = board
        self._timing = timing
        self._counter = counter
        # When a boot in `lost_boots` was accused, by VM.
        self._accused_ms: dict[str, int] = {}

    def polled(self, event: events.RunnerPolled) -> None:
        """Takes a runner's own answer."""
        report = event.report
        # A runner that answers for another VM sits at an address that was
        # given to it since the list was read; its word is about itself alone.
        if report is None or report.vm_id != event.vm_id:
            return
        before = self.own.get(event.vm_id)
        if before is not None and before.seen_ms >= event.sent_ms:
            return
        same = before is not None and (without_load(before.report)
                                       == without_load(report))
        sequence = (before.sequence
                    if before is not None and same else self._counter.next())
        self.own[event.vm_id] = OwnReport(report, event.sent_ms, sequence)
        self.merge(
            fleet.Evidence(report, event.sent_ms, self._board.identity.node_id))

    def merge(self, evidence: fleet.Evidence) -> None:
        """Keeps the evidence if there is none that is as fresh."""
        section = self._board.evidence
        vm_id = evidence.report.vm_id
        before = section.by_vm.get(vm_id)
        if before is None and len(section.by_vm) >= MAX_VMS:
            return
        if before is None or evidence.seen_ms > before.seen_ms:
            section.by_vm[vm_id] = evidence
            self._heal(evidence)

    def accuse(self, vm_id: str, boot_id: str, now_ms: int) -> bool:
        """Takes trust away from a boot until it is seen alive again.

        Args:
            vm_id: The runner's VM.
            boot_id: The life of the runner that ended, as somebody says.
            now_ms: The local monotonic time.

        Returns:
            Whether that changed anything.
        """
        known = self._board.evidence.by_vm.get(vm_id)
        if known is None or known.report.boot_id != boot_id:
            return False
        self._board.evidence.lost_boots[vm_id] = boot_id
        self._accused_ms[vm_id] = now_ms
        return True

    def _heal(self, evidence: fleet.Evidence) -> None:
        # A broken connection is no proof that the runner died, and news of it
        # may be old. An answer to a question that was asked after the
        # accusation is proof that it lives; without this a false accusation
        # would keep a healthy VM out for good.
        vm_id = evidence.report.vm_id
        lost = self._board.evidence.lost_boots.get(vm_id)
        if lost is None:
            return
        if (evidence.seen_ms > self._accused_ms[vm_id] or
                lost != evidence.report.boot_id):
            del self._board.evidence.lost_boots[vm_id]
            del self._accused_ms[vm_id]

    def forget(self, now_ms: int) -> None:
        """Drops what is too old to be of use."""
        by_vm = self._board.evidence.by_vm
        for vm_id in [
                vm_id for vm_id, each in by_vm.items()
                if each.seen_ms < now_ms - FORGET_MS
        ]:
            del by_vm[vm_id]
            self.own.pop(vm_id, None)
            self._board.evidence.lost_boots.pop(vm_id, None)
            self._accused_ms.pop(vm_id, None)

    def told(
        self, after_sequence: int, now_ms: int
    ) -> tuple[tuple[peering.AgedReport, ...], tuple[peering.Unchanged, ...]]:
        """Returns first-hand evidence for a peer: new, and repeated.

        Args:
            after_sequence: What the peer has had.
            now_ms: The local monotonic time.
        """
        reports, unchanged = [], []
        node_id = self._board.identity.node_id
        for each in self.own.values():
            age_ms = now_ms - each.seen_ms
            if each.sequence > after_sequence:
                # Also where it is too old to be evidence: the asker moves on
                # to this answer's sequence, and later hears of the report by
                # its number alone. It would never know what that repeats.
                reports.append(
                    peering.AgedReport(each.report, age_ms, node_id,
                                       each.sequence))
            elif age_ms <= self._timing.evidence_max_age_ms:
                unchanged.append(_unchanged(each, age_ms))
        return tuple(reports), tuple(unchanged)

    def leaving(self) -> frozenset[str]:
        """Returns VMs whose runners told this node that they will go."""
        return frozenset(
            vm_id for vm_id, each in self.own.items() if each.report.leaving)


def without_load(report: fleet.RunnerReport) -> fleet.RunnerReport:
    """Returns the part of a report that changes seldom."""
    return dataclasses.replace(report,
                               running=0,
                               queued=0,
                               tokens_per_s=0.0,
                               cache_sequence=0)


def with_load(report: fleet.RunnerReport,
              news: peering.Unchanged) -> fleet.RunnerReport:
    """Returns a report with the load that a repetition brought."""
    return dataclasses.replace(report,
                               running=news.running,
                               queued=news.queued,
                               tokens_per_s=news.tokens_per_s,
                               cache_sequence=news.cache_sequence)


def _unchanged(each: OwnReport, age_ms: int) -> peering.Unchanged:
    report = each.report
    return peering.Unchanged(each.sequence, age_ms, report.running,
                             report.queued, report.tokens_per_s,
                             report.cache_sequence)
