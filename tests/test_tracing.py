"""Tests of traces."""

import json

import hypothesis
from hypothesis import strategies
import pytest

from cardamommill import settings, standin_http, tracing

TRACE, SPAN = "a" * 32, "b" * 16


@pytest.mark.parametrize("header", [
    "", "x", f"00-{TRACE}-{'0' * 16}-01", f"ff-{TRACE}-{SPAN}-01",
    f"00-{TRACE.upper()}-{SPAN}-01"
])
def test_a_wrong_header_begins_a_new_trace(header):
    context = tracing.from_header(header)
    assert len(context.trace_id) == 32
    assert (context.trace_id != TRACE, context.span_id) == (True, "")


@hypothesis.given(strategies.text(max_size=80))
def test_any_header_leads_to_ids_that_can_be_handed_on(header):
    context = tracing.from_header(header)
    assert len(bytes.fromhex(context.trace_id)) == 16
    assert len(bytes.fromhex(context.span_id)) in (0, 8)


def note(tracer, name="request", **attributes):
    tracer.note(name,
                tracing.Context(TRACE, "c" * 16),
                parent_id=SPAN,
                took_ns=5,
                **attributes)


def test_spans_are_written_with_their_place_and_times(tmp_path):
    path = tmp_path / "spans"
    with tracing.Tracer(settings.Tracing(file=str(path)), "n1") as tracer:
        note(tracer, service="s")
        note(tracer, "attempt")
    request, attempt = map(json.loads, path.read_text("utf-8").splitlines())
    assert (request["traceId"], request["parentSpanId"]) == (TRACE, SPAN)
    assert int(request["endTimeUnixNano"]) - int(
        request["startTimeUnixNano"]) == 5
    assert (attempt["name"], attempt["node"]) == ("attempt", "n1")


def test_off_keeps_nothing():
    with tracing.Tracer(settings.Tracing(), "n1") as tracer:
        note(tracer)
        assert tracer._backlog.empty()


def test_a_collector_gets_what_otlp_says():
    received = []

    def take(call):
        received.append((call.path, call.json()))
        return standin_http.json_reply({})

    with standin_http.Server(take) as collector:
        to = settings.Tracing(otlp_address=collector.address)
        with tracing.Tracer(to, "n1") as tracer:
            note(tracer)
    ((path, body),) = received
    assert path == "/v1/traces"
    (span,) = body["resourceSpans"][0]["scopeSpans"][0]["spans"]
    assert (span["name"], span["parentSpanId"]) == ("request", SPAN)


def test_an_absent_collector_costs_spans_only():
    """The collector of spans is down.

    Requests don't wait for it; the lost spans are counted.
    """
    to = settings.Tracing(otlp_address="127.0.0.1:1")
    with tracing.Tracer(to, "n1") as tracer:
        note(tracer)
    assert tracer.dropped == 1


def test_a_full_backlog_drops_spans_and_counts_them(monkeypatch):
    """A collector stands still while requests go on; they must not wait."""
    monkeypatch.setattr(tracing, "MAX_BACKLOG", 2)
    tracer = tracing.Tracer(settings.Tracing(file="/dev/null"), "n1")
    for _ in range(5):
        note(tracer)
    assert tracer.dropped == 3


def test_no_secret_reaches_a_span(tmp_path):
    path = tmp_path / "spans"
    with tracing.Tracer(settings.Tracing(file=str(path)), "n1") as tracer:
        note(tracer, head="Bearer s3cret")
    assert "s3cret" not in path.read_text("utf-8")
