"""Packs cardamommill and what it runs on into one file.

Usage: python tools/pack.py OUTPUT

The file needs a Python of the version that it was packed with, and nothing
else. What it runs on is taken from the environment of the Python that runs
this, which requirements.lock pins.
"""

from collections.abc import Iterator
from importlib import metadata
import importlib.util
import marshal
import pathlib
import re
import sys
import time
import zipfile

from packaging import requirements

ROOT = pathlib.Path(__file__).parent.parent
PACKAGE = "cardamommill"
SHEBANG = f"#!/usr/bin/env python3.{sys.version_info.minor}\n".encode()
LEFT_OUT = re.compile(r"(^|/)(__pycache__|tests?|testing)/|\.(pyi|pxd|pyx|c|h)$"
                      r"|/(direct_url\.json|RECORD|INSTALLER|REQUESTED)$"
                      r"|^\.\.|^(bin|share|include)/")
# Flags of a .pyc file that is valid whatever becomes of its source.
UNCHECKED_HASH = (1).to_bytes(4, "little")
# The same bytes for the same input, whenever it is packed.
EPOCH = time.gmtime(315_532_800)[:6]


def distributions() -> Iterator[metadata.Distribution]:
    """Yields what the product runs on, each distribution once."""
    wanted = [
        requirements.Requirement(line)
        for line in (ROOT / "requirements.txt").read_text("utf-8").splitlines()
        if line and not line.startswith("#")
    ]
    seen: set[str] = set()
    while wanted:
        requirement = wanted.pop()
        name = re.sub(r"[-_.]+", "-", requirement.name).lower()
        if name in seen or (requirement.marker and
                            not requirement.marker.evaluate({"extra": ""})):
            continue
        seen.add(name)
        found = metadata.distribution(name)
        wanted += map(requirements.Requirement, found.requires or ())
        yield found


def members() -> Iterator[tuple[str, pathlib.Path]]:
    """Yields the name in the archive and the path of each file."""
    for distribution in distributions():
        for file in distribution.files or ():
            if not LEFT_OUT.search(str(file)):
                yield str(file), pathlib.Path(
                    str(distribution.locate_file(file)))
    for path in sorted((ROOT / PACKAGE).glob("*.py")):
        yield f"{PACKAGE}/{path.name}", path


def compiled(name: str, source: bytes) -> bytes:
    """Returns the bytes of the ``.pyc`` file of some source."""
    code = compile(source, name, "exec", dont_inherit=True)
    return (importlib.util.MAGIC_NUMBER + UNCHECKED_HASH +
            importlib.util.source_hash(source) + marshal.dumps(code))


class Archive:
    """The one file while it is written."""

    def __init__(self, file: zipfile.ZipFile, level: int) -> None:
        self._file = file
        self._level = level
        self._folders: set[str] = set()

    def add(self, name: str, data: bytes) -> None:
        """Adds a member, and its folders as members of their own.

        Without those, Python would not find packages without an
        ``__init__``, such as ``google``.
        """
        for parent in reversed(pathlib.PurePosixPath(name).parents[:-1]):
            if f"{parent}/" not in self._folders:
                self._folders.add(f"{parent}/")
                self._write(f"{parent}/", b"")
        self._write(name, data)

    def _write(self, name: str, data: bytes) -> None:
        info = zipfile.ZipInfo(name, EPOCH)
        info.external_attr = 0o700 << 16
        self._file.writestr(info, data, zipfile.ZIP_DEFLATED, self._level)


def pack(output: pathlib.Path, level: int = 9) -> None:
    """Writes the one file.

    Args:
        output: Where to.
        level: How well it is compressed, 0 to 9.
    """
    output.parent.mkdir(parents=True, exist_ok=True)
    with output.open("wb") as raw:
        raw.write(SHEBANG)
        with zipfile.ZipFile(raw, "w") as file:
            archive = Archive(file, level)
            for name, path in members():
                data = path.read_bytes()
                if name.endswith(".py"):
                    archive.add(f"{name}c", compiled(name, data))
                else:
                    archive.add(name, data)
            main = (ROOT / "tools" / "bootstrap.py").read_bytes()
            archive.add("__main__.py", main)
    output.chmod(0o755)


if __name__ == "__main__":
    pack(pathlib.Path(sys.argv[1]))
