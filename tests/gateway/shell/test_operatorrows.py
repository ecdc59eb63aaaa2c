"""Tests of how evacuation rows of the operator's table are applied."""

import asyncio

import logbook
import pytest

from cardamommill import metrics
from cardamommill.domain import clock
from cardamommill.experiment import virtualloop
from cardamommill.gateway.shell import operatorrows
from cardamommill.gateway.tables import tablereader
from cardamommill.platform import evacuationrows, storecalls
from tests.gateway import builders


def apply(*rows):
    """Applies reads of one row each; returns the log lines and the metrics."""
    registry = metrics.Metrics()
    found = operatorrows.OperatorRows(builders.settings(), registry)

    async def script():
        await asyncio.sleep(1.0)
        for each in rows:
            as_of_ms = clock.now_ms() - 40
            read = storecalls.Rows((each,), each.version, as_of_ms)
            found.apply(tablereader.ReadResult(read, False, False))
            await asyncio.sleep(1.0)

    with logbook.TestHandler() as handler, virtualloop.running(1) as loop:
        loop.run_until_complete(script())
    return [each.message for each in handler.records], registry.render()


@pytest.mark.parametrize("key,expected", [("evacuate/dc-1", "dc-1"),
                                          ("config", None), ("evacuate", None)])
def test_key_names_the_data_centre(key, expected):
    """Guards against taking other rows for evacuations."""
    assert evacuationrows.evacuated_data_centre(key) == expected


def test_each_change_is_logged_once_with_version_and_age():
    """Guards against changes that an operator can't trace to a row."""
    lines, text = apply(storecalls.Row("evacuate/a", b"{}", 7),
                        storecalls.Row("evacuate/a", b"{}", 8),
                        storecalls.Row("evacuate/a", b"", 9, deleted=True))
    assert lines == [
        "event=evacuation change=begin data_centre=a row_version=7 "
        "read_age_ms=40 age_ms=0",
        "event=evacuation change=end data_centre=a row_version=8 "
        "read_age_ms=40 age_ms=2000",
    ]
    assert 'evacuation_changes_total{change="begin"} 1' in text
    assert "evacuated_data_centres 0" in text


def test_data_centre_that_the_settings_do_not_name_is_logged_and_counted():
    """Guards against a row without effect that nobody notices."""
    lines, text = apply(storecalls.Row("evacuate/z", b"{}", 7))
    assert len(lines) == 1
    assert lines[0].startswith("event=evacuation-unknown")
    assert "evacuations_unknown_total 1" in text
    assert "evacuated_data_centres 0" in text


def test_undecodable_value_of_a_row_has_no_influence():
    """Guards against an evacuation that fails because of unused content."""
    _, text = apply(storecalls.Row("evacuate/a", b"\xff{", 7))
    assert "evacuated_data_centres 1" in text
