"""Decodes what a runner asks of its callers in the headers of its answers."""

import re

from cardamommill import exceptions, units
from cardamommill.gateway import httpheaders
from cardamommill.platform import words

_DECIMAL = re.compile(r"\d{1,9}(\.\d{1,9})?", re.ASCII)
_YES = "1"
_NO = "0"


def rate_limit_per_s(headers: httpheaders.Headers, runner: str) -> float | None:
    """Returns how many requests a second a runner takes from all nodes.

    Args:
        headers: Of one of its answers.
        runner: Who answered.

    Returns:
        The limit, or None where the answer names none.

    Raises:
        BadPeerMessage: The header holds no decimal number.
    """
    text = httpheaders.first_value(headers, words.SERVER_LIMIT)
    return None if text is None else _decimal(words.SERVER_LIMIT, text, runner)


def is_leaving(headers: httpheaders.Headers, runner: str) -> bool:
    """Returns whether a runner says that it leaves.

    Args:
        headers: Of one of its answers.
        runner: Who answered.

    Raises:
        BadPeerMessage: The header says neither yes nor no.
    """
    text = httpheaders.first_value(headers, words.SERVER_LEAVING) or _NO
    if text.strip() not in (_YES, _NO):
        raise _malformed(words.SERVER_LEAVING, f"neither yes nor no: {text!r}",
                         runner)
    return text.strip() == _YES


def rest_ms(headers: httpheaders.Headers, runner: str) -> float:
    """Returns for how long a runner that refused wants nothing of this node.

    Args:
        headers: Of its answer.
        runner: Who answered.

    Raises:
        BadPeerMessage: The header holds no decimal number of seconds.
    """
    text = httpheaders.first_value(headers, words.RETRY_AFTER)
    if text is None:
        return 0.0
    return units.MS_PER_S * _decimal(words.RETRY_AFTER, text, runner)


def _decimal(name: str, text: str, runner: str) -> float:
    if not _DECIMAL.fullmatch(text.strip()):
        raise _malformed(name, f"no decimal number: {text!r}", runner)
    return float(text)


def _malformed(name: str, why: str, runner: str) -> exceptions.BadPeerMessage:
    return exceptions.BadPeerMessage(f"{name}: {why}",
                                     step="decode answer",
                                     peer=runner)
