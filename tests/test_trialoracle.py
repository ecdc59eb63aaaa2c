"""Tests of the oracle of trials: it must see each kind of broken promise."""

import json

import pytest

from cardamommill import trialoracle, webclient

HEADERS = {"cardamommill-request": "r1", "cardamommill-outcome": "ran"}


def _stream(*indexes: int, end: str = "data: [DONE]", request: str = "r1"):
    events = [
        "data: " + json.dumps({
            "request": request,
            "index": index
        }) for index in indexes
    ]
    return webclient.Answer(200, HEADERS, "\n\n".join(
        (*events, end, "")).encode())


@pytest.mark.parametrize(("answer", "kind"), [
    (_stream(0, 1, 2), ""),
    (_stream(0, 1, end="event: error\ndata: {}"), ""),
    (_stream(0, 1), "silent"),
    (_stream(0, 1, 2, end=""), "silent"),
    (_stream(0, 2, 1), "foreign"),
    (_stream(0, 1, 1), "foreign"),
    (_stream(0, 1, 2, request="r2"), "foreign"),
])
def test_stream(answer, kind):
    oracle = trialoracle.Oracle()
    oracle.streamed(answer, 3)
    found = oracle.evaluate({}).violations()
    assert [line.split(":")[0] for line in found][:1] == [kind] * bool(kind)


@pytest.mark.parametrize(("told", "runs", "kind"), [
    ([(200, "ran", b"1"), (200, "ran", b"1")], 1, ""),
    ([(503, "not-run", b"")], 0, ""),
    ([(503, "unknown", b"")], 1, ""),
    ([(503, "not-run", b"")], 1, "denied"),
    ([(200, "ran", b"1"), (200, "ran", b"2")], 1, "foreign"),
    ([(200, "ran", b"1")], 2, "doubled"),
])
def test_call(told, runs, kind):
    oracle = trialoracle.Oracle()
    for status, outcome, body in told:
        oracle.called(
            "k",
            webclient.Answer(status, {"cardamommill-outcome": outcome}, body))
    found = oracle.evaluate({"k": runs}).violations()
    assert [line.split(":")[0] for line in found] == [kind] * bool(kind)
