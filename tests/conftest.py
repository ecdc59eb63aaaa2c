"""Settings that hold for all tests."""

import os

import hypothesis

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
