"""Chooses the group or runner of a request, or refuses it."""

from collections.abc import Callable, Iterable
import dataclasses

from cardamommill.gateway import model, reliability, silence

# Requests that wait at a group though they will be late, as a part of its
# places: more would not be served before their callers leave.
PATIENT_PART = 0.5
# A group that somebody found silent is used only where no other stands.
AVOIDED_COST_MS = 100_000.0
# What a try that fails costs: about a request's objective, since the next one
# begins later, meets a runner that was second choice, and uses up repeats.
FAILURE_COST_MS = 300.0
# What going to another data centre costs beyond its delay: bytes are dear.
REMOTE_COST_MS = 6.0
# What a new connection costs: a round trip, a handshake at the head, and one of
# the connections that it takes. Less than a forecast is uncertain by, so it
# decides between groups that are as good.
NEW_CONNECTION_COST_MS = 8.0
# A request in flight counts as this part of the reading of its prompt, also
# once that is done: it holds a place.
IN_FLIGHT_WEIGHT = 0.25
# Where no group stands callers come back when one should, within these: sooner
# none is open, and later many have left.
MIN_RETRY_AFTER_MS = 120.0
MAX_RETRY_AFTER_MS = 1500.0
# Where all groups are full, at least about what a request takes, and at most
# what callers wait of the time that they have left.
MIN_FULL_RETRY_AFTER_MS = 500.0
MAX_FULL_RETRY_AFTER_MS = 2600.0


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A standing group, and what is known of its load.

    Attributes:
        key: The formation.
        head: The id of its head.
        in_flight: Requests of all nodes at it, without the patient ones.
        places: Requests that it runs at once.
        pace: Factor on all times, of its model and of slow members.
        is_remote: Whether it is in another data centre.
        is_avoided: Whether somebody found it silent a moment ago, or doubts it.
        pending_prompt_tokens: Prompt tokens that were sent to it and not yet
            read.
        deferred: Requests that wait behind those that can be in time.
        fail_odds: How likely its head fails the next try.
        is_cooling_down: Whether its head failed a moment ago.
        wait_ms: How long its head takes nothing more of this node.
        has_idle_connection: Whether a kept connection to its head stands idle.
    """

    key: model.GroupKey
    head: str
    in_flight: int
    places: int
    pace: float
    is_remote: bool
    is_avoided: bool
    pending_prompt_tokens: float = 0.0
    deferred: int = 0
    fail_odds: float = 0.0
    is_cooling_down: bool = False
    wait_ms: float = 0.0
    has_idle_connection: bool = False

    @property
    def is_doubted(self) -> bool:
        """Whether it is likely to fail what it gets."""
        return self.fail_odds > reliability.DOUBT_THRESHOLD


@dataclasses.dataclass(frozen=True, slots=True)
class TokenCounts:
    """What a request asks of an engine."""

    prompt_tokens: int
    answer_tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Placed:
    """Where a request goes, and when its first event should come.

    Attributes:
        expected: What the group should do with it.
        finish_ms: When its last event should come.
        overhead_ms: What of that the engine's arithmetic leaves out.
        is_deferred: Whether it waits behind all that can be in time.
    """

    candidate: Candidate
    expected: silence.ExpectedTiming
    finish_ms: float
    overhead_ms: float = 0.0
    is_deferred: bool = False

    @property
    def first_event_ms(self) -> float:
        """When its first event should come."""
        return self.expected.first_event_ms


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


def max_pass_ms(engine: model.Engine, pace: float) -> float:
    """Returns what a pass takes in which each step reads what it may."""
    prefill_time_ms = prefill_ms(engine, engine.chunk_tokens, pace)
    return pass_ms(engine, engine.slots, pace) + engine.stride * prefill_time_ms


def prefill_ms(engine: model.Engine, tokens: float, pace: float) -> float:
    """Returns what reading a prompt takes."""
    pairs_m = tokens * tokens / 2 / 1e6
    return (tokens / engine.read_tokens_per_ms +
            pairs_m * engine.pairs_per_m_ms) * pace


@dataclasses.dataclass(frozen=True, slots=True)
class Requirements:
    """What a request needs to be of use.

    Attributes:
        goal_ms: In time if its first event comes within this from now.
        max_wait_ms: How long it may wait where it can't be in time.
        remaining_ms: Until when it must be whole.
        jitter: From 0 to 1, different for each request: those that are told
            to come back do not come all at once, and those that are placed at
            the same time do not go all to one group.
        unreported_requests: Requests that other nodes have placed since they
            told of their loads.
        overhead_ms: What every request takes longer than the engine's
            arithmetic says.
    """

    goal_ms: float
    max_wait_ms: float
    remaining_ms: float
    jitter: float
    unreported_requests: float = 0.0
    overhead_ms: float = 0.0


def unreported_requests(engine: model.Engine, pace: float, requests: float,
                        age_ms: float) -> float:
    """Returns how many requests came since loads of some age were told.

    As many come as end while the load stays what it is.

    Args:
        engine: Its arithmetic.
        pace: Of the model.
        requests: Those that were told.
        age_ms: How long ago they were told.
    """
    passes = max(1.0, engine.usual_answer_tokens / engine.stride)
    lasts_ms = passes * pass_ms(engine, engine.slots // 2, pace)
    return requests * age_ms / lasts_ms


def place(engine: model.Engine, token_counts: TokenCounts,
          candidates: Iterable[Candidate], excluded: frozenset[model.GroupKey],
          requirements: Requirements, form_ms: float) -> Placed | Refused:
    """Returns where a request goes.

    One that can be in time goes where it will be first. One that can't waits
    behind all that can, in a short queue: with all in one queue, demand above
    the capacity makes nearly every request late.

    A group that can't finish it by its deadline comes last: long answers were
    sent to slow groups for their first event, and hardly one became whole.

    One whose head is likely to fail it gets it only where no other takes it,
    not even to wait: a head that fails at once is always the least loaded. And
    it rests a moment after each failure: where all others were full, it got as
    many requests as they did, and used up the repeats of all.

    Args:
        engine: Its arithmetic.
        token_counts: What the request asks.
        candidates: The groups of its model that stand.
        excluded: Those that it was at already.
        requirements: What it needs.
        form_ms: When a missing group should stand again.
    """
    available = [each for each in candidates if each.key not in excluded]
    takers = [each for each in available if not each.wait_ms]
    if available and not takers:
        return backpressure_refusal((each.wait_ms for each in available),
                                    requirements.jitter)
    placed = [
        _expect(engine, token_counts, each, requirements.overhead_ms)
        for each in takers
    ]
    sound = [each for each in placed if not each.candidate.is_doubted]
    doubted = [
        each for each in placed if each.candidate.is_doubted and
        not (sound and each.candidate.is_cooling_down)
    ]
    chosen = _best(engine, sound, requirements) or _best(
        engine, doubted, requirements)
    if chosen is not None:
        return chosen
    if placed:
        return Refused("all groups are full",
                       _worked_off_ms(sound or placed, requirements))
    wait_ms = min(max(form_ms, MIN_RETRY_AFTER_MS), MAX_RETRY_AFTER_MS)
    return Refused("no group stands", wait_ms * (1 + requirements.jitter / 4))


def backpressure_refusal(waits_ms: Iterable[float], jitter: float) -> Refused:
    """Returns the refusal where no runner takes a request of this node now.

    Args:
        waits_ms: How long each takes none.
        jitter: From 0 to 1, so that callers do not come back all at once.
    """
    wait_ms = max(MIN_RETRY_AFTER_MS, min(waits_ms))
    return Refused("no runner takes more now",
                   min(MAX_FULL_RETRY_AFTER_MS, wait_ms * (1 + jitter)))


def _best(engine: model.Engine, placed: list[Placed],
          requirements: Requirements) -> Placed | None:
    in_time = [
        each for each in placed if each.first_event_ms <= requirements.goal_ms
    ]
    deferred = [
        each for each in placed
        if each.candidate.deferred < PATIENT_PART * each.candidate.places and
        each.first_event_ms <= requirements.max_wait_ms
    ]
    for wanted in (_finishing(requirements), _any):
        chosen = [each for each in in_time if wanted(each)]
        if chosen:
            return _share_out(chosen, engine, requirements)
        chosen = [each for each in deferred if wanted(each)]
        if chosen:
            return dataclasses.replace(min(chosen, key=_deferred_cost),
                                       is_deferred=True)
    return None


def _share_out(placed: list[Placed], engine: model.Engine,
               requirements: Requirements) -> Placed:
    """Returns a group, so that all nodes together level their costs.

    Loads of other nodes are some heartbeats old. By the lowest cost alone all
    nodes send what comes meanwhile to the same group, which is then the fullest
    of all. So the unreported requests are thought of as poured over the
    groups up to one level of cost, and a request goes to a group with the
    odds of its part. Where nothing is unreported the group with the lowest
    cost has all.
    """
    usual_ms = prefill_ms(engine, engine.usual_prompt_tokens, 1.0)

    def cost_ms(each: Placed) -> float:
        held_ms = IN_FLIGHT_WEIGHT * usual_ms * each.candidate.pace
        return _cost_ms(each) + held_ms * each.candidate.in_flight

    ranked = sorted(placed, key=cost_ms)
    costs_ms = [cost_ms(each) for each in ranked]
    steps_ms = [(1 + IN_FLIGHT_WEIGHT) * usual_ms * each.candidate.pace
                for each in ranked]
    level_ms = _level_ms(costs_ms, steps_ms, requirements.unreported_requests)
    parts = [
        max(0.0, level_ms - each_ms) / step_ms
        for each_ms, step_ms in zip(costs_ms, steps_ms, strict=True)
    ]
    left = requirements.jitter * sum(parts)
    for each, part in zip(ranked, parts, strict=True):
        left -= part
        if left < 0:
            return each
    return ranked[0]


def _level_ms(costs_ms: list[float], steps_ms: list[float],
              requests: float) -> float:
    """Returns the cost up to which groups are filled by some requests.

    Args:
        costs_ms: Of each group, the lowest first.
        steps_ms: By how much a request raises the cost of each.
        requests: How many are shared out.
    """
    rate = weighted = 0.0
    level_ms = costs_ms[0]
    for cost_ms, step_ms in zip(costs_ms, steps_ms, strict=True):
        if rate and cost_ms >= level_ms:
            break
        rate += 1 / step_ms
        weighted += cost_ms / step_ms
        level_ms = (requests + weighted) / rate
    return level_ms


def _worked_off_ms(placed: list[Placed], requirements: Requirements) -> float:
    """Returns when the shortest queue of now should have been worked off.

    Told to come back after 0.5 to 1 s, while a queue takes 1.3 s and more,
    callers came back to be refused once more, and most try only twice.
    """
    soonest_ms = min(each.first_event_ms for each in placed)
    wait_ms = max(MIN_FULL_RETRY_AFTER_MS,
                  soonest_ms - max(0.0, requirements.goal_ms))
    return min(MAX_FULL_RETRY_AFTER_MS, wait_ms * (1 + requirements.jitter))


def _finishing(requirements: Requirements) -> Callable[[Placed], bool]:
    return lambda placed: placed.finish_ms <= requirements.remaining_ms


def _any(placed: Placed) -> bool:
    del placed
    return True


def _cost_ms(placed: Placed) -> float:
    candidate = placed.candidate
    return (placed.first_event_ms + FAILURE_COST_MS * candidate.fail_odds +
            (AVOIDED_COST_MS if candidate.is_avoided else 0.0) +
            (REMOTE_COST_MS if candidate.is_remote else 0.0) +
            (0.0 if candidate.has_idle_connection else NEW_CONNECTION_COST_MS))


def _deferred_cost(placed: Placed) -> tuple[bool, float]:
    candidate = placed.candidate
    return (candidate.is_avoided, (candidate.in_flight + candidate.deferred) *
            candidate.pace / candidate.places + candidate.fail_odds)


def _expect(engine: model.Engine, counts: TokenCounts, candidate: Candidate,
            overhead_ms: float) -> Placed:
    running = min(candidate.in_flight, candidate.places)
    one_pass_ms = pass_ms(engine, running + 1, candidate.pace)
    own_prefill_ms = prefill_ms(engine, counts.prompt_tokens, candidate.pace)
    others_ms = candidate.pending_prompt_tokens / engine.read_tokens_per_ms * (
        candidate.pace)
    waiting = candidate.in_flight - candidate.places + 1
    queue_ms = 0.0
    if waiting > 0:
        passes = engine.usual_answer_tokens / engine.stride
        queue_ms = waiting * passes * one_pass_ms / candidate.places
    # On average half a pass is under way, and one more brings the event.
    first_ms = (overhead_ms + 1.5 * one_pass_ms + own_prefill_ms + others_ms +
                queue_ms)
    finish_ms = first_ms + counts.answer_tokens / engine.stride * _mean_pass_ms(
        engine, running + 1, candidate.pace)
    expected = silence.ExpectedTiming(one_pass_ms,
                                      max_pass_ms(engine, candidate.pace),
                                      own_prefill_ms, first_ms)
    return Placed(candidate, expected, finish_ms, overhead_ms)


def _mean_pass_ms(engine: model.Engine, running: int, pace: float) -> float:
    # Each that runs has come with a prompt, whose reading holds the others up:
    # 58 ms between events where a pass alone takes 45.
    passes = max(1.0, engine.usual_answer_tokens / engine.stride)
    prefill_time_ms = running * prefill_ms(engine, engine.usual_prompt_tokens,
                                           pace)
    return pass_ms(engine, running, pace) + prefill_time_ms / passes
