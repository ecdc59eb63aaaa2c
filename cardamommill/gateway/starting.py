"""Starts an entry node, with no more of the product than it needs."""

import pathlib

from cardamommill import exitcodes
from cardamommill.gateway import entrynode, entrysettings


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
    """Runs a node as a process; see `exitcodes.told`."""
    with exitcodes.told():
        run(settings)
