"""The one right answer to each request; clients check every byte."""

import hashlib


def plain_body(target: str) -> bytes:
    """Returns the body of a plain request."""
    return hashlib.sha256(target.encode()).hexdigest().encode()


def event_bytes(target: str, number: int) -> bytes:
    """Returns the event of a number."""
    digest = hashlib.sha256(f"{target} {number}".encode()).hexdigest()
    return f"id: {number}\ndata: {digest}\n\n".encode()
