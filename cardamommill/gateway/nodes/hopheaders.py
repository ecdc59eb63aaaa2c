"""What nodes tell each other of a request that one passes to the other."""

import dataclasses
from urllib import parse

from cardamommill import exceptions
from cardamommill.platform import wirenames
from cardamommill.transport import httpheaders, upstream

# In a request: what the first node knows of it.
HEADER = "Entry-Hop"
# In an answer: how many attempts the peer made.
ATTEMPTS_HEADER = "Entry-Hop-Attempts"
# Extra bytes of a request's head that these headers may take.
HEADER_BYTES = 512
# A request older than this on its arrival was not sent by a node.
MAX_AGE_MS = 600_000.0

# Statuses of a node's own answers that leave open if a request has run.
_UNKNOWN_STATUSES = frozenset({502, 504})


@dataclasses.dataclass(frozen=True, slots=True)
class Hop:
    """What the first node of a request tells the second one.

    Attributes:
        node: The name of the first node.
        age_ms: Time since the request arrived there.
        config_version: The configuration that admitted it there.
        attempts: How many attempts that may have run it were made already.
        has_arrived: Whether it has reached a runner, so that another attempt is
            a retry.
    """

    node: str
    age_ms: float
    config_version: int
    attempts: int
    has_arrived: bool


def encode(hop: Hop) -> str:
    """Returns the value of the header that describes a hop."""
    return parse.urlencode(
        dataclasses.asdict(hop) | {"has_arrived": int(hop.has_arrived)})


def decode(text: str) -> Hop:
    """Returns the hop that a header describes.

    Raises:
        BadPeerMessage: The header is malformed.
    """
    fields = dict(parse.parse_qsl(text))
    try:
        hop = Hop(fields["node"], float(fields["age_ms"]),
                  int(fields["config_version"]), int(fields["attempts"]),
                  fields["has_arrived"] == "1")
    except (KeyError, ValueError) as error:
        raise exceptions.BadPeerMessage(f"cannot decode hop: {error!r}",
                                        step="hop") from error
    if not 0 <= hop.age_ms <= MAX_AGE_MS or hop.attempts < 0:
        raise exceptions.BadPeerMessage("hop with an impossible figure",
                                        step="hop")
    return hop


def attempts_made(head: upstream.Head) -> int | None:
    """Returns how many attempts a peer made; None if it doesn't say."""
    return httpheaders.number(head.get(ATTEMPTS_HEADER))


def is_refusal(head: upstream.Head) -> bool:
    """Whether a peer that may reach runners refused a request for now."""
    return head.status == 503 and head.get(wirenames.NOT_EXECUTED) is not None


def answer_headers(status: int, headers: list[tuple[str, str]],
                   attempts: int) -> list[tuple[str, str]]:
    """Returns the headers of an answer to another node.

    Of an answer that is not a runner's, they say whether the request was not
    run.

    Args:
        status: The status of the answer.
        headers: The headers that a caller would get.
        attempts: How many attempts this node made.
    """
    found = [*headers, (ATTEMPTS_HEADER, str(attempts))]
    is_own = httpheaders.first_value(headers, wirenames.ATTEMPT_ID) is None
    if is_own and status not in _UNKNOWN_STATUSES:
        found.append((wirenames.NOT_EXECUTED, "1"))
    return found
