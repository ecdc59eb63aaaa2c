"""Tests of the table of lost credit."""

import json

import pytest

from tools import lost


def group(name="all", **changes):
    counts = dict(name=name,
                  n=110,
                  not_owed=10,
                  refused=10,
                  failed=5,
                  worth=0.6)
    return {**counts, **changes}


def test_losses_add_up():
    found = lost.loss(group())
    assert found.owed == 100
    parts = (found.earned, found.late, found.refused, found.failed)
    assert sum(parts) == pytest.approx(1.0)
    assert found.late == pytest.approx(0.25)


def test_window_in_which_nothing_was_owed_has_lost_nothing():
    found = lost.loss(group(n=10, refused=0, failed=0, worth=0.0))
    assert (found.owed, found.earned, found.late) == (0, 1.0, 0.0)


def test_dearest_prices_and_worst_windows_come_first(tmp_path, capsys):
    report = {
        "all":
            group(),
        "classes": [group("draft")],
        "windows": [
            group(str(second), worth=second / 10) for second in range(8)
        ],
        "prices": [["orders", 3.0, 0.001], ["calls", 9.0, 0.01],
                   ["machines", 5.0, 0.02]]
    }
    path = tmp_path / "day.json"
    path.write_text(json.dumps(report), "utf-8")
    assert lost.main([str(path)]) == 0
    printed = capsys.readouterr().out
    assert printed.index("from 0 s") < printed.index("from 4 s")
    assert "from 5 s" not in printed
    assert printed.index("machines") < printed.index("calls")
    assert "orders" not in printed


@pytest.mark.parametrize("text", ["", "[]", '{"all": 1}'])
def test_what_is_no_report_is_named(tmp_path, capsys, text):
    path = tmp_path / "bad.json"
    path.write_text(text, "utf-8")
    assert lost.main([str(path)]) == 1
    assert "bad.json" in capsys.readouterr().err
