"""Describes why a configuration is refused.

No description holds a value that may be an API key.
"""

import dataclasses
from typing import Any

from cardamommill import exceptions

_KINDS: dict[type, str] = {
    bool: "boolean",
    int: "number",
    float: "number",
    str: "string",
    list: "array",
    tuple: "array",
    dict: "object",
    type(None): "null",
}


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """The first fault of a configuration.

    Attributes:
        field: The path of the field.
        found_kind: The JSON type of what was found.
        expected: What was expected.
        value: What was found; empty for values that may be secret.
    """

    field: str
    found_kind: str
    expected: str
    value: str = ""


class UndecodableConfiguration(exceptions.BadPeerMessage):
    """A configuration is incomplete or has a value of the wrong type.

    Attributes:
        fault: The first fault.
    """

    def __init__(self, message: str, fault: Fault) -> None:
        super().__init__(message, step="decode configuration", peer="platform")
        self.fault = fault


def kind_of(value: Any) -> str:
    """Returns the name of the JSON type of a value."""
    return _KINDS.get(type(value), "other")
