"""Tests of how the configuration and the runner list are kept up to date."""

import asyncio

import pytest

from cardamommill import metrics
from cardamommill.domain import clock
from cardamommill.experiment import deployments, modelstore, virtualloop
from cardamommill.gateway.fleet import fleetview
from cardamommill.gateway.nodes import peers
from cardamommill.gateway.requests import freshness
from cardamommill.gateway.shell import operatorrows, platformreader
from cardamommill.gateway.tables import (
    restoration,
    sourceselector,
    tablecopies,
    tablereader,
)
from cardamommill.platform import configurations, storecalls, wirenames
from cardamommill.transport import upstream
from tests.gateway import builders

CONFIG = (wirenames.OPERATOR_TABLE, wirenames.CONFIGURATION_KEY)
DRAIN_MS = 2000.0
# Time within which the reader must know of a change. It is less than the drain
# bound, which leaves some time to act on the change.
KNOWN_S = 0.7 * DRAIN_MS / 1000


def entry(state="ready", **changes):
    figures = dict(service="llm",
                   address="10.0.0.1:8140",
                   zone="a",
                   slots=13,
                   state=state)
    return {**figures, **changes}


class Harness:
    """A platform reader connected to a model of the store.

    Attributes:
        store: The model store, which test scripts change.
        view: The fleet view that the reader updates.
    """

    def __init__(self, pool):
        self.store = modelstore.ModelStore()
        self.view = fleetview.FleetView()
        others = peers.Peers("n1", "a", 1, ("10.1.0.1", 7000), clock.now_ms())
        store = storecalls.StoreClient(pool, modelstore.ADDRESS)
        operator, servers = (tablereader.TableReader(
            store, pool, sourceselector.SourceSelector("n1", others), name,
            tablecopies.TableCopy()) for name in (wirenames.OPERATOR_TABLE,
                                                  wirenames.SERVERS_TABLE))
        self.metrics = metrics.Metrics()
        self.fresh = freshness.Freshness(5000.0)
        self.metrics = metrics.Metrics()
        self.operator_rows = operatorrows.OperatorRows(builders.settings(),
                                                       self.metrics)
        self.reader = platformreader.PlatformReader(
            operator, servers, self.view, self.fresh, DRAIN_MS,
            lambda table: None, self.operator_rows, self.metrics)

    def put(self, runner, **fields):
        self.store.put(wirenames.SERVERS_TABLE, runner, entry(**fields))


def follow(script):
    """Runs a script concurrently with a reader that follows the list."""

    async def main():
        with upstream.Pool() as pool:
            harness = Harness(pool)
            await harness.store.listen()
            harness.put("i-1")
            harness.put("i-2")
            task = asyncio.get_running_loop().create_task(
                harness.reader.follow_list())
            await asyncio.sleep(0.1)
            await script(harness)
            task.cancel()

    with virtualloop.running(1) as loop:
        loop.run_until_complete(main())


def configuration(version, **fields):
    deployment = deployments.Deployment(name="one", models=(), kinds=())
    return {**deployment.configuration(version, [("t", "k")]), **fields}


def follow_configuration(script):
    """Runs a script after a reader has had configuration 3 for four seconds."""

    async def run_both(harness):
        harness.store.put(*CONFIG, configuration(3))
        task = asyncio.get_running_loop().create_task(
            harness.reader.follow_configuration())
        await asyncio.sleep(4.0)
        await script(harness)
        task.cancel()

    follow(run_both)


def test_keys_are_not_confirmed_after_an_undecodable_configuration():
    """A newer release of the operator writes what this one can't decode.

    The new configuration may revoke keys. The next answer of the store contains
    no changes. If that confirmed the current configuration, revoked keys would
    be accepted until the node is restarted.
    """

    async def script(harness):
        assert harness.fresh.may_accept_keys(clock.now_ms())
        harness.store.put(*CONFIG, configuration(4, tenants="none"))
        await asyncio.sleep(6.0)
        assert harness.reader.table.configuration.version == 3
        assert not harness.fresh.may_accept_keys(clock.now_ms())
        harness.store.put(*CONFIG, configuration(5))
        await asyncio.sleep(0.1)
        assert harness.fresh.may_accept_keys(clock.now_ms())

    follow_configuration(script)


def digest(key):
    return configurations.key_digest(key)


def faulty(version, change, accounts):
    """Returns a configuration with one fault, and with these accounts."""
    found = configuration(version, tenants=accounts)
    found["routes"] = [{
        "name": "new",
        "host": "new.example",
        "prefix": "/",
        "type": "idempotent",
        "timeoutMs": 1000,
        **change
    }]
    return found


