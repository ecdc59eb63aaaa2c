"""Writes the parts of the pages that come from the code.

Usage: python -m tools.pages

A generated part stands between ``<!-- generated: NAME -->`` and
``<!-- end -->``; a test fails while a page differs from what this writes.
"""

from collections.abc import Iterator
import inspect
import pathlib
import re
from typing import Any

import pydantic

from cardamommill import documents, periods, settings

DOCS = pathlib.Path(__file__).parent.parent / "docs"
PART = re.compile(r"(<!-- generated: ([a-z]+) -->\n).*?(<!-- end -->)", re.S)
LIMITS = (("minimum", "at least"), ("exclusiveMinimum", "more than"),
          ("maximum", "at most"), ("pattern", "matches"))


def table(head: tuple[str, ...], rows: Iterator[tuple[str, ...]]) -> str:
    """Returns a table in Markdown."""
    lines = [head, tuple("---" for _ in head), *rows]
    return "".join(f"| {' | '.join(line)} |\n" for line in lines)


def descriptions(model: type[pydantic.BaseModel]) -> dict[str, str]:
    """Returns what a model's docstring says of each attribute."""
    text = inspect.cleandoc(model.__doc__ or "")
    found: dict[str, str] = {}
    name = ""
    for line in text.partition("Attributes:\n")[2].splitlines():
        match = re.match(r" {4}(\w+): (.*)", line)
        if match:
            name = match[1]
            found[name] = match[2]
        elif name:
            found[name] += f" {line.strip()}"
    return found


def fields(model: type[pydantic.BaseModel],
           above: str = "") -> Iterator[tuple[str, ...]]:
    """Yields a row for each field of a model and of the models in it."""
    told = descriptions(model)
    for name, field in model.model_fields.items():
        path = f"{above}{name}"
        inner, mark = _inner(field.annotation)
        if inner is not None:
            yield (f"`{path}{mark}`", "", _default(field), told.get(name, ""))
            yield from fields(inner, f"{path}{mark}.")
            continue
        yield (f"`{path}`", _allowed(model,
                                     name), _default(field), told.get(name, ""))


def _inner(annotation: Any) -> tuple[type[pydantic.BaseModel] | None, str]:
    if inspect.isclass(annotation) and issubclass(annotation,
                                                  pydantic.BaseModel):
        return annotation, ""
    marks = {tuple: "[]", dict: ".NAME"}
    for part in getattr(annotation, "__args__", ()):
        if inspect.isclass(part) and issubclass(part, pydantic.BaseModel):
            return part, marks[annotation.__origin__]
    return None, ""


def _allowed(model: type[pydantic.BaseModel], name: str) -> str:
    schema = model.model_json_schema()
    part = schema["properties"][name]
    if "$ref" in part:
        part = schema["$defs"][part["$ref"].rpartition("/")[2]]
    if "enum" in part:
        return " or ".join(f"`{value}`" for value in part["enum"])
    of = part.get("items", {})
    words = [part.get("type", ""), *([f"of {of['type']}"] if of else [])]
    words += [
        f"{word} `{part[key]}`".replace("|", "\\|")
        for key, word in LIMITS
        if key in part
    ]
    return " ".join(words)


def _default(field: Any) -> str:
    if field.is_required():
        return "**required**"
    value = field.default
    if isinstance(value, pydantic.BaseModel) or value in ("", (), {}):
        return ""
    return f"`{str(value).lower() if isinstance(value, bool) else value}`"


HEAD = ("field", "allowed", "default", "meaning")
PARTS = {
    "settings":
        lambda: table(HEAD, fields(settings.Settings)),
    "document":
        lambda: table(HEAD, fields(documents.Document)),
    "periods":
        lambda: table(("period", "default", "reason"),
                      ((f"`{each.name}`", f"{each.default_ms} ms", each.reason)
                       for each in periods.PERIODS)),
    "inequalities":
        lambda: table(("must hold", "or else this breaks"), (
            (f"`{' + '.join(each.smaller)} < {each.larger}`", each.promise)
            for each in periods.INEQUALITIES)),
}


def current(text: str) -> str:
    """Returns a page with its generated parts made anew."""
    return PART.sub(lambda match: f"{match[1]}{PARTS[match[2]]()}{match[3]}",
                    text)


def main() -> None:
    """Brings all pages up to date."""
    for page in DOCS.glob("*.md"):
        page.write_text(current(page.read_text("utf-8")), "utf-8")


if __name__ == "__main__":
    main()
