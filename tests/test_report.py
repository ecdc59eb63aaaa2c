"""Tests of status and explanations."""

import dataclasses

import pytest

from cardamommill import board as board_lib
from cardamommill import (
    explaining,
    fleet,
    report,
    reporttext,
    serving,
    statusfigures,
)
from tests import boards


def no_evidence(board):
    del board.evidence.by_vm["v2"]


def old_evidence(board):
    board.evidence.by_vm["v2"] = boards.evidence("v2", age_ms=3000)


def other_formation(board):
    board.evidence.by_vm["v2"] = boards.evidence("v2", formation=2)


def loading(board):
    board.evidence.by_vm["v2"] = boards.evidence("v2", ready=False)


def leaving(board):
    board.vms.leaving.add("v2")


def lost(board):
    board.evidence.lost_boots["v2"] = "boot"


def paused(board):
    board.life.not_before_ms = boards.NOW_MS + 1


def releasing(board):
    board.assignments.replicas["r1"] = boards.row(
        state=fleet.ReplicaState.RELEASING)


@pytest.mark.parametrize("fill, fault", [
    (no_evidence, "v2 has not been heard"),
    (old_evidence, "v2 was last heard 3.0 s ago"),
    (other_formation, "v2 is at epoch 3, formation 2"),
    (loading, "v2 is still loading or lacks a member"),
    (leaving, "v2 is leaving"),
    (lost, "v2 broke its connection"),
    (paused, "v1 was not heard since this node stood still"),
    (releasing, "it is being released"),
])
def test_a_replica_is_shown_serving_only_where_it_would_be_sent_work(
        fill, fault):
    decided = boards.decided(fill)
    (shown,) = report.status(decided, boards.NOW_MS).replicas
    assert shown.faults[0] == fault
    assert not shown.serving
    assert not serving.serving_replicas(decided.board, "assist-llm",
                                        decided.timing, boards.NOW_MS)
    assert f"does not serve: {fault}" in reporttext.status(
        report.status(decided, boards.NOW_MS))


def test_a_whole_data_centre_reads_like_a_short_report():
    text = reporttext.status(report.status(boards.decided(), boards.NOW_MS))
    assert text.startswith("n1 in praha-a: serving, ready\n"
                           "planner: n2, epoch 3\n")
    assert "assist-llm  1         eva  1 of 2" in text
    assert "VMs: 3 listed, 3 heard, 2 members, 1 spares, 0 releasing" in text
    assert "n2    0.3 s  yes" in text
    assert "d1               quarantined  r0/1/1, r1/1/1" in text
    assert "OUT OF REACH" not in text


@pytest.mark.parametrize("answered_ms, said", [
    (board_lib.NEVER_MS, "never answered"),
    (boards.NOW_MS - 60_000, "silent for 60.0 s"),
])
def test_a_node_that_is_cut_off_says_how_old_its_knowledge_is(
        answered_ms, said):
    """An operator asks a node that has not reached the table for some time.

    Its rows may have changed since; without the line the operator would take
    them for what is so now.
    """

    def cut_off(board):
        board.store.answered_ms = answered_ms

    status = report.status(boards.decided(cut_off), boards.NOW_MS)
    assert status.node.cut_off
    assert f"OUT OF REACH ({said})" in reporttext.status(status)


def test_figures_count_what_serves_and_what_is_stranded():

    def of(fill):
        status = report.status(boards.decided(fill), boards.NOW_MS)
        return {
            (each.name, *(text for _, text in each.labels)):
                each.value for each in statusfigures.samples(status)
        }

    whole, broken = of(lambda board: None), of(lost)
    assert whole["replicas_serving", "assist-llm"] == 1
    assert whole[
        "vms_stranded",
    ] == 1
    assert broken["replicas_serving", "assist-llm"] == 0
    assert broken[
        "vms_stranded",
    ] == 3
    assert whole["replicas_wanted", "assist-llm"] == 2


def test_a_replica_is_explained_by_the_causes_in_its_row():
    told = explaining.explain("replica", "r1", boards.decided(), boards.NOW_MS)
    text = reporttext.explanation(told)
    assert "It serves." in text
    assert "2026-01-01T00:00:00Z" in text
    assert "assigned: one replica too few" in text


def test_a_vm_is_explained_by_list_table_and_runner():

    def drained(board):
        board.assignments.drained.add("v2")
        board.vms.leaving.add("v2")

    told = explaining.explain("vm", "v2", boards.decided(drained),
                              boards.NOW_MS)
    text = " ".join(told.now)
    for part in ("lists it as live, in f1", "member of r1 at epoch 3",
                 "its runner said to n2", "Operators drain it.",
                 "As a member it is leaving."):
        assert part in text


@pytest.mark.parametrize("kind", explaining.EXPLAINERS)
def test_what_nobody_knows_is_said_to_be_unknown(kind):
    told = explaining.explain(kind, "x", boards.decided(), boards.NOW_MS)
    assert told == explaining.Explanation(f"{kind}/x", False)


def test_status_holds_plain_values_only():
    status = report.status(boards.decided(), boards.NOW_MS)
    assert dataclasses.asdict(status)["vms"]["member"] == 2


def test_a_service_is_explained_by_its_document_and_replicas():
    told = explaining.explain("service", "assist-llm", boards.decided(),
                              boards.NOW_MS)
    assert told.now == (
        "Revision 1 of its document, from eva (first), has been in force on "
        "n1 for 5 s.", "It wants 2 replicas and 1 spares in praha-a.",
        "r1 serves.")


def test_a_node_that_was_asked_to_end_is_not_ready():
    """A node is told to end; its requests may still finish for some seconds.

    The balancer hears at once that it is not ready. Status and the figure
    ``ready`` must say the same, or operators look for a fault elsewhere.
    """

    def leave(board):
        board.life.leaving = True

    assert report.status(boards.decided(), boards.NOW_MS).node.ready
    assert not report.status(boards.decided(leave), boards.NOW_MS).node.ready
