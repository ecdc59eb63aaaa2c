"""What a node reads out of a request's body: stream or not, and prefixes."""

from collections.abc import Iterator
import dataclasses
import hashlib
import json
from typing import Any

PREFIX_CHARS = 256
MAX_PREFIXES = 32
MAX_DEPTH = 8
HASH_DIGITS = 16


@dataclasses.dataclass(frozen=True, slots=True)
class Prompt:
    """What a body says of how to route it.

    Attributes:
        streaming: Whether it asks for a stream of events.
        prefixes: Hashes of growing prefixes of its prompt, shortest first.
    """

    streaming: bool = False
    prefixes: tuple[str, ...] = ()


def read(body: bytes) -> Prompt:
    """Returns what a JSON body says; a default for other JSON.

    Args:
        body: JSON text.

    Raises:
        ValueError: It is not JSON.
    """
    try:
        fields = json.loads(body)
    except RecursionError as error:
        raise ValueError("nested too deeply") from error
    if not isinstance(fields, dict):
        return Prompt()
    return Prompt(
        fields.get("stream") is True,
        prefix_hashes("".join(_texts(fields.get("prompt"), MAX_DEPTH)) or
                      "".join(_texts(fields.get("messages"), MAX_DEPTH))))


def _texts(value: Any, depth: int) -> Iterator[str]:
    if isinstance(value, str):
        yield value
    elif depth and isinstance(value, list):
        for part in value:
            yield from _texts(part, depth - 1)
    elif depth and isinstance(value, dict):
        for name in ("role", "content", "text"):
            yield from _texts(value.get(name), depth - 1)


def prefix_hashes(text: str) -> tuple[str, ...]:
    """Returns a hash per `PREFIX_CHARS` of a prompt, of all up to there.

    Prompts that share their first kilobyte share their first four hashes.

    Args:
        text: The prompt.
    """
    state = hashlib.sha256()
    hashes = []
    for end in range(PREFIX_CHARS, len(text) + 1, PREFIX_CHARS):
        block = text[end - PREFIX_CHARS:end]
        state.update(block.encode("utf-8", "surrogatepass"))
        hashes.append(state.hexdigest()[:HASH_DIGITS])
        if len(hashes) == MAX_PREFIXES:
            break
    return tuple(hashes)
