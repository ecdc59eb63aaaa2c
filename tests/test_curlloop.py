"""Tests of the loop that drives transfers."""

from concurrent import futures
import contextlib
import socket

import pycurl

from cardamommill import boottime, curlloop

WAIT_S = 20
TIMEOUT_MS = 400


def test_waiting_ends_when_the_machine_slept_over_its_time(monkeypatch):
    now_ms = 1000.0
    monkeypatch.setattr(boottime, "now_ms", lambda: now_ms)
    loop = curlloop.CurlLoop("test")
    loop._set_timer(5000)
    assert loop._wait_s() == curlloop.MAX_SLEEP_S
    now_ms += 4500
    assert loop._wait_s() == 0.5
    now_ms += 60_000
    assert loop._wait_s() == 0


def test_transfer_still_ends_in_time_after_the_machine_slept(monkeypatch):
    """The VM is suspended while a server is silent.

    The loop's time is over then, libcurl's is not: its clock stood still. Were
    the timer lost with that, the transfer would never end.
    """
    slept_ms = 0.0
    read = boottime.now_ms
    monkeypatch.setattr(boottime, "now_ms", lambda: read() + slept_ms)
    ended: futures.Future[int] = futures.Future()
    with contextlib.ExitStack() as stack:
        silent = stack.enter_context(socket.create_server(("127.0.0.1", 0)))
        loop = stack.enter_context(curlloop.CurlLoop("test"))
        curl = pycurl.Curl()
        curl.setopt(pycurl.URL, f"http://127.0.0.1:{silent.getsockname()[1]}/")
        curl.setopt(pycurl.TIMEOUT_MS, TIMEOUT_MS)
        curl.setopt(pycurl.NOSIGNAL, 1)
        loop.call(lambda: loop.add(
            curl, lambda number, message: ended.set_result(number)))
        stack.enter_context(silent.accept()[0])
        slept_ms = 60_000.0
        loop.call(lambda: None)
        assert ended.result(WAIT_S) == pycurl.E_OPERATION_TIMEDOUT
