"""Tests of the control thread."""

from concurrent import futures
import functools

from cardamommill import (
    actions,
    boottime,
    controller,
    decisions,
    events,
    fleet,
    loop,
    periods,
)

WAIT_S = 20
IDENTITY = fleet.NodeIdentity("a", "dc", "r", 1, "127.0.0.1:1", "127.0.0.1:2")


class _Echo(controller.Controller):
    """Turns each event but ticks into an action, and notes all of them."""

    name = "echo"
    seen: list[events.Event] = []

    @functools.singledispatchmethod
    def step(self, event, now_ms):
        self.seen.append(event)
        return (actions.Record("event", type(event).__name__, ""),)

    @step.register
    def _(self, event: events.Tick, now_ms: int):
        return ()


def _loop(perform) -> loop.ControlLoop:
    return loop.ControlLoop(
        decisions.Decisions(IDENTITY, periods.Timing(), 1, (_Echo,)), perform)


def test_actions_come_in_the_order_of_the_events():
    performed: list[str] = []
    with _loop(lambda action: performed.append(action.event)) as control:
        control.post(events.ShutdownAsked())
        control.post(events.CallerGone("1"))
        control.ask(lambda decided, now_ms: None).result(WAIT_S)
    assert [name for name in performed if name != "Paused"
           ] == ["ShutdownAsked", "CallerGone"]


def test_pause_is_told_before_the_next_event():
    """The process is stopped and goes on with a request in its inbox.

    The request must not be decided on evidence from before the pause, so the
    pause has to be told first, even though no tick has come yet.
    """
    performed: list[str] = []
    stopped: futures.Future[None] = futures.Future()
    with _loop(lambda action: performed.append(action.event)) as control:
        pause_s = periods.Timing().pause_ms / 1000 + 0.2
        # Holds the control thread, as SIGSTOP would hold the process.
        control.ask(lambda decided, now_ms: _hold(stopped, pause_s))
        control.post(events.CallerGone("1"))
        control.ask(lambda decided, now_ms: None).result(WAIT_S)
    assert performed.index("Paused") < performed.index("CallerGone")


def _hold(never: "futures.Future[None]", for_s: float) -> None:
    try:
        never.result(for_s)
    except futures.TimeoutError:
        return


def test_fault_in_a_question_does_not_end_the_loop():
    """An operator's question fails on the control thread.

    The operator gets the error; all callers' requests depend on that thread,
    so the next question must be answered as if nothing had been.
    """
    with _loop(lambda action: None) as control:
        broken = control.ask(lambda decided, now_ms: 1 // 0)
        assert isinstance(broken.exception(WAIT_S), ZeroDivisionError)
        assert control.ask(lambda decided, now_ms: 5).result(WAIT_S) == 5


def test_decisions_age_what_they_know_while_the_vm_sleeps(monkeypatch):
    """The VM of a planner is suspended for longer than its lease.

    By a clock that stands still meanwhile no time has passed: it would take
    the lease for its own though another node has taken it over.
    """
    read = boottime.now_ms
    before_ms = loop.now_ms()
    slept_ms = 2 * periods.Timing().lease_ms
    monkeypatch.setattr(boottime, "now_ms", lambda: read() + slept_ms)
    assert loop.now_ms() - before_ms >= slept_ms
