"""Rows of other writers beside sound ones, in whole reads, feeds and copies."""

import asyncio
import base64
import json

import hypothesis
from hypothesis import strategies
import pytest

from cardamommill import exceptions, metrics
from cardamommill.domain import clock, model
from cardamommill.experiment import modelstore, virtualloop
from cardamommill.gateway.fleet import fleetview
from cardamommill.gateway.nodes import peers
from cardamommill.gateway.requests import freshness
from cardamommill.gateway.shell import operatorrows, platformreader
from cardamommill.gateway.tables import (
    peertables,
    sourceselector,
    tablecopies,
    tablereader,
)
from cardamommill.platform import entries, entryerrors, storecalls, wirenames
from cardamommill.transport import callers, upstream
from tests.gateway import builders, planners
from tests.gateway import test_store_restore_machine as restore_machine

READER = ("10.1.0.2", 7340)
TABLE = wirenames.SERVERS_TABLE
# A restored list is compared with the one before for 4.8 s, and then read
# again within 2 s.
SETTLED_S = 8.0
SOUND = {
    "service": "llm",
    "address": "10.0.0.9:8080",
    "zone": "a",
    "slots": 13,
    "state": "ready",
    "domain": "d1",
    "staged": ["large"],
    "models": [],
    "group": None
}
KEYS = strategies.sampled_from(["i-1", "i-2", "i-3"])
FOREIGN_VALUES = strategies.one_of(
    strategies.none(), strategies.booleans(), strategies.integers(-2, 2**70),
    strategies.floats(), strategies.text(max_size=6), strategies.just([]),
    strategies.just({}),
    strategies.just({
        "name": "g",
        "epoch": 1,
        "rank": 0,
        "state": "open"
    }))
FOREIGN = strategies.one_of(
    strategies.builds(
        lambda changes: json.dumps({
            **SOUND,
            **changes
        }).encode(),
        strategies.dictionaries(strategies.sampled_from(
            [*SOUND, "born", "seq", "coldLeftMs", "version"]),
                                FOREIGN_VALUES,
                                min_size=1,
                                max_size=3)),
    strategies.builds(
        lambda field: json.dumps({
            key: value for key, value in SOUND.items() if key != field
        }).encode(), strategies.sampled_from(list(SOUND))),
    strategies.binary(max_size=30))
# What the store answers as a value that it can't have encoded.
ANSWERED = strategies.one_of(strategies.just("~no base64~"),
                             strategies.just("abc"),
                             strategies.just(json.dumps(SOUND)),
                             strategies.integers(0, 9), strategies.just([]),
                             strategies.just("\u0416"))
# Steps that take a time.
PAUSES = ("wait", "away")
STEPS = strategies.lists(strategies.one_of(
    strategies.tuples(strategies.just("sound"), KEYS, strategies.integers(1,
                                                                          9)),
    strategies.tuples(strategies.just("foreign"), KEYS | strategies.just("x y"),
                      FOREIGN),
    strategies.tuples(strategies.just("unencoded"), KEYS, ANSWERED),
    strategies.tuples(strategies.just("drop"), KEYS),
    strategies.tuples(strategies.just("restore"), strategies.integers(0, 900)),
    strategies.tuples(strategies.just("compact")),
    strategies.tuples(strategies.just("away"), strategies.integers(0, 900)),
    strategies.tuples(strategies.just("wait"), strategies.integers(0, 2000))),
                         max_size=12)


class Node:
    """A reader of the list, from the store or from a peer."""

    def __init__(self, pool, source, copies):
        self.view = fleetview.FleetView()
        self.metrics = metrics.Metrics()
        others = peers.Peers("n", "a", 1, ("10.1.0.9", 7340), clock.now_ms())
        store = storecalls.StoreClient(pool, modelstore.ADDRESS)
        operator, servers = (tablereader.TableReader(store, pool, selector,
                                                     name, copies.table(name))
                             for name, selector in (
                                 (wirenames.OPERATOR_TABLE,
                                  sourceselector.SourceSelector("n", others)),
                                 (TABLE, restore_machine._FixedSource(source))))
        self.reader = platformreader.PlatformReader(
            operator, servers, self.view, freshness.Freshness(5000.0), 2000.0,
            lambda table: None,
            operatorrows.OperatorRows(builders.settings(),
                                      self.metrics), self.metrics)

    def listed(self):
        return {
            each.runner.instance: each.runner
            for each in self.view.known.values()
            if each.listed
        }


def apply(store, step):
    match step:
        case ("sound", key, slots):
            store.put(TABLE, key, {**SOUND, "slots": slots})
        case ("foreign", key, value):
            store.put_bytes(TABLE, key, value)
        case ("unencoded", key, answered):
            store.put_bytes(TABLE, key, b"", answered)
        case ("drop", key):
            store.drop(TABLE, key)
        case ("restore", loss_ms):
            store.restore(loss_ms)
        case ("compact",):
            store.compact()
        case ("away", _):
            # The next read is that of the whole list.
            store.fault = "busy"


