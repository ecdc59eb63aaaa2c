"""Proof that a request was passed on by a node and not by a caller.

The node that passes a request on holds its claim, so the next one runs it
without. A caller that could say so itself would have its booking run twice.
"""

import hashlib
import hmac

HEADER = "Cardamommill-Hop"
PROOF_HEADER = "Cardamommill-Hop-Proof"


def request_id(attempt_id: str) -> str:
    """Returns the request that an attempt belongs to, or empty text.

    Args:
        attempt_id: As the node that passes a request on named it.
    """
    return attempt_id.rpartition(".")[0]


def proof(secret: bytes, attempt_id: str, digest: str) -> str:
    """Returns the proof for one attempt at one request.

    Args:
        secret: What all nodes know and no caller does.
        attempt_id: Of the attempt.
        digest: Of the request.
    """
    return hmac.new(secret, f"{attempt_id}/{digest}".encode("latin-1"),
                    hashlib.sha256).hexdigest()


def is_proof(secret: bytes, attempt_id: str, digest: str, given: str) -> bool:
    """Tells whether a proof holds.

    Args:
        secret: What all nodes know and no caller does.
        attempt_id: Of the attempt.
        digest: Of the request.
        given: The proof.
    """
    return hmac.compare_digest(
        proof(secret, attempt_id, digest).encode(), given.encode("latin-1"))
