"""Tests of calls to the store, against the model's."""

import asyncio

import pytest

from cardamommill import exceptions
from cardamommill.experiment import modelstore, virtualloop
from cardamommill.gateway import clock, upstream
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
        rows = await calls.feed("op", rows.version, 1500)
        assert [each.key for each in rows.rows] == ["config"]
        assert 500 <= clock.now_ms() - began_ms < 520

    play(script)


def test_feed_without_news_confirms_as_of_its_end():
    # As of its sending alone it would be a feed's length older, and keys
    # would be distrusted for nothing.

    async def script(store, calls):
        store.put("op", "config", {})
        rows = await calls.table("op")
        rows = await calls.feed("op", rows.version, 1500)
        assert not rows.rows
        assert clock.now_ms() - rows.as_of_ms < 20

    play(script)


def test_history_that_is_gone_is_told():

    async def script(store, calls):
        store.put("op", "config", {})
        store.put("op", "config", {})
        store.compact()
        with pytest.raises(storecalls.HistoryLost):
            await calls.feed("op", 0, 100)

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
