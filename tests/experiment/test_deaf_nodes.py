"""Tests nodes that reach the store and all runners, but not each other."""

import pytest

from cardamommill.gateway.shell import nodelink
from tests.experiment import test_world


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_planners_without_peer_updates_break_no_rule(monkeypatch, seed):
    """Every node plans for all; a node dies and three runners are unreachable.

    The planners form groups with conflicting orders. Only the runners' order
    counts keep a member of an open group out of another group.
    """
    monkeypatch.setattr(nodelink.NodeLink, "_send", lambda *_: None)
    outcome = test_world.play(test_world.trouble("node_kill",
                                                 1.0,
                                                 for_s=2.0,
                                                 place="a"),
                              test_world.trouble("runners_dark",
                                                 2.0,
                                                 count=3,
                                                 for_s=3.0),
                              places={
                                  "a": 3,
                                  "b": 2
                              },
                              seed=seed)
    assert not outcome.violations
