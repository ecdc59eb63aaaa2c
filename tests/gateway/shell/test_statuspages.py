"""Tests of the pages on readiness, metrics and status."""

import json

import pytest

from cardamommill import metrics
from cardamommill.gateway.shell import statuspages
from cardamommill.platform import wirenames
from cardamommill.transport import callers
from tests.gateway import relays


@pytest.mark.parametrize("target,is_ready,status",
                         [(wirenames.READY_PATH, True, 200),
                          (wirenames.READY_PATH, False, 503),
                          (statuspages.METRICS_PATH, False, 200),
                          (statuspages.STATUS_PATH, False, 200),
                          ("/other", True, 404)])
def test_status_of_each_page(target, is_ready, status):
    reply = relays.FakeReply()
    pages = statuspages.StatusPages(lambda: is_ready, metrics.Metrics(), dict)
    pages.answer(callers.CallerRequest("GET", target, [], b"", 0.0), reply)
    assert reply.status == status


def test_status_is_json():
    """Guards against a page that tools of operators can't read."""
    reply = relays.FakeReply()
    pages = statuspages.StatusPages(lambda: True, metrics.Metrics(),
                                    lambda: {"configuration": None})
    pages.answer(
        callers.CallerRequest("GET", statuspages.STATUS_PATH, [], b"", 0.0),
        reply)
    assert json.loads(reply.complete_bodies[0]) == {"configuration": None}
    assert ("Content-Type", "application/json") in reply.headers
