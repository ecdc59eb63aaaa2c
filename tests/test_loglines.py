"""Tests of explaining a request from the logs of several nodes."""

import pytest

from cardamommill import commands, exceptions, loglines, logs


def line(second, node, event, **fields):
    return (f"time=2026-10-21T08:02:{second:06.3f} level=INFO node={node} "
            f"channel=c {logs.line(event, **fields)}\n")


@pytest.fixture
def files(tmp_path):
    first = tmp_path / "one.log"
    second = tmp_path / "two.log"
    first.write_text("something else\n" +
                     line(1, "n1", "group-silent", group="g1:4", requests=2) +
                     line(1.1,
                          "n1",
                          "attempt-failed",
                          request="r1",
                          target="g1:4",
                          result="diverted",
                          reason="group silent") +
                     line(1.2,
                          "n1",
                          "request-ended",
                          request="r1",
                          status=503,
                          reason="no group stands",
                          targets="g1:4") +
                     line(40, "n1", "group-open", group="g9:9"))
    second.write_text(
        line(1.05, "n2", "runner-down", runner="i-7", reason="silent") +
        line(3, "n2", "group-open", group="g2:5", took_ms=1900) +
        line(1.1, "n2", "request-ended", request="other", status=200) +
        line(2, "n2", "order", group="g3:1", runner="i-9"))
    return f"{first},{second}"


def test_lines_of_all_nodes_are_joined_in_order(files):
    text = commands.Commands().explain("request", "r1", logs=files)
    events = [
        each.split()[2]
        for each in text.splitlines()[:-1]
        if each.startswith("  ")
    ]
    assert "* 08:02:01.100 n1 attempt-failed" in text
    assert text.index("runner-down") < text.index("request-ended")
    assert "group-open" in text and "g9:9" not in text
    assert "other" not in text and "g3:1" not in text
    assert events


def test_cause_is_named(files):
    text = commands.Commands().explain("request", "r1", logs=files)
    assert text.splitlines()[-1].startswith("cause: no group stands: not run")


def test_refusal_for_limits_and_rests_has_a_cause(tmp_path):
    path = tmp_path / "one.log"
    path.write_text(
        line(1,
             "n1",
             "request-ended",
             request="r1",
             status=503,
             reason="no runner takes more now"))
    text = commands.Commands().explain("request", "r1", logs=str(path))
    assert "named a rate limit or asked for rest" in text


def test_unknown_request_is_an_error(files):
    with pytest.raises(exceptions.CommandError, match="nobody"):
        commands.Commands().explain("request", "nobody", logs=files)


def test_logs_explain_requests_alone(files):
    with pytest.raises(exceptions.CommandError):
        commands.Commands().explain("vm", "i-7", logs=files)


def test_missing_file_is_an_error(tmp_path):
    with pytest.raises(exceptions.CommandError, match="can't be read"):
        commands.Commands().explain("request",
                                    "r1",
                                    logs=str(tmp_path / "none"))


@pytest.mark.parametrize("value", ['plain', 'two words', 'quo"te', 'back\\sl'])
def test_values_come_back_as_they_were_written(value):
    found = loglines.parsed(line(1, "n1", "e", reason=value))
    assert found.fields["reason"] == value


@pytest.mark.parametrize("text", ["", "time=", "time=now node=n event=e"])
def test_other_lines_are_left(text):
    assert loglines.parsed(text) is None
