"""Why a request is refused before it is sent anywhere."""

import random

from cardamommill import (
    answers,
    choice,
    inprogress,
    peering,
    periods,
    requesting,
)
from cardamommill import board as board_lib

# While replicas are assigned but none has given evidence, requests wait this
# many polls: a gap of one poll is no reason to refuse.
EVIDENCE_POLLS = 4
# What a caller waits whom another node can serve: the balancer finds it.
OTHER_NODE_MS = 1000

_Reason = answers.Reason


def suspicion(board: board_lib.Board,
              digest: str) -> peering.SuspectState | None:
    """Returns what is held against a request, None if nothing is.

    Args:
        board: What the node knows.
        digest: The request's.
    """
    known = board.suspects.by_digest.get(digest)
    if known is None or known.state is peering.SuspectState.CLEARED:
        return None
    return known.state


def quarantined() -> requesting.Problem:
    """Returns what to tell the caller of a quarantined request."""
    return answers.problem(
        _Reason.QUARANTINED,
        "the same request crashed backend servers before; an operator can "
        "lift the quarantine")


def at_arrival(board: board_lib.Board, head: requesting.RequestHead,
               chance: random.Random, now_ms: int) -> requesting.Problem | None:
    """Returns why a request is refused whatever the load, or None.

    Args:
        board: What the node knows.
        head: The request.
        chance: Spreads the advice when to come again.
        now_ms: The local monotonic time.
    """
    phase = board.life.phase
    if phase is not board_lib.NodePhase.SERVING:
        return answers.problem(_Reason.NOT_SERVING,
                               f"the node is {phase.value}",
                               retry_after_s=answers.retry_after_s(
                                   OTHER_NODE_MS, chance))
    if head.service not in board.documents.in_force:
        return answers.problem(_Reason.UNKNOWN_SERVICE,
                               f"no document names {head.service}")
    if now_ms >= head.deadline_ms:
        return answers.problem(_Reason.DEADLINE, "it came too late")
    state = suspicion(board, head.digest)
    if state is peering.SuspectState.QUARANTINED:
        return quarantined()
    return board.limits.refused.get(head.request_id)


def may_come(board: board_lib.Board, service: str, since_ms: int,
             timing: periods.Timing, now_ms: int) -> bool:
    """Tells whether evidence of a replica may still come when none serves.

    Args:
        board: What the node knows.
        service: Whose replicas.
        since_ms: When the wait for it began.
        timing: The periods in force.
        now_ms: The local monotonic time.
    """
    assigned = any(
        row.service == service for row in board.assignments.replicas.values())
    return assigned and now_ms < since_ms + EVIDENCE_POLLS * timing.poll_ms


def without_replica(timing: periods.Timing,
                    chance: random.Random) -> requesting.Problem:
    """Returns what to tell a caller while no replica serves.

    Args:
        timing: The periods in force.
        chance: Spreads the advice when to come again.
    """
    return answers.problem(
        _Reason.NO_CAPACITY,
        "no replica in this data centre gives evidence that it serves",
        retry_after_s=answers.retry_after_s(EVIDENCE_POLLS * timing.poll_ms,
                                            chance))


def all_tried(board: board_lib.Board, among: choice.Candidates,
              request: inprogress.InProgress, timing: periods.Timing,
              chance: random.Random, now_ms: int) -> requesting.Problem | None:
    """Returns why a request that was tried needn't wait on, or None.

    One that is assigned but gives no evidence now may do so in a moment.

    Args:
        board: What the node knows.
        among: The service's replicas.
        request: The request.
        timing: The periods in force.
        chance: Spreads the advice when to come again.
        now_ms: The local monotonic time.
    """
    tried = request.tried
    if not tried or any(each.place not in tried for each in among.each):
        return None
    untried = any(
        row.service == request.head.service and choice.place(row) not in tried
        for row in board.assignments.replicas.values())
    patience_ms = EVIDENCE_POLLS * timing.poll_ms
    if untried and now_ms < request.queued_ms + patience_ms:
        return None
    return answers.problem(
        _Reason.BROKEN,
        f"all {len(among.each)} replicas that serve here were tried",
        outcome=request.outcome,
        retry_after_s=answers.retry_after_s(OTHER_NODE_MS, chance))
