"""Bytes of faulty runners against the memory limit, on real processes."""

import asyncio
import pathlib
import re

import pytest

from tests import liveplain

pytestmark = pytest.mark.xdist_group("live")

MEMORY_MB = 300
CALLERS = 80
SOUND_CALLERS = 20


def peak_mb(node):
    """Returns the largest resident memory that a node's process had."""
    status = pathlib.Path(f"/proc/{node.process.pid}/status").read_text("ascii")
    return int(re.search(r"VmHWM:\s+(\d+) kB", status)[1]) / 1024


@pytest.mark.parametrize("body", liveplain.ENDLESS)
def test_bodies_without_end_leave_the_node_within_its_memory(tmp_path, body):
    """Guards against a node that ends, with the requests of other callers."""

    async def script(nodes):
        node = nodes.nodes[0]
        calls = [
            asyncio.create_task(
                liveplain.Caller(f"{body}-{each}", body).call(node.host))
            for each in range(CALLERS)
        ]
        sound = [
            await liveplain.Caller(f"sound-{each}").call(node.host)
            for each in range(SOUND_CALLERS)
        ]
        ended = await asyncio.gather(*calls)
        return ended, sound, peak_mb(node)

    ended, sound, found_mb = liveplain.run(script,
                                           tmp_path,
                                           memory_mb=MEMORY_MB)
    assert {each.status for each in ended} == {502}
    assert {each.status for each in sound} == {200}
    assert found_mb < MEMORY_MB
