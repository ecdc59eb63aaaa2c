"""The link to the runners: their state, orders to them, cache events."""

from collections.abc import Callable
import functools
import http

import pydantic

from cardamommill import (
    actions,
    events,
    fleet,
    httpcalls,
    loop,
    peerwire,
    requesting,
    store,
)

MAX_CACHE_EVENTS = 100_000

_REPORTS = pydantic.TypeAdapter(fleet.RunnerReport)

# What the status of an answer to an order says of whether it was taken.
_ORDER_OUTCOMES: dict[int, requesting.Outcome] = {
    http.HTTPStatus.OK: requesting.Outcome.RAN,
    http.HTTPStatus.CONFLICT: requesting.Outcome.NOT_RUN,
    http.HTTPStatus.SERVICE_UNAVAILABLE: requesting.Outcome.NOT_RUN,
}


class _CacheAnswer(pydantic.BaseModel):
    boot_id: str
    first_sequence: int
    stored: list[str] = pydantic.Field(max_length=MAX_CACHE_EVENTS)
    evicted: list[str] = pydantic.Field(max_length=MAX_CACHE_EVENTS)
    next_sequence: int


class RunnerLink:
    """Performs actions on runners and posts what came of them."""

    def __init__(self, calls: httpcalls.HttpCalls, poll_timeout_ms: int,
                 order_timeout_ms: int) -> None:
        """Makes the link.

        Args:
            calls: Makes the calls.
            poll_timeout_ms: After which a runner has not answered.
            order_timeout_ms: After which an order's outcome is unknown.
        """
        self._calls = calls
        self._poll_timeout_ms = poll_timeout_ms
        self._order_timeout_ms = order_timeout_ms

    @functools.singledispatchmethod
    def perform(self, action: actions.Action, post: Callable[[events.Event],
                                                             None]) -> None:
        """Performs an action.

        Args:
            action: One of those on runners.
            post: Takes the event that comes of it, once, on any thread.
        """
        raise NotImplementedError(type(action).__name__)

    @perform.register
    def _(self, action: actions.PollRunner, post: Callable[[events.Event],
                                                           None]) -> None:
        sent_ms = loop.now_ms()
        call = httpcalls.Call("GET",
                              f"http://{action.address}/state",
                              self._poll_timeout_ms,
                              step="poll")
        self._calls.make(
            call, lambda outcome: post(
                events.RunnerPolled(action.vm_id, _report(
                    action.vm_id, outcome), sent_ms)))

    @perform.register
    def _(self, action: actions.SendOrder, post: Callable[[events.Event],
                                                          None]) -> None:
        order = action.order
        # A holder that stood still between its decision and this line may
        # have a successor by now; an engine without fencing would obey both.
        if loop.now_ms() >= action.valid_until_ms:
            post(
                events.OrderAnswered(order, requesting.Outcome.NOT_RUN,
                                     "too late to send"))
            return
        call = httpcalls.Call("POST",
                              f"http://{action.address}/orders",
                              self._order_timeout_ms,
                              store.encode(order).encode(),
                              step="order")
        self._calls.make(call,
                         lambda outcome: post(_order_answered(order, outcome)))

    @perform.register
    def _(self, action: actions.ReadCacheEvents,
          post: Callable[[events.Event], None]) -> None:
        call = httpcalls.Call("GET",
                              f"http://{action.address}/cache-events?after="
                              f"{action.after_sequence}",
                              self._poll_timeout_ms,
                              step="cache-events")

        def done(outcome: httpcalls.Outcome) -> None:
            event = _cache_events(action.vm_id, outcome)
            if event is not None:
                post(event)

        self._calls.make(call, done)


def _report(vm_id: str,
            outcome: httpcalls.Outcome) -> fleet.RunnerReport | None:
    answer = outcome.value_or(None)
    if answer is None or answer.status != http.HTTPStatus.OK:
        return None
    try:
        report = _REPORTS.validate_json(answer.body)
    except pydantic.ValidationError:
        return None
    # An address may have passed to another VM; its word is not evidence.
    if report.vm_id != vm_id or not peerwire.takes(report):
        return None
    return report


def _order_answered(order: fleet.Order,
                    outcome: httpcalls.Outcome) -> events.OrderAnswered:
    answer = outcome.value_or(None)
    if answer is None:
        error = outcome.failure()
        known = (requesting.Outcome.NOT_RUN
                 if error.not_sent else requesting.Outcome.UNKNOWN)
        return events.OrderAnswered(order, known, str(error))
    known = _ORDER_OUTCOMES.get(answer.status, requesting.Outcome.UNKNOWN)
    return events.OrderAnswered(order, known,
                                answer.body[:200].decode("utf-8", "replace"))


def _cache_events(vm_id: str,
                  outcome: httpcalls.Outcome) -> events.CacheEventsRead | None:
    answer = outcome.value_or(None)
    if answer is None or answer.status != http.HTTPStatus.OK:
        return None
    try:
        parsed = _CacheAnswer.model_validate_json(answer.body)
    except pydantic.ValidationError:
        return None
    return events.CacheEventsRead(vm_id, parsed.boot_id, parsed.first_sequence,
                                  tuple(parsed.stored), tuple(parsed.evicted),
                                  parsed.next_sequence)
