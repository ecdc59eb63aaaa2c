"""Tests of the operators' port and of the commands that call it."""

import contextlib
import dataclasses
import hashlib
import json

import pytest

from cardamommill import (
    actions,
    asking,
    cmdline,
    events,
    httpcalls,
    journal,
    loop,
    operations,
    operators,
    peerlink,
    platformlink,
    settings,
    standin_platform,
    store,
    webclient,
)
from tests import boards

KEY = "operators-s3cret"


@dataclasses.dataclass
class Port:
    """A node's operators' port and what stands behind it."""

    address: str
    tables: platformlink.SyncPlatform
    platform: str
    journal: journal.Journal
    peers: dict[str, bytes | None]
    events: list[events.Event]

    def call(self, method, path, key=KEY, **more):
        return webclient.call(method,
                              f"http://{self.address}{path}",
                              headers={"Authorization": f"Bearer {key}"},
                              **more)


@pytest.fixture(name="port")
def fixture_port(monkeypatch):
    peers: dict[str, bytes | None] = {}
    kept = journal.Journal()
    monkeypatch.setattr(loop, "now_ms", lambda: boards.NOW_MS)
    with contextlib.ExitStack() as stack:
        enter = stack.enter_context
        platform = enter(standin_platform.Platform())
        calls = enter(httpcalls.HttpCalls("trial"))
        tables = platformlink.SyncPlatform(
            platformlink.PlatformLink(calls, platform.address, "praha-a", 2000))
        decided = boards.decided()
        control = enter(loop.ControlLoop(decided, lambda action: None))
        asker = enter(
            asking.PeerAsker(lambda address, data: peers.get(address)))
        side = settings.OperatorSide(address="127.0.0.1:0",
                                     key_sha256=hashlib.sha256(
                                         KEY.encode()).hexdigest())
        server = enter(
            operators.OperatorServer(
                side, operations.Operations(control, kept, tables, asker)))
        monkeypatch.setenv("CARDAMOMMILL_OPERATOR", server.address)
        monkeypatch.setenv("CARDAMOMMILL_KEY", KEY)
        yield Port(server.address, tables, platform.address, kept, peers,
                   boards.seen(decided))


@pytest.fixture(name="command")
def fixture_command(capsys, monkeypatch):
    """Runs a command; returns exit code, output and errors."""

    def run(*arguments):
        monkeypatch.setattr("sys.argv", ["cardamommill", *arguments])
        code = 0
        try:
            cmdline.main()
        except SystemExit as end:
            code = end.code
        output, errors = capsys.readouterr()
        return code, output, errors

    return run


@pytest.fixture(name="document")
def fixture_document(tmp_path):
    path = tmp_path / "assist-llm.yaml"
    path.write_text(boards.DOCUMENT, "utf-8")
    return path


@pytest.mark.parametrize("key", ["", "wrong", KEY[:-1], "ключ"])
def test_nothing_is_told_without_the_key(port, key):
    for path in ("/status", "/services", "/nowhere"):
        answer = port.call("GET", path, key=key)
        assert answer.status == 401
        assert "praha-a" not in answer.text()


def test_status_comes_as_text_and_as_json(port, command):
    code, output, _ = command("status")
    assert code == 0
    assert output.startswith("n1 in praha-a: serving, ready")
    _, output, _ = command("status", "--json")
    assert json.loads(output)["replicas"][0]["serving"]


def test_a_document_is_applied_changed_compared_and_rolled_back(
        port, command, document, tmp_path):
    assert command("service", "apply", str(document),
                   "--author=eva")[1] == "accepted: assist-llm revision 1\n"
    got = command("service", "get", "assist-llm")[1]
    changed = tmp_path / "changed.yaml"
    changed.write_text(got.replace("replicas: 2", "replicas: 3"), "utf-8")
    assert "revision 2" in command("service", "apply", str(changed),
                                   "--reason=more")[1]
    assert command("service", "list")[1] == "assist-llm revision 2\n"
    history = command("service", "history", "assist-llm")[1].splitlines()
    assert "eva" in history[0]
    assert history[1].endswith("more")
    assert "+capacity: {praha-a: {replicas: 3" in command(
        "service", "diff", "assist-llm", "1")[1]
    assert "revision 3" in command("service", "rollback", "assist-llm", "1")[1]
    assert command("service", "get", "assist-llm",
                   "1")[1].splitlines()[1:] == got.splitlines()[1:]


