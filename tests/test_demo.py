"""Tests of what the demo says when something does not hold."""

import json
import subprocess

import pytest

from cardamommill import cmdline, demo, exceptions, launching, webclient


def test_a_step_that_fails_is_named_and_all_is_ended(monkeypatch, capsys):
    """The services are never served, and whoever started the demo must see it.

    It ends with exit code 1 and names the step; no process is left over.
    """
    started = []
    start = subprocess.Popen

    def noted(*arguments, **more):
        started.append(start(*arguments, **more))
        return started[-1]

    few = demo.plan()
    monkeypatch.setattr(
        demo, "plan", lambda: launching.Plan(
            few.region, dict(list(few.nodes.items())[:2]), few.vms[:1]))
    monkeypatch.setattr(demo, "REPAIR_TIMEOUT_S", 0.2)
    monkeypatch.setattr(subprocess, "Popen", noted)
    monkeypatch.setattr("sys.argv", ["cardamommill", "demo"])
    with pytest.raises(SystemExit) as end:
        cmdline.main()
    assert end.value.code == 1
    errors = capsys.readouterr().err
    assert "two documents applied: wait: not within" in errors
    assert "Traceback" not in errors
    assert len(started) >= 3
    assert all(process.poll() is not None for process in started)


def stream(*indices, request="q1", end="data: [DONE]"):
    events = [
        "data: " + json.dumps({
            "request": request,
            "index": index,
            "text": "x"
        }) for index in indices
    ]
    body = "\n\n".join([*events, end, ""])
    return webclient.Answer(200, {"cardamommill-request": "q1"}, body.encode())


def test_a_whole_stream_is_taken():
    assert list(demo._texts(stream(0, 1, 2))) == ["x", "x", "x"]


@pytest.mark.parametrize("answer", [
    stream(0, 2),
    stream(0, 0),
    stream(0, 1, end="event: error"),
    stream(0, request="q2"),
])
def test_a_stream_that_is_not_whole_or_another_callers_is_refused(answer):
    with pytest.raises(exceptions.CommandError):
        list(demo._texts(answer))
