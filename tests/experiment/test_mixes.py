"""Tests the oracle's rules under random mixes of faults, with fixed seeds."""

import pytest

from tests import mixes


@pytest.mark.parametrize("seed", range(2000, 2006))
def test_no_rule_is_broken_in_a_mix(seed):
    assert not mixes.play(seed).violations


@pytest.mark.parametrize("seed", range(3000, 3004))
def test_no_rule_is_broken_in_a_mix_with_a_restored_store(seed):
    assert not mixes.play(seed, "restored").violations


@pytest.mark.parametrize("seed", range(4000, 4004))
def test_no_rule_is_broken_in_a_mix_with_flow_control(seed):
    assert not mixes.play(seed, "advice").violations


def test_mixes_are_reproducible_and_cover_all_kinds():
    drawn = [mixes.draw(seed) for seed in range(30)]
    assert drawn == [mixes.draw(seed) for seed in range(30)]
    assert {each["kind"] for mix in drawn for each in mix} == set(mixes.KINDS)
