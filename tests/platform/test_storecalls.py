"""Tests of calls to the store, against the model's."""

import asyncio

import pytest

from cardamommill import exceptions
from cardamommill.experiment import modelstore, virtualloop
from cardamommill.gateway import clock, eras, upstream
from cardamommill.platform import storecalls


def play(script):

    async def main():
        store = modelstore.ModelStore()
        await store.listen()
        with upstream.Pool() as pool:
            return await script(store, storecalls.Store(pool,
                                                        modelstore.ADDRESS))

    with virtualloop.running(1) as loop:
        return loop.run_until_complete(main())


def test_table_is_read_whole_with_its_time():

    async def script(store, calls):
        for number in range(700):
            store.put("servers", f"i-{number:04d}", {"n": number})
        sent_ms = clock.now_ms()
        rows = await calls.table("servers")
        assert len(rows.rows) == 700
        assert sent_ms <= rows.as_of_ms <= clock.now_ms()

    play(script)


def test_feed_answers_at_once_when_something_changes():

    async def script(store, calls):
        store.put("op", "config", {"version": 1})
        rows = await calls.table("op")
        asyncio.get_running_loop().call_later(0.5, store.put, "op", "config",
                                              {"version": 2})
        began_ms = clock.now_ms()
        rows = await calls.feed("op", rows.position, 1500)
        assert [each.key for each in rows.rows] == ["config"]
        assert 500 <= clock.now_ms() - began_ms < 520

    play(script)


def test_feed_without_news_confirms_as_of_its_end():
    # As of its sending alone it would be a feed's length older, and keys
    # would be distrusted for nothing.

    async def script(store, calls):
        store.put("op", "config", {})
        rows = await calls.table("op")
        rows = await calls.feed("op", rows.position, 1500)
        assert not rows.rows
        assert clock.now_ms() - rows.as_of_ms < 20

    play(script)


def test_history_that_is_gone_is_told():

    async def script(store, calls):
        store.put("op", "config", {})
        store.put("op", "config", {})
        await calls.table("servers")
        store.compact()
        with pytest.raises(storecalls.HistoryLost):
            await calls.feed("op", eras.TablePosition(store.era, 0), 100)

    play(script)


@pytest.mark.parametrize("fault", ["silent", "busy", "reset"])
def test_store_that_fails_is_an_error_with_step_and_peer(fault):

    async def script(store, calls):
        store.fault = fault
        with pytest.raises(exceptions.StoreError) as caught:
            await calls.table("servers")
        assert caught.value.step and caught.value.peer

    play(script)


def test_system_may_write_its_own_tables_alone():

    async def script(store, calls):
        await calls.put("nodes", "n", b"10.0.0.1")
        assert store.get("nodes", "n") == b"10.0.0.1"
        with pytest.raises(exceptions.StoreError):
            await calls.put("servers", "i", b"x")

    play(script)


def test_restored_store_is_read_whole_though_it_gives_versions_out_again():
    """A feed from an old version would skip what was written in its place."""

    async def script(store, calls):
        store.put("op", "config", {"version": 1})
        await asyncio.sleep(1.0)
        store.put("op", "config", {"version": 2})
        before = await calls.table("op")
        store.restore(500)
        store.put("op", "config", {"version": 3})
        store.put("op", "other", {})
        with pytest.raises(storecalls.Restored):
            await calls.feed("op", before.position, 100)
        after = await calls.table("op")
        assert after.position > before.position
        assert {each.key for each in after.rows} == {"config", "other"}

    play(script)


def test_feed_that_waits_ends_when_another_call_hears_of_the_restore():

    async def script(store, calls):
        store.put("op", "config", {})
        rows = await calls.table("op")
        waiting = asyncio.get_running_loop().create_task(
            calls.feed("op", rows.position, 2000))
        await asyncio.sleep(0.2)
        store.era += 1
        began_ms = clock.now_ms()
        await calls.table("servers")
        with pytest.raises(storecalls.Restored):
            await waiting
        assert clock.now_ms() - began_ms < 50

    play(script)


@pytest.mark.parametrize("text", [None, "", "soon", "-3", "9" * 40])
def test_era_that_can_not_be_read_changes_nothing(text):

    async def script(store, calls):
        store.put("op", "config", {})
        rows = await calls.table("op")
        calls._see_era(text, "test")
        assert calls.eras.newest == store.era
        again = await calls.feed("op", rows.position, 50)
        assert again.position == rows.position

    play(script)


def test_answer_of_an_older_era_is_not_used():

    async def script(store, calls):
        store.era = 3
        await calls.table("op")
        store.era = 2
        with pytest.raises(exceptions.StoreError):
            await calls.table("op")
        assert calls.eras.newest == 3
        store.era = 3
        await calls.table("op")

    play(script)
