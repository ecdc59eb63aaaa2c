"""Tests of the operators' changes of documents."""

import dataclasses

import hypothesis
from hypothesis import strategies
from returns import result

from cardamommill import applying, exceptions, store
from tests import fake_table

BODY = """\
service: desk
kind: plain
pool: small
capacity: {{hcm-q1: {{replicas: {replicas}}}}}
accounts: []
"""


def change(replicas: int,
           attempt: str,
           base: int | None = None) -> applying.Change:
    return applying.Change(BODY.format(replicas=replicas), f"op-{attempt}",
                           f"reason {attempt}", f"2026-01-0{replicas + 1}",
                           attempt, base)


def in_force(table: fake_table.FakeTable) -> store.DocumentRow:
    row = table.read(store.Key(store.DOCUMENTS, "desk"))
    return store.decode(store.DocumentRow, row.value)


def test_change_is_in_document_history_and_index():
    table = fake_table.FakeTable()
    tables = fake_table.SyncTable(table)
    first = applying.apply(tables, change(1, "a")).unwrap()
    second = applying.apply(tables, change(2, "b", base=1)).unwrap()
    assert (first.revision, second.revision) == (1, 2)
    assert applying.revisions(tables).unwrap() == {"desk": 2}
    assert applying.history(tables, "desk").unwrap() == (first, second)
    assert applying.get(tables, "desk").unwrap() == second
    assert applying.get(tables, "desk", 1).unwrap() == first
    changes = applying.diff(tables, "desk", 1, 0).unwrap()
    assert "-capacity: {hcm-q1: {replicas: 1}}" in changes
    assert "+capacity: {hcm-q1: {replicas: 2}}" in changes


def test_roll_back_is_a_new_revision():
    tables = fake_table.SyncTable(fake_table.FakeTable())
    applying.apply(tables, change(1, "a"))
    applying.apply(tables, change(2, "b"))
    back = applying.roll_back(tables, "desk", 1, change(0, "c")).unwrap()
    assert (back.revision, back.body,
            back.author) == (3, BODY.format(replicas=1), "op-c")


def test_wrong_document_and_missing_revision_are_told():
    tables = fake_table.SyncTable(fake_table.FakeTable())
    wrong = dataclasses.replace(change(1, "a"), body="service: [")
    assert isinstance(
        applying.apply(tables, wrong).failure(), exceptions.DocumentError)
    assert isinstance(
        applying.get(tables, "desk").failure(), exceptions.CommandError)
    assert isinstance(
        applying.apply(tables, change(1, "b", base=4)).failure(),
        exceptions.RevisionConflict)


def test_loser_of_a_race_is_told_by_whom_when_and_what_differs():
    """Two operators change revision 1 at the same moment.

    Both read revision 1; the first commits while the second is about to.
    The second must not overwrite it unseen, and needs to know whom to ask.
    """
    table = fake_table.FakeTable()
    applying.apply(fake_table.SyncTable(table), change(1, "a"))
    loser = fake_table.SyncTable(table)
    loser.before_transact = lambda: applying.apply(fake_table.SyncTable(table),
                                                   change(2, "winner", base=1))
    error = applying.apply(loser, change(3, "loser", base=1)).failure()
    assert isinstance(error, exceptions.RevisionConflict)
    for part in ("op-winner", "2026-01-03", "reason winner",
                 "-capacity: {hcm-q1: {replicas: 2}}",
                 "+capacity: {hcm-q1: {replicas: 3}}"):
        assert part in error.message
    assert in_force(table).attempt == "winner"


def test_change_of_another_service_does_not_refuse_this_one():
    """Another team's apply moves the index between our read and our write.

    The transaction fails on the index although nobody touched this service;
    the operator must not see a conflict.
    """
    table = fake_table.FakeTable()
    ours = fake_table.SyncTable(table)
    other = dataclasses.replace(change(1, "x"),
                                body=BODY.format(replicas=1).replace(
                                    "service: desk", "service: other"))
    pending = [other]
    ours.before_transact = lambda: pending and applying.apply(
        fake_table.SyncTable(table), pending.pop())
    assert isinstance(applying.apply(ours, change(1, "a")), result.Success)
    assert applying.revisions(ours).unwrap() == {"desk": 1, "other": 1}


def test_lost_answer_is_read_back_by_its_token():
    """The write takes effect, its answer is lost, and a colleague goes on.

    A blind repeat would find revision 2 and tell the operator that he lost
    to somebody, although his own revision 1 was accepted before.
    """
    table = fake_table.FakeTable()
    tables = fake_table.SyncTable(table)
    commit = table.answer
    answers = []

    def lose_first(conditions, writes):
        answer = commit(conditions, writes)
        answers.append(answer)
        if len(answers) > 1:
            return answer
        applying.apply(fake_table.SyncTable(table), change(2, "colleague"))
        return dataclasses.replace(answer,
                                   outcome=store.TransactOutcome.UNKNOWN)

    table.answer = lose_first
    row = applying.apply(tables, change(1, "a", base=0)).unwrap()
    assert (row.revision, row.attempt) == (1, "a")
    assert in_force(table).revision == 2


@hypothesis.given(seed=strategies.integers(0, 10_000),
                  lose=strategies.sampled_from((0.0, 0.3, 0.8)),
                  racers=strategies.integers(2, 4))
@hypothesis.settings(max_examples=150)
def test_exactly_one_racing_operator_wins(seed, lose, racers):
    """Operators race from one revision while answers are lost or late.

    Whoever is told that his change was accepted finds it in the history;
    whoever is told of a conflict does not; at most one revision is made.
    """
    table = fake_table.FakeTable()
    applying.apply(fake_table.SyncTable(table), change(0, "first"))
    views = [
        fake_table.SyncTable(table, seed + number, lose)
        for number in range(racers)
    ]
    # Each one's transaction waits until all others have tried theirs.
    outcomes = {}

    def run(number):
        if number >= racers or number in outcomes:
            return
        outcomes[number] = None
        views[number].before_transact = lambda: run(number + 1)
        outcomes[number] = applying.apply(views[number],
                                          change(number, f"{number}", base=1))

    run(0)
    for view in views:
        view.deliver_late()
    made = applying.history(fake_table.SyncTable(table), "desk").unwrap()
    assert len(made) <= 2
    accepted = {row.attempt for row in made[1:]}
    told_so = {
        f"{number}" for number, outcome in outcomes.items()
        if isinstance(outcome, result.Success)
    }
    told_conflict = {
        f"{number}" for number, outcome in outcomes.items()
        if isinstance(outcome, result.Failure) and
        isinstance(outcome.failure(), exceptions.RevisionConflict)
    }
    assert told_so <= accepted
    assert not told_conflict & accepted
    if not lose:
        assert len(told_so) == 1 and len(told_conflict) == racers - 1
