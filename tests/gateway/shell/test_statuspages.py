"""Tests of the readiness and metrics pages."""

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
                          ("/other", True, 404)])
def test_status_of_each_page(target, is_ready, status):
    reply = relays.FakeReply()
    pages = statuspages.StatusPages(lambda: is_ready, metrics.Metrics())
    pages.answer(callers.CallerRequest("GET", target, [], b"", 0.0), reply)
    assert reply.status == status
