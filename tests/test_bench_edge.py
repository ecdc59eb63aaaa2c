"""Tests of how the bench of the edge is started."""

import sys

from cardamommill import bench_edge, commands


def test_bench_started_by_the_command_reads_no_other_command_line(monkeypatch):
    """An operator runs ``cardamommill bench``; nothing was measured.

    The bench took the words of that command line for its own options and
    ended with a usage message, before the other benches had run.
    """
    measured = []
    monkeypatch.setattr(sys, "argv", ["cardamommill", "bench", "edge"])
    monkeypatch.setattr(bench_edge, "_measure", measured.append)
    commands.Commands().bench("edge")
    assert measured == [bench_edge.MODES]
