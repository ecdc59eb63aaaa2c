"""Identifies one start of a runner, which may restart under its instance id.

A runner states the Unix millisecond of its start as `born`. Together with the
instance id it makes the incarnation id: `ID@BORN`, or `ID` for a runner that
states no `born`. An instance id that could itself be read as one of a composed
form gets a final `@`, so that two incarnations never have the same id.
"""

import dataclasses
import functools
import re

_SEPARATOR = "@"
_AMBIGUOUS_END = re.compile(r"@[0-9]*\Z")


@dataclasses.dataclass(frozen=True, slots=True)
class Incarnation:
    """One start of a runner.

    Attributes:
        instance: The id on the wire, which the next start may have too.
        born_ms: Unix time of the start; None if the runner doesn't state it.
    """

    instance: str
    born_ms: int | None = None

    def __str__(self) -> str:
        if self.born_ms is not None:
            return f"{self.instance}{_SEPARATOR}{self.born_ms}"
        if _AMBIGUOUS_END.search(self.instance):
            return self.instance + _SEPARATOR
        return self.instance


@functools.lru_cache(maxsize=8192)
def parse(incarnation_id: str) -> Incarnation:
    """Returns the incarnation that an id names; the inverse of `str`."""
    instance, separator, born = incarnation_id.rpartition(_SEPARATOR)
    if not separator:
        return Incarnation(incarnation_id)
    if not born:
        return Incarnation(instance)
    if _AMBIGUOUS_END.search(incarnation_id):
        return Incarnation(instance, int(born))
    return Incarnation(incarnation_id)


def instance_of(incarnation_id: str) -> str:
    """Returns the id on the wire of an incarnation."""
    return parse(incarnation_id).instance


def is_other(asked_born_ms: int | None, answered_born_ms: int | None) -> bool:
    """Whether an answer shows another incarnation than the one asked.

    Without both times, the answer says nothing about that.
    """
    return (asked_born_ms is not None and answered_born_ms is not None and
            asked_born_ms != answered_born_ms)
