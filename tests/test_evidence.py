"""Tests of evidence: how old it is, and what a node tells its peers of it."""

import dataclasses

from cardamommill import (
    board,
    changelog,
    contacts,
    events,
    evidence,
    fleet,
    peering,
    periods,
)

TIMING = periods.Timing()


def _book():
    """Returns a node's board, and what writes its evidence."""
    identity = fleet.NodeIdentity("a", "dc", "r", 1, "10.0.0.1:1", "10.0.0.1:2")
    told = board.Board(identity)
    return told, evidence.EvidenceBook(told, TIMING, changelog.Counter())


def test_a_report_too_old_to_be_evidence_is_told_before_it_is_repeated():
    """A node restarts and sees a healthy replica as incomplete, for good.

    It asks a peer that stood still, whose reports are too old to count. The
    peer leaves them out but tells its newest sequence; when the runner says
    the same again, the peer only tells the number of the report, which the
    node has never been told.
    """
    _, book = _book()
    report = fleet.RunnerReport("vm", "boot")
    book.polled(events.RunnerPolled("vm", report, 0))
    old_ms = TIMING.evidence_max_age_ms + 1
    (told,), unchanged = book.told(0, old_ms)
    assert (told.report, told.age_ms, unchanged) == (report, old_ms, ())
    assert book.told(told.sequence, old_ms) == ((), ())
    book.polled(events.RunnerPolled("vm", report, old_ms))
    _, (repeated,) = book.told(told.sequence, old_ms)
    assert repeated.sequence == told.sequence


def test_repetition_is_joined_by_number_when_answers_overtake():
    """Two answers of a peer arrive in the wrong order.

    The later one brings a runner's new formation; the earlier one says that
    its report is unchanged, meaning the old formation. Joined by VM, the new
    formation would be dated by a question that the runner answered before it
    was formed.
    """
    identity = fleet.NodeIdentity("b", "dc", "r", 1, "10.0.0.2:1", "10.0.0.2:2")
    contact = contacts.Contact("10.0.0.2:1", False, 0, identity)
    old = fleet.RunnerReport("vm", "boot", formation=1)
    new = fleet.RunnerReport("vm", "boot", formation=2)
    first = peering.Digest(1,
                           identity,
                           sequence=1,
                           reports=(peering.AgedReport(old, 10, "b", 1),))
    later = peering.Digest(1,
                           identity,
                           sequence=2,
                           after_sequence=1,
                           reports=(peering.AgedReport(new, 10, "b", 2),))
    earlier = peering.Digest(1,
                             identity,
                             sequence=1,
                             after_sequence=1,
                             unchanged=(peering.Unchanged(1, 5),))
    assert [each.report for each in contact.reports(first, 1000)] == [old]
    assert [each.report for each in contact.reports(later, 3000)] == [new]
    assert not list(contact.reports(earlier, 2000))


def test_answer_that_skips_changes_does_not_move_the_count():
    identity = fleet.NodeIdentity("b", "dc", "r", 1, "10.0.0.2:1", "10.0.0.2:2")
    contact = contacts.Contact("10.0.0.2:1", False, 0, identity, sequence=3)
    contact.advance(peering.Digest(1, identity, sequence=9, after_sequence=5))
    assert contact.sequence == 3
    contact.advance(peering.Digest(1, identity, sequence=6, after_sequence=3))
    assert contact.sequence == 6


def test_evidence_is_as_old_as_its_question():
    told, book = _book()
    report = fleet.RunnerReport("vm", "boot-1")
    later = dataclasses.replace(report, boot_id="boot-2")
    book.polled(events.RunnerPolled("vm", report, 1000))
    # The answer to an earlier question comes later; it changes nothing.
    book.polled(events.RunnerPolled("vm", later, 900))
    assert told.evidence.by_vm["vm"] == fleet.Evidence(report, 1000, "a")
    book.polled(events.RunnerPolled("vm", later, 1100))
    assert told.evidence.by_vm["vm"].report == later
    assert book.own["vm"].sequence == 2
    # A runner that answers for another VM is no evidence on this one.
    book.polled(events.RunnerPolled("other", later, 1200))
    assert "other" not in told.evidence.by_vm


def test_accusation_is_taken_back_by_a_later_answer_only():
    """A head's connection breaks; the runner may or may not be dead.

    Until an answer to a question asked after that, no work goes there; a
    repetition of what was seen before does not clear it, a living runner's
    next answer does, and an accusation of a former boot does nothing.
    """
    told, book = _book()
    report = fleet.RunnerReport("vm", "boot-1")
    book.polled(events.RunnerPolled("vm", report, 1000))
    assert not book.accuse("vm", "boot-0", 1500)
    assert book.accuse("vm", "boot-1", 1500)
    book.merge(fleet.Evidence(report, 1400, "b"))
    assert told.evidence.lost_boots == {"vm": "boot-1"}
    book.merge(fleet.Evidence(report, 1600, "b"))
    assert not told.evidence.lost_boots


def test_memory_of_vms_is_bounded(monkeypatch):
    monkeypatch.setattr(evidence, "MAX_VMS", 3)
    told, book = _book()
    identity = fleet.NodeIdentity("b", "dc", "r", 1, "10.0.0.2:1", "10.0.0.2:2")
    contact = contacts.Contact("10.0.0.2:1", False, 0, identity)
    for number in range(1, 20):
        report = fleet.RunnerReport(f"vm-{number}", "boot")
        digest = peering.Digest(1,
                                identity,
                                sequence=number,
                                after_sequence=number - 1,
                                reports=(peering.AgedReport(
                                    report, 0, "b", number),))
        for each in contact.reports(digest, number):
            book.merge(each)
        contact.advance(digest)
        assert len(contact._reports) <= 3
    assert len(told.evidence.by_vm) == 3
