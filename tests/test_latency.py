"""Tests of telling from logs where requests lose time."""

import pytest

from cardamommill import commands, exceptions, latency
from tests import test_loglines


def ended(second, **fields):
    given = {
        "request": "r",
        "route": "draft",
        "status": 200,
        "targets": "g1:4",
        "first_event_ms": 100,
        "goal_ms": 300,
        "expected_ms": 90,
        "patient": False,
        "took_ms": 900
    } | fields
    return test_loglines.line(
        second, "n1", "request-ended", **{
            name: value for name, value in given.items() if value is not None
        })


def causes(tmp_path, *lines):
    path = tmp_path / "one.log"
    path.write_text("".join(lines))
    found, faults = latency.read([path])
    return [each.cause for each in found], faults


@pytest.mark.parametrize("fields,cause", [
    ({}, latency.Cause.IN_TIME),
    ({
        "first_event_ms": 301
    }, latency.Cause.FORECAST),
    ({
        "first_event_ms": 301,
        "patient": True
    }, latency.Cause.OVERLOADED),
    ({
        "first_event_ms": 301,
        "targets": "g1:4,g2:5"
    }, latency.Cause.RETRIED),
    ({
        "first_event_ms": None,
        "expected_ms": None,
        "patient": None
    }, latency.Cause.SLOW),
    ({
        "first_event_ms": 900,
        "goal_ms": None
    }, latency.Cause.IN_TIME),
    ({
        "status": 503,
        "reason": "no group stands",
        "targets": None
    }, latency.Cause.REFUSED),
    ({
        "status": 502,
        "reason": "may have run"
    }, latency.Cause.FAILED),
    ({
        "status": 0,
        "reason": "caller left"
    }, latency.Cause.CALLER_LEFT),
    ({
        "status": 200,
        "reason": "broken off: no answer in time"
    }, latency.Cause.FAILED),
])
def test_each_end_has_its_cause(tmp_path, fields, cause):
    assert causes(tmp_path, ended(1, **fields)) == ([cause], [])


def test_report_tells_routes_seconds_and_groups(tmp_path, capsys):
    path = tmp_path / "one.log"
    path.write_text(
        ended(1) + ended(1.5, first_event_ms=500, targets="g2:5") +
        ended(2, status=503, reason="all groups are full", targets=None) +
        ended(3, route="record", goal_ms=200, first_event_ms=None, took_ms=40))
    commands.Commands().latency(str(path))
    routes, seconds, groups = capsys.readouterr().out.strip().split("\n\n")
    assert routes.splitlines()[1].split() == [
        "draft", "3", "300", "500", "500", "1", "0", "0", "1", "0", "1", "0",
        "0"
    ]
    assert seconds.splitlines()[1].split()[:4] == ["0", "2", "1", "0"]
    assert seconds.splitlines()[1].endswith("#" * 20 + "+" * 20)
    assert seconds.splitlines()[2].endswith("." * 20)
    assert groups.splitlines()[1:] == ["g2:5   1     200"]


def test_lines_that_are_cut_are_named_and_the_rest_is_told(tmp_path, capsys):
    """A node that is killed while it writes leaves a part of a line."""
    path, foreign = tmp_path / "one.log", tmp_path / "two.log"
    path.write_text(
        ended(1) + ended(2, status="20x") +
        ended(3, took_ms=None, first_event_ms=None))
    foreign.write_text("what another program wrote\n")
    with pytest.raises(exceptions.InputError) as raised:
        commands.Commands().latency(f"{path},{foreign}")
    text = str(raised.value)
    assert f"{path}:2: request-ended without a sound status" in text
    assert f"{path}:3: request-ended without a sound first_event_ms" in text
    assert f"{foreign}: no line of a node's log" in text
    assert "draft" in capsys.readouterr().out


def test_logs_without_requests_give_an_empty_report(tmp_path, capsys):
    path = tmp_path / "one.log"
    path.write_text(test_loglines.line(1, "n1", "start"))
    commands.Commands().latency(str(path))
    assert "ROUTE" in capsys.readouterr().out


def test_missing_file_is_an_error(tmp_path):
    with pytest.raises(exceptions.CommandError, match="can't be read"):
        commands.Commands().latency(str(tmp_path / "none"))


def test_late_request_counts_at_the_group_that_answered_it(tmp_path):
    """A silent group went on while another one was tried in vain."""
    path = tmp_path / "one.log"
    path.write_text(
        ended(1, first_event_ms=500, targets="g1:4,g2:5", answered_by="g1:4"))
    (found,), _ = latency.read([path])
    assert found.group == "g1:4"
