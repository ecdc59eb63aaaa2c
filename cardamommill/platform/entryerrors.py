"""The error for a row of the runner list that can't be used."""

from typing import Self

import pydantic

from cardamommill import exceptions

# How much of a value the error shows; the value may be of any size.
MAX_FOUND_CHARS = 60
_PREFIXES = ("Input should be ", "Value error, ")


class EntryRefused(exceptions.BadPeerMessage):
    """A row is no valid entry; it lists no runner.

    Attributes:
        field: The field at fault; `entry` for the whole value.
        found: What the field holds, shortened.
        expected: What it should hold.
    """

    def __init__(self, row: str, field: str, found: object,
                 expected: str) -> None:
        self.field = field
        self.found = shortened(found)
        self.expected = expected
        super().__init__(f"{field}: expected {expected}, got {self.found}",
                         step="decode entry",
                         peer=shortened(row))

    @classmethod
    def from_validation(cls, row: str, error: pydantic.ValidationError) -> Self:
        """Returns the error for the first fault that a validation found."""
        first = error.errors(include_url=False)[0]
        field = ".".join(map(str, first["loc"])) or "entry"
        if first["type"] == "missing":
            return cls(row, field, "nothing", "a value")
        expected = first["msg"]
        for prefix in _PREFIXES:
            expected = expected.removeprefix(prefix)
        return cls(row, field, first["input"], expected)


def shortened(value: object) -> str:
    """Returns a value as a short text."""
    text = value if isinstance(value, str) else repr(value)
    if len(text) <= MAX_FOUND_CHARS:
        return text
    return f"{text[:MAX_FOUND_CHARS]}..."
