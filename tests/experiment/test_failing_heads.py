"""Tests heads that fail all requests while they report good health."""

import pytest

from tests.experiment import test_sharing, test_world

FROM_S = 2.0
# By then attempts have failed at each faulty head, and nodes have reported it.
KNOWN_S = 3.0
UNTIL_S = 9.0
STREAMS = [
    each.model_copy(update={"per_s": 2 * each.per_s})
    for each in test_world.KINDS
    if each.model
]


def play(kind, count, seed):
    """Runs enough nodes that each depends on failures reported by others."""
    return test_world.play(test_world.trouble(kind,
                                              FROM_S,
                                              count=count,
                                              for_s=UNTIL_S - FROM_S),
                           places={
                               "a": 16,
                               "b": 8
                           },
                           kinds=STREAMS,
                           length_s=12.0,
                           seed=seed)


@pytest.mark.parametrize("kind", ["heads_fail", "heads_reset"])
@pytest.mark.parametrize("seed", [1, 3])
def test_heads_that_fail_all_at_once_get_few_requests(kind, seed):
    """Two heads of eight fail requests at once but report good health.

    With no requests in flight they look least loaded, so every node sends them
    most requests. A second attempt reaches the other failing head, or is not
    allowed since the retry budget is used up. The other heads have capacity for
    all requests.
    """
    outcome = play(kind, 2, seed)
    assert not outcome.violations
    assert test_sharing.served(outcome, KNOWN_S, UNTIL_S) > 0.99
    assert test_sharing.served(outcome, UNTIL_S, 12.0) > 0.99
