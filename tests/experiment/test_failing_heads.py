"""Plays heads of groups that fail all that they are sent, and look well."""

import pytest

from tests.experiment import test_sharing, test_world

FROM_S = 2.0
# By then some tries have failed at each of them, and nodes have told so.
KNOWN_S = 3.0
UNTIL_S = 9.0
STREAMS = [
    each.model_copy(update={"per_s": 2 * each.per_s})
    for each in test_world.KINDS
    if each.model
]


def play(kind, count, seed):
    """Plays more nodes than one's own tries could teach in time."""
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
    """Two heads of eight fail what they get at once; their health is good.

    Nothing is in flight there, so that every node finds them the quickest and
    sends them most of what comes; a second try meets the other one, or is not
    allowed, since the repeats of all nodes are used up by then. The others have
    room for all.
    """
    outcome = play(kind, 2, seed)
    assert not outcome.violations
    assert test_sharing.served(outcome, KNOWN_S, UNTIL_S) > 0.99
    assert test_sharing.served(outcome, UNTIL_S, 12.0) > 0.99
