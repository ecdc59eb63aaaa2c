"""Tests of the border to callers: bad, slow and hostile input, and limits."""

import contextlib
import hashlib
import json
import pathlib
import ssl
import threading

import hypothesis
from hypothesis import strategies as st
import pytest

from cardamommill import board, events, hops, http1, prompts, requesting
from tests import edge


@pytest.fixture(scope="module")
def runner():
    with edge.Runner(edge.json_answer()) as made:
        yield made


@pytest.fixture(scope="module")
def node(runner):
    with edge.Node(runner.address, read_timeout_ms=300,
                   idle_timeout_ms=400) as made:
        yield made


BOOK = "/services/drafts/book"


@pytest.mark.parametrize(
    ("status", "step", "wrong"),
    [
        (400, "headers", {"Cardamommill_Deadline_Ms": "soon"}),
        (400, "headers", {"Cardamommill_Deadline_Ms": "0"}),
        (400, "headers", {"Cardamommill_Priority": "10"}),
        (400, "headers", {"Cardamommill_Repeatable": "maybe"}),
        (400, "headers", {"Cardamommill_Hop": "1"}),
        (400, "headers", {"Cardamommill_Hop": "2"}),
        (400, "headers", {"Idempotency_Key": "x" * 201}),
        (400, "headers", {"Idempotency_Key": "a b"}),
        (400, "headers", {"path": BOOK}),
        (400, "route", {"path": "/services/drafts/x/../orders"}),
        (400, "route", {"path": "/services/drafts/x/%2e%2e/orders"}),
        (401, "account", {"key": ""}),
        (401, "account", {"key": "wrong"}),
        (401, "account", {"key": "\xe9"}),
        (404, "route", {"path": "/services/nobody/x"}),
        (404, "route", {"path": "/services/drafts"}),
        (404, "route", {"path": "/elsewhere", "body": b""}),
        (404, "route", {"path": "/services/drafts//%6Frders"}),
        (404, "route", {"path": "/services/drafts/cancel/a-1"}),
        (413, "read", {"body": b"x" * 5001}),
        (413, "read", {"X": "x" * 20_000}),
        (422, "body", {"body": b"{"}),
        (422, "body", {"body": b"[" * 4000}),
        (422, "body", {"body": b"\xff"}),
    ])  # yapf: disable
def test_bad_request_is_told_its_step_and_not_sent_on(node, runner, status,
                                                      step, wrong):
    before = len(runner.received), len(node.seen)
    sock = node.connect()
    values = dict(wrong)
    if values.get("key") == "\xe9":
        sock.sendall(edge.request().replace(edge.KEY.encode(), b"\xe9"))
    else:
        sock.sendall(edge.request(**values))
    reply = edge.Reply(sock)
    problem = json.loads(reply.body)
    assert (reply.status, problem["step"]) == (status, step)
    assert reply.headers["content-type"] == "application/problem+json"
    assert reply.headers["cardamommill-outcome"] == "not-run"
    assert (len(runner.received), len(node.seen)) == before


RAW = [
    b"\r\n\r\n\r\n",
    b"GET /healthz\r\n\r\n",
    b"GET /healthz HTTP/2.0\r\nHost: a\r\n\r\n",
    b"BREW /healthz HTTP/1.1\r\nHost: a\r\n\r\n",
    b"GET http://a/healthz HTTP/1.1\r\nHost: a\r\n\r\n",
    b"GET /healthz HTTP/1.1\r\n\r\n",
    b"GET /healthz HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
    b"GET /healthz HTTP/1.1\r\nHost : a\r\n\r\n",
    b"GET /healthz HTTP/1.1\r\nHost: a\r\n folded\r\n\r\n",
    b"GET /healthz HTTP/1.1\nHost: a\r\n\r\n",
    b"GET /healthz HTTP/1.1\r\nHost: a\r\nX: \x00\r\n\r\n",
    b"GET /healthz HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n",
    b"GET /healthz HTTP/1.1\r\nHost: a\r\nContent-Length: 1, 1\r\n\r\n",
    b"GET /healthz HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n"
    b"Content-Length: 1\r\n\r\n",
    b"POST /healthz HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n",
    b"POST /healthz HTTP/1.1\r\nHost: a\r\n"
    b"Transfer-Encoding: gzip, chunked\r\n\r\n",
    b"POST /healthz HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n",
    b"POST /healthz HTTP/1.1\r\nHost: a\r\n"
    b"Transfer-Encoding: chunked\r\n\r\nsize\r\n",
]


@pytest.mark.parametrize("raw", RAW)
def test_what_two_parsers_may_read_differently_is_refused(node, raw):
    sock = node.connect()
    sock.sendall(raw)
    reply = edge.Reply(sock)
    assert (reply.status, reply.headers["connection"]) == (400, "close")
    assert sock.recv(1) == b""


def parse(pieces):
    parser = http1.RequestParser(1000, lambda start: 1000)
    found = []
    for piece in pieces:
        parser.feed(piece)
        while request := parser.next():
            found.append(
                (request.start.method, request.start.target, request.body))
    return found


