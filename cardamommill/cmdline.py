"""The command line: ``cardamommill COMMAND``."""

import sys

import fire

from cardamommill import commands, exceptions

EXIT_FAILED = 1
EXIT_INTERRUPTED = 130


def main() -> None:
    """Runs the command that the arguments name, and ends the process."""
    try:
        fire.Fire(commands.Commands, name="cardamommill")
    except exceptions.CardamommillError as error:
        print(f"cardamommill: {error}", file=sys.stderr)
        sys.exit(EXIT_FAILED)
    except KeyboardInterrupt:
        sys.exit(EXIT_INTERRUPTED)
