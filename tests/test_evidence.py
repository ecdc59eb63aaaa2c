"""Tests of what a node tells its peers about runners."""

from cardamommill import board as board_lib
from cardamommill import changelog, events, evidence, fleet
from tests import fleets


def test_a_report_too_old_to_be_evidence_is_told_before_it_is_repeated():
    """A node restarts and sees a healthy replica as incomplete, for good.

    It asks a peer that stood still, whose reports are too old to count. The
    peer leaves them out but tells its newest sequence; when the runner says
    the same again, the peer only tells the number of the report, which the
    node has never been told.
    """
    identity = fleet.NodeIdentity("n0", fleets.DC, "r", 1, "127.0.0.1:1", "")
    book = evidence.EvidenceBook(board_lib.Board(identity), fleets.TIMING,
                                 changelog.Counter())
    report = fleet.RunnerReport("vm", "boot")
    book.polled(events.RunnerPolled("vm", report, 0))
    old_ms = fleets.TIMING.evidence_max_age_ms + 1
    (told,), unchanged = book.told(0, old_ms)
    assert (told.report, told.age_ms, unchanged) == (report, old_ms, ())
    assert book.told(told.sequence, old_ms) == ((), ())
    book.polled(events.RunnerPolled("vm", report, old_ms))
    _, (repeated,) = book.told(told.sequence, old_ms)
    assert repeated.sequence == told.sequence
