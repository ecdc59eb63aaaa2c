"""Tests of the ids that tell the starts of a runner apart."""

import hypothesis
from hypothesis import strategies
import pytest

from cardamommill.domain import incarnations

INSTANCES = strategies.text("a1@-", max_size=6)
INCARNATIONS = strategies.builds(incarnations.Incarnation, INSTANCES,
                                 strategies.none() | strategies.integers(0, 20))


@hypothesis.given(INCARNATIONS)
@hypothesis.example(incarnations.Incarnation("a@1"))
@hypothesis.example(incarnations.Incarnation("a@"))
def test_id_names_one_incarnation_only(incarnation):
    """Another writer's instance id may look like a composed one.

    If "a@1" without a time of birth had the id of "a" born at 1, the state of
    one runner would be applied to the other.
    """
    assert incarnations.parse(str(incarnation)) == incarnation


def test_id_without_born_is_the_instance_id():
    """Nodes of the former version, and logs, name runners by it."""
    assert str(incarnations.Incarnation("i-0001")) == "i-0001"
    assert str(incarnations.Incarnation("i-0001", 17)) == "i-0001@17"


@pytest.mark.parametrize("asked,answered,is_other", [(1, 2, True), (2, 1, True),
                                                     (1, 1, False),
                                                     (1, None, False),
                                                     (None, 1, False),
                                                     (None, None, False)])
def test_only_two_different_births_show_another_incarnation(
        asked, answered, is_other):
    """A refusal without a body must not end the runner that sent it."""
    assert incarnations.is_other(asked, answered) is is_other