def account(name, *keys):
    return {"name": name, "apiKeys": list(keys)}


FAULTS = [{
    "priority": -1
}, {
    "allowedRegions": ["west"]
}, {
    "goalMs": 150.5
}, {
    "type": "strange"
}, {
    "timeoutMs": 10**400
}, {
    "goalMs": 1e308
}]
FAULT_IDS = [
    "refused-priority", "refused-region", "fraction", "undecodable", "huge",
    "huge-fraction"
]


@pytest.mark.parametrize("change", FAULTS, ids=FAULT_IDS)
def test_keys_that_a_faulty_configuration_removes_stop_working(change):
    """Guards against revoked keys that work because another field is wrong.

    Also against nodes that serve nobody until the fault is mended, and against
    routes that take effect in part.
    """

    async def script(harness):
        before = harness.reader.table.configuration
        harness.store.put(
            *CONFIG, faulty(
                4, change,
                [account("t", "kept"), account("u", "k")]))
        harness.store.put(
            *CONFIG,
            faulty(5, change, [account("t", "kept"),
                               account("u", "moved")]))
        for _ in range(60):
            await asyncio.sleep(0.1)
            table = harness.reader.table
            assert table.tenant(digest("k")) is None
            assert table.tenant(digest("kept")).name == "t"
            assert table.tenant(digest("moved")).name == "u"
            assert table.route("new.example", "/") is None
            assert table.configuration.routes == before.routes
            assert table.configuration.version == 5
            assert table.configuration.routes_version == 3
            assert harness.fresh.may_accept_keys(clock.now_ms())
        harness.store.put(*CONFIG, faulty(6, {}, [account("t", "kept")]))
        await asyncio.sleep(0.1)
        assert harness.reader.table.route("new.example", "/")
        assert harness.reader.table.configuration.routes_version == 6

    follow_configuration(script)


@pytest.mark.parametrize("change", FAULTS, ids=FAULT_IDS)
def test_faulty_configuration_without_a_list_of_accounts_opens_nothing(change):
    """Guards against routes that need no keys because of a mistake."""

    async def script(harness):
        found = faulty(4, change, [])
        del found["tenants"]
        harness.store.put(*CONFIG, found)
        await asyncio.sleep(6.0)
        assert harness.reader.table.needs_keys
        assert not harness.fresh.may_accept_keys(clock.now_ms())
        harness.store.put(*CONFIG, configuration(5))
        await asyncio.sleep(0.1)
        assert harness.fresh.may_accept_keys(clock.now_ms())

    follow_configuration(script)


def test_priority_of_any_size_takes_effect():
    """Guards against the refusal of what the platform takes for valid."""

    async def script(harness):
        harness.store.put(*CONFIG, faulty(4, {"priority": 12}, []))
        await asyncio.sleep(0.1)
        assert harness.reader.table.configuration.routes_version == 4

    follow_configuration(script)


def test_account_that_cannot_be_decoded_loses_its_keys_alone():
    """Guards against one wrong account that closes the others."""

    async def script(harness):
        wrong = account("t", "k") | {"priority": "high"}
        harness.store.put(*CONFIG,
                          configuration(4, tenants=[wrong,
                                                    account("u", "l")]))
        await asyncio.sleep(6.0)
        table = harness.reader.table
        assert table.tenant(digest("k")) is None
        assert table.tenant(digest("l")).name == "u"
        assert harness.fresh.may_accept_keys(clock.now_ms())

    follow_configuration(script)


def test_accounts_of_a_refused_configuration_replace_undecodable_ones():
    """Guards against keys that either of the two may have revoked."""

    async def script(harness):
        harness.store.put(*CONFIG, configuration(4, tenants="none"))
        await asyncio.sleep(6.0)
        assert harness.reader.table.configuration.version == 3
        assert not harness.fresh.may_accept_keys(clock.now_ms())
        harness.store.put(*CONFIG,
                          faulty(5, {"priority": -1}, [account("t", "l")]))
        await asyncio.sleep(0.1)
        assert harness.fresh.may_accept_keys(clock.now_ms())
        assert harness.reader.table.tenant(digest("k")) is None

    follow_configuration(script)


