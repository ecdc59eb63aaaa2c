"""Files that people write: read, and checked whole against a model."""

import pathlib
from typing import Annotated, TypeVar

import pydantic

from cardamommill import exceptions, yamltext

MAX_FAULTS = 50

Name = Annotated[str,
                 pydantic.StringConstraints(
                     pattern=r"^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$")]
Address = Annotated[str,
                    pydantic.StringConstraints(
                        pattern=r"^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$")]

_T = TypeVar("_T", bound=pydantic.BaseModel)


class Checked(pydantic.BaseModel):
    """An object of a file; a field that it does not know is a fault."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class Logging(Checked):
    """What is logged.

    Attributes:
        level: The least severe level that is written.
        file: A file to append to; empty for standard output.
    """

    level: Annotated[
        str,
        pydantic.StringConstraints(
            pattern=r"^(DEBUG|INFO|NOTICE|WARNING|ERROR)$")] = "INFO"
    file: str = ""


def load_as(kind: type[_T], path: pathlib.Path, step: str = "settings") -> _T:
    """Returns what a YAML file holds, checked whole.

    Args:
        kind: The model that it is checked against.
        path: The file.
        step: What it is read for; errors carry it.

    Raises:
        SettingsError: Lists every fault in the file.
    """
    try:
        return kind.model_validate(yamltext.load(path.read_text("utf-8")))
    except OSError as error:
        raise exceptions.SettingsError(f"can't be read: {error.strerror}",
                                       step=step,
                                       peer=str(path)) from error
    except pydantic.ValidationError as error:
        # Not "from error": pydantic's text shows what it found, and a key
        # written into the wrong field would reach the log with a traceback.
        raise exceptions.SettingsError(faults(error), step=step,
                                       peer=str(path)) from None
    except ValueError as error:
        raise exceptions.SettingsError(f"not YAML: {error}",
                                       step=step,
                                       peer=str(path)) from error


def faults(error: pydantic.ValidationError) -> str:
    """Returns a line per fault: the field's path, what was found, what may be.

    Args:
        error: What pydantic found.
    """
    lines = []
    found_faults = error.errors()
    for fault in found_faults[:MAX_FAULTS]:
        path = ".".join(str(part) for part in fault["loc"]) or "(whole)"
        # A wrong key of an account must not reach a log or a terminal.
        hidden = "key" in path or isinstance(fault["input"], dict)
        found = "(hidden)" if hidden else repr(fault["input"])[:80]
        if fault["type"] == "missing":
            found = "nothing"
        lines.append(f"{path}: found {found}: {fault['msg']}")
    if len(found_faults) > MAX_FAULTS:
        lines.append(f"and {len(found_faults) - MAX_FAULTS} more")
    return "\n".join(lines)
