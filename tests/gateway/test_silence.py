"""Tests of noticing groups that fall silent."""

from cardamommill.gateway import model, silence

KEY = model.GroupKey("g", 1)
PASS_MS = 46.0
LONGEST_MS = 300.0


def expected(prefill_ms, first_event_ms):
    return silence.ExpectedTiming(PASS_MS, LONGEST_MS, prefill_ms,
                                  first_event_ms)


def streaming(detector, until_ms, start_ms=0.0):
    detector.sent(KEY, "r", expected(20.0, 100.0), start_ms)
    now_ms = start_ms + 100
    while now_ms <= until_ms:
        detector.event(KEY, "r", now_ms)
        now_ms += PASS_MS


def test_group_that_goes_on_is_not_silent():
    detector = silence.SilenceDetector()
    streaming(detector, 2000)
    assert not detector.silent(2020)


def test_group_is_silent_within_some_hundred_ms():
    # A member dies: the head accepts on and nothing moves. Its own word comes
    # after four seconds; callers leave after two.
    detector = silence.SilenceDetector()
    streaming(detector, 2000)
    noticed = next(
        now_ms for now_ms in range(2000, 4000, 10) if detector.silent(now_ms))
    assert noticed <= 2300


def test_silence_is_told_once():
    detector = silence.SilenceDetector()
    streaming(detector, 2000)
    assert detector.silent(2500) == [KEY]
    assert not detector.silent(2600)


def test_silent_group_stands_still_once_no_pass_takes_as_long():
    """All members answer, yet nothing moves: one is cut from the head alone."""
    detector = silence.SilenceDetector()
    streaming(detector, 2000)
    assert detector.silent(2500) == [KEY]
    assert not detector.stalled(2500)
    assert detector.stalled(3000) == [KEY]
    assert not detector.stalled(3100)


def test_long_pass_is_no_standstill():
    """Prompts that other nodes sent are read: the next event takes 0.5 s."""
    detector = silence.SilenceDetector()
    streaming(detector, 2000)
    detector.silent(2400)
    assert not detector.stalled(2500)
    detector.event(KEY, "r", 2510)
    assert not detector.stalled(2700)


def test_group_moves_while_its_events_come():
    detector = silence.SilenceDetector()
    streaming(detector, 2000)
    assert detector.moves(KEY, 2100)
    assert not detector.moves(KEY, 2600)


def test_waiting_request_alone_shows_a_standstill_late():
    """What others sent to a group is not known to a node that just began."""
    detector = silence.SilenceDetector()
    detector.sent(KEY, "r", expected(20.0, 100.0), 0.0)
    assert detector.silent(600) == [KEY]
    assert not detector.stalled(700)
    assert detector.stalled(900) == [KEY]


def test_first_event_that_does_not_come_is_noticed():
    detector = silence.SilenceDetector()
    detector.sent(KEY, "r", expected(20.0, 100.0), 0.0)
    assert not detector.silent(200)
    assert detector.silent(1000) == [KEY]


def test_long_prompt_that_is_read_is_no_silence():
    detector = silence.SilenceDetector()
    streaming(detector, 2000)
    detector.sent(KEY, "long", expected(250.0, 400.0), 2000.0)
    assert not detector.silent(2250)


def test_group_without_requests_is_never_silent():
    detector = silence.SilenceDetector()
    streaming(detector, 2000)
    detector.ended(KEY, "r")
    assert not detector.silent(9000)


def test_event_after_an_alarm_takes_it_back():
    detector = silence.SilenceDetector()
    streaming(detector, 2000)
    detector.silent(2500)
    detector.event(KEY, "r", 2510)
    assert detector.moves(KEY, 2520)
    assert detector.silent(3200) == [KEY]
