"""Tests of configurations that are accepted, refused or undecodable."""

import json

import logbook
import pytest

from cardamommill import metrics
from cardamommill.experiment import deployments, virtualloop
from cardamommill.gateway.shell import configurationrows

KEY = "secret-key"
DEPLOYMENT = deployments.Deployment(name="d", models=(), kinds=())
VERDICT = configurationrows.Verdict


def wire(**tenant):
    found = DEPLOYMENT.configuration(7, [("t", KEY)])
    found["tenants"][0].update(tenant)
    return json.dumps(found).encode()


class Judge:
    """Judges configurations; keeps the log lines and the metrics."""

    def __init__(self):
        self.metrics = metrics.Metrics()
        self.rows = configurationrows.ConfigurationRows(("north",),
                                                        self.metrics)
        self.lines = []

    def evaluate(self, value, version):

        async def run():
            return self.rows.evaluate(value, version)

        with logbook.TestHandler() as handler, virtualloop.running(1) as loop:
            found = loop.run_until_complete(run())
        self.lines += [each.message for each in handler.records]
        return found.verdict

    @property
    def count(self):
        return sum(
            float(line.split()[1])
            for line in self.metrics.render().splitlines()
            if line.startswith("cardamommill_configurations_refused_total"))


@pytest.mark.parametrize("value,verdict,field,told", [
    (wire(priority=-1), VERDICT.REFUSED, "tenants.0.priority", "value=-1"),
    (wire(priority="x"), VERDICT.UNDECODABLE, "tenants.0.priority",
     "found=string"),
    (wire(apiKeys=KEY), VERDICT.UNDECODABLE, "tenants.0.apiKeys",
     "found=string"),
])
def test_refusal_is_logged_and_counted_once(value, verdict, field, told):
    """Guards against refusals without a cause, and against repeated lines.

    Whole reads of the table return the same row again.
    """
    judge = Judge()
    for _ in range(3):
        assert judge.evaluate(value, 5) is verdict
    (line,) = judge.lines
    assert "row=config row_version=5" in line
    assert f"field={field}" in line
    assert told in line
    assert "expected=" in line
    assert KEY not in line
    assert judge.count == 1
    assert judge.rows.last_refusal.row_version == 5
    assert KEY not in repr(judge.rows.last_refusal)


def test_later_refusal_is_logged_again():
    """Guards against a second mistake that nobody is told of."""
    judge = Judge()
    judge.evaluate(wire(priority=-1), 5)
    judge.evaluate(wire(priority=-1), 6)
    assert len(judge.lines) == judge.count == 2


def test_valid_configuration_is_accepted_without_a_line():
    """Guards against refusals of what is in range."""
    judge = Judge()
    assert judge.evaluate(wire(allowedRegions=["north"]), 5) is VERDICT.ACCEPTED
    assert not judge.lines
    assert judge.rows.last_refusal is None


def test_refused_configuration_is_checked_again_with_changed_settings():
    """Guards against a new region that is refused for good."""
    judge = Judge()
    judge.evaluate(wire(allowedRegions=["west"]), 5)
    assert judge.rows.reload(("north", "south")) is None
    assert judge.rows.reload(("north", "west")).version == 7
