"""The control thread: hands events to the decisions, one after the other."""

from collections.abc import Callable, Mapping
from concurrent import futures
import dataclasses
import queue
import time
import types
from typing import Any, Self, TypeVar

from cardamommill import (
    actions,
    boottime,
    events,
    exceptions,
    units,
    walltime,
)
from cardamommill import board as board_lib
from cardamommill import decisions as decisions_lib

T = TypeVar("T")

MAX_BACKLOG = 100_000


def now_ms() -> int:
    """Returns the local time that all decisions are made by.

    It goes on while the VM sleeps: by a clock that stands still then, the
    holder of a lease took it for valid after others had taken it over.
    """
    return int(boottime.now_ms())


@dataclasses.dataclass(frozen=True, slots=True)
class View:
    """What other threads may see of the board; never changes.

    Attributes:
        documents: Documents in force by service.
        phase: How far the node is in its life.
        ready: Whether the balancer is to send requests.
    """

    documents: Mapping[str, board_lib.DocumentInForce]
    phase: board_lib.NodePhase
    ready: bool


@dataclasses.dataclass(frozen=True, slots=True)
class _Question:
    ask: Callable[[decisions_lib.Decisions, int], Any]
    answer: "futures.Future[Any]"


class ControlLoop:
    """Owns the decisions; everything else talks to them through it.

    A context manager: its thread runs between enter and exit.

    Attributes:
        cpu_ns: Processor time that the control thread has used.
        events: How many events it has handled.
    """

    def __init__(self, decisions: decisions_lib.Decisions,
                 perform: Callable[[actions.Action], None]) -> None:
        """Makes the loop.

        Args:
            decisions: The decisions that it owns from now on.
            perform: Performs an action; must not block and not raise.
        """
        self._decisions = decisions
        self._perform = perform
        self._inbox: "queue.Queue[events.Event | _Question | None]" = (
            queue.Queue(MAX_BACKLOG))
        self._pool = futures.ThreadPoolExecutor(1, "control")
        self._view = View(types.MappingProxyType({}),
                          board_lib.NodePhase.STARTING, False)
        self.cpu_ns = 0
        self.events = 0

    def __enter__(self) -> Self:
        self._running = self._pool.submit(self._run)
        return self

    def __exit__(self, *exception: object) -> None:
        self._inbox.put(None)
        self._pool.shutdown()

    def post(self, event: events.Event) -> None:
        """Hands over an event from any thread."""
        self._inbox.put(event)

    def ask(
        self, question: Callable[[decisions_lib.Decisions, int], T]
    ) -> "futures.Future[T]":
        """Runs a question on the control thread.

        Args:
            question: Gets the decisions and the time; must be quick and
                return a value that nothing else changes.
        """
        answer: futures.Future[T] = futures.Future()
        self._inbox.put(_Question(question, answer))
        return answer

    def check(self) -> None:
        """Raises what ended the control thread, if anything did.

        A fault in a decision ends the thread: what it has half written to the
        board must not be served from. The process ends with it, and a new one
        starts from the table.

        Raises:
            ControlFailed: The control thread has ended.
        """
        if self._running.done() and (error := self._running.exception()):
            raise exceptions.ControlFailed(f"{type(error).__name__}: {error}",
                                           step="decide") from error

    def view(self) -> View:
        """Returns what is known, as of the last event."""
        return self._view

    def _run(self) -> None:
        tick_ms = self._decisions.timing.tick_ms
        last_tick_ms = now_ms()
        while True:
            wait_ms = max(0, last_tick_ms + tick_ms - now_ms())
            try:
                item = self._inbox.get(timeout=wait_ms / units.MS_PER_S)
            except queue.Empty:
                item = events.Tick(walltime.now())
            if item is None:
                return
            # Looked at before every event, not only at ticks: after a pause
            # the first thing in the inbox may well be a request, and it must
            # not be decided on what was known before the pause.
            stood_ms = now_ms() - last_tick_ms
            if stood_ms >= tick_ms:
                if stood_ms > self._decisions.timing.pause_ms:
                    self._handle(events.Paused(stood_ms))
                last_tick_ms = now_ms()
                if not isinstance(item, events.Tick):
                    self._handle(events.Tick(walltime.now()))
            if isinstance(item, _Question):
                self._answer(item)
            else:
                self._handle(item)

    def _handle(self, event: events.Event) -> None:
        for action in self._decisions.step(event, now_ms()):
            self._perform(action)
        self.events += 1
        self.cpu_ns = time.thread_time_ns()
        self._publish()

    def _answer(self, question: _Question) -> None:
        try:
            question.answer.set_result(question.ask(self._decisions, now_ms()))
        except Exception as error:
            question.answer.set_exception(error)

    def _publish(self) -> None:
        board = self._decisions.board
        ready = board.ready()
        seen = self._view
        if (seen.phase, seen.ready) == (board.life.phase, ready) and all(
                seen.documents.get(service) is in_force
                for service, in_force in board.documents.in_force.items()):
            return
        self._view = View(
            types.MappingProxyType(dict(board.documents.in_force)),
            board.life.phase, ready)
