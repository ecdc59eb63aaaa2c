"""Tests of how the platform's list of runners is followed."""

import asyncio

from cardamommill.experiment import deployments, modelstore, virtualloop
from cardamommill.gateway import (
    clock,
    fleetview,
    freshness,
    peers,
    platformreader,
    restoration,
    sourceselector,
    tablecopies,
    tablereader,
    upstream,
)
from cardamommill.platform import storecalls, words

CONFIG = (words.OPERATOR_TABLE, words.CONFIGURATION_KEY)
DRAIN_MS = 2000.0
# By then a change is known, and there is time to act on it.
KNOWN_S = 0.7 * DRAIN_MS / 1000


def entry(state="ready", **changes):
    figures = dict(service="llm",
                   address="10.0.0.1:8140",
                   zone="a",
                   slots=13,
                   state=state)
    return {**figures, **changes}


class Following:
    """A reader of a model store, for a test's script.

    Attributes:
        store: To be changed by the script.
        view: What the reader made of it.
    """

    def __init__(self, pool):
        self.store = modelstore.ModelStore()
        self.view = fleetview.FleetView()
        others = peers.Peers("n1", "a", 1, ("10.1.0.1", 7000), clock.now_ms())
        store = storecalls.Store(pool, modelstore.ADDRESS)
        operator, servers = (tablereader.TableReader(
            store, pool, sourceselector.SourceSelector("n1", others), name,
            tablecopies.TableCopy()) for name in (words.OPERATOR_TABLE,
                                                  words.SERVERS_TABLE))
        self.fresh = freshness.Freshness(5000.0)
        self.reader = platformreader.PlatformReader(operator, servers,
                                                    self.view, self.fresh,
                                                    DRAIN_MS,
                                                    lambda table: None)

    def put(self, runner, **fields):
        self.store.put(words.SERVERS_TABLE, runner, entry(**fields))


def follow(script):
    """Plays a script beside a reader that follows the list."""

    async def main():
        with upstream.Pool() as pool:
            one = Following(pool)
            await one.store.listen()
            one.put("i-1")
            one.put("i-2")
            task = asyncio.get_running_loop().create_task(
                one.reader.follow_list())
            await asyncio.sleep(0.1)
            await script(one)
            task.cancel()

    with virtualloop.running(1) as loop:
        loop.run_until_complete(main())


def configuration(version, **fields):
    deployment = deployments.Deployment(name="one", models=(), kinds=())
    return {**deployment.configuration(version, [("t", "k")]), **fields}


def follow_configuration(script):
    """Plays a script beside a reader that has version 3 for four seconds."""

    async def both(one):
        one.store.put(*CONFIG, configuration(3))
        task = asyncio.get_running_loop().create_task(
            one.reader.follow_configuration())
        await asyncio.sleep(4.0)
        await script(one)
        task.cancel()

    follow(both)


def test_keys_are_not_confirmed_past_a_configuration_that_can_not_be_read():
    """A newer release's operator writes what this one can't read.

    It may take keys away. The next answer of the store has no news, and was
    taken to say that the configuration in force is still the newest: keys that
    were taken away would have worked for as long as the node lived.
    """

    async def script(one):
        assert one.fresh.keys_may_be_trusted(clock.now_ms())
        one.store.put(*CONFIG, configuration(4, routes="none"))
        await asyncio.sleep(6.0)
        assert one.reader.table.configuration.version == 3
        assert not one.fresh.keys_may_be_trusted(clock.now_ms())
        one.store.put(*CONFIG, configuration(5))
        await asyncio.sleep(0.1)
        assert one.fresh.keys_may_be_trusted(clock.now_ms())

    follow_configuration(script)


def test_leaving_runner_is_known_well_within_its_bound():
    """Its entry changes just after an answer; requests must soon avoid it."""

    async def script(one):
        await asyncio.sleep(3.0)
        one.put("i-1", state="draining")
        await asyncio.sleep(KNOWN_S)
        assert one.view.known["i-1"].runner.leaving
        assert not one.view.known["i-2"].runner.leaving

    follow(script)


def test_runner_whose_entry_goes_is_no_longer_listed():

    async def script(one):
        one.store.drop(words.SERVERS_TABLE, "i-1")
        await asyncio.sleep(KNOWN_S)
        assert not one.view.known["i-1"].listed
        assert one.view.known["i-2"].listed

    follow(script)


