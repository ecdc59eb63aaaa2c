"""Decodes the flow control headers of runners' answers."""

import re

from cardamommill import exceptions, units
from cardamommill.platform import wirenames
from cardamommill.transport import httpheaders

_DECIMAL = re.compile(r"\d{1,9}(\.\d{1,9})?", re.ASCII)
_TRUE = "1"
_FALSE = "0"


def rate_limit_per_s(headers: httpheaders.Headers, runner: str) -> float | None:
    """Returns how many requests per second a runner takes from all nodes.

    Args:
        headers: The headers of one of its answers.
        runner: The id of the runner that answered.

    Returns:
        The limit, or None if the answer names none.

    Raises:
        BadPeerMessage: The header holds no decimal number.
    """
    text = httpheaders.first_value(headers, wirenames.SERVER_LIMIT)
    return None if text is None else _parse_decimal(wirenames.SERVER_LIMIT,
                                                    text, runner)


def is_leaving(headers: httpheaders.Headers, runner: str) -> bool:
    """Returns whether a runner announces that it is leaving.

    Without the header, or with an empty one, it is not.

    Args:
        headers: The headers of one of its answers.
        runner: The id of the runner that answered.

    Raises:
        BadPeerMessage: The header is neither 0 nor 1.
    """
    text = httpheaders.first_value(headers, wirenames.SERVER_LEAVING) or _FALSE
    if text.strip() not in (_TRUE, _FALSE):
        raise _malformed(wirenames.SERVER_LEAVING,
                         f"expected 0 or 1, got {text!r}", runner)
    return text.strip() == _TRUE


def cold_left_ms(headers: httpheaders.Headers, runner: str) -> float:
    """Returns for how much longer a runner is cold; 0 if it names no time.

    Args:
        headers: The headers of one of its answers.
        runner: The id of the runner that answered.

    Raises:
        BadPeerMessage: The header holds no decimal number.
    """
    text = httpheaders.first_value(headers, wirenames.COLD_MS)
    return 0.0 if text is None else _parse_decimal(wirenames.COLD_MS, text,
                                                   runner)


def rest_ms(headers: httpheaders.Headers, runner: str) -> float:
    """Returns for how long this node must not send to a runner that refused.

    Args:
        headers: The headers of the refusal.
        runner: The id of the runner that refused.

    Returns:
        The time from `Retry-After` in ms; 0 if the refusal names none.

    Raises:
        BadPeerMessage: The header holds no decimal number of seconds.
    """
    text = httpheaders.first_value(headers, wirenames.RETRY_AFTER)
    if text is None:
        return 0.0
    return units.MS_PER_S * _parse_decimal(wirenames.RETRY_AFTER, text, runner)


def _parse_decimal(name: str, text: str, runner: str) -> float:
    if not _DECIMAL.fullmatch(text.strip()):
        raise _malformed(
            name, "expected an unsigned decimal number with at most 9 digits"
            f" on each side of the point, got {text!r}", runner)
    return float(text)


def _malformed(name: str, why: str, runner: str) -> exceptions.BadPeerMessage:
    return exceptions.BadPeerMessage(f"{name}: {why}",
                                     step="decode answer",
                                     peer=runner)