def test_configuration_with_a_new_region_takes_effect_with_the_settings():
    """The operator writes it before the node reloads its settings.

    Guards against nodes that refuse for good what others have accepted.
    """

    async def script(harness):
        changed = configuration(4)
        changed["tenants"][0]["allowedRegions"] = ["west"]
        harness.store.put(*CONFIG, changed)
        await asyncio.sleep(0.5)
        assert harness.reader.table.configuration.routes_version == 3
        harness.reader.reload(builders.settings(regions={"a": "west"}))
        assert harness.reader.table.configuration.routes_version == 4

    follow_configuration(script)


def test_evacuation_stays_in_force_while_the_store_is_lost():
    """Guards against requests there because the row can't be read again."""

    async def script(harness):
        row = wirenames.EVACUATION_PREFIX + "b"
        harness.store.put(wirenames.OPERATOR_TABLE, row, {})
        await asyncio.sleep(0.1)
        assert harness.reader.evacuations.in_force == {"b"}
        harness.store.fault = "silent"
        harness.store.drop(wirenames.OPERATOR_TABLE, row)
        harness.store.compact()
        await asyncio.sleep(8.0)
        assert harness.reader.evacuations.in_force == {"b"}
        harness.store.fault = ""
        await asyncio.sleep(2.0)
        assert not harness.reader.evacuations.in_force
        assert set(harness.reader.evacuations.recently_returned(
            clock.now_ms())) == {"b"}

    follow_configuration(script)


def test_evacuation_that_the_store_has_lost_in_a_restore_is_rewritten():
    """Guards against an end of the evacuation between restore and rewrite."""

    async def script(harness):
        row = (wirenames.OPERATOR_TABLE, wirenames.EVACUATION_PREFIX + "b", {})
        harness.store.put(*row)
        await asyncio.sleep(0.5)
        harness.store.restore(1000)
        for _ in range(15):
            await asyncio.sleep(0.1)
            assert harness.reader.evacuations.in_force == {"b"}
        harness.store.put(*row)
        await asyncio.sleep(3.0)
        assert harness.reader.evacuations.in_force == {"b"}

    follow_configuration(script)


def test_leaving_runner_is_known_well_within_its_bound():
    """Its entry changes just after an answer; it must soon get no requests."""

    async def script(harness):
        await asyncio.sleep(3.0)
        harness.put("i-1", state="draining")
        await asyncio.sleep(KNOWN_S)
        assert harness.view.known["i-1"].runner.leaving
        assert not harness.view.known["i-2"].runner.leaving

    follow(script)


def test_runner_whose_entry_is_deleted_is_no_longer_listed():

    async def script(harness):
        harness.store.drop(wirenames.SERVERS_TABLE, "i-1")
        await asyncio.sleep(KNOWN_S)
        assert not harness.view.known["i-1"].listed
        assert harness.view.known["i-2"].listed

    follow(script)


def test_list_is_read_whole_when_its_history_is_lost():
    """The store drops its history after one runner left and another joined."""

    async def script(harness):
        harness.store.fault = "silent"
        harness.store.drop(wirenames.SERVERS_TABLE, "i-1")
        harness.put("i-3")
        harness.store.compact()
        await asyncio.sleep(3.0)
        harness.store.fault = ""
        await asyncio.sleep(3.0)
        listed = {
            each.runner.id
            for each in harness.view.known.values()
            if each.listed
        }
        assert listed == {"i-2", "i-3"}

    follow(script)


def listed(harness):
    return sorted(
        each.runner.id for each in harness.view.known.values() if each.listed)


def test_runner_that_restarts_under_its_id_is_another_one():
    """What was known of its former life kept it out of use for ever."""

    async def script(harness):
        harness.put("i-1", born=1_000)
        await asyncio.sleep(KNOWN_S)
        assert listed(harness) == ["i-1@1000", "i-2"]
        harness.view.record_leaving("i-1@1000", clock.now_ms())
        harness.put("i-1", born=2_000)
        await asyncio.sleep(KNOWN_S)
        assert listed(harness) == ["i-1@2000", "i-2"]
        assert harness.view.known["i-1@2000"].is_usable

    follow(script)


def test_restarted_runner_stays_listed_when_the_store_is_restored():
    """The backup holds the row of its former incarnation only."""

    async def script(harness):
        harness.put("i-1", born=1_000)
        await asyncio.sleep(1.0)
        harness.put("i-1", born=2_000)
        await asyncio.sleep(KNOWN_S)
        harness.store.restore(2000)
        for _ in range(18):
            await asyncio.sleep(0.1)
            assert listed(harness) == ["i-1@2000", "i-2"]

    follow(script)


