"""Starts an entry node, importing only the modules that it needs."""

import pathlib

from cardamommill import exitcodes
from cardamommill.domain import entrysettings
from cardamommill.gateway.shell import entrynode


def run(settings: str) -> None:
    """Runs a node until it is told to stop.

    Args:
        settings: Path of its settings file.

    Raises:
        SettingsError: Lists every error in the file.
    """
    path = pathlib.Path(settings)
    checked = entrysettings.load(path)
    with entrynode.EntryNode(checked, path) as node:
        node.run()


def main(settings: str) -> None:
    """Runs a node as a process, reporting errors as `exitcodes.told` does."""
    with exitcodes.told():
        run(settings)
