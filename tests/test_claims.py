"""Tests of at most once: several nodes' claims against an oracle of runs."""

import pytest

from cardamommill import claims, requesting, store
from tests import claimfleet

Outcome = requesting.Outcome


def states(fleet):
    return [
        store.decode(store.ClaimRow, row.value).state
        for row in fleet.table.rows.values()
    ]


def test_repeat_gets_the_recorded_answer_at_any_node_hours_later():
    fleet = claimfleet.Fleet()
    first, second, third = fleet.lives
    request_id = fleet.want(first)
    fleet.answer(first)
    fleet.run(first, request_id, Outcome.RAN)
    fleet.settle()
    fleet.tick(5 * 3_600_000)
    fleet.die(0)
    for life in (second, third):
        repeat = fleet.want(life)
        fleet.settle()
        assert fleet.refusals[repeat].answer.body == f"answer to {request_id}"
    other = fleet.want(second, digest="another body")
    fleet.settle()
    assert fleet.refusals[other].problem.status == 422


def test_large_answer_comes_back_from_the_object_store():
    fleet = claimfleet.Fleet()
    request_id = fleet.want(fleet.lives[0])
    fleet.answer(fleet.lives[0])
    fleet.run(fleet.lives[0], request_id, Outcome.RAN, body="x" * 100_000)
    fleet.settle()
    assert len(fleet.objects) == 1
    repeat = fleet.want(fleet.lives[1])
    fleet.settle()
    assert len(fleet.refusals[repeat].answer.body) == 100_000


def test_claims_share_a_transaction_and_one_conflict_spares_the_others():
    """A repeat shares its transaction with 30 new calls.

    The table refuses the whole transaction since one condition fails. Only
    the repeat may be refused; the callers of the others must not notice.
    """
    fleet = claimfleet.Fleet()
    first, second, _ = fleet.lives
    request_id = fleet.want(first, key="taken")
    fleet.answer(first)
    fleet.run(first, request_id, Outcome.RAN)
    fleet.settle()
    before = fleet.table.asked
    new = [fleet.want(second, key=f"new{index}") for index in range(2)]
    repeat = fleet.want(second, key="taken")
    new += [fleet.want(second, key=f"more{index}") for index in range(28)]
    fleet.settle()
    assert sorted(second.running) == sorted(new)
    assert fleet.refusals[repeat].answer
    assert fleet.table.asked - before <= 4


def test_lost_answer_is_read_back():
    """The claim takes effect, its answer is lost.

    Repeated blindly, the write would find its own row and refuse the only
    caller of the key; the token in the row tells that it is this claim's.
    """
    fleet = claimfleet.Fleet()
    request_id = fleet.want(fleet.lives[0])
    fleet.answer(fleet.lives[0], "lost")
    fleet.answer(fleet.lives[0])
    assert request_id in fleet.lives[0].running


def test_write_that_takes_effect_late_holds_no_key():
    """A claim's answer is lost, its caller is refused, the key is given back.

    The write reaches the table hours later, after another node's request with
    that key was refused or has run. It must neither take the key from it nor
    block it for ever.
    """
    fleet = claimfleet.Fleet()
    first, second, _ = fleet.lives
    refused = fleet.want(first)
    fleet.answer(first, "late")
    fleet.answer(first, "down")
    assert fleet.refusals[refused].problem.outcome is Outcome.NOT_RUN
    fleet.settle()
    assert states(fleet) == [store.ClaimState.RETURNED]
    again = fleet.want(second)
    while not second.running:
        fleet.answer(second)
    fleet.take_effect(0)
    fleet.run(second, again, Outcome.RAN)
    fleet.settle()
    assert states(fleet) == [store.ClaimState.FINISHED]


@pytest.mark.parametrize("fate", ["lost", "late"])
def test_give_back_that_is_written_twice_takes_no_later_claim(fate):
    """A node gives a key back and the answer to that write is lost.

    It tries again. Meanwhile another node has claimed the key and run it;
    the second write, or the first one taking effect late, must not free the
    key under it for a second run.
    """
    fleet = claimfleet.Fleet()
    first, second, third = fleet.lives
    request_id = fleet.want(first)
    fleet.answer(first)
    fleet.run(first, request_id, Outcome.NOT_RUN, ran=False)
    fleet.answer(first)
    fleet.answer(first, fate)
    if fate == "late":
        # The second try succeeds; the first one is still on its way.
        while states(fleet) != [store.ClaimState.RETURNED]:
            fleet.tick()
            while first.pending:
                fleet.answer(first)
    again = fleet.want(second)
    while not second.running:
        fleet.answer(second)
    while fleet.late:
        fleet.take_effect(0)
    for _ in range(5):
        fleet.tick()
        while first.pending:
            fleet.answer(first)
    repeat = fleet.want(third)
    while third.pending:
        fleet.answer(third)
    assert fleet.refusals[repeat].problem.status == 409
    fleet.run(second, again, Outcome.RAN)