async def follow(steps):
    """Returns the store, a node that reads it, and one that reads the node."""
    store = modelstore.ModelStore()
    await store.listen()
    loop = asyncio.get_running_loop()
    copies = tablecopies.TableCopies()
    server = callers.CallerServer(
        peertables.PeerTableServer(copies, loop.create_task).on_request,
        lambda status: None)
    await server.listen(*READER)
    with upstream.Pool() as pool:
        nodes = [
            Node(pool, sourceselector.STORE, copies),
            Node(pool, sourceselector.Source(READER), tablecopies.TableCopies())
        ]
        tasks = [loop.create_task(each.reader.follow_list()) for each in nodes]
        for step in steps:
            apply(store, step)
            await asyncio.sleep(step[1] / 1000 if step[0] in PAUSES else 0)
            store.fault = ""
        store.put(TABLE, "i-sound", SOUND)
        await asyncio.sleep(SETTLED_S)
        for task in tasks:
            task.cancel()
    return store, nodes


def expected(store):
    """Returns the runners and the number of refused rows in the store."""
    found, refused = {}, 0
    for key, row in store.tables[TABLE].items():
        if row.value is None:
            continue
        value = row.value
        if row.answered is not None:
            try:
                value = base64.b64decode(row.answered, validate=True)
            except (TypeError, ValueError):
                value = b"no base64"
        try:
            found[key] = entries.decode_entry(key, value, row.version,
                                              store.era)
        except entryerrors.EntryRefused:
            refused += 1
    return found, refused


def run(steps):
    with virtualloop.running(1) as loop:
        return loop.run_until_complete(follow(steps))


@hypothesis.settings(max_examples=150, deadline=None)
@hypothesis.given(STEPS)
@hypothesis.example([("sound", "i-1", 3), ("unencoded", "i-2", "~")])
@hypothesis.example([("sound", "i-1", 3),
                     ("wait", 900), ("unencoded", "i-2", 5), ("wait", 900),
                     ("sound", "i-1", 4)])
@hypothesis.example([("unencoded", "i-1", json.dumps(SOUND))])
def test_sound_rows_stay_right_beside_any_others(steps):
    """One bad value failed the reading of all rows, on every node.

    A value that isn't base64, and is valid when read as it is, must be refused
    by a peer's follower as it is by the peer.
    """
    store, nodes = run(steps)
    found, refused = expected(store)
    for node in nodes:
        listed = node.listed()
        assert set(listed) == set(found)
        for key, runner in found.items():
            assert listed[key].status == runner.status
            assert listed[key].slots == runner.slots
        assert node.reader.refused_row_count() == refused


def test_row_that_overwrites_a_listed_runner_unlists_it():
    _, nodes = run([("sound", "i-1", 3), ("wait", 900),
                    ("foreign", "i-1", b'{"slots": "8"}')])
    for node in nodes:
        assert set(node.listed()) == {"i-sound"}
        assert node.reader.refused_row_count() == 1


@pytest.mark.parametrize("later,count", [
    ([("sound", "i-1", 3)], 0),
    ([("drop", "i-1")], 0),
    ([("foreign", "i-1", b"[]")], 1),
    ([("away", 700)], 1),
    ([("away", 700), ("drop", "i-1")], 0),
    ([("foreign", "i-2", b"[]")], 2),
])
def test_count_of_refused_rows_is_that_of_the_list(later, count):
    """The status page must not show rows that were mended or are gone."""
    _, nodes = run([("foreign", "i-1", b"{}"), ("wait", 2000), *later])
    for node in nodes:
        assert node.reader.refused_row_count() == count


def test_row_removed_during_an_outage_is_no_longer_counted():
    """The whole list that is read after the outage lacks it."""
    _, nodes = run([("foreign", "i-1", b"{}"), ("wait", 2000), ("away", 700),
                    ("drop", "i-1"), ("compact",)])
    for node in nodes:
        assert node.reader.refused_row_count() == 0


def test_refused_row_is_counted_once_a_change(monkeypatch):
    """The list is read again and again; the log must not repeat itself."""
    lines = []
    monkeypatch.setattr("cardamommill.gateway.shell.entrydecoder._LOG.warning",
                        lines.append)
    _, nodes = run([("foreign", "i-1", b"{}"), ("wait", 2000), ("away", 700),
                    ("wait", 2000), ("sound", "i-2", 3), ("away", 700),
                    ("wait", 2000), ("foreign", "i-1", b"[]")])
    for node in nodes:
        assert "list_entries_refused_total 2" in node.metrics.render()
    assert len(lines) == 4
    assert "row=i-1 field=service found=nothing" in lines[0]


def test_log_lines_of_refused_rows_are_bounded(monkeypatch):
    """Another writer may write bad rows without end, and of any size."""
    lines = []
    monkeypatch.setattr("cardamommill.gateway.shell.entrydecoder._LOG.warning",
                        lines.append)
    _, nodes = run([("foreign", f"i-{number}",
                     b'{"service": [%s]}' % (b"1," * 5000 + b"1"))
                    for number in range(200)])
    assert len(lines) == 2 * 60
    assert max(map(len, lines)) < 400
    assert "list_entries_refused_total 200" in nodes[0].metrics.render()


