"""Traces: a span for each hop of a request, passed on by W3C trace context."""

from collections.abc import Mapping
from concurrent import futures
import dataclasses
import json
import os
import queue
import re
import time
from typing import Self

import logbook

from cardamommill import exceptions, logs, webclient
from cardamommill import settings as settings_lib

log = logbook.Logger("tracing")

MAX_BACKLOG = 10_000
MAX_BATCH = 500
EXPORT_TIMEOUT_S = 5.0
KIND_INTERNAL = 1

_TRACEPARENT = re.compile(
    r"(?!ff)[0-9a-f]{2}-(?!0{32})([0-9a-f]{32})-(?!0{16})([0-9a-f]{16})"
    r"-[0-9a-f]{2}(-.*)?\Z")


@dataclasses.dataclass(frozen=True, slots=True)
class Context:
    """Where in a trace somebody is.

    Attributes:
        trace_id: The trace, 32 hexadecimal digits.
        span_id: The span, 16 hexadecimal digits; empty before the first.
    """

    trace_id: str
    span_id: str = ""


def new_id(length_bytes: int) -> str:
    """Returns a new id in hexadecimal."""
    return os.urandom(length_bytes).hex()


def wall_ns() -> int:
    """Returns the wall time, for spans only."""
    return time.time_ns()


def from_header(traceparent: str) -> Context:
    """Returns the caller's context, or that of a new trace.

    Args:
        traceparent: The header; a wrong one begins a new trace, as W3C says.
    """
    match = _TRACEPARENT.match(traceparent.strip())
    if match is None:
        return Context(new_id(16))
    return Context(match[1], match[2])


@dataclasses.dataclass(frozen=True, slots=True)
class Span:
    """A hop that has ended.

    Attributes:
        name: What was done, such as ``attempt``.
        context: Its own place in the trace.
        parent_id: The span that it is part of, or empty.
        started_ns: Wall time.
        ended_ns: Wall time.
        attributes: What belongs to it; never a secret or a body.
    """

    name: str
    context: Context
    parent_id: str
    started_ns: int
    ended_ns: int
    attributes: Mapping[str, str]


class Tracer:
    """Takes ended spans and exports them on a thread; a context manager.

    Attributes:
        enabled: Whether spans go anywhere.
        dropped: Spans that found the backlog full.
    """

    def __init__(self, settings: settings_lib.Tracing, node: str) -> None:
        """Makes it.

        Args:
            settings: Where spans go; off where it names nothing.
            node: The node's name, on every span.
        """
        self.enabled = bool(settings.file or settings.otlp_address)
        self.dropped = 0
        self._settings = settings
        self._node = node
        self._backlog: queue.Queue[Span | None] = queue.Queue(MAX_BACKLOG)

    def __enter__(self) -> Self:
        if self.enabled:
            self._pool = futures.ThreadPoolExecutor(1, "tracing")
            self._exporting = self._pool.submit(self._export)
        return self

    def __exit__(self, *exception: object) -> None:
        if self.enabled:
            self._backlog.put(None)
            self._pool.shutdown()

    def note(self, name: str, context: Context, parent_id: str, took_ns: int,
             **attributes: object) -> None:
        """Takes a span that has just ended and whose id is known.

        Args:
            name: What was done.
            context: Its own place in the trace.
            parent_id: The span that it is part of, or empty.
            took_ns: How long it took.
            **attributes: What belongs to it.
        """
        if not self.enabled:
            return
        now_ns = wall_ns()
        span = Span(
            name, context, parent_id, now_ns - took_ns, now_ns, {
                key: logs.without_secrets(str(value))
                for key, value in attributes.items()
            })
        # A request never waits for this.
        try:
            self._backlog.put_nowait(span)
        except queue.Full:
            self.dropped += 1

    def _export(self) -> None:
        ended = False
        while not ended:
            batch = [self._backlog.get()]
            while len(batch) < MAX_BATCH and not self._backlog.empty():
                batch.append(self._backlog.get())
            spans = [span for span in batch if span is not None]
            ended = len(spans) < len(batch)
            if spans:
                self._send(spans)

    def _send(self, spans: list[Span]) -> None:
        try:
            if self._settings.file:
                self._append(spans)
            if self._settings.otlp_address:
                self._post(spans)
        except (OSError, exceptions.CommandError) as error:
            self.dropped += len(spans)
            log.warning(
                logs.line("spans-dropped", count=len(spans), error=error))

    def _append(self, spans: list[Span]) -> None:
        with open(self._settings.file, "a", encoding="utf-8") as file:
            for span in spans:
                file.write(json.dumps(_otlp_span(span) | {"node": self._node}))
                file.write("\n")

    def _post(self, spans: list[Span]) -> None:
        body = {
            "resourceSpans": [{
                "resource": {
                    "attributes":
                        _attributes({
                            "service.name": "cardamommill",
                            "service.instance.id": self._node
                        })
                },
                "scopeSpans": [{
                    "scope": {
                        "name": "cardamommill"
                    },
                    "spans": [_otlp_span(span) for span in spans]
                }]
            }]
        }
        answer = webclient.call(
            "POST",
            f"http://{self._settings.otlp_address}/v1/traces",
            body=json.dumps(body).encode(),
            headers={"Content-Type": "application/json"},
            timeout_s=EXPORT_TIMEOUT_S)
        if answer.status != 200:
            raise exceptions.CommandError(f"status {answer.status}",
                                          step="export of spans",
                                          peer=self._settings.otlp_address)


def _otlp_span(span: Span) -> dict[str, object]:
    return {
        "traceId": span.context.trace_id,
        "spanId": span.context.span_id,
        "parentSpanId": span.parent_id,
        "name": span.name,
        "kind": KIND_INTERNAL,
        "startTimeUnixNano": str(span.started_ns),
        "endTimeUnixNano": str(span.ended_ns),
        "attributes": _attributes(span.attributes),
    }


def _attributes(values: Mapping[str, str]) -> list[dict[str, object]]:
    return [{
        "key": name,
        "value": {
            "stringValue": text
        }
    } for name, text in values.items()]
