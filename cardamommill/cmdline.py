"""The command line: ``cardamommill COMMAND``."""

import sys

import fire
from fire import parser

from cardamommill import commands, exitcodes


def main() -> None:
    """Runs the command that the arguments name; see `exitcodes.told`."""
    with exitcodes.told():
        fire.Fire(commands.Commands,
                  command=[_kept(each) for each in sys.argv[1:]],
                  name="cardamommill")


def _kept(argument: str) -> str:
    # Fire takes what looks like a Python value for one: a request's id such
    # as 12e45 would become a number, and no id of anything.
    flag, equals, value = argument.partition("=")
    if not (argument.startswith("--") and equals):
        flag, equals, value = "", "", argument
    parsed = parser.DefaultParseValue(value)
    kept = value if isinstance(parsed, str | int) else repr(value)
    return f"{flag}{equals}{kept}"
