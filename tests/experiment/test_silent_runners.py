"""Tests sound runners that are silent for a while and then go on."""

import pytest

from tests.experiment import test_cut_nodes, test_world

trouble = test_world.trouble
# A load at which groups are full while some of them are silent.
KINDS = tuple(
    each.model_copy(update={"per_s": 3.4 * each.per_s})
    for each in test_world.KINDS)


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("kind", ["runners_silent", "runners_frozen"])
def test_node_does_not_end_answers_of_silent_runners(kind, seed):
    """Nodes left silent groups for others that refused, and had no way back."""
    outcome = test_cut_nodes.play(trouble(kind, 3.0, for_s=1.2, factor=0.6),
                                  kinds=KINDS,
                                  plain_runners=1,
                                  seed=seed,
                                  length_s=8.0)
    assert "LOST" not in {each.rule for each in outcome.violations}
