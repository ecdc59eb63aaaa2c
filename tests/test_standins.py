"""Tests of the stand-ins by their HTTP interface."""

import dataclasses
import http.client
import json
import threading
import time

import pytest

from cardamommill import (
    fleet,
    prompts,
    standin_engine,
    standin_platform,
    standin_runner,
)


def call(address, method, path, body=None, headers=None):
    """Returns status, headers and body; the body parsed where it is JSON."""
    link = http.client.HTTPConnection(address, timeout=5)
    try:
        text = None if body is None else json.dumps(body)
        link.request(method, path, text, headers or {})
        answer = link.getresponse()
        content = answer.read().decode()
        return answer.status, dict(
            answer.headers), (json.loads(content) if content.startswith(
                ("{", "[")) else content)
    finally:
        link.close()


def wait_until(condition, timeout_s=5.0):
    end_s = time.monotonic() + timeout_s
    while not condition():
        assert time.monotonic() < end_s, "did not happen in time"
        time.sleep(0.01)


@pytest.fixture(name="platform")
def fixture_platform():
    with standin_platform.Platform() as platform:
        yield platform.address


@pytest.fixture(name="start")
def fixture_start():
    """Starts runners with the given options; all are ended afterwards."""
    runners = []

    def start(vm_id, **options):
        options = {"load_ms": 0, "token_ms": 1} | options
        runner = standin_runner.Runner(standin_engine.EngineOptions(
            vm_id, **options),
                                       crash=lambda: runner.__exit__())
        runners.append(runner.__enter__())
        return runner

    yield start
    for runner in runners:
        runner.__exit__()


def form(runners, fence=1, formation=1, model="m@1"):
    members = tuple(runner.vm_id for runner in runners)
    addresses = tuple(runner.address for runner in runners)
    answers = []
    for runner in runners:
        order = fleet.Order("o", fleet.OrderKind.FORM, runner.vm_id, fence,
                            "r1", 7, formation, members, addresses, model,
                            fleet.RunnerRole.MEMBER)
        answers.append(
            call(runner.address, "POST", "/orders", dataclasses.asdict(order)))
    return answers


def ready(runner):
    return call(runner.address, "GET", "/state")[2]["ready"]


def head_fields(formation=1, **more):
    return {
        "Cardamommill-Replica": "r1",
        "Cardamommill-Epoch": "7",
        "Cardamommill-Formation": str(formation),
        "Cardamommill-Request": "q1",
        "Cardamommill-Attempt": "a1"
    } | {
        name.replace("_", "-"): text for name, text in more.items()
    }


def key(row):
    return {"table": "t", "row": row}


def test_a_transaction_commits_whole_or_not_at_all(platform):
    writes = [key("a") | {"value": "1"}, key("b") | {"value": "2"}]
    body = {
        "attempt": "x",
        "conditions": [key("a") | {
            "version": 0
        }],
        "writes": writes
    }
    assert call(platform, "POST", "/tables/transact", body)[0] == 200
    status, _, answer = call(platform, "POST", "/tables/transact", body)
    assert (status, answer["committed"]) == (409, False)
    assert [row["value"] for row in answer["rows"]] == ["1"]
    rows = call(platform, "POST", "/tables/read",
                {"keys": [key("b"), key("c")]})[2]["rows"]
    assert [row["value"] for row in rows] == ["2", ""]
    assert rows[1]["version"] == 0


def test_a_version_is_never_used_again(platform):

    def write(value):
        call(
            platform, "POST", "/tables/transact", {
                "attempt": "x",
                "conditions": [],
                "writes": [key("a") | {
                    "value": value
                }]
            })
        return call(platform, "POST", "/tables/read",
                    {"keys": [key("a")]})[2]["rows"][0]["version"]

    first, deleted, again = write("1"), write(None), write("1")
    assert deleted == 0
    assert again > first > 0


def test_a_scan_comes_in_pages(platform):
    call(
        platform, "POST", "/tables/transact", {
            "attempt":
                "x",
            "conditions": [],
            "writes": [key(f"p/{n}") | {
                "value": "1"
            } for n in range(5)] + [key("q/1") | {
                "value": "1"
            }]
        })
    _, _, page = call(platform, "GET", "/tables/t?prefix=p/&limit=3")
    assert page["more"]
    last = page["rows"][-1]["row"]
    _, _, rest = call(platform, "GET", f"/tables/t?prefix=p/&after={last}")
    assert [row["row"] for row in rest["rows"]] == ["p/3", "p/4"]
    assert not rest["more"]


def test_a_lost_answer_has_taken_effect(platform):
    """The platform writes, and the connection breaks before its answer.

    Nodes must be tested against a write that is there although it failed; when
    the platform is down, nothing is written.
    """
    call(platform, "PUT", "/faults", {"lose_answers": 1.0})
    with pytest.raises(OSError):
        call(platform, "PUT", "/objects/a/b", "body")
    call(platform, "PUT", "/faults", {})
    assert call(platform, "GET", "/objects/a/b")[0] == 200
    call(platform, "PUT", "/faults", {"down": True})
    assert call(platform, "GET", "/objects/a/b")[0] == 503


