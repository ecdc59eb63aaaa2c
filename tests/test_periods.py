"""Tests of the table of periods."""

import dataclasses

from cardamommill import periods


def test_defaults_are_those_of_the_table():
    table = {period.name: period.default_ms for period in periods.PERIODS}
    assert dataclasses.asdict(periods.Timing()) == table


def test_defaults_break_no_inequality():
    assert not list(periods.violations(periods.Timing()))


def test_each_inequality_can_be_broken():
    for rule in periods.INEQUALITIES:
        broken = dataclasses.replace(periods.Timing(), **{rule.larger: 1})
        assert rule in list(periods.violations(broken))