def test_without_table_refused_at_once():
    """The table is down: the caller is told at once that nothing ran."""
    fleet = claimfleet.Fleet()
    request_id = fleet.want(fleet.lives[0])
    fleet.answer(fleet.lives[0], "down")
    problem = fleet.refusals[request_id].problem
    assert (problem.status, problem.outcome) == (503, Outcome.NOT_RUN)
    assert problem.retry_after_s > 0


def test_table_that_says_nothing_is_waited_for_within_a_limit():
    """A booking's claim is written, and the table gives no answer.

    The caller is refused in time, as not run. The write may still take effect;
    the claim is then given back, so that the key is free for its next try.
    """
    fleet = claimfleet.Fleet()
    request_id = fleet.want(fleet.lives[0])
    fleet.tick(claimfleet.TIMING.store_timeout_ms)
    assert fleet.refusals[request_id].problem.status == 503
    fleet.settle()
    assert not fleet.lives[0].running
    assert states(fleet) == [store.ClaimState.RETURNED]


@pytest.mark.parametrize("dies_after", ["claim sent", "claimed", "ran"])
def test_key_of_a_dead_node_is_not_run_again(dies_after):
    """A node dies between claim, dispatch and record.

    Nobody can tell whether the request was sent, so its repeats, at every
    node and at the node's next life, get a 409 and are not run.
    """
    fleet = claimfleet.Fleet()
    first = fleet.lives[0]
    request_id = fleet.want(first)
    if dies_after != "claim sent":
        fleet.answer(first)
    if dies_after == "ran":
        fleet.run(first, request_id, Outcome.RAN)
        first.pending.clear()
    fleet.die(0)
    while fleet.late:
        fleet.take_effect(0)
    for life in fleet.lives:
        repeat = fleet.want(life)
        fleet.settle()
        problem = fleet.refusals[repeat].problem
        assert (problem.status, problem.outcome) == (409, Outcome.UNKNOWN)


def test_same_key_at_one_node_and_at_two_at_the_same_moment():
    """An impatient caller sends one booking four times, to three nodes.

    One runs; the others are told that it is under way.
    """
    fleet = claimfleet.Fleet()
    ids = [fleet.want(life) for life in (*fleet.lives, fleet.lives[0])]
    fleet.settle()
    granted = [each for life in fleet.lives for each in life.running]
    assert len(granted) == 1
    refused = set(ids) - set(granted)
    assert {fleet.refusals[each].problem.status for each in refused} == {409}


def test_key_that_did_not_run_is_free_again():
    fleet = claimfleet.Fleet()
    request_id = fleet.want(fleet.lives[0])
    fleet.answer(fleet.lives[0])
    fleet.run(fleet.lives[0], request_id, Outcome.NOT_RUN, ran=False)
    fleet.settle()
    again = fleet.want(fleet.lives[1])
    fleet.settle()
    assert again in fleet.lives[1].running


def test_key_whose_outcome_is_unknown_is_not_run_again():
    """The replica broke off while it ran a booking; it may have been made."""
    fleet = claimfleet.Fleet()
    request_id = fleet.want(fleet.lives[0])
    fleet.answer(fleet.lives[0])
    fleet.run(fleet.lives[0], request_id, Outcome.UNKNOWN)
    fleet.settle()
    for life in fleet.lives:
        repeat = fleet.want(life)
        fleet.settle()
        problem = fleet.refusals[repeat].problem
        assert (problem.status, problem.outcome) == (409, Outcome.UNKNOWN)


def test_memory_stays_bounded_while_the_table_is_away():
    """Bookings run and the table takes none of their answers.

    What waits to be recorded is bounded in number and bytes, so that a long
    outage does not end the node.
    """
    fleet = claimfleet.Fleet()
    life = fleet.lives[0]
    body = "x" * 10_000
    for index in range(3000):
        request_id = fleet.want(life, key=str(index))
        while not life.running:
            fleet.answer(life, "ok")
        fleet.run(life, request_id, Outcome.RAN, body=body)
        life.pending.clear()
    records = life.decisions._controllers[0]._records
    assert len(records) <= 4096
    assert records._held_bytes <= 16_777_216
    assert claims.MAX_BATCH == 64
