"""Tests of how nodes pass tables of the store on to each other."""

import asyncio

import msgpack
import pytest

from cardamommill import exceptions
from cardamommill.domain import clock, eras
from cardamommill.experiment import virtualloop
from cardamommill.gateway.tables import peertables, tablecopies
from cardamommill.platform import fetching, storecalls
from cardamommill.transport import callers, upstream

ADDRESS = ("10.1.0.2", 7340)
AGE_MS = 300.0


def row(key, version):
    return storecalls.Row(key, b"v", version)


def run_with_peer(script):
    """Runs a script with a peer whose copy of table t is AGE_MS old."""

    async def main():
        copies = tablecopies.TableCopies()
        loop = asyncio.get_running_loop()
        server = callers.CallerServer(
            peertables.PeerTableServer(copies, loop.create_task).on_request,
            lambda status: None)
        await server.listen(*ADDRESS)
        copies.table("t").apply_rows(
            storecalls.Rows((row("a", 3),), 5,
                            clock.now_ms() - AGE_MS), True)
        with upstream.Pool() as pool:
            return await script(copies.table("t"), pool)

    with virtualloop.running(1) as loop:
        return loop.run_until_complete(main())


def test_time_of_passed_on_rows_is_not_later_than_that_of_the_copy():

    async def script(table, pool):
        rows = await peertables.PeerTableClient(pool, ADDRESS,
                                                eras.EraTracker()).table("t")
        return rows, table.as_of_ms

    rows, as_of_ms = run_with_peer(script)
    assert [each.key for each in rows.rows] == ["a"]
    assert rows.version == 5
    assert as_of_ms - 50 < rows.as_of_ms <= as_of_ms


def test_follower_receives_a_change_at_once():

    async def script(table, pool):
        peer = peertables.PeerTableClient(pool, ADDRESS, eras.EraTracker())
        query = asyncio.get_running_loop().create_task(
            peer.wait_for_changes("t", eras.TablePosition(0, 5), wait_ms=1000))
        await asyncio.sleep(0.2)
        table.apply_rows(storecalls.Rows((row("b", 6),), 6, clock.now_ms()),
                         False)
        began_ms = clock.now_ms()
        rows = await query
        return rows, clock.now_ms() - began_ms

    rows, took_ms = run_with_peer(script)
    assert [each.key for each in rows.rows] == ["b"]
    assert took_ms < 20


def test_answer_without_changes_comes_after_the_wait_with_the_age_of_the_copy():

    async def script(table, pool):
        rows = await peertables.PeerTableClient(
            pool, ADDRESS,
            eras.EraTracker()).wait_for_changes("t",
                                                eras.TablePosition(0, 5),
                                                wait_ms=400)
        return rows, clock.now_ms() - rows.as_of_ms

    rows, age_ms = run_with_peer(script)
    assert not rows.rows
    assert age_ms >= AGE_MS + 400


def test_answer_that_was_held_is_not_taken_to_be_older_than_its_copy():
    """The copy is confirmed while the query is held.

    When the follower subtracted the age at the answer from the time of its
    query, an answer held for half a second appeared that much older.
    """

    async def script(table, pool):
        peer = peertables.PeerTableClient(pool, ADDRESS, eras.EraTracker())
        query = asyncio.get_running_loop().create_task(
            peer.wait_for_changes("t", eras.TablePosition(0, 5), wait_ms=400))
        await asyncio.sleep(0.3)
        table.apply_rows(storecalls.Rows((), 5, clock.now_ms()), False)
        rows = await query
        return rows.as_of_ms, table.as_of_ms

    as_of_ms, confirmed_ms = run_with_peer(script)
    assert confirmed_ms - 20 < as_of_ms <= confirmed_ms


def test_query_from_before_the_history_raises_history_lost():

    async def script(table, pool):
        del table
        await peertables.PeerTableClient(pool, ADDRESS,
                                         eras.EraTracker()).wait_for_changes(
                                             "t",
                                             eras.TablePosition(0, 2),
                                             wait_ms=100)

    with pytest.raises(storecalls.HistoryLost):
        run_with_peer(script)


def test_table_that_the_peer_has_not_read_is_not_taken_for_empty():
    """If it were, all runners would appear to have left at once."""

    async def script(table, pool):
        del table
        await peertables.PeerTableClient(pool, ADDRESS,
                                         eras.EraTracker()).table("other")

    with pytest.raises(exceptions.StoreError, match="503"):
        run_with_peer(script)


@pytest.mark.parametrize("target,status", [("/rows", 400),
                                           ("/rows?table=t&after=x", 400),
                                           ("/other?table=t", 404)])
def test_malformed_query_is_refused(target, status):

    async def script(table, pool):
        del table
        request = fetching.request_bytes("GET", target, [("Host", "peer")])
        return await fetching.fetch(pool, ADDRESS, request, 500.0)

    assert run_with_peer(script).head.status == status


def test_query_to_an_unresponsive_peer_times_out():

    async def script(table, pool):
        del table
        silent = peertables.PeerTableClient(pool, ("10.1.0.9", 7340),
                                            eras.EraTracker())
        began_ms = clock.now_ms()
        with pytest.raises(exceptions.StoreError):
            await silent.wait_for_changes("t",
                                          eras.TablePosition(0, 5),
                                          wait_ms=450)
        return clock.now_ms() - began_ms

    assert run_with_peer(script) < 450 + peertables.ANSWER_TIMEOUT_MS + 20


def test_follower_must_read_whole_after_its_peer_enters_a_newer_era():

    async def script(table, pool):
        known = eras.EraTracker()
        peer = peertables.PeerTableClient(pool, ADDRESS, known)
        before = await peer.table("t")
        table.apply_rows(storecalls.Rows((row("b", 4),), 4, clock.now_ms(), 1),
                         True)
        with pytest.raises(storecalls.HistoryLost):
            await peer.wait_for_changes("t", before.position, wait_ms=100)
        after = await peer.table("t")
        return before.position, after.position, known.newest

    before, after, newest = run_with_peer(script)
    assert (before, after, newest) == ((0, 5), (1, 4), 1)


def test_peer_still_in_the_era_before_a_restore_is_not_followed():

    async def script(table, pool):
        del table
        known = eras.EraTracker()
        known.observe(0)
        known.observe(1)
        await peertables.PeerTableClient(pool, ADDRESS, known).table("t")

    with pytest.raises(peertables.PeerNotReady):
        run_with_peer(script)


def test_follower_with_the_previous_format_is_answered_without_an_era():

    async def script(table, pool):
        table.apply_rows(storecalls.Rows((row("b", 4),), 4, clock.now_ms(), 1),
                         True)
        request = fetching.request_bytes("GET", "/rows?table=t",
                                         [("Host", "peer")])
        answer = await fetching.fetch(pool, ADDRESS, request, 200)
        return msgpack.unpackb(answer.body)

    version, _, rows = run_with_peer(script)
    assert version == 4
    assert [each[0] for each in rows] == ["b"]
