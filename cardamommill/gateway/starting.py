"""Starts an entry node, with no more of the product than it needs."""

import pathlib
import sys

from cardamommill import exceptions
from cardamommill.gateway import entrynode, entrysettings

EXIT_FAILED = 1
EXIT_INTERRUPTED = 130


def run(settings: str) -> None:
    """Runs a node until it is told to end.

    Args:
        settings: The path of its settings.

    Raises:
        SettingsError: Lists every fault in the file.
    """
    path = pathlib.Path(settings)
    checked = entrysettings.load(path)
    with entrynode.EntryNode(checked, path) as node:
        node.run()


def main(settings: str) -> None:
    """Runs a node as a process; its exit codes are the command line's."""
    try:
        run(settings)
    except exceptions.CardamommillError as error:
        print(f"cardamommill: {error}", file=sys.stderr)
        sys.exit(EXIT_FAILED)
    except KeyboardInterrupt:
        sys.exit(EXIT_INTERRUPTED)