@pytest.mark.parametrize("born", [3.0, True, "3", -3, {}])
def test_entry_with_a_malformed_birth_lists_no_runner(born):

    async def script(harness):
        harness.put("i-1", born=born)
        await asyncio.sleep(KNOWN_S)
        assert listed(harness) == ["i-2"]

    follow(script)


def test_runner_with_an_undecodable_entry_is_not_listed():

    async def script(harness):
        harness.put("i-1", state="strange")
        await asyncio.sleep(KNOWN_S)
        assert not harness.view.known["i-1"].listed

    follow(script)


def test_list_without_changes_costs_few_calls_and_is_not_stale():
    """Runs for a minute without changes; calls to the store are charged for."""

    async def script(harness):
        before = harness.store.calls
        ages_ms = []
        for _ in range(60):
            await asyncio.sleep(1.0)
            ages_ms.append(clock.now_ms() - harness.view.list_as_of_ms)
        assert harness.store.calls - before <= 40
        assert max(ages_ms) <= harness.view.list_stale_ms

    follow(script)


def test_many_changes_cost_no_more_calls_than_the_drain_bound_needs():

    async def script(harness):
        before = harness.store.calls
        for number in range(600):
            harness.put(f"i-{number % 9}", slots=number + 1)
            await asyncio.sleep(0.1)
        assert harness.store.calls - before <= 80

    follow(script)


def test_configuration_stays_in_force_when_the_store_has_lost_it():
    """The restored store holds the previous configuration.

    Keys are not trusted until the operator has written the lost one again.
    """

    async def script(harness):
        harness.store.put(*CONFIG, configuration(4))
        await asyncio.sleep(0.5)
        harness.store.restore(1000)
        await asyncio.sleep(5.5)
        assert harness.reader.table.configuration.version == 4
        assert not harness.fresh.may_accept_keys(clock.now_ms())
        harness.store.put(*CONFIG, configuration(4))
        await asyncio.sleep(0.1)
        assert harness.fresh.may_accept_keys(clock.now_ms())

    follow_configuration(script)


def test_configuration_unknown_to_all_nodes_is_waited_for_after_a_restore():
    """It may have revoked a key, and the operator writes it again."""

    async def script(harness):
        confirmed_ms = harness.fresh.confirmed_ms
        harness.store.restore(0)
        await asyncio.sleep(restoration.REWRITE_TIMEOUT_MS / 1000 - 0.1)
        assert harness.fresh.confirmed_ms < confirmed_ms + 600
        harness.store.put(*CONFIG, configuration(5))
        await asyncio.sleep(0.1)
        assert harness.reader.table.configuration.version == 5
        assert clock.now_ms() - harness.fresh.confirmed_ms < 200

    follow_configuration(script)


def test_keys_stay_trusted_after_a_restore_without_losses():

    async def script(harness):
        harness.store.restore(0)
        for _ in range(60):
            await asyncio.sleep(0.1)
            assert harness.fresh.may_accept_keys(clock.now_ms())

    follow_configuration(script)


def test_runners_that_a_restored_list_lacks_are_waited_for():

    async def script(harness):
        harness.put("i-3")
        await asyncio.sleep(KNOWN_S)
        harness.store.restore(10_000)
        await asyncio.sleep(restoration.REWRITE_TIMEOUT_MS / 1000 - 0.3)
        assert harness.view.known["i-3"].listed
        harness.put("i-3", slots=7)
        harness.put("i-1")
        await asyncio.sleep(2 * KNOWN_S)
        assert harness.view.known["i-3"].runner.slots == 7
        assert not harness.view.known["i-2"].listed

    follow(script)


def test_runner_that_was_leaving_does_not_come_back_with_the_backup():

    async def script(harness):
        await asyncio.sleep(1.0)
        harness.put("i-1", state="draining")
        harness.store.drop(wirenames.SERVERS_TABLE, "i-2")
        await asyncio.sleep(KNOWN_S)
        harness.store.restore(2000)
        for _ in range(18):
            await asyncio.sleep(0.1)
            assert harness.view.known["i-1"].runner.leaving
            assert not harness.view.known["i-2"].listed

    follow(script)


def test_runner_that_leaves_before_the_first_read_is_known_to_be_leaving():
    """It rewrote its entry between the restore and the read."""

    async def script(harness):
        await asyncio.sleep(1.0)
        harness.store.restore(500)
        harness.put("i-1", state="draining")
        await asyncio.sleep(KNOWN_S)
        assert harness.view.known["i-1"].runner.leaving

    follow(script)
