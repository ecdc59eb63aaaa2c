"""Tests of the phases of a planned stop."""

import pytest

from cardamommill.gateway.shell import shutdown

LIMIT_MS = 7500.0
PHASE = shutdown.Phase


def progress(since_ms, is_busy=False, is_new=False, limit_ms=LIMIT_MS):
    return shutdown.Progress(since_ms, limit_ms, is_busy, is_new)


@pytest.mark.parametrize("phase,state,expected", [
    (PHASE.RUNNING, progress(1e9), PHASE.RUNNING),
    (PHASE.LEAVING, progress(2500.0), PHASE.LEAVING),
    (PHASE.LEAVING, progress(2700.0, is_busy=True), PHASE.REJECTING),
    (PHASE.REJECTING, progress(2700.0, is_busy=True), PHASE.REJECTING),
    (PHASE.REJECTING, progress(2700.0), PHASE.CLOSED),
    (PHASE.REJECTING, progress(6600.0, is_busy=True), PHASE.CLOSED),
    (PHASE.CLOSED, progress(2700.0, is_new=True), PHASE.CLOSED),
    (PHASE.CLOSED, progress(6600.0, is_busy=True), PHASE.CLOSED),
    (PHASE.CLOSED, progress(2700.0), PHASE.ENDED),
    (PHASE.CLOSED, progress(7600.0, True, True), PHASE.ENDED),
    (PHASE.ENDED, progress(7600.0), PHASE.ENDED),
])
def test_phase_follows_only_when_nothing_is_cut_or_time_is_up(
        phase, state, expected):
    """Guards against a process that ends with answers unsent, or never."""
    assert shutdown.next_phase(phase, state) is expected


@pytest.mark.parametrize("limit_ms", [100.0, 1500.0, LIMIT_MS])
def test_callers_that_never_read_do_not_hold_the_process(limit_ms):
    """Guards against a process that is killed, and an order of short graces."""
    phase, since_ms = PHASE.LEAVING, 0.0
    while phase is not PHASE.ENDED:
        since_ms += 20.0
        phase = shutdown.next_phase(phase,
                                    progress(since_ms, True, True, limit_ms))
        assert since_ms < limit_ms + 100.0


class Servers:
    """The servers and requests of a node that has none in progress."""

    busy = unsent_bytes = 0

    def __getattr__(self, name):
        return lambda *arguments: False


@pytest.mark.parametrize("grace_s,rejects", [(2.0, True), (8.0, False)])
def test_requests_are_rejected_once_the_port_closes(grace_s, rejects):
    """Guards against requests that begin at the end of a short grace."""
    servers = Servers()
    one = shutdown.Shutdown(servers, servers, servers, servers)
    one.begin("SIGTERM", 0.0)
    for now_ms in range(0, 1000, 20):
        one.update(now_ms, 1000 * grace_s)
    assert one.rejects(1000.0) is rejects
