"""The commands, each with the imports that it alone needs.

What a command does not need it does not import: a node starts with what it
runs on, and dozens of stand-ins start cheaply.
"""

import importlib
import pathlib

from cardamommill import standins


class Commands:
    """A serving system for models that span several VMs."""

    def __init__(self) -> None:
        self.standin = standins.Standin()

    def node(self, settings: str) -> None:
        """Runs a node until it is told to end.

        Args:
            settings: Its settings, a YAML file.
        """
        from cardamommill import settings as settings_lib
        node_lib = importlib.import_module("cardamommill.node")
        with node_lib.Node(settings_lib.load(pathlib.Path(settings))) as node:
            node.run()
