"""Tests of short HTTP calls."""

from concurrent import futures
import socket

import pytest

from cardamommill import httpcalls

WAIT_S = 20


@pytest.fixture(name="calls")
def _calls():
    with httpcalls.HttpCalls("test") as calls:
        yield calls


def _make(calls: httpcalls.HttpCalls,
          call: httpcalls.Call) -> httpcalls.Outcome:
    answer: futures.Future[httpcalls.Outcome] = futures.Future()
    calls.make(call, answer.set_result)
    return answer.result(WAIT_S)


def _serve_once(answer: bytes) -> int:
    """Returns the port of a server that sends one answer and closes."""
    listener = socket.create_server(("127.0.0.1", 0))
    pool = futures.ThreadPoolExecutor(1)

    def run():
        with listener, listener.accept()[0] as connection:
            connection.recv(65536)
            connection.sendall(answer)

    pool.submit(run)
    pool.shutdown(wait=False)
    return listener.getsockname()[1]


def test_whole_answer(calls):
    port = _serve_once(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi")
    outcome = _make(calls,
                    httpcalls.Call("GET", f"http://127.0.0.1:{port}/", 5000))
    assert outcome.unwrap() == httpcalls.Answer(200, b"hi")


@pytest.mark.parametrize("answer", [
    b"", b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhi",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n"
])
def test_cut_answer_is_no_answer_and_may_have_run(calls, answer):
    """The peer reads the request and closes before its answer is whole.

    The caller must not take what came for an answer, nor believe that the
    request was not run.
    """
    port = _serve_once(answer)
    failure = _make(
        calls, httpcalls.Call("POST", f"http://127.0.0.1:{port}/", 5000,
                              b"{}")).failure()
    assert not failure.not_sent


def test_refused_connection_was_not_sent(calls):
    """Nobody listens at a runner's port.

    Only here it is certain that nothing was sent, so that an order or a request
    may go elsewhere at once without being done twice.
    """
    with socket.create_server(("127.0.0.1", 0)) as listener:
        port = listener.getsockname()[1]
    failure = _make(
        calls, httpcalls.Call("POST", f"http://127.0.0.1:{port}/", 5000,
                              b"{}")).failure()
    assert failure.not_sent
