"""Settings that hold for all tests."""

import os

import hypothesis

hypothesis.settings.register_profile("ci",
                                     derandomize=True,
                                     deadline=None,
                                     database=None)
hypothesis.settings.register_profile(
    "default", parent=hypothesis.settings.get_profile("ci"))
hypothesis.settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE",
                                                "default"))
