"""The expected answer to each request, against which clients verify bytes."""

import hashlib


def plain_body(target: str) -> bytes:
    """Returns the body of the answer to a plain request."""
    return hashlib.sha256(target.encode()).hexdigest().encode()


def event_bytes(target: str, number: int) -> bytes:
    """Returns the event with this number, from 1, of a streamed answer."""
    digest = hashlib.sha256(f"{target} {number}".encode()).hexdigest()
    return f"id: {number}\ndata: {digest}\n\n".encode()