def test_the_loser_of_a_race_is_told_who_changed_what(port, command, document,
                                                      tmp_path):
    """Two operators change the same document from the same revision.

    The first is accepted. The second must not undo that unknowingly: it ends
    with exit code 1 and reads who was first and what differs.
    """
    command("service", "apply", str(document), "--author=eva")
    mine = tmp_path / "mine.yaml"
    mine.write_text(command("service", "get", "assist-llm")[1], "utf-8")
    document.write_text(boards.DOCUMENT.replace("replicas: 2", "replicas: 4"),
                        "utf-8")
    command("service", "apply", str(document), "--author=jan")
    code, output, errors = command("service", "apply", str(mine))
    assert (code, output) == (1, "")
    assert "jan" in errors
    assert "replicas: 4" in errors
    assert command("service", "list")[1] == "assist-llm revision 2\n"


def test_a_wrong_document_is_refused_with_all_its_faults(
        port, command, document):
    document.write_text("service: X\ncolour: red\n", "utf-8")
    code, _, errors = command("service", "apply", str(document))
    assert code == 1
    for part in ("service: found 'X'", "colour:", "pool:", str(document)):
        assert part in errors
    answer = port.call("POST",
                       "/services/x",
                       body=json.dumps({
                           "document": "service: X"
                       }).encode())
    assert answer.status == 422
    assert port.tables.scan(store.DOCUMENTS, "") == ()


def test_a_drain_writes_its_row_and_moves_the_index(port, command):
    index = store.Key(store.INDEX, store.fleet_index("praha-a"))
    assert command("drain", "v1", "--reason=disk")[1] == "v1 is drained\n"
    assert command("drain", "v9")[0] == 1
    (row,) = port.tables.scan(store.DRAINS, "praha-a/")
    assert (row.key.row, store.decode(store.DrainRow,
                                      row.value).reason) == ("praha-a/v1",
                                                             "disk")
    assert store.decode(store.ChangeCount,
                        port.tables.read((index,))[0].value).count == 1
    assert command("undrain", "v1")[1] == "v1 may be used\n"
    assert command("undrain", "v1")[1] == "v1 was not drained\n"
    assert port.tables.scan(store.DRAINS, "praha-a/") == ()
    assert store.decode(store.ChangeCount,
                        port.tables.read((index,))[0].value).count == 2


def test_quarantine_is_listed_and_lifted(port, command):
    assert "d1  quarantined  crashed r0/1/1" in command("quarantine", "list")[1]
    assert command("quarantine", "lift", "d1", "--author=eva")[1] == "lifted\n"
    assert command("quarantine", "lift",
                   "d2")[1] == "it was not in quarantine\n"
    assert events.QuarantineLifted("d1", "eva") in port.events
    assert port.call("GET", "/quarantine/d2").status == 404


def test_a_request_is_explained_from_any_node_of_the_data_centre(port, command):
    """The request went through n2, and the operator asks n1.

    n1 knows nothing of it and asks n2; what n2 tells is shown with its name.
    A node that does not answer is named, so that silence is not taken for
    "nothing happened".
    """
    line = asking.explaining.Line("2026-01-01T00:00:01Z", "n2", "sent", "to r1")
    port.peers["127.0.0.1:1"] = asking._ANSWER.dump_json(
        asking.explaining.Explanation("request/q1", True, (), (line,)))
    assert "n2            sent: to r1" in command("explain", "request", "q1")[1]
    port.peers.clear()
    code, _, errors = command("explain", "request", "q1")
    assert code == 1
    assert "No answer came from n2" in errors


