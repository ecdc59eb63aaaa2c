"""Tests that fail for a known fault, as KNOWN-RED.txt lists them."""

import pathlib

PATH = pathlib.Path(__file__).parents[1] / "KNOWN-RED.txt"
# More would make the list a place to put faults away.
MOST = 3


def listed(text: str) -> dict[str, str]:
    """Returns the tests that a list names, each with what it says of them.

    Args:
        text: A line a test: its id, a comma, and the rest; lines that begin
            with "#" are none.

    Raises:
        ValueError: It names too many.
    """
    lines = [
        line for line in text.splitlines()
        if line.strip() and not line.startswith("#")
    ]
    if len(lines) > MOST:
        raise ValueError(f"{PATH.name} names more than {MOST} tests")
    return {
        test.strip(): rest.strip()
        for test, _, rest in (line.partition(",") for line in lines)
    }


def reason(found: dict[str, str], test: str) -> str:
    """Returns what is known of a test; empty where it is to pass.

    Args:
        found: What `listed` returned.
        test: Its id; a listed test stands for all its parameters.
    """
    return found.get(test) or found.get(test.partition("[")[0], "")