def test_the_list_of_vms_lags():
    vm = dataclasses.asdict(fleet.Vm("v1", "127.0.0.1:1", "dc", "f1", "gpu"))
    with standin_platform.Platform(lag_ms=200) as platform:
        call(platform.address, "PUT", "/vms/v1", vm)
        path = "/vms?data_centre=dc"
        assert call(platform.address, "GET", path)[2]["vms"] == []
        wait_until(
            lambda: call(platform.address, "GET", path)[2]["vms"] == [vm])


def test_a_stream_names_its_request_and_ends_in_done(start):
    runners = [start("v1"), start("v2")]
    form(runners)
    wait_until(lambda: ready(runners[0]))
    body = {"prompt": "x", "max_tokens": 3, "stream": True}
    _, headers, text = call(runners[0].address, "POST", "/v1/completions", body,
                            head_fields())
    events = text.split("\n\n")
    assert events[3:] == ["data: [DONE]", ""]
    assert [json.loads(each[6:])["index"] for each in events[:3]] == [0, 1, 2]
    assert headers["Cardamommill-Request"] == "q1"
    assert call(runners[0].address, "GET", "/runs")[2] == {"runs": {"q1": 1}}


@pytest.mark.parametrize("checks", [True, False])
def test_only_an_engine_that_checks_refuses(start, checks):
    """An order with an old fencing number and a request for another formation.

    An engine that checks refuses both; one that doesn't obeys the one and
    answers the other, which the node's own safeguards have to stand.
    """
    runner = start("v1", checks_fencing=checks, checks_dispatch=checks)
    form([runner], fence=5)
    wait_until(lambda: ready(runner))
    stale = form([runner], fence=4)[0]
    assert stale[0] == (409 if checks else 200)
    status, _, answer = call(runner.address, "POST", "/v1/completions", {},
                             head_fields(formation=9))
    assert status == (421 if checks else 200)
    assert answer.get("ran") is (False if checks else None)


def test_a_head_that_loses_a_member_breaks_its_streams(start):
    """A member dies while its head streams an answer.

    The stream breaks instead of ending as if it were whole, the head is no
    longer ready, and it refuses the next request as not run.
    """
    runners = [start("v1", token_ms=50), start("v2")]
    form(runners)
    wait_until(lambda: ready(runners[0]))
    broken = []

    def stream():
        try:
            call(runners[0].address, "POST", "/v1/completions", {
                "max_tokens": 1000,
                "stream": True
            }, head_fields())
        except (OSError, http.client.HTTPException) as error:
            broken.append(error)

    thread = threading.Thread(target=stream)
    thread.start()
    wait_until(lambda: call(runners[0].address, "GET", "/runs")[2]["runs"])
    runners[1].__exit__()
    thread.join(5)
    assert broken
    assert not ready(runners[0])
    status, _, answer = call(runners[0].address, "POST", "/v1/completions", {},
                             head_fields())
    assert (status, answer["ran"]) == (503, False)


def test_a_cancelled_attempt_gives_its_slot_back(start):
    runner = start("v1", token_ms=50, slots=1, queue=0, report_lag_ms=0)
    form([runner])
    wait_until(lambda: ready(runner))

    def work():
        try:
            return call(runner.address, "POST", "/v1/completions",
                        {"max_tokens": 1000}, head_fields())[0]
        except (OSError, http.client.HTTPException):
            return 0

    thread = threading.Thread(target=work)
    thread.start()
    wait_until(lambda: call(runner.address, "GET", "/state")[2]["running"])
    assert work() == 503
    call(runner.address, "POST", "/cancel/a1")
    thread.join(5)
    wait_until(lambda: not call(runner.address, "GET", "/state")[2]["running"])


def test_cache_events_come_late_and_with_gaps():
    options = standin_engine.EngineOptions("v1",
                                           cache_blocks=2,
                                           cache_lag_ms=0,
                                           cache_gap=0.5,
                                           seed=3)
    cache = standin_engine.PrefixCache(options)
    hashes = prompts.prefix_hashes("x" * prompts.PREFIX_CHARS * 8)
    for each in hashes:
        cache.use([each])
    told, after = [], 0
    while events := cache.events_after(after):
        told += events
        after = events[-1].sequence
    assert 0 < len(told) < cache.sequence
    assert {event.stored for event in told} == {True, False}


def test_a_plain_runner_counts_the_runs_of_a_key(start):
    runner = start("v1", kind="plain")
    form([runner], model="")
    wait_until(lambda: ready(runner))
    for run in (1, 2):
        answer = call(runner.address, "POST", "/book/7", {},
                      head_fields(Idempotency_Key="k1"))[2]
        assert answer == {"request": "q1", "vm_id": "v1", "run": run}


def test_a_crash_breaks_the_connection_and_leaves_nothing(start):
    """A request crashes the runner that runs it.

    The caller's connection breaks without an answer and nobody listens on the
    port any more, as when a process dies.
    """
    runner = start("v1")
    form([runner])
    wait_until(lambda: ready(runner))
    crash = head_fields(Cardamommill_Standin_Crash="yes")
    with pytest.raises((OSError, http.client.HTTPException)):
        call(runner.address, "POST", "/v1/completions", {}, crash)
    with pytest.raises(OSError):
        call(runner.address, "GET", "/state")
