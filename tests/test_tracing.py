"""Tests of traces."""

import json

import hypothesis
from hypothesis import strategies
import pytest

from cardamommill import settings, standin_http, tracing

TRACE, SPAN = "a" * 32, "b" * 16
PARENT = tracing.Context(TRACE, SPAN)


@pytest.mark.parametrize("header", [
    "", "x", f"00-{TRACE}-{'0' * 16}-01", f"ff-{TRACE}-{SPAN}-01",
    f"00-{TRACE.upper()}-{SPAN}-01"
])
def test_a_wrong_header_begins_a_new_trace(header):
    context = tracing.from_header(header)
    assert len(context.trace_id) == 32
    assert (context.trace_id != TRACE, context.span_id) == (True, "")


@hypothesis.given(strategies.text(max_size=80))
def test_any_header_leads_to_one_that_can_be_handed_on(header):
    handed_on = tracing.from_header(header).traceparent()
    assert tracing.from_header(handed_on).traceparent() == handed_on


def test_spans_are_nested_and_end_once(tmp_path):
    path = tmp_path / "spans"
    with tracing.Tracer(settings.Tracing(file=str(path)), "n1") as tracer:
        with tracer.span("request", PARENT, service="s") as outer:
            inner = tracer.span("attempt", outer.context)
            inner.end()
            inner.end()
    inner, outer = map(json.loads, path.read_text("utf-8").splitlines())
    assert inner["parentSpanId"] == outer["spanId"]
    assert outer["parentSpanId"] == SPAN
    assert inner["traceId"] == outer["traceId"] == TRACE
    assert int(outer["startTimeUnixNano"]) <= int(outer["endTimeUnixNano"])


def test_off_hands_the_callers_context_on_and_keeps_nothing():
    with tracing.Tracer(settings.Tracing(), "n1") as tracer:
        with tracer.span("request", PARENT) as span:
            assert span.context == PARENT
    assert not tracer.enabled


def test_a_collector_gets_what_otlp_says():
    received = []

    def take(call):
        received.append((call.path, call.json()))
        return standin_http.json_reply({})

    with standin_http.Server(take) as collector:
        to = settings.Tracing(otlp_address=collector.address)
        with tracing.Tracer(to, "n1") as tracer:
            tracer.span("request", PARENT).end()
    ((path, body),) = received
    assert path == "/v1/traces"
    (span,) = body["resourceSpans"][0]["scopeSpans"][0]["spans"]
    assert (span["name"], span["parentSpanId"]) == ("request", SPAN)


def test_an_absent_collector_costs_spans_only():
    to = settings.Tracing(otlp_address="127.0.0.1:1")
    with tracing.Tracer(to, "n1") as tracer:
        tracer.span("request", PARENT).end()
    assert tracer.dropped == 1


def test_no_secret_reaches_a_span(tmp_path):
    path = tmp_path / "spans"
    with tracing.Tracer(settings.Tracing(file=str(path)), "n1") as tracer:
        with pytest.raises(ValueError, match="x"):
            with tracer.span("request", PARENT, head="Bearer s3cret"):
                raise ValueError("x: Bearer s3cret")
    assert "s3cret" not in path.read_text("utf-8")
