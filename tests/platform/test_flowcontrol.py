"""Tests of decoding the headers by which runners limit their callers."""

import pytest

from cardamommill import exceptions
from cardamommill.platform import flowcontrol


@pytest.mark.parametrize("text,per_s", [("3", 3.0), ("1.6", 1.6), ("0", 0.0),
                                        (" 2.50 ", 2.5)])
def test_rate_limit_is_a_decimal_number(text, per_s):
    assert flowcontrol.rate_limit_per_s([("server-limit", text)],
                                        "i-1") == per_s


def test_answer_without_header_names_no_rate_limit():
    assert flowcontrol.rate_limit_per_s([("X-Other", "3")], "i-1") is None


def test_retry_after_is_in_seconds():
    assert flowcontrol.rest_ms([("Retry-After", "0.25")], "i-1") == 250.0
    assert not flowcontrol.rest_ms([], "i-1")


def test_cold_time_is_in_milliseconds():
    assert flowcontrol.cold_left_ms([("x-cardamommill-cold-ms", "1500")],
                                    "i-1") == 1500.0
    assert not flowcontrol.cold_left_ms([], "i-1")


def test_leaving_flag_is_decoded():
    assert flowcontrol.is_leaving([("server-leaving", "1")], "i-1")
    assert not flowcontrol.is_leaving([("server-leaving", "0")], "i-1")
    assert not flowcontrol.is_leaving([], "i-1")


def test_leaving_flag_other_than_0_or_1_is_refused():
    with pytest.raises(exceptions.BadPeerMessage,
                       match=r"expected 0 or 1.*i-1"):
        flowcontrol.is_leaving([("Server-Leaving", "soon")], "i-1")


@pytest.mark.parametrize("decode", [
    flowcontrol.rate_limit_per_s, flowcontrol.rest_ms, flowcontrol.cold_left_ms
])
@pytest.mark.parametrize("text",
                         ["", "-1", "1e3", "nan", "1,5", "0x1", "9" * 30, "١"])
def test_error_for_malformed_number_names_the_runner(text, decode):
    headers = [("Server-Limit", text), ("Retry-After", text),
               ("X-Cardamommill-Cold-Ms", text)]
    with pytest.raises(exceptions.BadPeerMessage, match=r"decode answer.*i-1"):
        decode(headers, "i-1")
