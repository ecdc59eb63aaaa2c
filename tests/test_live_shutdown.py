"""Stops nodes as planned while callers read, connect and wait.

The nodes are real processes: what is in the buffers of a connection when its
process ends shows there alone.
"""

import asyncio

import pytest

from tests import livefleet, liveplain

pytestmark = pytest.mark.xdist_group("live")

ANSWER_BYTES = 4 << 20
# A caller takes an answer in 5.6 s.
READ_PER_S = 750_000


def test_planned_stops_cut_no_answer_that_callers_still_read(tmp_path):
    """Guards against answers in the node's buffers when the process ends."""

    async def script(nodes):
        calls = []
        for node in nodes.nodes:
            new = [
                liveplain.Caller(f"{node.name}-{each}",
                                 ANSWER_BYTES,
                                 per_s=READ_PER_S * (1.0 + 0.1 * each))
                for each in range(4)
            ]
            calls += [asyncio.create_task(each.call(node.host)) for each in new]
            await asyncio.sleep(0.5)
            calls.append(asyncio.create_task(nodes.stop(node)))
            await asyncio.sleep(0.5)
        return await asyncio.gather(*calls)

    found = liveplain.run(script, tmp_path)
    callers = [each for each in found if isinstance(each, liveplain.Caller)]
    assert [each.attempt for each in callers if not each.is_whole] == []
    assert len(callers) == 8


def test_callers_that_never_read_do_not_hold_the_process(tmp_path):
    """Guards against a process that is killed for one caller."""

    async def script(nodes):
        node = nodes.nodes[0]
        call = asyncio.create_task(
            liveplain.Caller("stuck", ANSWER_BYTES,
                             per_s=10_000).call(node.host))
        await asyncio.sleep(0.5)
        took_ms = await nodes.stop(node)
        call.cancel()
        return took_ms

    assert liveplain.run(script, tmp_path) < 1000 * livefleet.GRACE_S


def test_request_on_a_new_connection_is_answered_during_a_planned_stop(
        tmp_path):
    """Guards against connections that are closed before they are read.

    The requests come up to 0.3 s after their connections.
    """

    async def script(nodes):
        node = nodes.nodes[0]
        # Holds the process until its grace is nearly over.
        slow = asyncio.create_task(
            liveplain.Caller("slow", wait_ms=5500).call(node.host))
        await asyncio.sleep(0.3)
        stop = asyncio.create_task(nodes.stop(node))
        calls = []
        while not stop.done():
            late = liveplain.Caller(f"late-{len(calls)}")
            calls.append(
                asyncio.create_task(late.call(node.host,
                                              0.1 * (len(calls) % 4))))
            await asyncio.sleep(0.02)
        await stop
        return await slow, await asyncio.gather(*calls)

    slow, late = liveplain.run(script, tmp_path)
    assert slow.status == 200
    assert len(late) > 100
    cut = [
        each.attempt
        for each in late
        if not (each.is_whole or isinstance(each.error, ConnectionRefusedError))
    ]
    assert not cut
    assert {each.status for each in late} <= {0, 200, 503}


def test_request_that_outlasts_the_grace_is_answered(tmp_path):
    """Guards against a closed connection in place of "may have run"."""

    async def script(nodes):
        node = nodes.nodes[0]
        call = asyncio.create_task(
            liveplain.Caller("endless", wait_ms=60_000).call(node.host))
        await asyncio.sleep(0.5)
        await nodes.stop(node)
        return await call

    call = liveplain.run(script, tmp_path)
    assert call.is_whole and call.status == 504
