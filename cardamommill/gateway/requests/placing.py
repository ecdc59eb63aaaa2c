"""Chooses the group that serves a request, or refuses the request.

The loads that it answers: more requests than the groups can take, also while
some groups are dead, and many nodes that choose by reports of some age.
"""

from collections.abc import Callable, Iterable
import dataclasses

from cardamommill.domain import model
from cardamommill.gateway.requests import (
    enginetimes,
    loadspreading,
    reliability,
    silence,
)

# Maximum number of deferred requests at a group, as a fraction of its slots:
# more would not be served before their callers leave.
PATIENT_PART = 0.5
# Much larger than the other costs, so an avoided group is chosen only if no
# other group can meet the request's objective and deadline.
AVOIDED_COST_MS = 100_000.0
# Cost of a failed attempt: about a request's latency objective, since the next
# attempt starts later, goes to a second-choice runner, and uses up the retry
# budget.
FAILURE_COST_MS = 300.0
# Cost of using another data centre beyond the delay: traffic between data
# centres is expensive.
REMOTE_COST_MS = 6.0
# Cost of a new connection: a round trip, a handshake at the head, and one of
# the head's limited connections. It is smaller than the error of a latency
# estimate, so it decides only between groups that are about equally good.
NEW_CONNECTION_COST_MS = 8.0
# Cost of each in-flight request, as a fraction of the time to process a prompt
# of the usual length. It applies after the prompt is processed too, since the
# request still holds a place.
IN_FLIGHT_WEIGHT = 0.25
# Bounds of the retry delay when no group is available: before the minimum no
# group opens, and after the maximum many callers have left.
MIN_RETRY_AFTER_MS = 120.0
MAX_RETRY_AFTER_MS = 1500.0
# Bounds of the retry delay when all groups are full: at least about the
# duration of a request, and at most the time that callers wait before a retry,
# which is only a part of the time left until their deadline.
MIN_FULL_RETRY_AFTER_MS = 500.0
MAX_FULL_RETRY_AFTER_MS = 2600.0


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """An available group with its current load.

    Attributes:
        key: The group's key.
        head: The id of the runner that is the group's head.
        in_flight: Number of requests of all nodes, without deferred ones.
        slots: Maximum number of requests that run concurrently.
        pace: Factor on all durations, from the model and from slow members.
        is_remote: Whether the group is in another data centre.
        is_avoided: Whether the group was recently found silent, has a leaving
            member, or has a head that is likely to fail.
        pending_prompt_tokens: Prompt tokens sent to the group and not yet
            processed.
        deferred: Number of requests queued behind those that can still meet
            their objective.
        fail_odds: Probability that the head fails the next attempt.
        is_cooling_down: Whether the head failed very recently.
        wait_ms: Time until the head accepts another request of this node.
        has_idle_connection: Whether the pool has an idle connection to the
            head.
        is_suspect: Whether the group recently failed a request or was found
            silent.
        is_down: Whether the group is known to have a dead member or a closed
            head.
    """

    key: model.GroupKey
    head: str
    in_flight: int
    slots: int
    pace: float
    is_remote: bool
    is_avoided: bool
    pending_prompt_tokens: float = 0.0
    deferred: int = 0
    fail_odds: float = 0.0
    is_cooling_down: bool = False
    wait_ms: float = 0.0
    has_idle_connection: bool = False
    is_suspect: bool = False
    is_down: bool = False

    @property
    def is_doubted(self) -> bool:
        """Whether the head is likely to fail the next attempt."""
        return self.fail_odds > reliability.DOUBT_THRESHOLD


