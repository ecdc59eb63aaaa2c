"""Tests of what comes in from outside: clear errors, bounds, no secrets."""

import dataclasses
import json
import pathlib
import tracemalloc

import hypothesis
from hypothesis import strategies
import pytest
from returns import result
import yaml

from cardamommill import (
    documents,
    events,
    exceptions,
    explaining,
    fleet,
    httpcalls,
    peering,
    peerwire,
    platformlink,
    report,
    reporttext,
    runnerlink,
    settings,
    store,
)
from tests import boards

SETTINGS = pathlib.Path(
    __file__).parent.parent / "examples/registry/entry-praha-a-1.settings.yaml"
BOMB = "a0: &a0 [x, x]\n" + "".join(
    f"a{n}: &a{n} [*a{n - 1}, *a{n - 1}]\n" for n in range(1, 40))
DEEP = "a: " + "[" * 5000
DATE = "service: 2001-99-99"

SCALARS = strategies.one_of(strategies.none(), strategies.booleans(),
                            strategies.integers(), strategies.floats(),
                            strategies.text(max_size=8), strategies.dates())
VALUES = strategies.recursive(
    SCALARS,
    lambda inner: strategies.one_of(
        strategies.lists(inner, max_size=3),
        strategies.dictionaries(strategies.text(max_size=5), inner, max_size=3)
    ),
    max_leaves=6)


def changed(draw_from, text):
    """Returns YAML texts in which one field of a valid one is replaced."""
    fields = yaml.safe_load(text)

    @strategies.composite
    def build(draw):
        made = json.loads(json.dumps(fields))
        place = made
        while True:
            key = draw(strategies.sampled_from(sorted(place)))
            if isinstance(place[key], dict) and draw(strategies.booleans()):
                place = place[key]
                continue
            place[key] = draw(draw_from)
            return yaml.safe_dump(made, allow_unicode=True)

    return build()


TEXTS = strategies.one_of(strategies.text(), changed(VALUES, boards.DOCUMENT),
                          VALUES.map(lambda value: yaml.safe_dump(value)))


@hypothesis.given(TEXTS)
@hypothesis.example(BOMB)
@hypothesis.example(DEEP)
@hypothesis.example(DATE)
@hypothesis.example("? [a]\n: b\n? {a: b}\n: c")
@hypothesis.example("\ud800")
@hypothesis.example("\x00")
@hypothesis.example("x" * (documents.MAX_DOCUMENT_BYTES + 1))
def test_any_document_is_taken_or_refused_with_a_clear_error(text):
    try:
        documents.parse(text, "trial")
    except exceptions.DocumentError as error:
        assert error.step == "document"
        assert 0 < len(error.message) < 50_000


@hypothesis.given(changed(VALUES, SETTINGS.read_text("utf-8")))
@hypothesis.example(BOMB)
@hypothesis.example(DEEP)
@hypothesis.settings(
    suppress_health_check=[hypothesis.HealthCheck.function_scoped_fixture])
def test_any_settings_are_taken_or_refused_with_a_clear_error(tmp_path, text):
    path = tmp_path / "settings.yaml"
    path.write_text(text, "utf-8")
    try:
        settings.load(path)
    except exceptions.SettingsError as error:
        assert (error.step, error.peer) == ("settings", str(path))


@pytest.mark.parametrize("content", [b"\xff\xfe", b"", b"- a", b"\x00"])
def test_a_file_that_is_no_settings_is_refused(tmp_path, content):
    path = tmp_path / "settings.yaml"
    path.write_bytes(content)
    with pytest.raises(exceptions.SettingsError):
        settings.load(path)


def test_all_faults_are_told_at_once_with_their_place(tmp_path):
    path = tmp_path / "settings.yaml"
    path.write_text(
        SETTINGS.read_text("utf-8").replace("10.1.0.11:8080", "here").replace(
            "region: cz-central", "colour: red"), "utf-8")
    with pytest.raises(exceptions.SettingsError) as error:
        settings.load(path)
    for part in ("callers.address: found 'here'", "region:", "colour:"):
        assert part in error.value.message


@pytest.mark.parametrize("text, told", [
    ("a: 1\nb: 2\na: 3\n", "line 3, column 1: a field is named twice"),
    ("a: &x [1]\nb: *x\n", "line 2, column 4: aliases are not taken"),
    (DEEP, "nesting depth"),
    ("a: " + "[" * 40 + "]" * 40, "nested too deeply"),
    ("a: [1", "line 2, column 1"),
])
def test_what_people_do_not_mean_is_refused(text, told):
    with pytest.raises(exceptions.DocumentError, match=told):
        documents.parse(text, "trial")


