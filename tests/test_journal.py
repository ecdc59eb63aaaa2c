"""Tests of the journal."""

from cardamommill import actions, journal


def entry(subject, detail="", at="1"):
    return journal.Entry(at, subject, "e", detail)


def test_a_loud_subject_forgets_its_oldest_entries_only():
    kept = journal.Journal(per_subject=3)
    kept.add(entry("vm/a", "first"))
    for n in range(20):
        kept.add(entry("vm/b", str(n)))
    assert [each.detail for each in kept.about("vm/b")] == ["17", "18", "19"]
    assert [each.detail for each in kept.about("vm/a")] == ["first"]
    assert len(kept) == 4


def test_memory_is_bounded_and_requests_push_nothing_else_out():
    """An operator asks why a replica moved, ten thousand requests later."""
    kept = journal.Journal(max_requests=10, max_others=10, per_subject=3)
    kept.add(entry("replica/r1", "moved"))
    for n in range(100):
        kept.add(entry(f"request/{n}"))
        assert len(kept) <= 11
    assert kept.about("request/99")
    assert not kept.about("request/0")
    assert kept.about("replica/r1")


def test_entries_on_others_that_name_it_are_found_in_order():
    kept = journal.Journal()
    kept.add(entry("request/2", "sent to r1", at="2"))
    kept.add(entry("request/1", "sent to r1", at="1"))
    kept.add(entry("replica/r1", "r1 itself", at="0"))
    found = kept.mentioning("r1", limit=10)
    assert [each.subject for each in found] == ["request/1", "request/2"]


def test_an_action_becomes_an_entry_with_its_trace():
    kept = journal.Journal()
    kept.record(actions.Record("vm/a", "member-lost", "gone", "t1"))
    (found,) = kept.about("vm/a")
    assert (found.event, found.detail, found.trace_id) == ("member-lost",
                                                           "gone", "t1")
