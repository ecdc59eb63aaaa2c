"""Lets ``python -m cardamommill`` run the command line."""

import importlib
import sys

# An entry node is started again while callers wait: the command line, its
# stand-ins and reports took a fifth of the processor time of its start. Any
# other words, and wrong ones, go to the command line.
_SETTINGS = "--settings"


def main(words: list[str]) -> None:
    """Runs an entry node at once, or else what the words name."""
    if len(words) == 3 and words[:2] == ["entry", _SETTINGS]:
        importlib.import_module("cardamommill.gateway.shell.starting").main(
            words[2])
        return
    importlib.import_module("cardamommill.cmdline").main()


if __name__ == "__main__":
    main(sys.argv[1:])