def test_nested_aliases_cost_no_memory():
    """Forty lines of YAML stand for 2^40 values.

    A reader that expands them, or an error that prints them, ends the node.
    """
    tracemalloc.start()
    try:
        with pytest.raises(exceptions.DocumentError):
            documents.parse(BOMB, "trial")
        assert tracemalloc.get_traced_memory()[1] < 10_000_000
    finally:
        tracemalloc.stop()


@pytest.mark.parametrize("text", [
    boards.DOCUMENT.replace("a" * 64, "s3cret"),
    boards.DOCUMENT.replace("key_sha256", "key").replace("a" * 64, "s3cret"),
    boards.DOCUMENT.replace("a" * 64, 's3cret" "'),
    boards.DOCUMENT.replace("a" * 64, "s3cret\x01"),
])
def test_no_key_reaches_the_error_of_a_document(text):
    with pytest.raises(exceptions.DocumentError) as error:
        documents.parse(text, "trial")
    assert "s3cret" not in str(error.value)


@pytest.mark.parametrize("old, new", [
    ("key_sha256: ", "key_sha256: s3cret"),
    ("key_sha256: ", "key: s3cret # "),
    ("key_sha256: ", 'key_sha256: "s3cret'),
])
def test_no_key_reaches_the_error_of_settings(tmp_path, old, new):
    path = tmp_path / "settings.yaml"
    path.write_text(SETTINGS.read_text("utf-8").replace(old, new), "utf-8")
    with pytest.raises(exceptions.SettingsError) as error:
        settings.load(path)
    assert "s3cret" not in str(error.value)


REPORT = dataclasses.asdict(
    fleet.RunnerReport("v1", "boot", "r1", 3, 1, fleet.RunnerRole.MEMBER, "m@1",
                       True, 8, 1, 0, 2.5))


@hypothesis.given(
    strategies.one_of(
        strategies.binary(max_size=50),
        strategies.dictionaries(
            strategies.sampled_from(sorted(REPORT)), SCALARS, max_size=4).map(
                lambda more: json.dumps(REPORT | more, default=str).encode())))
@hypothesis.example(json.dumps(REPORT | {"tokens_per_s": 1e400}).encode())
@hypothesis.example(json.dumps(REPORT | {"epoch": 1 << 70}).encode())
@hypothesis.example(json.dumps(REPORT | {"running": -1}).encode())
@hypothesis.example(json.dumps(REPORT | {"boot_id": "x" * 9999}).encode())
@hypothesis.example(json.dumps(REPORT | {"boot_id": "\ud800"}).encode())
def test_a_report_that_is_taken_can_be_passed_on_to_peers(body):
    """A runner answers nonsense, and its watcher passes it on to its peers.

    Peers refuse a whole digest for one bad number, so one faulty runner would
    take the evidence on all others away from them.
    """
    answer = result.Success(httpcalls.Answer(200, body))
    taken = runnerlink._report("v1", answer)
    if taken is None:
        return
    digest = peering.Digest(peering.PROTOCOL_VERSION,
                            boards.identity(),
                            reports=(peering.AgedReport(taken, 0, "n1"),))
    assert peerwire.decode(peerwire.encode(digest), peering.Digest, "n1")


@hypothesis.given(
    strategies.one_of(
        strategies.binary(max_size=60),
        VALUES.map(lambda value: json.dumps(value, default=str).encode())),
    strategies.sampled_from([200, 204, 404, 409, 500, 503]))
@hypothesis.example(b"[" * 100_000, 200)
@hypothesis.example(b'{"rows": [{"table": "t", "row": 1}]}', 200)
def test_any_answer_of_the_platform_becomes_an_event(body, status):
    answer = result.Success(httpcalls.Answer(status, body))
    token = events.Token("x", 1)
    read = platformlink._rows_read(token, answer)
    assert read.rows is None or isinstance(read.rows, tuple)
    platformlink._vms_listed(answer)
    # Only the platform's own word counts as done.
    if platformlink._transact_answered(
            token, answer).outcome is store.TransactOutcome.COMMITTED:
        assert json.loads(body)["committed"]


@pytest.mark.parametrize("row", [
    store.LeaseRow("n1", 1, 2, 3, "t"),
    store.DocumentRow("s", 1, "eva", "", "", "body"),
    store.DrainRow("v1", "eva", "disk", ""),
    boards.row(),
],
                         ids=lambda row: type(row).__name__)
def test_a_row_that_a_newer_version_wrote_is_read(row):
    """Two versions run side by side, and the newer one has added a field."""
    newer = json.loads(store.encode(row)) | {"added_later": [1]}
    assert store.decode(type(row), json.dumps(newer)) == row


def test_no_secret_reaches_a_status_or_an_explanation():
    decided = boards.decided()
    text = reporttext.status(report.status(decided, boards.NOW_MS))
    for kind, name in (("replica", "r1"), ("vm", "v1")):
        text += reporttext.explanation(
            explaining.explain(kind, name, decided, boards.NOW_MS))
    assert "a" * 64 not in text
