"""Detects groups whose streams no longer bring events.

Silence alone is no proof of a failure: prompts from other nodes, of which this
node does not know, can delay a group. So the members of a silent group are
probed first. Its requests are diverted only if a member does not answer, or if
the silence exceeds the longest possible pause between two events (a stall).
"""

import dataclasses

from cardamommill.domain import model

# The events of a forward pass come together, and passes follow each other
# without a pause. A group is silent after this many passes without any event,
# plus a margin for delays in a busy node and on its links.
SILENT_PASSES = 3.0
MARGIN_MS = 60.0
# Additional margin for groups without any event so far.
FIRST_EVENT_MARGIN_MS = 150.0
# A group whose members answer is stalled after this many of the longest passes
# without any event.
STALL_PASSES = 2.0
# Lower bound on the stall time of a group whose requests have no event so far,
# measured from when the first event was due. That time is uncertain, since the
# number of prompts from other nodes is not known.
MIN_STALL_MS = 600.0
# Weight of the newest gap in the moving average.
GAP_SMOOTHING = 0.2


@dataclasses.dataclass(slots=True)
class GroupWatch:
    """What this node observes of one group.

    Attributes:
        pass_ms: Expected duration of a forward pass, from the engine's figures.
        max_pass_ms: Longest duration of a pass, with the most prompt tokens.
        waiting: Requests without an event so far, with the time when the first
            one is due.
        streaming: Requests with events, with the time of the last one.
        last_event_ms: When the last event of any request came.
        mean_gap_ms: Moving average of the gaps between a request's events.
        prefill_until_ms: When the prefill of all prompts that this node has
            sent should be done.
        is_silent: Whether it was found silent and no event has come since.
        is_stalled: Whether it was found stalled, and neither an event has come
            nor a request was sent since.
        renewed_ms: When the first event was due of the last request that was
            sent while it was stalled; 0 for none since its last event.
    """

    pass_ms: float
    max_pass_ms: float
    waiting: dict[str, float] = dataclasses.field(default_factory=dict)
    streaming: dict[str, float] = dataclasses.field(default_factory=dict)
    last_event_ms: float = 0.0
    mean_gap_ms: float = 0.0
    prefill_until_ms: float = 0.0
    is_silent: bool = False
    is_stalled: bool = False
    renewed_ms: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class ExpectedTiming:
    """Timing that is expected of a group for a request.

    Attributes:
        pass_ms: Duration of a forward pass.
        max_pass_ms: Duration of a pass with the most prompt tokens.
        prefill_ms: Duration of the prefill of the request's prompt.
        first_event_ms: Time from sending the request to its first event.
    """

    pass_ms: float
    max_pass_ms: float
    prefill_ms: float
    first_event_ms: float


class SilenceDetector:
    """Watches groups through the requests that this node has sent them."""

    def __init__(self) -> None:
        self._watches: dict[model.GroupKey, GroupWatch] = {}

    def sent(self, key: model.GroupKey, request: str, expected: ExpectedTiming,
             now_ms: float) -> None:
        """Records a request that was sent to a group."""
        watch = self._watches.setdefault(
            key, GroupWatch(expected.pass_ms, expected.max_pass_ms))
        watch.pass_ms = expected.pass_ms
        watch.max_pass_ms = expected.max_pass_ms
        watch.waiting[request] = now_ms + expected.first_event_ms
        watch.prefill_until_ms = (max(watch.prefill_until_ms, now_ms) +
                                  expected.prefill_ms)
        if watch.is_stalled:
            # Or this request would stay there until its caller leaves.
            watch.is_stalled = False
            watch.renewed_ms = now_ms + expected.first_event_ms

    def event(self, key: model.GroupKey, request: str, now_ms: float) -> None:
        """Records an event of a request."""
        watch = self._watches.get(key)
        if watch is None:
            return
        watch.waiting.pop(request, None)
        before_ms = watch.streaming.get(request)
        if before_ms is not None:
            watch.mean_gap_ms += GAP_SMOOTHING * (now_ms - before_ms -
                                                  watch.mean_gap_ms)
        watch.streaming[request] = now_ms
        watch.last_event_ms = now_ms
        watch.is_silent = watch.is_stalled = False
        watch.renewed_ms = 0.0

    def ended(self, key: model.GroupKey, request: str) -> None:
        """Records that a request is no longer at a group."""
        watch = self._watches.get(key)
        if watch is None:
            return
        watch.waiting.pop(request, None)
        watch.streaming.pop(request, None)

    def silent(self, now_ms: float) -> list[model.GroupKey]:
        """Returns the groups that have become silent since the last call."""
        found = []
        for key, watch in list(self._watches.items()):
            if not watch.waiting and not watch.streaming:
                # Forget groups that this node has not used for 10 s.
                if now_ms - watch.last_event_ms > 10_000:
                    del self._watches[key]
                continue
            if not watch.is_silent and _is_overdue(watch, now_ms):
                watch.is_silent = True
                found.append(key)
        return found

    def stalled(self, now_ms: float) -> list[model.GroupKey]:
        """Returns the silent groups that have stalled since the last call."""
        found = []
        for key, watch in self._watches.items():
            if watch.is_silent and not watch.is_stalled and _has_stalled(
                    watch, now_ms):
                watch.is_stalled = True
                found.append(key)
        return found

    def has_recent_event(self, key: model.GroupKey, now_ms: float) -> bool:
        """Whether a group's last event is too recent for it to be silent."""
        watch = self._watches.get(key)
        return (watch is not None and
                now_ms - watch.last_event_ms < _max_event_gap_ms(watch))


def _max_event_gap_ms(watch: GroupWatch) -> float:
    """Returns the longest time without an event that is not yet silence."""
    return SILENT_PASSES * max(watch.pass_ms, watch.mean_gap_ms) + MARGIN_MS


def _is_overdue(watch: GroupWatch, now_ms: float) -> bool:
    if watch.streaming:
        # Prefill delays the next event, but is allowed for at most 400 ms.
        silent_since_ms = max(
            watch.last_event_ms,
            min(watch.prefill_until_ms, watch.last_event_ms + 400))
        return now_ms - silent_since_ms > _max_event_gap_ms(watch)
    return now_ms - _first_due_ms(watch) > (_max_event_gap_ms(watch) +
                                            FIRST_EVENT_MARGIN_MS)


def _has_stalled(watch: GroupWatch, now_ms: float) -> bool:
    stall_ms = STALL_PASSES * watch.max_pass_ms + MARGIN_MS
    if watch.renewed_ms:
        return (bool(watch.waiting) and
                now_ms - watch.renewed_ms > max(stall_ms, MIN_STALL_MS))
    if watch.streaming:
        return now_ms - watch.last_event_ms > stall_ms
    if not watch.waiting:
        return False
    return now_ms - _first_due_ms(watch) > max(stall_ms, MIN_STALL_MS)


def _first_due_ms(watch: GroupWatch) -> float:
    return max(min(watch.waiting.values()), watch.last_event_ms)
