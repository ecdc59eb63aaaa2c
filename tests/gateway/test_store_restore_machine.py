"""Property test: readers and followers end up with a restored store's rows."""

import asyncio

import hypothesis
from hypothesis import strategies

from cardamommill.domain import clock
from cardamommill.experiment import modelstore, virtualloop
from cardamommill.gateway.nodes import peers
from cardamommill.gateway.tables import (
    peertables,
    sourceselector,
    tablecopies,
    tablereader,
)
from cardamommill.platform import storecalls
from cardamommill.transport import callers, upstream

READER = ("10.1.0.2", 7340)
TABLE = "servers"
WAIT_MS = 80
SETTLED_S = 1.0


class _FixedSource(sourceselector.SourceSelector):
    """Selects the same source every time."""

    def __init__(self, source):
        others = peers.Peers("n", "a", 1, ("10.1.0.9", 7340), clock.now_ms())
        super().__init__("n", others)
        self._source = source

    def choose(self, now_ms):
        del now_ms
        return self._source


STEPS = strategies.lists(strategies.one_of(
    strategies.tuples(strategies.just("put"), strategies.sampled_from("abc"),
                      strategies.integers(0, 9)),
    strategies.tuples(strategies.just("drop"), strategies.sampled_from("abc")),
    strategies.tuples(strategies.just("restore"), strategies.integers(0, 900)),
    strategies.tuples(strategies.just("compact")),
    strategies.tuples(strategies.just("away"), strategies.integers(0, 300)),
    strategies.tuples(strategies.just("wait"), strategies.integers(0, 400))),
                         max_size=25)


async def _follow(source, seen):
    while True:
        try:
            result = await source.read(WAIT_MS, 60_000)
        except storecalls.HistoryLost:
            continue
        except storecalls.exceptions.StoreError:
            await asyncio.sleep(0.02)
            continue
        if result.whole:
            seen.clear()
        for row in result.rows.rows:
            if row.deleted:
                seen.pop(row.key, None)
            else:
                seen[row.key] = row.value


async def _apply_step(store, step):
    match step:
        case ("put", key, value):
            store.put(TABLE, key, {"value": value})
        case ("drop", key):
            store.drop(TABLE, key)
        case ("restore", back_ms):
            store.restore(back_ms)
        case ("compact",):
            store.compact()
        case ("away", for_ms):
            store.fault = "busy"
            await asyncio.sleep(for_ms / 1000)
            store.fault = ""
        case ("wait", for_ms):
            await asyncio.sleep(for_ms / 1000)


async def _run_steps(steps):
    store = modelstore.ModelStore()
    await store.listen()
    loop = asyncio.get_running_loop()
    read, followed = {}, {}
    copies = tablecopies.TableCopies()
    server = callers.CallerServer(
        peertables.PeerTableServer(copies, loop.create_task).on_request,
        lambda status: None)
    await server.listen(*READER)
    with upstream.Pool() as pool:
        calls = storecalls.StoreClient(pool, modelstore.ADDRESS)
        reader = tablereader.TableReader(calls, pool,
                                         _FixedSource(sourceselector.STORE),
                                         TABLE, copies.table(TABLE))
        follower = tablereader.TableReader(
            storecalls.StoreClient(pool, modelstore.ADDRESS), pool,
            _FixedSource(sourceselector.Source(READER)), TABLE,
            tablecopies.TableCopy())
        tasks = [
            loop.create_task(_follow(reader, read)),
            loop.create_task(_follow(follower, followed))
        ]
        for step in steps:
            await _apply_step(store, step)
        await asyncio.sleep(SETTLED_S)
        for task in tasks:
            task.cancel()
    held = {
        key: row.value
        for key, row in store.tables.get(TABLE, {}).items()
        if row.value is not None
    }
    return held, read, followed


@hypothesis.given(STEPS)
@hypothesis.example([("put", "a", 0), ("wait", 5), ("restore", 6)])
@hypothesis.example([("put", "a", 1), ("wait", 200), ("put", "b", 1),
                     ("wait", 200), ("restore", 150), ("put", "c", 1),
                     ("put", "c", 2)])
def test_readers_and_followers_end_up_with_what_the_store_holds(steps):
    with virtualloop.running(1) as loop:
        held, read, followed = loop.run_until_complete(_run_steps(steps))
    assert read == held
    assert followed == held
