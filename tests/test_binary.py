"""Tests of the one file that is shipped."""

import os
import pathlib
import subprocess
import sys

import pytest

from cardamommill import launching
from tools import pack

# In /proc/PID/stat: page faults of children that were waited for. Every
# child has some, however short it lived.
CHILD_FAULTS = 11

# The file is packed once for all of them.
pytestmark = pytest.mark.xdist_group("binary")


@pytest.fixture(name="binary", scope="module")
def fixture_binary(tmp_path_factory):
    output = tmp_path_factory.mktemp("dist") / "cardamommill"
    pack.pack(output, level=0)
    return output


def children_of(pid):
    """Returns living children, and the page faults of ended ones."""
    living = [
        child for task in pathlib.Path(f"/proc/{pid}/task").iterdir()
        for child in (task / "children").read_text("ascii").split()
    ]
    stat = pathlib.Path(f"/proc/{pid}/stat").read_text("ascii")
    # The name before the last bracket may hold blanks.
    fields = stat.rpartition(")")[2].split()
    return living, int(fields[CHILD_FAULTS - 3])


def test_a_node_from_the_file_is_one_process_without_children(binary):
    vm = launching.VmPlan("v1", "dc", "f1", "cpu", {"kind": "plain"})
    plan = launching.Plan("region", {"n1": "dc"}, (vm,),
                          program=(sys.executable, str(binary)))
    with launching.Deployment(plan) as deployment:
        deployment.wait_ready()
        node = deployment.nodes["n1"]
        assert children_of(node.pid) == ([], 0)
        assert "n1 in dc" in deployment.command("n1", "status")
        node.terminate()
        assert node.wait(20) == 0


def test_the_file_needs_nothing_that_lasts(binary, tmp_path):
    """The directory for temporary files is emptied between two starts."""
    for trial in ("one", "two"):
        scratch = tmp_path / trial
        scratch.mkdir()
        for _ in range(2):
            done = subprocess.run(
                [sys.executable,
                 str(binary), "settings", "check", "/nowhere"],
                env={"TMPDIR": str(scratch)},
                capture_output=True,
                check=False,
                text=True)
            assert done.stderr.startswith("cardamommill: settings: can't be")
        assert len(list(scratch.iterdir())) == 1


def test_a_directory_that_somebody_else_laid_out_is_not_believed(
        binary, tmp_path):
    """Somebody puts code where the file unpacks its compiled modules.

    Directories for temporary files are open to all; loading from one that
    others may write to would run their code with the node's rights.
    """

    def start():
        return subprocess.run(
            [sys.executable,
             str(binary), "settings", "check", "/nowhere"],
            env={
                "TMPDIR": str(tmp_path)
            },
            capture_output=True,
            check=False,
            text=True).stderr

    assert "can't be read" in start()
    (unpacked,) = tmp_path.iterdir()
    os.chmod(unpacked, 0o777)
    assert "is not this user's own" in start()
