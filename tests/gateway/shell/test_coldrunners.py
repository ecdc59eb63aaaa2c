"""Tests of the logs and metrics of the slow start."""

import dataclasses

import logbook

from cardamommill import metrics
from cardamommill.gateway.requests import slowstart
from cardamommill.gateway.shell import coldrunners
from tests.gateway import builders

SERVICE = dataclasses.replace(builders.service(), cold_s=3.0, cold_per_s=14.0)


class Node:
    """A node whose list has some cold runners from 1000 ms on."""

    def __init__(self, count):
        view = builders.view(
            *(dataclasses.replace(builders.runner(number), cold_left_ms=3000.0)
              for number in range(count)))
        self.metrics = metrics.Metrics()
        self.cold_runners = coldrunners.ColdRunners(
            view,
            slowstart.SlowStart("n", view.cold_periods, lambda *_: {"n"},
                                lambda: {SERVICE.name: SERVICE},
                                builders.cold_settings()), self.metrics)
        self.runner = view.known["i-0"].runner

    def sweep(self, now_ms):
        """Returns the lines that are logged."""
        with logbook.TestHandler() as handler:
            self.cold_runners.drop_expired(now_ms)
        return [each.message for each in handler.records]


def test_start_and_end_of_a_cold_period_are_logged_once():
    node = Node(1)
    assert "runner-cold" in node.sweep(1100)[0]
    assert not node.sweep(1340)
    assert "runner-warm" in node.sweep(4000)[0]
    assert not node.sweep(4240)


def test_log_is_bounded_when_a_data_centre_returns():
    """A line for each of hundreds of runners would crowd out other lines."""
    node = Node(300)
    assert len(node.sweep(1100)) == coldrunners.MAX_LINES + 1
    assert len(node.sweep(4000)) == coldrunners.MAX_LINES + 1


def test_cold_runners_and_requests_are_counted():
    node = Node(3)
    node.sweep(1100)
    node.cold_runners.wait_ms(node.runner, 2000)
    node.cold_runners.sent("a1", node.runner.id, 2000)
    node.cold_runners.ended("a1", 421)
    text = node.metrics.render()
    assert "cardamommill_cold_runners 3" in text
    assert "cardamommill_runners_cold_total 3" in text
    assert "cardamommill_requests_sent_cold_total 1" in text
    assert "cardamommill_cold_tokens_returned_total 1" in text
