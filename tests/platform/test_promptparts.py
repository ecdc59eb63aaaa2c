"""Tests of the header that names the parts of a prompt."""

import pytest

from cardamommill.platform import promptparts


@pytest.mark.parametrize("header,parts", [
    (None, ()),
    ("", ()),
    ("5c1e07a2:800", ()),
    ("5c1e07a2:800,91bd3f06:410,e4402b7d:250", ("5c1e07a2", "91bd3f06")),
    (" 5C1E:800 , 91bd:410,e4:250", ("5c1e", "91bd")),
    ("5c1e:800,5c1e:800,e4:250", ("5c1e",)),
    ("no hex:1,:2,,5c1e,e4:250", ("5c1e",)),
    ("f" * 65 + ":1,5c1e:2,e4:250", ("5c1e",)),
])
def test_all_parts_but_the_last_are_shared(header, parts):
    assert promptparts.shared_parts(header) == parts


def test_only_the_first_of_many_parts_are_taken():
    """A caller could name thousands within the limits of a head."""
    header = ",".join(f"{number:x}:1" for number in range(5000))
    assert len(promptparts.shared_parts(header)) == promptparts.MAX_PARTS