def test_list_is_read_whole_when_its_history_is_lost():
    """The store forgets what changed while a runner went and one came."""

    async def script(one):
        one.store.fault = "silent"
        one.store.drop(words.SERVERS_TABLE, "i-1")
        one.put("i-3")
        one.store.compact()
        await asyncio.sleep(3.0)
        one.store.fault = ""
        await asyncio.sleep(3.0)
        listed = {
            each.runner.id for each in one.view.known.values() if each.listed
        }
        assert listed == {"i-2", "i-3"}

    follow(script)


def test_entry_that_can_not_be_read_names_no_runner():

    async def script(one):
        one.put("i-1", state="strange")
        await asyncio.sleep(KNOWN_S)
        assert not one.view.known["i-1"].listed

    follow(script)


def test_list_without_news_costs_few_calls_and_is_not_old():
    """A quiet minute: the list is priced by the call, and must stay young."""

    async def script(one):
        before = one.store.calls
        ages_ms = []
        for _ in range(60):
            await asyncio.sleep(1.0)
            ages_ms.append(clock.now_ms() - one.view.list_as_of_ms)
        assert one.store.calls - before <= 40
        assert max(ages_ms) <= one.view.list_stale_ms

    follow(script)


def test_many_changes_cost_no_more_calls_than_their_bound_needs():

    async def script(one):
        before = one.store.calls
        for number in range(600):
            one.put(f"i-{number % 9}", slots=number + 1)
            await asyncio.sleep(0.1)
        assert one.store.calls - before <= 80

    follow(script)


def test_configuration_stays_in_force_when_the_store_has_lost_it():
    """The store comes back with the one before; keys wait for the operator."""

    async def script(one):
        one.store.put(*CONFIG, configuration(4))
        await asyncio.sleep(0.5)
        one.store.restore(1000)
        await asyncio.sleep(5.5)
        assert one.reader.table.configuration.version == 4
        assert not one.fresh.keys_may_be_trusted(clock.now_ms())
        one.store.put(*CONFIG, configuration(4))
        await asyncio.sleep(0.1)
        assert one.fresh.keys_may_be_trusted(clock.now_ms())

    follow_configuration(script)


def test_configuration_that_no_node_heard_of_is_waited_for_after_a_restore():
    """It may have taken a key away, and the operator writes it again."""

    async def script(one):
        confirmed_ms = one.fresh.confirmed_ms
        one.store.restore(0)
        await asyncio.sleep(restoration.REWRITE_TIMEOUT_MS / 1000 - 0.1)
        assert one.fresh.confirmed_ms < confirmed_ms + 600
        one.store.put(*CONFIG, configuration(5))
        await asyncio.sleep(0.1)
        assert one.reader.table.configuration.version == 5
        assert clock.now_ms() - one.fresh.confirmed_ms < 200

    follow_configuration(script)


def test_keys_work_on_where_nothing_was_lost():

    async def script(one):
        one.store.restore(0)
        for _ in range(60):
            await asyncio.sleep(0.1)
            assert one.fresh.keys_may_be_trusted(clock.now_ms())

    follow_configuration(script)


def test_runners_that_a_restored_list_lacks_are_waited_for():

    async def script(one):
        one.put("i-3")
        await asyncio.sleep(KNOWN_S)
        one.store.restore(10_000)
        await asyncio.sleep(restoration.REWRITE_TIMEOUT_MS / 1000 - 0.3)
        assert one.view.known["i-3"].listed
        one.put("i-3", slots=7)
        one.put("i-1")
        await asyncio.sleep(2 * KNOWN_S)
        assert one.view.known["i-3"].runner.slots == 7
        assert not one.view.known["i-2"].listed

    follow(script)


def test_runner_that_was_leaving_does_not_come_back_with_the_backup():

    async def script(one):
        await asyncio.sleep(1.0)
        one.put("i-1", state="draining")
        one.store.drop(words.SERVERS_TABLE, "i-2")
        await asyncio.sleep(KNOWN_S)
        one.store.restore(2000)
        for _ in range(18):
            await asyncio.sleep(0.1)
            assert one.view.known["i-1"].runner.leaving
            assert not one.view.known["i-2"].listed

    follow(script)


def test_runner_that_leaves_before_the_first_reading_is_known_to():
    """It wrote so again between the restore and the reading."""

    async def script(one):
        await asyncio.sleep(1.0)
        one.store.restore(500)
        one.put("i-1", state="draining")
        await asyncio.sleep(KNOWN_S)
        assert one.view.known["i-1"].runner.leaving

    follow(script)
