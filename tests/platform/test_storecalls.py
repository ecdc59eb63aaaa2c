"""Tests of calls to the store, made against the model store."""

import asyncio

import pytest

from cardamommill import exceptions
from cardamommill.domain import clock, eras
from cardamommill.experiment import modelstore, virtualloop
from cardamommill.platform import storecalls, wire
from cardamommill.transport import upstream


def run(script):

    async def main():
        store = modelstore.ModelStore()
        await store.listen()
        with upstream.Pool() as pool:
            return await script(
                store, storecalls.StoreClient(pool, modelstore.ADDRESS))

    with virtualloop.running(1) as loop:
        return loop.run_until_complete(main())


def test_whole_table_is_read_with_its_time():

    async def script(store, client):
        for number in range(700):
            store.put("servers", f"i-{number:04d}", {"n": number})
        sent_ms = clock.now_ms()
        rows = await client.table("servers")
        assert len(rows.rows) == 700
        assert sent_ms <= rows.as_of_ms <= clock.now_ms()

    run(script)


@pytest.mark.parametrize("answered", ["~", "abc", "\u0416", 7, [], {}, False])
def test_value_that_is_no_base64_does_not_fail_the_other_rows(answered):
    """All nodes lost the whole list by one row of another writer."""

    async def script(store, client):
        store.put("servers", "i-1", {"n": 1})
        store.put_bytes("servers", "i-2", b"", answered)
        whole = await client.table("servers")
        feed = await client.wait_for_changes("servers",
                                             eras.TablePosition(1, 0), 100)
        for rows in (whole, feed):
            good, bad = rows.rows
            assert good.value == b'{"n": 1}'
            assert bad.value.startswith(wire.NOT_BASE64)
            with pytest.raises(UnicodeDecodeError):
                bad.value.decode()

    run(script)


def test_unreadable_value_is_kept_shortened():

    async def script(store, client):
        store.put_bytes("servers", "i-1", b"", "~" * 10**6)
        rows = await client.table("servers")
        assert len(rows.rows[0].value) < 200

    run(script)


def test_feed_answers_at_once_when_something_changes():

    async def script(store, client):
        store.put("op", "config", {"version": 1})
        rows = await client.table("op")
        asyncio.get_running_loop().call_later(0.5, store.put, "op", "config",
                                              {"version": 2})
        began_ms = clock.now_ms()
        rows = await client.wait_for_changes("op", rows.position, 1500)
        assert [each.key for each in rows.rows] == ["config"]
        assert 500 <= clock.now_ms() - began_ms < 520

    run(script)


def test_feed_without_changes_is_as_of_its_end():
    # If the rows were dated when the request was sent, they would seem older by
    # the feed's whole wait, and valid API keys would be refused as unconfirmed.

    async def script(store, client):
        store.put("op", "config", {})
        rows = await client.table("op")
        rows = await client.wait_for_changes("op", rows.position, 1500)
        assert not rows.rows
        assert clock.now_ms() - rows.as_of_ms < 20

    run(script)


def test_lost_history_is_reported():

    async def script(store, client):
        store.put("op", "config", {})
        store.put("op", "config", {})
        await client.table("servers")
        store.compact()
        with pytest.raises(storecalls.HistoryLost):
            await client.wait_for_changes("op",
                                          eras.TablePosition(store.era, 0), 100)

    run(script)


@pytest.mark.parametrize("fault", ["silent", "busy", "reset"])
def test_error_of_failing_store_names_step_and_peer(fault):

    async def script(store, client):
        store.fault = fault
        with pytest.raises(exceptions.StoreError) as caught:
            await client.table("servers")
        assert caught.value.step and caught.value.peer

    run(script)


def test_nodes_may_write_only_their_own_tables():

    async def script(store, client):
        await client.put("nodes", "n", b"10.0.0.1")
        assert store.get("nodes", "n") == b"10.0.0.1"
        with pytest.raises(exceptions.StoreError):
            await client.put("servers", "i", b"x")

    run(script)


def test_restored_store_is_read_whole_when_versions_repeat():
    """A restored store assigns versions a second time.

    A feed that continued after an old version would skip the rows that were
    written under the same versions since the restore.
    """

    async def script(store, client):
        store.put("op", "config", {"version": 1})
        await asyncio.sleep(1.0)
        store.put("op", "config", {"version": 2})
        before = await client.table("op")
        store.restore(500)
        store.put("op", "config", {"version": 3})
        store.put("op", "other", {})
        with pytest.raises(storecalls.StoreRestored):
            await client.wait_for_changes("op", before.position, 100)
        after = await client.table("op")
        assert after.position > before.position
        assert {each.key for each in after.rows} == {"config", "other"}

    run(script)


def test_waiting_feed_ends_when_another_call_sees_the_restore():

    async def script(store, client):
        store.put("op", "config", {})
        rows = await client.table("op")
        waiting = asyncio.get_running_loop().create_task(
            client.wait_for_changes("op", rows.position, 2000))
        await asyncio.sleep(0.2)
        store.era += 1
        began_ms = clock.now_ms()
        await client.table("servers")
        with pytest.raises(storecalls.StoreRestored):
            await waiting
        assert clock.now_ms() - began_ms < 50

    run(script)


@pytest.mark.parametrize("text", [None, "", "soon", "-3", "9" * 40])
def test_unreadable_era_changes_nothing(text):

    async def script(store, client):
        store.put("op", "config", {})
        rows = await client.table("op")
        client._observe_era(text, "test")
        assert client.eras.newest == store.era
        again = await client.wait_for_changes("op", rows.position, 50)
        assert again.position == rows.position

    run(script)


def test_answer_of_older_era_is_refused():

    async def script(store, client):
        store.era = 3
        await client.table("op")
        store.era = 2
        with pytest.raises(exceptions.StoreError):
            await client.table("op")
        assert client.eras.newest == 3
        store.era = 3
        await client.table("op")

    run(script)