GOOD = (b"POST /a?b HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"
        b"POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"2;x=y\r\nde\r\n1\r\nf\r\n0\r\n\r\n"
        b"GET /d HTTP/1.1\r\nHost: h\r\n\r\n")


@hypothesis.given(st.lists(st.integers(0, len(GOOD)), max_size=8))
def test_requests_are_the_same_however_they_are_cut(cuts):
    ends = [0, *sorted(cuts), len(GOOD)]
    pieces = [
        GOOD[start:end] for start, end in zip(ends, ends[1:], strict=False)
    ]
    assert parse(pieces) == [("POST", "/a?b", b"abc"), ("POST", "/c", b"def"),
                             ("GET", "/d", b"")]


@hypothesis.given(
    st.one_of(
        st.binary(max_size=300),
        st.tuples(st.integers(0, len(GOOD)), st.binary(max_size=4)).map(
            lambda change: GOOD[:change[0]] + change[1] + GOOD[change[0]:])))
@hypothesis.example(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
def test_any_bytes_are_a_request_or_an_error(raw):
    with contextlib.suppress(http1.exceptions.RequestError):
        for _, _, body in parse([raw]):
            assert len(body) <= 1000


@hypothesis.given(
    st.recursive(st.none() | st.booleans() | st.text(max_size=300),
                 lambda inner: st.lists(inner, max_size=3) | st.dictionaries(
                     st.sampled_from(
                         ["prompt", "messages", "content", "stream"]), inner),
                 max_leaves=8))
def test_any_json_gives_a_prompt(value):
    prompt = prompts.read(json.dumps(value).encode())
    assert len(prompt.prefixes) <= prompts.MAX_PREFIXES


def test_shared_beginnings_share_prefixes():
    first, second = (prompts.read(
        json.dumps({
            "messages": [{
                "role": "user",
                "content": "x" * 600 + end
            }],
            "stream": True
        }).encode()) for end in ("a" * 300, "b"))
    assert first.streaming
    assert len(first.prefixes) == 3
    assert first.prefixes[:2] == second.prefixes


def test_what_decisions_get_to_know(node):
    body = json.dumps({"stream": False, "prompt": "p" * 256}).encode()
    node.call(body=body,
              Cardamommill_Deadline_Ms="99999999",
              Cardamommill_Priority="1",
              Idempotency_Key="k1",
              path=BOOK + "?a=b")
    head = node.of(events.RequestArrived)[-1].head
    digest = hashlib.sha256(b"POST /book?a=b\n" + body).hexdigest()
    assert (head.account, head.path, head.digest) == ("desk", "/book?a=b",
                                                      digest)
    assert not head.repeatable
    assert head.idempotency_key == "k1"
    assert head.deadline_ms - head.received_ms == 20_000
    assert (head.priority, head.hop, len(head.prefixes)) == (3, 0, 1)


def test_hop_counts_with_the_proof_of_a_node(node):
    digest = hashlib.sha256(b"POST /v1/completions\n{}").hexdigest()
    reply = node.call(Cardamommill_Hop="1",
                      Cardamommill_Attempt="r-1",
                      Cardamommill_Hop_Proof=hops.proof(b"", "r-1", digest))
    assert reply.status == 200
    assert reply.headers["cardamommill-attempt"] == "r-1"
    assert node.of(events.RequestArrived)[-1].head.hop == 1


def test_request_that_was_passed_on_keeps_its_name(node, runner):
    """A request comes from a node of another data centre.

    Its caller knows it by the name that the first node gave it, and the
    engine's answer must speak of that one: a trial found answers that named
    another request, and their callers took them for foreign.
    """
    name = "0123456789abcdef"
    digest = hashlib.sha256(b"POST /v1/completions\n{}").hexdigest()
    attempt_id = f"{name}.2"
    reply = node.call(Cardamommill_Hop="1",
                      Cardamommill_Attempt=attempt_id,
                      Cardamommill_Hop_Proof=hops.proof(b"", attempt_id,
                                                        digest))
    assert reply.status == 200
    assert reply.headers["cardamommill-request"] == name
    assert runner.work[-1].headers["cardamommill-request"] == name


def test_connection_is_kept_and_requests_may_follow_one_another(node):
    sock = node.connect()
    sock.sendall(edge.request() * 3 + edge.request("GET", "/healthz", b""))
    raw = b""
    while raw.count(b"HTTP/1.1 200") < 4:
        raw += sock.recv(65536)


def test_body_in_chunks_and_after_continue(node, runner):
    sock = node.connect()
    sock.sendall(
        edge.request(Content_Length=None,
                     Transfer_Encoding="chunked",
                     Expect="100-continue",
                     body=b""))
    assert sock.recv(100).startswith(b"HTTP/1.1 100 ")
    sock.sendall(edge.chunk(b'{"a":') + edge.chunk(b" 1}") + b"0\r\n\r\n")
    assert edge.Reply(sock).status == 200
    assert runner.work[-1].body == b'{"a": 1}'


@pytest.mark.parametrize(("sent", "status"), [
    (edge.request()[:30], 408),
    (edge.request(Content_Length=100), 408),
    (b"", None),
])
def test_slow_request_ends_at_its_limit(node, sent, status):
    sock = node.connect()
    sock.sendall(sent)
    if status:
        assert edge.Reply(sock).status == status
    assert sock.recv(1) == b""


def test_body_of_an_unknown_caller_is_not_waited_for(node):
    sock = node.connect()
    sock.sendall(edge.request(key="wrong", Content_Length=4000))
    assert edge.Reply(sock).status == 401


def test_bytes_that_trickle_in_hold_no_thread(node):
    """Forty callers send a byte now and then; another one is served."""
    slow = [node.connect() for _ in range(40)]
    for sock in slow:
        sock.sendall(b"P")
    assert node.call().status == 200
    names = [thread.name for thread in threading.enumerate()]
    assert sum(name.startswith("caller_") for name in names) <= 8


def test_connections_and_held_bytes_are_bounded(runner):
    with edge.Node(runner.address, connections=4, held_bytes=6000) as small:
        held = [small.connect() for _ in range(2)]
        for sock in held:
            sock.sendall(edge.request(body=b"x" * 4500)[:-1])
        statuses = []
        for sock in held:
            sock.settimeout(0.5)
            with contextlib.suppress(TimeoutError):
                statuses.append(edge.Reply(sock).status)
        assert statuses == [503]
        edge.wait_for(lambda: small.frontend.counts.open <= 2)
        held += [small.connect() for _ in range(4)]
        edge.wait_for(lambda: small.frontend.counts.open == 4)
        edge.wait_for(lambda: small.frontend.counts.refused > 1)


def test_requests_in_progress_are_bounded(runner):
    going_on = threading.Event()

    def script(received, send):
        going_on.wait(5)
        return edge.json_answer()(received, send)

    with edge.Runner(script) as slow, edge.Node(
            slow.address, requests_in_progress=2) as small:
        waiting = [small.connect() for _ in range(2)]
        for sock in waiting:
            sock.sendall(edge.request())
        edge.wait_for(lambda: small.exchange.count == 2)
        refused = small.call()
        assert refused.status == 503
        assert int(refused.headers["retry-after"]) >= 1
        going_on.set()
        assert [edge.Reply(sock).status for sock in waiting] == [200, 200]


def test_caller_that_reads_nothing_is_cut_off():
    """A caller asks for a long stream and does not read it.

    Its bytes must not fill the node, and the engine must not work for it.
    """

    def script(received, send):
        send(edge.stream_head(received))
        with contextlib.suppress(OSError):
            while True:
                send(edge.chunk(b"data: " + b"x" * 60_000 + b"\n\n"))

    with edge.Runner(script) as long, edge.Node(long.address,
                                                unsent_bytes=100_000) as small:
        sock = small.connect()
        sock.sendall(edge.request(body=b'{"stream": true}'))
        edge.wait_for(lambda: small.of(events.CallerGone))
        edge.wait_for(lambda: len(long.received) > len(long.work))


def test_pages_follow_the_node(node):
    assert node.call("GET", "/healthz", b"").body == b"ok\n"
    assert node.call("GET", "/readyz", b"").status == 200
    assert node.call("GET", "/metrics?x", b"").body == b"metric 1\n"
    with edge.Node("127.0.0.1:1") as other:
        life = other.decisions.board.life
        life.leaving = True
        other.control.post(events.Tick())
        edge.wait_for(lambda: not other.control.view().ready)
        assert other.call("GET", "/readyz", b"").status == 503
        assert other.call("GET", "/healthz",
                          b"").headers["connection"] == ("close")


def test_without_documents_callers_are_told_to_come_back():
    with edge.Node("127.0.0.1:1") as other:
        section = other.decisions.board
        section.documents.in_force.clear()
        section.life.phase = board.NodePhase.STARTING
        other.control.post(events.Tick())
        edge.wait_for(lambda: not other.control.view().ready)
        reply = other.call()
        assert (reply.status, reply.headers["cardamommill-outcome"]) == (
            503, requesting.Outcome.NOT_RUN)


def test_tls(runner):
    certificate = pathlib.Path(__file__).parent / "data" / "certificate.pem"
    key = certificate.with_name("key.pem")
    with edge.Node(runner.address,
                   tls_certificate=str(certificate),
                   tls_key=str(key)) as secure:
        context = ssl.create_default_context(cafile=str(certificate))
        context.check_hostname = False
        with context.wrap_socket(secure.connect()) as sock:
            for _ in range(2):
                sock.sendall(edge.request(body=b'"' + b"x" * 4000 + b'"'))
                assert edge.Reply(sock).status == 200
        plain = secure.connect()
        plain.sendall(edge.request())
        with contextlib.suppress(ConnectionResetError):
            assert not plain.recv(9).startswith(b"HTTP")