def test_a_node_answers_another_nodes_question_from_its_journal(port):
    port.journal.record(actions.Record("request/q1", "sent", "to r1"))
    asked = asking.Question(kind="replica", name="r1").model_dump_json()

    def explain(kind, name):
        return asking.explaining.Explanation(f"{kind}/{name}", True)

    assert b"replica/r1" in asking.answer(asked.encode(), explain)
    for wrong in (b"", b"[]", b'{"kind": "disk", "name": "x"}'):
        with pytest.raises(ValueError):
            asking.answer(wrong, explain)
    answer = port.call("GET", "/explain/replica/r1").json()
    assert answer["history"][-1]["detail"] == "request/q1: to r1"


def test_a_table_that_is_down_is_told_as_such(port, command, document):
    """An operator applies a document and drains a VM during an outage.

    The command ends with exit code 1 and a clear line, the port answers 503:
    neither waits for the table, nor says that anything was done.
    """
    webclient.call("PUT",
                   f"http://{port.platform}/faults",
                   body=b'{"down": true}')
    code, _, errors = command("service", "apply", str(document))
    assert code == 1
    assert "Traceback" not in errors
    assert port.call("GET", "/services").status == 503
    assert port.call("PUT", "/drains/v1").status == 503


@pytest.mark.parametrize("method, path, body, status", [
    ("GET", "/nowhere", b"", 404),
    ("POST", "/status", b"", 405),
    ("GET", "/explain/disk/x", b"", 404),
    ("POST", "/services/x", b"not json", 400),
    ("POST", "/services/x", b'{"colour": 1}', 400),
    ("PUT", "/drains/v1", b"x" * (operators.MAX_BODY_BYTES + 1), 413),
])
def test_bad_input_gets_a_problem_that_names_the_step(port, method, path, body,
                                                      status):
    answer = port.call(method, path, body=body)
    assert answer.status == status
    assert answer.headers["content-type"] == "application/problem+json"
    assert answer.json()["step"]


@pytest.mark.parametrize("arguments", [
    ("status", "--operator=127.0.0.1:1"),
    ("service", "apply", "/nowhere.yaml"),
    ("settings", "check", "/nowhere.yaml"),
    ("explain", "replica", "r1", "--key=wr0ng-s3cret"),
])
def test_a_failed_command_is_one_clear_line(port, command, arguments):
    code, output, errors = command(*arguments)
    assert (code, output) == (1, "")
    assert errors.startswith("cardamommill: ")
    assert "Traceback" not in errors
    assert "s3cret" not in errors


@pytest.mark.parametrize("given, kept", [
    ("12e45", "'12e45'"),
    ("--name=1e5", "--name='1e5'"),
    ("[a]", "'[a]'"),
    ("[1]", "'[1]'"),
    ("007", "007"),
    ("12", "12"),
    ("--json", "--json"),
])
def test_an_id_that_looks_like_a_number_stays_itself(given, kept):
    assert cmdline._kept(given) == kept


def test_nodes_ask_each_other_over_their_own_port():

    def explain(data):
        return asking.answer(
            data, lambda kind, name: asking.explaining.Explanation(
                f"{kind}/{name}", True))

    side = settings.PeerSide(address="127.0.0.1:0")
    with peerlink.PeerServer(side, lambda event: None, 2000,
                             explain) as server, peerlink.PeerClient(
                                 side, lambda event: None, 2000,
                                 loop.now_ms) as client, asking.PeerAsker(
                                     client.explain) as asker:
        found = asker.ask({
            "n2": server.address,
            "n3": "127.0.0.1:1"
        }, asking.Question(kind="vm", name="v1"))
        assert found["n2"].subject == "vm/v1"
        assert found["n3"] is None
        assert client.explain(server.address, b"nonsense") is None


def test_a_change_that_many_tell_of_is_shown_once_and_dated():
    line = asking.explaining.Line("", "n2", "member-lost", "v1 is gone")
    dated = dataclasses.replace(line, at="2026-01-01T00:00:00.100Z")
    twin = dataclasses.replace(line, at="2026-01-01T00:00:00.900Z")
    again = dataclasses.replace(line, at="2026-01-01T00:09:00.000Z")

    def told(*lines):
        return asking.explaining.Explanation("vm/v1", True, (), lines)

    merged = asking.merged(told(line, twin), {"n2": told(dated, again)})
    assert merged.history == (dated, again)