@dataclasses.dataclass(frozen=True, slots=True)
class RequestTokens:
    """Prompt length of a request and expected length of its answer."""

    prompt_tokens: int
    answer_tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Placed:
    """The group chosen for a request, with the estimated latency.

    Attributes:
        candidate: The chosen group.
        expected: Estimated timing of the request at the group.
        finish_ms: Estimated time until the last event.
        overhead_ms: The part of the estimate that the engine's cost model
            leaves out.
        is_deferred: Whether the request queues behind those that can still
            meet their objective.
    """

    candidate: Candidate
    expected: silence.ExpectedTiming
    finish_ms: float
    overhead_ms: float = 0.0
    is_deferred: bool = False

    @property
    def first_event_ms(self) -> float:
        """Estimated time until the first event."""
        return self.expected.first_event_ms


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The reason why a request was not placed, and when to retry."""

    reason: str
    retry_after_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Requirements:
    """The time limits of a request, and corrections to the estimates.

    Attributes:
        goal_ms: Time left for the first event to meet the latency objective.
        max_wait_ms: Maximum time to the first event if the objective can't be
            met.
        remaining_ms: Time left until the deadline of the whole answer.
        jitter: Random number from 0 to 1 for each request. It spreads the
            retries of refused requests over time, and simultaneous requests
            over groups.
        unreported_requests: Estimated number of requests that other nodes have
            placed since they last reported their load.
        overhead_ms: Time that every request takes beyond the engine's cost
            model.
    """

    goal_ms: float
    max_wait_ms: float
    remaining_ms: float
    jitter: float
    unreported_requests: float = 0.0
    overhead_ms: float = 0.0


def unreported_requests(engine: model.Engine, pace: float, requests: float,
                        age_ms: float) -> float:
    """Returns how many requests arrived since the load was reported.

    Assumes a constant load, so that the reported requests are replaced by as
    many others within the duration of a request. The duration is that of a
    usual answer with half of the slots in use.

    Args:
        engine: The engine's cost model.
        pace: Factor on all durations, from the model.
        requests: The reported number of requests.
        age_ms: Age of the report.
    """
    passes = max(1.0, engine.usual_answer_tokens / engine.stride)
    duration_ms = passes * enginetimes.pass_ms(engine, engine.slots // 2, pace)
    return requests * age_ms / duration_ms


def place(engine: model.Engine, request_tokens: RequestTokens,
          candidates: Iterable[Candidate], excluded: frozenset[model.GroupKey],
          requirements: Requirements, form_ms: float) -> Placed | Refused:
    """Chooses a group for a request, or refuses the request.

    A request that can meet its objective goes to a group with a low cost, which
    is mainly the estimated time to the first event. Any other request is
    deferred: it waits in a short queue behind those that can. With a single
    queue, demand above the capacity makes nearly every request late.

    Groups that can't finish the request by its deadline are used last. If only
    the first event counted, slow groups would get long answers, hardly any of
    which they complete in time.

    A group whose head is likely to fail is used only if no other group accepts
    the request, not even as deferred: a head that fails immediately always has
    the lowest load. For a short time after each failure it gets no requests
    while any other group has a trusted head, even if that group is full.
    Without this cool-down, while all other groups were full, it got as many
    requests as they did, and their retries used up the retry budget.

    A suspect group is used only if no other group accepts the request, not even
    as deferred, and one that is down only if there is no other at all. Such
    groups have no load, so at high load they seemed to be the only ones that
    could meet the objective, and the requests of all nodes failed there first.

    Args:
        engine: The engine's cost model.
        request_tokens: Prompt and answer length of the request.
        candidates: The available groups of the request's model.
        excluded: Groups that the request was already sent to.
        requirements: Time limits of the request.
        form_ms: Estimated time until a missing group is available again.
    """
    available = [
        each for each in _without_down(list(candidates))
        if each.key not in excluded
    ]
    accepting = [each for each in available if not each.wait_ms]
    if available and not accepting:
        return backpressure_refusal((each.wait_ms for each in available),
                                    requirements.jitter)
    placed = [
        _estimate(engine, request_tokens, each, requirements.overhead_ms)
        for each in accepting
    ]
    trusted = [each for each in placed if not each.candidate.is_doubted]
    doubted = [
        each for each in placed if each.candidate.is_doubted and
        not (trusted and each.candidate.is_cooling_down)
    ]
    chosen = _best_placement(engine, trusted, requirements) or _best_placement(
        engine, doubted, requirements)
    if chosen is not None:
        return chosen
    if placed:
        return Refused("all groups are full",
                       _full_retry_after_ms(trusted or placed, requirements))
    wait_ms = min(max(form_ms, MIN_RETRY_AFTER_MS), MAX_RETRY_AFTER_MS)
    return Refused("no group stands", wait_ms * (1 + requirements.jitter / 4))


def _without_down(candidates: list[Candidate]) -> list[Candidate]:
    return [each for each in candidates if not each.is_down] or candidates


def backpressure_refusal(waits_ms: Iterable[float], jitter: float) -> Refused:
    """Returns the refusal for when no runner accepts requests at the moment.

    Args:
        waits_ms: Time until each runner accepts a request of this node again.
        jitter: Random number from 0 to 1 that spreads the callers' retries.
    """
    wait_ms = max(MIN_RETRY_AFTER_MS, min(waits_ms))
    return Refused("no runner takes more now",
                   min(MAX_FULL_RETRY_AFTER_MS, wait_ms * (1 + jitter)))


def _best_placement(engine: model.Engine, placed: list[Placed],
                    requirements: Requirements) -> Placed | None:
    suspects = [each for each in placed if each.candidate.is_suspect]
    others = [each for each in placed if not each.candidate.is_suspect]
    return (_best_of(engine, others, requirements) or
            _best_of(engine, suspects, requirements))


def _best_of(engine: model.Engine, placed: list[Placed],
             requirements: Requirements) -> Placed | None:
    meeting_goal = [
        each for each in placed if each.first_event_ms <= requirements.goal_ms
    ]
    deferrable = [
        each for each in placed if each.candidate.deferred < PATIENT_PART *
        each.candidate.slots and each.first_event_ms <= requirements.max_wait_ms
    ]
    for wanted in (_finishes_by_deadline(requirements), _any_group):
        chosen = [each for each in meeting_goal if wanted(each)]
        if chosen:
            return _water_fill(chosen, engine, requirements)
        chosen = [each for each in deferrable if wanted(each)]
        if chosen:
            return dataclasses.replace(min(chosen, key=_deferred_cost),
                                       is_deferred=True)
    return None


def _water_fill(placed: list[Placed], engine: model.Engine,
                requirements: Requirements) -> Placed:
    """Draws a group so that all nodes together equalise the groups' costs.

    The reported loads of other nodes are some heartbeats old. If every node
    took the group with the lowest cost, all requests until the next report
    would go to the same group, which would then be the fullest. Instead, the
    unreported requests are distributed by water-filling: groups are filled up
    to a common cost, and the request goes to each group with a probability
    proportional to that group's share. With no unreported requests, the group
    with the lowest cost is chosen.
    """
    usual_prefill_ms = enginetimes.prefill_ms(engine,
                                              engine.usual_prompt_tokens, 1.0)

    def loaded_cost_ms(each: Placed) -> float:
        request_ms = IN_FLIGHT_WEIGHT * usual_prefill_ms * each.candidate.pace
        return _base_cost_ms(each) + request_ms * each.candidate.in_flight

    ranked = sorted(placed, key=loaded_cost_ms)
    costs_ms = [loaded_cost_ms(each) for each in ranked]
    # The increase of each group's cost by one more request.
    steps_ms = [(1 + IN_FLIGHT_WEIGHT) * usual_prefill_ms * each.candidate.pace
                for each in ranked]
    index = loadspreading.draw(costs_ms, steps_ms,
                               requirements.unreported_requests,
                               requirements.jitter)
    return ranked[index]


def _full_retry_after_ms(placed: list[Placed],
                         requirements: Requirements) -> float:
    """Returns the retry delay for when all groups are full.

    After it, the shortest queue should have drained far enough for a request to
    meet its objective. With delays of 0.5 to 1 s, while a queue takes 1.3 s or
    more to drain, callers were refused again on their retry, and most try only
    twice.
    """
    earliest_ms = min(each.first_event_ms for each in placed)
    wait_ms = max(MIN_FULL_RETRY_AFTER_MS,
                  earliest_ms - max(0.0, requirements.goal_ms))
    return min(MAX_FULL_RETRY_AFTER_MS, wait_ms * (1 + requirements.jitter))


def _finishes_by_deadline(
        requirements: Requirements) -> Callable[[Placed], bool]:
    return lambda placed: placed.finish_ms <= requirements.remaining_ms


def _any_group(placed: Placed) -> bool:
    del placed
    return True


def _base_cost_ms(placed: Placed) -> float:
    """Returns the cost of a group without that of its in-flight requests."""
    candidate = placed.candidate
    return (placed.first_event_ms + FAILURE_COST_MS * candidate.fail_odds +
            (AVOIDED_COST_MS if candidate.is_avoided else 0.0) +
            (REMOTE_COST_MS if candidate.is_remote else 0.0) +
            (0.0 if candidate.has_idle_connection else NEW_CONNECTION_COST_MS))


def _deferred_cost(placed: Placed) -> tuple[bool, float]:
    candidate = placed.candidate
    return (candidate.is_avoided, (candidate.in_flight + candidate.deferred) *
            candidate.pace / candidate.slots + candidate.fail_odds)


def _estimate(engine: model.Engine, counts: RequestTokens, candidate: Candidate,
              overhead_ms: float) -> Placed:
    running = min(candidate.in_flight, candidate.slots)
    one_pass_ms = enginetimes.pass_ms(engine, running + 1, candidate.pace)
    own_prefill_ms = enginetimes.prefill_ms(engine, counts.prompt_tokens,
                                            candidate.pace)
    pending_ms = candidate.pending_prompt_tokens / engine.read_tokens_per_ms * (
        candidate.pace)
    queued = candidate.in_flight - candidate.slots + 1
    queue_ms = 0.0
    if queued > 0:
        passes = engine.usual_answer_tokens / engine.stride
        queue_ms = queued * passes * one_pass_ms / candidate.slots
    # On average the request waits for half of the current pass, and the next
    # pass produces its first event.
    first_ms = (overhead_ms + 1.5 * one_pass_ms + own_prefill_ms + pending_ms +
                queue_ms)
    answer_passes = counts.answer_tokens / engine.stride
    finish_ms = first_ms + answer_passes * enginetimes.mean_pass_ms(
        engine, running + 1, candidate.pace)
    expected = silence.ExpectedTiming(
        one_pass_ms, enginetimes.max_pass_ms(engine, candidate.pace),
        own_prefill_ms, first_ms)
    return Placed(candidate, expected, finish_ms, overhead_ms)
