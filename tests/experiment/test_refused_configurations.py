"""Tests of configurations that can't take effect as a whole, at all nodes."""

import pytest

from cardamommill.experiment import deployments
from tests.experiment import test_world

FIRST_VERSION = 7


@pytest.mark.parametrize("fault", [{
    "priority": -1
}, {
    "goalMs": 150.5
}],
                         ids=["refused", "undecodable"])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_keys_that_a_faulty_configuration_revokes_stop_at_all_nodes(
        monkeypatch, seed, fault):
    """Guards against revoked keys that work at nodes cut off from the store."""
    valid = deployments.Deployment.configuration

    def faulty(deployment, version, keys):
        found = valid(deployment, version, keys)
        if version > FIRST_VERSION:
            found["routes"][0].update(fault)
        return found

    monkeypatch.setattr(deployments.Deployment, "configuration", faulty)
    outcome = test_world.play(test_world.trouble("store_cut",
                                                 1.5,
                                                 count=2,
                                                 for_s=9),
                              test_world.trouble("revoke", 2.0, count=3),
                              length_s=12,
                              seed=seed)
    assert not outcome.violations
    assert outcome.share("in-aim") > 0.5
