"""Tests of the log's lines."""

import shlex

import hypothesis
from hypothesis import strategies
import logbook
import pytest

from cardamommill import checking, logs

log = logbook.Logger("trial")


def written(tmp_path, act, level="INFO"):
    """Returns the lines that `act` leaves in a log file."""
    path = tmp_path / "node.log"
    with logs.LogHandler(checking.Logging(level=level, file=str(path)), "n1"):
        act()
    return path.read_text("utf-8").splitlines()


@hypothesis.given(strategies.text())
def test_a_value_stays_one_value_on_one_line(text):
    quoted = logs.quoted(text)
    assert len(quoted.splitlines()) <= 1
    assert len(shlex.split(f"a={quoted}")) == 1


def test_an_error_is_one_line(tmp_path):

    def act():
        try:
            raise ValueError("bad\nthing")
        except ValueError:
            log.exception(logs.line("call-failed", peer="x y"))

    (line,) = written(tmp_path, act)
    assert 'event=call-failed peer="x y"' in line
    assert "ValueError" in line


def test_lines_below_the_level_are_left_out(tmp_path):
    lines = written(tmp_path, lambda: (log.info("a"), log.warning("b")),
                    "WARNING")
    assert len(lines) == 1
    assert "level=WARNING node=n1 channel=trial event=note text=b" in lines[0]


@pytest.mark.parametrize("act", [
    lambda: log.info(logs.line("x", authorization="s3cret")),
    lambda: log.info(logs.line("x", operator_key="s3cret")),
    lambda: log.info("Authorization: Bearer s3cret"),
    lambda: log.info(logs.line("x", detail="got 'Bearer s3cret'")),
])
def test_no_secret_reaches_a_line(tmp_path, act):
    (line,) = written(tmp_path, act)
    assert "s3cret" not in line
    assert logs.HIDDEN in line


def test_a_full_backlog_drops_lines_and_says_so(tmp_path, monkeypatch):
    """The control thread logs while nobody takes the lines away.

    A handler that waited would stop every decision of the node; so lines are
    dropped, and the next line that gets through tells how many.
    """
    monkeypatch.setattr(logs, "MAX_BACKLOG", 2)
    path = tmp_path / "node.log"
    handler = logs.LogHandler(checking.Logging(file=str(path)), "n1")
    for _ in range(5):
        record = logbook.LogRecord("trial", logbook.INFO, "event=x")
        record.heavy_init()
        handler.handle(record)
    with handler:
        pass
    lines = path.read_text("utf-8").splitlines()
    assert "event=log-lines-dropped count=3" in lines[0]
    assert len(lines) == 3
