"""Reads YAML texts that people write, within bounds."""

from typing import Any

import yaml

# Deeper nesting than any document or settings file has by far; the reader
# would end in a RecursionError at some hundred levels.
MAX_DEPTH = 32


class _Loader(yaml.CSafeLoader):
    """Refuses what YAML allows and people don't mean."""

    def construct_mapping(self, node: Any, deep: bool = False) -> Any:
        # YAML lets the last of two equal keys win: a limit that was pasted in
        # twice would silently be the other one.
        seen = set()
        names = [key for key, _ in node.value if isinstance(key.value, str)]
        for name in names:
            if name.value in seen:
                raise _at(name, "a field is named twice")
            seen.add(name.value)
        return super().construct_mapping(node, deep)


def load(text: str) -> Any:
    """Returns the value of a YAML text.

    Raises:
        ValueError: It is not YAML, is nested too deeply, names a field twice
            or uses aliases. The message never quotes the text, which may
            hold a key.
    """
    try:
        _check_shape(text)
        return yaml.load(text, _Loader)
    except yaml.MarkedYAMLError as error:
        mark = error.problem_mark or error.context_mark
        where = f"line {mark.line + 1}, column {mark.column + 1}: " if (
            mark) else ""
        raise ValueError(f"{where}{error.problem}") from None
    except yaml.YAMLError as error:
        raise ValueError(
            f"characters that YAML does not allow: {type(error).__name__}"
        ) from None
    except (TypeError, UnicodeError, OverflowError, RecursionError) as error:
        raise ValueError(type(error).__name__) from None


def _check_shape(text: str) -> None:
    depth = 0
    for event in yaml.parse(text, _Loader):
        # A few nested aliases stand for billions of values; whoever prints
        # the first fault of such a text is out of memory.
        if isinstance(event, yaml.AliasEvent):
            raise _at(event, "aliases are not taken")
        if isinstance(event, yaml.CollectionStartEvent):
            depth += 1
        elif isinstance(event, yaml.CollectionEndEvent):
            depth -= 1
        if depth > MAX_DEPTH:
            raise _at(event, "nested too deeply")


def _at(place: Any, problem: str) -> yaml.MarkedYAMLError:
    return yaml.MarkedYAMLError(problem=problem, problem_mark=place.start_mark)
