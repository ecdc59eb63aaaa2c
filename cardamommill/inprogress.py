"""Requests that have not got their final answer, and where each one is."""

from collections.abc import Iterator
import dataclasses
import heapq

from cardamommill import board as board_lib
from cardamommill import events, requesting, retries

# Crashes that are remembered so that each is told once.
MAX_CRASHES = 1000
# Deadlines of requests that have ended are swept out when they are so many
# more than those in progress.
MAX_ENDED_DEADLINES = 1000


@dataclasses.dataclass(slots=True)
class InProgress:
    """A request that has not got its final answer.

    Attributes:
        head: What came in.
        stage: Where it is.
        outcome: What is known over all attempts that have ended.
        attempts: How often it was sent.
        claimed: Whether this node holds the claim to run it.
        suspect: Whether the running attempt runs a suspect.
        started: Whether the caller has the head of an answer.
        delivered: Stream events that the caller has.
        tried: Places that it was sent to, as `choice.place` names them, but
            for those that it left for their silence.
        attempt_id: The running attempt.
        target: Where that runs.
        boot_id: The life of the runner there.
        sent_ms: When it was sent.
        gone: Whether the caller has gone.
        queued_ms: Since when it waits.
    """

    head: requesting.RequestHead
    stage: requesting.Stage = requesting.Stage.ADMITTING
    outcome: requesting.Outcome = requesting.Outcome.NOT_RUN
    attempts: int = 0
    claimed: bool = False
    suspect: bool = False
    started: bool = False
    delivered: int = 0
    tried: set[str] = dataclasses.field(default_factory=set)
    attempt_id: str = ""
    target: requesting.Target | None = None
    boot_id: str = ""
    sent_ms: int = 0
    gone: bool = False
    queued_ms: int = 0

    @property
    def progress(self) -> retries.Progress:
        """What the caller has of its answer."""
        if not self.started:
            return retries.Progress.NOTHING
        if self.head.streaming:
            return retries.Progress.EVENTS
        return retries.Progress.BYTES

    @property
    def runs_on(self) -> tuple[str, int, int, str] | None:
        """The replica, epoch, formation and boot that it runs on, if any."""
        target = self.target
        if (self.stage is not requesting.Stage.RUNNING or target is None or
                target.remote_node):
            return None
        return (target.replica_id, target.epoch, target.formation, self.boot_id)


class Register:
    """All requests in progress; keeps the board's stages in step."""

    def __init__(self, section: board_lib.RequestsSection) -> None:
        self._section = section
        self._by_id: dict[str, InProgress] = {}
        self._deadlines: list[tuple[int, str]] = []
        self._crashes: dict[tuple[str, int, int, str], None] = {}

    def get(self, request_id: str) -> InProgress | None:
        """Returns the request, or None if it has ended or never was."""
        return self._by_id.get(request_id)

    def open(self, head: requesting.RequestHead) -> InProgress:
        """Returns a new request."""
        request = InProgress(head)
        self._by_id[head.request_id] = request
        self.enter(request, requesting.Stage.ADMITTING)
        self.wake(head.request_id, head.deadline_ms)
        return request

    def enter(self, request: InProgress, stage: requesting.Stage) -> None:
        """Moves a request to a stage."""
        request.stage = stage
        self._section.stages[request.head.request_id] = stage

    def close(self, request: InProgress) -> None:
        """Frees all that is kept for a request."""
        request.stage = requesting.Stage.DONE
        del self._by_id[request.head.request_id]
        del self._section.stages[request.head.request_id]
        if len(self._deadlines) > 2 * len(self._by_id) + MAX_ENDED_DEADLINES:
            self._deadlines = [
                each for each in self._deadlines if each[1] in self._by_id
            ]
            heapq.heapify(self._deadlines)

    def running(self) -> Iterator[InProgress]:
        """Yields the requests that run at a replica."""
        for request in self._by_id.values():
            if request.stage is requesting.Stage.RUNNING:
                yield request

    def wake(self, request_id: str, at_ms: int) -> None:
        """Has `due` yield a request at a time."""
        heapq.heappush(self._deadlines, (at_ms, request_id))

    def due(self, now_ms: int) -> Iterator[InProgress]:
        """Yields the requests in progress whose time has come."""
        while self._deadlines and self._deadlines[0][0] <= now_ms:
            _, request_id = heapq.heappop(self._deadlines)
            request = self._by_id.get(request_id)
            if request is not None:
                yield request

    def crash(self, request: InProgress) -> events.RunnerCrashed | None:
        """Returns the news that the replica under a request has crashed.

        One crash breaks the connections of all its requests, one after the
        other; told for each of them it would look like as many crashes.

        Args:
            request: One that ran there; still in stage RUNNING.
        """
        crash = request.runs_on
        if crash is None or crash in self._crashes:
            return None
        self._crashes[crash] = None
        if len(self._crashes) > MAX_CRASHES:
            del self._crashes[next(iter(self._crashes))]
        digests = {
            each.head.digest
            for each in self._by_id.values()
            if each.runs_on == crash
        }
        return events.RunnerCrashed(*crash[:3], tuple(sorted(digests)))
