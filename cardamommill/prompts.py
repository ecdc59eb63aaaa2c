"""What a node reads out of a request's body: stream or not, and prefixes."""

from collections.abc import Iterator
import dataclasses
import json
from typing import Any

from cardamommill import prefixes

MAX_PREFIXES = 32
MAX_DEPTH = 8


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
    text = ("".join(_texts(fields.get("prompt"), MAX_DEPTH)) or
            "".join(_texts(fields.get("messages"), MAX_DEPTH)))
    return Prompt(
        fields.get("stream") is True,
        prefixes.of_prompt(text)[:MAX_PREFIXES])


def _texts(value: Any, depth: int) -> Iterator[str]:
    if isinstance(value, str):
        yield value
    elif depth and isinstance(value, list):
        for part in value:
            yield from _texts(part, depth - 1)
    elif depth and isinstance(value, dict):
        for name in ("role", "content", "text"):
            yield from _texts(value.get(name), depth - 1)
