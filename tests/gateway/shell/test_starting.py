"""Tests of how an entry node's process starts."""

import subprocess
import sys

UNNEEDED_MODULES = ("fire", "cardamommill.commands", "cardamommill.standins",
                    "cardamommill.settings", "cardamommill.documents")


def run(*arguments):
    return subprocess.run(arguments,
                          capture_output=True,
                          text=True,
                          check=False)


def test_node_imports_no_more_modules_than_it_needs():
    """Each import delays the start.

    While all nodes are restarting, callers are refused until one is up.
    """
    text = ("import sys, cardamommill.__main__; "
            "import cardamommill.gateway.shell.starting; "
            "print(*sys.modules)")
    loaded = run(sys.executable, "-c", text).stdout.split()
    assert "cardamommill.gateway.shell.entrynode" in loaded
    assert not set(UNNEEDED_MODULES) & set(loaded)


def test_errors_in_the_settings_are_printed_and_end_the_process(tmp_path):
    path = tmp_path / "settings.yaml"
    path.write_text("node: A b\nspeed: 3\n")
    done = run(sys.executable, "-m", "cardamommill", "entry", "--settings",
               str(path))
    assert done.returncode == 1
    assert "node" in done.stderr and "speed" in done.stderr


def test_unknown_arguments_are_reported_as_wrong_usage():
    done = run(sys.executable, "-m", "cardamommill", "entry", "--setting", "x")
    assert done.returncode == 2
    assert "settings" in done.stderr


def test_internal_error_ends_the_process_with_its_own_exit_code():
    """Operators can tell such an error from invalid settings."""
    text = ("from cardamommill.gateway.shell import starting; "
            "starting.run = lambda settings: 1 / 0; starting.main('x')")
    done = run(sys.executable, "-c", text)
    assert done.returncode == 70
    assert "a fault of this program" in done.stderr
    assert "Traceback" not in done.stderr
