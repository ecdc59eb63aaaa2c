"""Reads the header that names the parts of a request's prompt."""

import string

# A prompt with more parts is known by the first of them.
MAX_PARTS = 32
MAX_ID_LENGTH = 64

_HEX_DIGITS = frozenset(string.hexdigits)


def shared_parts(header: str | None) -> tuple[str, ...]:
    """Returns the ids of the parts that other requests may share, in order.

    These are all but the last. Entries that are no part are left out.

    Args:
        header: The value of the header; None if the request has none.
    """
    ids = [
        entry.partition(":")[0].strip() for entry in (header or "").split(",")
    ]
    found = [
        each.lower()
        for each in ids[:-1]
        if each and len(each) <= MAX_ID_LENGTH and _HEX_DIGITS.issuperset(each)
    ]
    return tuple(dict.fromkeys(found))[:MAX_PARTS]
