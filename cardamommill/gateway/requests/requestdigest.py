"""Identifies copies of a request, and the parts that prompts share."""

import hashlib

DIGEST_BYTES = 8


def digest(method: str, host: str, target: str, account: str,
           body: bytes) -> int:
    """Returns a number that is the same for all copies of a request.

    Args:
        method: The HTTP method.
        host: The host that was asked.
        target: Path and query.
        account: The name of the client account; empty for none.
        body: The whole body.
    """
    found = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (method, host, target, account):
        data = part.encode()
        # With its length, so that a part can't continue in the next one.
        found.update(len(data).to_bytes(4))
        found.update(data)
    found.update(body)
    return int.from_bytes(found.digest())


def part_digest(part: str) -> int:
    """Returns a number for a part of prompts, whatever requests hold it.

    Args:
        part: The id of the part.
    """
    found = hashlib.blake2b(part.encode(),
                            digest_size=DIGEST_BYTES,
                            person=b"prompt part")
    return int.from_bytes(found.digest())


def text(number: int) -> str:
    """Returns a digest as it is written in logs."""
    return f"{number:016x}"