HUGE = 10**400
DEEP = 100_000


@pytest.mark.parametrize("field,value", [
    ("seq", HUGE),
    ("seq", -1),
    ("seq", "3"),
    ("coldLeftMs", 1e308),
    ("coldLeftMs", HUGE),
    ("slots", HUGE),
    ("born", HUGE),
    ("version", {}),
    ("address", "10.0.0.9:70000"),
    ("group", {
        "name": "g",
        "epoch": HUGE,
        "rank": 0,
        "state": "open"
    }),
])
def test_row_with_a_number_out_of_range_names_no_runner(field, value):
    """Guards against requests that go where no runner is."""
    odd = json.dumps(SOUND | {field: value}).encode()
    with pytest.raises(entryerrors.EntryRefused):
        entries.decode_entry("i-1", odd, 1)
    _, nodes = run([("foreign", "i-1", odd)])
    for node in nodes:
        assert set(node.listed()) == {"i-sound"}


@pytest.mark.parametrize("value", [
    b"[" * DEEP,
    b'{"service": ' + b"[" * DEEP + b"]" * DEEP + b"}",
    json.dumps(SOUND).encode()[:-1] + b', "more": ' + b"[" * DEEP +
    b"]" * DEEP + b"}",
],
                         ids=["open", "field", "unknown-field"])
def test_deeply_nested_row_names_no_runner(value):
    """Guards against readers that stop at a row that they can't parse."""
    _, nodes = run([("foreign", "i-1", value)])
    for node in nodes:
        assert set(node.listed()) == {"i-sound"}


@pytest.mark.parametrize("answer", [
    b"[" * DEEP,
    b'{"rows": ' + b"[" * DEEP + b"]" * DEEP + b"}",
    b'{"rows": [], "schemaVersion": 1e400, "nowMs": 1}',
    b'{"rows": [], "schemaVersion": 1, "nowMs": 1e400}',
    b'{"rows": [], "schemaVersion": 1, "nowMs": NaN}',
    b'{"rows": [], "schemaVersion": %d, "nowMs": 1}' % HUGE,
    b'{"rows": [{"key": "i-1", "schemaVersion": 1e400}], "schemaVersion": 1,'
    b' "nowMs": 1}',
    b'{"rows": [1], "schemaVersion": 1, "nowMs": 1}',
    b'{"rows": 1, "schemaVersion": 1, "nowMs": 1}',
])
def test_answer_with_an_odd_value_is_an_error_of_the_store(answer):
    """Guards against readers that end with an error they do not expect."""

    async def script():
        store = callers.CallerServer(
            lambda request, reply: reply.send(200, [], answer),
            lambda status: None)
        await store.listen(*modelstore.ADDRESS)
        with upstream.Pool() as pool:
            with pytest.raises(exceptions.StoreError):
                await storecalls.StoreClient(pool,
                                             modelstore.ADDRESS).table(TABLE)

    with virtualloop.running(1) as loop:
        loop.run_until_complete(script())


@pytest.mark.parametrize("field,value", [("seq", HUGE), ("pace", 1e308),
                                         ("active", HUGE), ("queued", -1)])
def test_report_with_a_number_out_of_range_is_refused(field, value):
    """Guards against figures of a faulty runner that end a decision."""
    report = {"seq": 2, "pace": 1.0, "active": 1, "queued": 0}
    entries.decode_report("i-1", json.dumps(report).encode())
    with pytest.raises(exceptions.BadPeerMessage):
        entries.decode_report("i-1", json.dumps(report | {field: value}))


KEY = model.GroupKey("g", 1)


def other_service(number, rank, membership=True):
    place = builders.member(KEY, rank, model.MemberState.OPEN)
    entry = builders.runner(number, membership=place if membership else None)
    return model.Runner(
        **{
            **{
                name: getattr(entry, name) for name in model.Runner.__slots__
            }, "service": "unheard-of"
        })


def test_service_that_the_configuration_does_not_name_is_used_by_nothing():
    """Its row may name a group of a service that is served.

    As a member of that group it would be probed and, since it does not answer,
    the group would be given up.
    """
    own = [
        builders.runner(
            number,
            membership=builders.member(
                KEY, number,
                model.MemberState.READY if number else model.MemberState.OPEN),
            served="large") for number in range(4)
    ]
    foreign = [other_service(7, 0), other_service(8, 5)]
    bench = planners.PlannerHarness([*own, *foreign])
    bench.view.group_services = frozenset({"llm"})
    numbers = {each.runner.id for each in bench.view.members(KEY)}
    assert numbers == {each.id for each in own}
    assert bench.view.groups("llm")[KEY].head.runner.id == "i-0"
    assert bench.view.open_groups_in("a") == [KEY]
    for _ in range(20):
        for action in bench.step():
            assert getattr(action, "runner", "") not in ("i-7", "i-8")
