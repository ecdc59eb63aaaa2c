"""The command line: ``cardamommill COMMAND``."""

import os
import sys

import fire
from fire import parser

from cardamommill import commands, exceptions

EXIT_FAILED = 1
EXIT_FAULT = 70
EXIT_INTERRUPTED = 130
DEBUG_VARIABLE = "CARDAMOMMILL_DEBUG"


def main() -> None:
    """Runs the command that the arguments name, and ends the process.

    Exit codes: 0 done; 1 it could not be done, and standard error says at
    which step and peer; 2 wrong usage; 70 a fault of this program; 130 it was
    interrupted.
    """
    try:
        fire.Fire(commands.Commands,
                  command=[_kept(each) for each in sys.argv[1:]],
                  name="cardamommill")
    except exceptions.CardamommillError as error:
        _end(str(error), EXIT_FAILED)
    except KeyboardInterrupt:
        _end("interrupted", EXIT_INTERRUPTED)
    except BrokenPipeError:
        # Whoever read the output has had enough; not for the person.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        sys.exit(EXIT_FAILED)
    except Exception as error:
        if os.environ.get(DEBUG_VARIABLE):
            raise
        _end(
            f"a fault of this program: {error!r}; with {DEBUG_VARIABLE}=1 it "
            "shows where", EXIT_FAULT)


def _kept(argument: str) -> str:
    # Fire takes what looks like a Python value for one: a request's id such
    # as 12e45 would become a number, and no id of anything.
    flag, equals, value = argument.partition("=")
    if not (argument.startswith("--") and equals):
        flag, equals, value = "", "", argument
    parsed = parser.DefaultParseValue(value)
    kept = value if isinstance(parsed, str | int) else repr(value)
    return f"{flag}{equals}{kept}"


def _end(message: str, code: int) -> None:
    print(f"cardamommill: {message}", file=sys.stderr)
    sys.exit(code)
