"""Tests of the queries for runners' reports."""

import asyncio
import json

import pytest

from cardamommill.platform import fetching, ordercalls
from cardamommill.transport import upstream
from tests.gateway import builders


@pytest.mark.parametrize("headers,left_ms", [
    ([("X-Cardamommill-Cold-Ms", "1500")], 1500.0),
    ([], 0.0),
    ([("X-Cardamommill-Cold-Ms", "soon")], 0.0),
])
def test_report_tells_for_how_long_the_runner_is_cold(headers, left_ms,
                                                      monkeypatch):
    """A probe shows that a runner is back before its row is read.

    A malformed header must not make the runner look dead.
    """

    async def fetch(*_):
        return fetching.Answer(upstream.Ending.COMPLETE,
                               upstream.Head(200, headers),
                               json.dumps({
                                   "seq": 3
                               }).encode(), "")

    monkeypatch.setattr(fetching, "fetch", fetch)
    reply = asyncio.run(
        ordercalls.fetch_report(upstream.Pool(), builders.runner(1)))
    report = reply.report
    assert report is not None and report.orders_begun == 3
    assert report.cold_left_ms == left_ms
