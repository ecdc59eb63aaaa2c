"""Tests of the list of known reds."""

import pytest

from tests import known

LINES = """# test, command, what was seen

tests/a.py::test_b, python -m pytest tests/a.py, late by 0.1 s, issue 9
tests/a.py::test_c[1], the same, wrong
"""


def test_listed_tests_are_known_with_all_their_parameters():
    found = known.listed(LINES)
    assert known.reason(found, "tests/a.py::test_b[3-x]").endswith("issue 9")
    assert known.reason(found, "tests/a.py::test_c[1]")
    assert not known.reason(found, "tests/a.py::test_c[2]")
    assert not known.reason(found, "tests/a.py::test_bc")


def test_list_of_many_is_refused():
    with pytest.raises(ValueError, match="more than 3"):
        known.listed("".join(
            f"tests/a.py::test_{each}, x\n" for each in range(4)))


def test_list_of_this_project_can_be_read():
    known.listed(known.PATH.read_text("utf-8"))
