"""Settings that hold for all tests."""

import os

import hypothesis
import pytest

from tests import known

# CI gives the same verdict every time: no chance, no clock, no memory.
hypothesis.settings.register_profile("ci",
                                     derandomize=True,
                                     deadline=None,
                                     database=None)
# A long fuzz with a seed of its own; see tests/prove.py.
hypothesis.settings.register_profile(
    "prove",
    deadline=None,
    database=None,
    max_examples=int(os.environ.get("PROVE_EXAMPLES", "100")),
    stateful_step_count=int(os.environ.get("PROVE_STEPS", "50")),
    suppress_health_check=list(hypothesis.HealthCheck))
hypothesis.settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))

_KNOWN = known.listed(known.PATH.read_text("utf-8"))


def pytest_terminal_summary(terminalreporter):
    """Names the known reds, also where a run is quiet."""
    for test, why in _KNOWN.items():
        terminalreporter.write_line(f"known red: {test}: {why}")
    terminalreporter.write_line(f"{len(_KNOWN)} known red")


def pytest_collection_modifyitems(items):
    """Has known reds fail without failing the run, and fail it if they pass."""
    for item in items:
        why = known.reason(_KNOWN, item.nodeid)
        if why:
            item.add_marker(pytest.mark.xfail(reason=why, strict=True))
