"""Notices a group whose streams have all fallen silent."""

import dataclasses

from cardamommill.gateway import model

# Events of a pass come together, passes follow each other without a pause: a
# group is suspect after this many passes without any event...
PASSES = 3.0
# ... and what a busy node and its links may add.
MARGIN_MS = 60.0
# For groups of which nothing was seen yet.
FIRST_EVENT_PATIENCE_MS = 150.0
# A group that answered when asked is given this much longer each time.
BACKOFF = 1.6
# The weight of the newest pause in the mean.
LEARNING = 0.2


@dataclasses.dataclass(slots=True)
class Watch:
    """What this node sees of one group.

    Attributes:
        pass_ms: What a pass should take by the engine's arithmetic.
        waiting: Sent requests without an event, with when it is expected.
        streaming: Requests with events, with the time of the last.
        last_event_ms: The last event of any of them.
        reading_until_ms: Until when prompts of this node are being read.
        patience: Grows with each false alarm.
        alarm_ms: When it was last found silent.
    """

    pass_ms: float
    waiting: dict[str, float] = dataclasses.field(default_factory=dict)
    streaming: dict[str, float] = dataclasses.field(default_factory=dict)
    last_event_ms: float = 0.0
    mean_gap_ms: float = 0.0
    reading_until_ms: float = 0.0
    patience: float = 1.0
    alarm_ms: float = 0.0


class SilenceDetector:
    """Watches groups by the requests that this node has at them."""

    def __init__(self) -> None:
        self._watches: dict[model.GroupKey, Watch] = {}

    def sent(self, key: model.GroupKey, request: str, pass_ms: float,
             read_ms: float, expected_ms: float, now_ms: float) -> None:
        """Notes a request that went to a group.

        Args:
            key: The group.
            request: Its id.
            pass_ms: What a pass of the group should take.
            read_ms: What reading its prompt should take.
            expected_ms: When its first event should come, from now.
            now_ms: The time.
        """
        watch = self._watches.setdefault(key, Watch(pass_ms))
        watch.pass_ms = pass_ms
        watch.waiting[request] = now_ms + expected_ms
        watch.reading_until_ms = max(watch.reading_until_ms, now_ms) + read_ms

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
        watch.alarm_ms = 0.0

    def ended(self, key: model.GroupKey, request: str) -> None:
        """Notes that a request is no longer at a group."""
        watch = self._watches.get(key)
        if watch is None:
            return
        watch.waiting.pop(request, None)
        watch.streaming.pop(request, None)

    def answered(self, key: model.GroupKey, now_ms: float) -> None:
        """Notes that all members answered: it is slow, not silent."""
        watch = self._watches.get(key)
        if watch is not None and watch.alarm_ms:
            watch.patience *= BACKOFF
            watch.alarm_ms = 0.0
            watch.last_event_ms = now_ms

    def silent(self, now_ms: float) -> list[model.GroupKey]:
        """Returns the groups that have newly fallen silent."""
        found = []
        for key, watch in list(self._watches.items()):
            if not watch.waiting and not watch.streaming:
                if now_ms - watch.last_event_ms > 10_000:
                    del self._watches[key]
                continue
            if not watch.alarm_ms and _overdue(watch, now_ms):
                watch.alarm_ms = now_ms
                found.append(key)
        return found

    def heard_since(self, key: model.GroupKey, since_ms: float) -> bool:
        """Whether an event came after a time."""
        watch = self._watches.get(key)
        return watch is not None and watch.last_event_ms > since_ms


def _overdue(watch: Watch, now_ms: float) -> bool:
    gap_ms = max(watch.pass_ms, watch.mean_gap_ms)
    allowed_ms = (PASSES * gap_ms + MARGIN_MS) * watch.patience
    if watch.streaming:
        quiet_from_ms = max(
            watch.last_event_ms,
            min(watch.reading_until_ms, watch.last_event_ms + 400))
        return now_ms - quiet_from_ms > allowed_ms
    first_ms = max(min(watch.waiting.values()), watch.last_event_ms)
    return now_ms - first_ms > (allowed_ms +
                                FIRST_EVENT_PATIENCE_MS) * watch.patience
