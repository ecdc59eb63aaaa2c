"""Tests of how an entry node's process starts."""

import subprocess
import sys

NEEDLESS = ("fire", "cardamommill.commands", "cardamommill.standins",
            "cardamommill.settings", "cardamommill.documents")


def run(*words):
    return subprocess.run(words, capture_output=True, text=True, check=False)


def test_node_loads_no_more_than_it_needs():
    """All nodes are started again; callers are refused until one serves."""
    text = ("import sys, cardamommill.__main__, cardamommill.gateway.starting; "
            "print(*sys.modules)")
    loaded = run(sys.executable, "-c", text).stdout.split()
    assert "cardamommill.gateway.entrynode" in loaded
    assert not set(NEEDLESS) & set(loaded)


def test_faults_of_the_settings_are_told_and_end_the_process(tmp_path):
    path = tmp_path / "settings.yaml"
    path.write_text("node: A b\nspeed: 3\n")
    done = run(sys.executable, "-m", "cardamommill", "entry", "--settings",
               str(path))
    assert done.returncode == 1
    assert "node" in done.stderr and "speed" in done.stderr


def test_wrong_words_are_told_by_the_command_line():
    done = run(sys.executable, "-m", "cardamommill", "entry", "--setting", "x")
    assert done.returncode == 2
    assert "settings" in done.stderr


def test_fault_of_the_program_ends_the_process_as_the_command_line_does():
    """Its code tells operators such a fault from faulty settings."""
    text = ("from cardamommill.gateway import starting; "
            "starting.run = lambda settings: 1 / 0; starting.main('x')")
    done = run(sys.executable, "-c", text)
    assert done.returncode == 70
    assert "a fault of this program" in done.stderr
    assert "Traceback" not in done.stderr
