"""Plays a second of silence of all runners of groups, on real processes."""

import asyncio

from tests import livefleet

SEED = 51
SILENT_S = 1.2
# Time of traffic before and after each silence.
CALM_S = 1.5


async def _play(folder):
    async with livefleet.Fleet(livefleet.deployment(), SEED, folder) as fleet:
        await fleet.wait_formed()
        sending = fleet.send(3 * CALM_S + 2 * SILENT_S)
        for be_silent in (fleet.silence, fleet.stop_runners):
            await asyncio.sleep(CALM_S)
            fleet.change_configuration()
            silence = asyncio.create_task(be_silent(SILENT_S))
            await asyncio.sleep(SILENT_S / 2)
            fleet.change_configuration()
            await silence
        await asyncio.gather(*sending)
        await fleet.finish()
    return fleet


def test_silence_of_sound_runners_ends_no_answer(tmp_path):
    """Nodes left silent runners that went on, and cut answers for it."""
    fleet = asyncio.run(_play(tmp_path))
    assert any(each.how == "whole" for each in fleet.ends)
    assert not fleet.cut_answers(), fleet.reasons()
    assert not fleet.oracle.violations
