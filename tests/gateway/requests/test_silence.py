"""Tests of the detection of silent and stalled groups."""

from cardamommill.domain import model
from cardamommill.gateway.requests import silence

KEY = model.GroupKey("g", 1)
PASS_MS = 46.0
MAX_PASS_MS = 300.0


def expected(prefill_ms, first_event_ms):
    return silence.ExpectedTiming(PASS_MS, MAX_PASS_MS, prefill_ms,
                                  first_event_ms)


def streaming(detector, until_ms, start_ms=0.0):
    """Sends a request, and records an event of each pass until a time."""
    detector.sent(KEY, "r", expected(20.0, 100.0), start_ms)
    now_ms = start_ms + 100
    while now_ms <= until_ms:
        detector.event(KEY, "r", now_ms)
        now_ms += PASS_MS


def test_group_with_regular_events_is_not_silent():
    detector = silence.SilenceDetector()
    streaming(detector, 2000)
    assert not detector.silent(2020)


def test_silence_is_detected_within_300_ms():
    # After a member's failure, the head still accepts requests but makes no
    # progress. It reports the failure after four seconds; callers leave after
    # two.
    detector = silence.SilenceDetector()
    streaming(detector, 2000)
    noticed_ms = next(
        now_ms for now_ms in range(2000, 4000, 10) if detector.silent(now_ms))
    assert noticed_ms <= 2300


def test_silent_group_is_returned_once():
    detector = silence.SilenceDetector()
    streaming(detector, 2000)
    assert detector.silent(2500) == [KEY]
    assert not detector.silent(2600)


def test_silent_group_stalls_after_the_longest_passes():
    """All members answer, but one of them can't reach the head."""
    detector = silence.SilenceDetector()
    streaming(detector, 2000)
    assert detector.silent(2500) == [KEY]
    assert not detector.stalled(2500)
    assert detector.stalled(3000) == [KEY]
    assert not detector.stalled(3100)


def test_long_pass_is_no_stall():
    """Prefill of prompts from other nodes delays the next event to 0.5 s."""
    detector = silence.SilenceDetector()
    streaming(detector, 2000)
    detector.silent(2400)
    assert not detector.stalled(2500)
    detector.event(KEY, "r", 2510)
    assert not detector.stalled(2700)


def test_recent_event_expires():
    detector = silence.SilenceDetector()
    streaming(detector, 2000)
    assert detector.has_recent_event(KEY, 2100)
    assert not detector.has_recent_event(KEY, 2600)


def test_group_without_events_stalls_later():
    """A node that just started does not know what others sent to a group."""
    detector = silence.SilenceDetector()
    detector.sent(KEY, "r", expected(20.0, 100.0), 0.0)
    assert detector.silent(600) == [KEY]
    assert not detector.stalled(700)
    assert detector.stalled(900) == [KEY]


def test_overdue_first_event_is_silence():
    detector = silence.SilenceDetector()
    detector.sent(KEY, "r", expected(20.0, 100.0), 0.0)
    assert not detector.silent(200)
    assert detector.silent(1000) == [KEY]


def test_reading_a_long_prompt_is_no_silence():
    detector = silence.SilenceDetector()
    streaming(detector, 2000)
    detector.sent(KEY, "long", expected(250.0, 400.0), 2000.0)
    assert not detector.silent(2250)


def test_group_without_requests_is_never_silent():
    detector = silence.SilenceDetector()
    streaming(detector, 2000)
    detector.ended(KEY, "r")
    assert not detector.silent(9000)


def test_event_ends_silence():
    detector = silence.SilenceDetector()
    streaming(detector, 2000)
    detector.silent(2500)
    detector.event(KEY, "r", 2510)
    assert detector.has_recent_event(KEY, 2520)
    assert detector.silent(3200) == [KEY]
