"""Notices a group whose streams have all fallen silent.

Silence is a question, not an answer: prompts that other nodes sent hold a group
up for longer than this node can know. Its members are asked; only if one does
not answer, or if the silence outlasts all that an engine may do between two
events, have its requests reason to leave.
"""

import dataclasses

from cardamommill.gateway import model

# Events of a pass come together, passes follow each other without a pause: a
# group is suspect after this many passes without any event...
PASSES = 3.0
# ... and what a busy node and its links may add.
MARGIN_MS = 60.0
# For groups of which nothing was seen yet.
FIRST_EVENT_PATIENCE_MS = 150.0
# A group whose members answer stands still after this many of the longest
# passes without any event...
STALL_PASSES = 2.0
# ... and, with nothing seen of it but a request that waits, no sooner than this
# after its event was due: how many prompts others sent there is not known.
LEAST_STALL_MS = 600.0
# The weight of the newest pause in the mean.
LEARNING = 0.2


@dataclasses.dataclass(slots=True)
class Watch:
    """What this node sees of one group.

    Attributes:
        pass_ms: What a pass should take by the engine's arithmetic.
        longest_ms: What it takes at most, with as much read as may be.
        waiting: Sent requests without an event, with when it is expected.
        streaming: Requests with events, with the time of the last.
        last_event_ms: The last event of any of them.
        reading_until_ms: Until when prompts of this node are being read.
        is_suspect: Whether it was found silent, and no event came since.
        is_stalled: Whether it was found to stand still since.
    """

    pass_ms: float
    longest_ms: float
    waiting: dict[str, float] = dataclasses.field(default_factory=dict)
    streaming: dict[str, float] = dataclasses.field(default_factory=dict)
    last_event_ms: float = 0.0
    mean_gap_ms: float = 0.0
    reading_until_ms: float = 0.0
    is_suspect: bool = False
    is_stalled: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ExpectedTiming:
    """What a group should do with a request, all from when it is sent.

    Attributes:
        pass_ms: What a pass of the group should take.
        max_pass_ms: What one may take that reads as much as it can.
        prefill_ms: What reading the request's prompt should take.
        first_event_ms: When its first event should come.
    """

    pass_ms: float
    max_pass_ms: float
    prefill_ms: float
    first_event_ms: float


class SilenceDetector:
    """Watches groups by the requests that this node has at them."""

    def __init__(self) -> None:
        self._watches: dict[model.GroupKey, Watch] = {}

    def sent(self, key: model.GroupKey, request: str, expected: ExpectedTiming,
             now_ms: float) -> None:
        """Notes a request that went to a group."""
        watch = self._watches.setdefault(
            key, Watch(expected.pass_ms, expected.max_pass_ms))
        watch.pass_ms = expected.pass_ms
        watch.longest_ms = expected.max_pass_ms
        watch.waiting[request] = now_ms + expected.first_event_ms
        watch.reading_until_ms = (max(watch.reading_until_ms, now_ms) +
                                  expected.prefill_ms)

    def event(self, key: model.GroupKey, request: str, now_ms: float) -> None:
        """Notes an event of a request."""
        watch = self._watches.get(key)
        if watch is None:
            return
        watch.waiting.pop(request, None)
        before_ms = watch.streaming.get(request)
        if before_ms is not None:
            watch.mean_gap_ms += LEARNING * (now_ms - before_ms -
                                             watch.mean_gap_ms)
        watch.streaming[request] = now_ms
        watch.last_event_ms = now_ms
        watch.is_suspect = watch.is_stalled = False

    def ended(self, key: model.GroupKey, request: str) -> None:
        """Notes that a request is no longer at a group."""
        watch = self._watches.get(key)
        if watch is None:
            return
        watch.waiting.pop(request, None)
        watch.streaming.pop(request, None)

    def silent(self, now_ms: float) -> list[model.GroupKey]:
        """Returns the groups that have newly fallen silent."""
        found = []
        for key, watch in list(self._watches.items()):
            if not watch.waiting and not watch.streaming:
                if now_ms - watch.last_event_ms > 10_000:
                    del self._watches[key]
                continue
            if not watch.is_suspect and _is_overdue(watch, now_ms):
                watch.is_suspect = True
                found.append(key)
        return found

    def stalled(self, now_ms: float) -> list[model.GroupKey]:
        """Returns the groups that newly stand still, whoever answers there."""
        found = []
        for key, watch in self._watches.items():
            if watch.is_suspect and not watch.is_stalled and _stands_still(
                    watch, now_ms):
                watch.is_stalled = True
                found.append(key)
        return found

    def moves(self, key: model.GroupKey, now_ms: float) -> bool:
        """Whether this node had an event of a group a moment ago."""
        watch = self._watches.get(key)
        return (watch is not None and
                now_ms - watch.last_event_ms < _allowed_ms(watch))


def _allowed_ms(watch: Watch) -> float:
    return PASSES * max(watch.pass_ms, watch.mean_gap_ms) + MARGIN_MS


def _is_overdue(watch: Watch, now_ms: float) -> bool:
    if watch.streaming:
        quiet_from_ms = max(
            watch.last_event_ms,
            min(watch.reading_until_ms, watch.last_event_ms + 400))
        return now_ms - quiet_from_ms > _allowed_ms(watch)
    return now_ms - _first_due_ms(watch) > (_allowed_ms(watch) +
                                            FIRST_EVENT_PATIENCE_MS)


def _stands_still(watch: Watch, now_ms: float) -> bool:
    stall_ms = STALL_PASSES * watch.longest_ms + MARGIN_MS
    if watch.streaming:
        return now_ms - watch.last_event_ms > stall_ms
    if not watch.waiting:
        return False
    return now_ms - _first_due_ms(watch) > max(stall_ms, LEAST_STALL_MS)


def _first_due_ms(watch: Watch) -> float:
    return max(min(watch.waiting.values()), watch.last_event_ms)
