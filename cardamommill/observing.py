"""Figures and spans, made from events and actions as they pass."""

import dataclasses
import functools
import threading

from cardamommill import (
    actions,
    answering,
    events,
    metrics,
    requesting,
    tracing,
    units,
)

MAX_UNDER_WAY = 100_000


@dataclasses.dataclass(frozen=True, slots=True)
class _UnderWay:
    head: requesting.RequestHead
    started_ns: int


class Observer:
    """Sees what passes between shell and decisions; thread-safe."""

    def __init__(self, figures: metrics.Metrics,
                 tracer: tracing.Tracer) -> None:
        """Makes it.

        Args:
            figures: Where figures go.
            tracer: Where spans go.
        """
        self._figures = figures
        self._tracer = tracer
        self._lock = threading.Lock()
        self._under_way: dict[str, _UnderWay] = {}

    @functools.singledispatchmethod
    def event(self, event: events.Event) -> None:
        """Sees an event from the shell."""

    @event.register
    def _(self, event: events.RequestArrived) -> None:
        self._figures.count("requests_total", service=event.head.service)
        with self._lock:
            if len(self._under_way) < MAX_UNDER_WAY:
                self._under_way[event.head.request_id] = _UnderWay(
                    event.head, tracing.wall_ns())

    @event.register
    def _(self, event: events.AttemptEnded) -> None:
        self._figures.count("attempts_total", outcome=event.outcome.value)
        if event.first_byte_ms:
            self._figures.observe_ms("attempt_first_byte", event.first_byte_ms)
        with self._lock:
            request = self._under_way.get(event.request_id)
        if request is not None:
            self._tracer.note("attempt",
                              tracing.Context(
                                  request.head.trace_id,
                                  answering.span_id(event.attempt_id)),
                              parent_id=answering.span_id(event.request_id),
                              took_ns=event.took_ms * units.NS_PER_MS,
                              outcome=event.outcome.value,
                              status=event.status)

    @functools.singledispatchmethod
    def action(self, action: actions.Action) -> None:
        """Sees an action from the decisions."""

    @action.register
    def _(self, action: actions.Finish) -> None:
        self._end(action.request_id, "delivered")

    @action.register
    def _(self, action: actions.Replay) -> None:
        self._end(action.request_id, "replayed")

    @action.register
    def _(self, action: actions.Refuse) -> None:
        self._figures.count("refusals_total",
                            status=str(action.problem.status),
                            step=action.problem.step)
        self._end(action.request_id, "refused")

    def _end(self, request_id: str, how: str) -> None:
        with self._lock:
            request = self._under_way.pop(request_id, None)
        if request is None:
            return
        took_ns = tracing.wall_ns() - request.started_ns
        self._figures.observe_ms("request",
                                 took_ns / units.NS_PER_MS,
                                 service=request.head.service,
                                 end=how)
        self._tracer.note("request",
                          tracing.Context(request.head.trace_id,
                                          answering.span_id(request_id)),
                          parent_id=request.head.caller_span,
                          took_ns=took_ns,
                          service=request.head.service,
                          account=request.head.account,
                          end=how)
