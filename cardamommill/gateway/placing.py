"""Chooses the group or runner of a request, or refuses it."""

from collections.abc import Iterable
import dataclasses

from cardamommill.gateway import model

# Requests a group's queue may hold beyond its places, as a part of them.
QUEUE_PART = 0.5
# A group that somebody found silent is used only where no other stands.
AVOIDED_COST_MS = 100_000.0
# What going to another data centre costs beyond its delay: bytes are dear.
AWAY_COST_MS = 6.0
# Answers that tell a peer's in-flight requests are this old at most.
MIN_RETRY_AFTER_MS = 120.0
MAX_RETRY_AFTER_MS = 1500.0


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A standing group, and what is known of its load.

    Attributes:
        key: The formation.
        head: The id of its head.
        in_flight: Requests of all nodes at it.
        places: Requests that it runs at once.
        pace: Factor on all times, of its model and of slow members.
        away: Whether it is in another data centre.
        avoided: Whether somebody found it silent a moment ago.
        reading_tokens: Prompt tokens that were sent to it and not yet read.
    """

    key: model.GroupKey
    head: str
    in_flight: int
    places: int
    pace: float
    away: bool
    avoided: bool
    reading_tokens: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """What a request asks of an engine."""

    prompt_tokens: int
    answer_tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Placed:
    """Where a request goes, and when its first event should come."""

    candidate: Candidate
    first_event_ms: float
    read_ms: float
    pass_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """Why a request goes nowhere, and when to come back."""

    reason: str
    retry_after_ms: float


def pass_ms(engine: model.Engine, running: int, pace: float) -> float:
    """Returns what one pass of a group takes while it reads nothing."""
    context = engine.usual_prompt_tokens + engine.usual_answer_tokens / 2
    step_ms = engine.step_ms + running * (
        engine.per_sequence_ms + engine.context_per_k_ms * context / 1000)
    return engine.stride * step_ms * pace


def read_ms(engine: model.Engine, tokens: float, pace: float) -> float:
    """Returns what reading a prompt takes."""
    pairs_m = tokens * tokens / 2 / 1e6
    return (tokens / engine.read_tokens_per_ms +
            pairs_m * engine.pairs_per_m_ms) * pace


def place(engine: model.Engine, work: Work, candidates: Iterable[Candidate],
          excluded: frozenset[model.GroupKey], budget_ms: float,
          form_ms: float) -> Placed | Refused:
    """Returns the group where the first event should come first.

    Args:
        engine: Its arithmetic.
        work: What the request asks.
        candidates: The groups of its model that stand.
        excluded: Those that it was at already.
        budget_ms: How long the first event may take to be of use.
        form_ms: When a missing group should stand again.
    """
    best: Placed | None = None
    best_cost_ms = float("inf")
    full = 0
    for candidate in candidates:
        if candidate.key in excluded:
            continue
        placed = _expect(engine, work, candidate)
        if placed.first_event_ms > budget_ms:
            full += 1
            continue
        cost_ms = placed.first_event_ms + (AVOIDED_COST_MS if candidate.avoided
                                           else 0.0) + (AWAY_COST_MS if
                                                        candidate.away else 0.0)
        if cost_ms < best_cost_ms:
            best, best_cost_ms = placed, cost_ms
    if best is not None:
        return best
    if full:
        return Refused("all groups are full", MIN_RETRY_AFTER_MS * 2)
    return Refused("no group stands",
                   min(max(form_ms, MIN_RETRY_AFTER_MS), MAX_RETRY_AFTER_MS))


def _expect(engine: model.Engine, work: Work, candidate: Candidate) -> Placed:
    running = min(candidate.in_flight, candidate.places)
    one_pass_ms = pass_ms(engine, running + 1, candidate.pace)
    own_read_ms = read_ms(engine, work.prompt_tokens, candidate.pace)
    others_ms = candidate.reading_tokens / engine.read_tokens_per_ms * (
        candidate.pace)
    waiting = candidate.in_flight - candidate.places + 1
    queue_ms = 0.0
    if waiting > 0:
        passes = engine.usual_answer_tokens / engine.stride
        queue_ms = waiting * passes * one_pass_ms / candidate.places
    # On average half a pass is under way, and one more brings the event.
    first_ms = 1.5 * one_pass_ms + own_read_ms + others_ms + queue_ms
    return Placed(candidate, first_ms, own_read_ms, one_pass_ms)
