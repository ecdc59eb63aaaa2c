"""Starts cardamommill out of its one file; becomes that file's ``__main__``.

Python code is imported from the archive as it is. Compiled modules can't be:
they are unpacked into a directory for temporary files, once for all processes
of one user, and are unpacked again wherever that directory is gone. No process
is started for any of it.
"""

import importlib.abc
import importlib.machinery
import importlib.util
import os
import stat
import sys
import tempfile
import zipfile
import zlib

ARCHIVE = sys.path[0]
SUFFIX = ".so"


class NativeFinder(importlib.abc.MetaPathFinder):
    """Finds compiled modules in the directory that they were unpacked to."""

    def __init__(self, archive):
        """Reads which compiled modules there are.

        Args:
            archive: The path of the one file.
        """
        self._archive = archive
        with zipfile.ZipFile(archive) as members:
            self._members = [
                member for member in members.infolist()
                if SUFFIX in os.path.basename(member.filename)
            ]
        self._by_module = {
            member.filename.split(".")[0].replace("/", "."): member.filename
            for member in self._members
            if member.filename.endswith(SUFFIX) and
            ".libs/" not in member.filename
        }
        self._directory = None

    def find_spec(self, fullname, path=None, target=None):
        """Returns the spec of a compiled module, or None for others."""
        del path, target
        name = self._by_module.get(fullname)
        if name is None:
            return None
        if self._directory is None:
            self._directory = self._unpacked()
        location = os.path.join(self._directory, name)
        loader = importlib.machinery.ExtensionFileLoader(fullname, location)
        return importlib.util.spec_from_file_location(fullname,
                                                      location,
                                                      loader=loader)

    def _unpacked(self):
        checksum = 0
        for member in self._members:
            checksum = zlib.crc32(f"{member.filename}{member.CRC}".encode(),
                                  checksum)
        directory = os.path.join(tempfile.gettempdir(),
                                 f"cardamommill-{os.getuid()}-{checksum:08x}")
        if not os.path.isdir(directory):
            self._unpack(directory)
        # Code is loaded from here: a directory that somebody else laid out in
        # a place that all may write to must not be believed.
        found = os.lstat(directory)
        if found.st_uid != os.getuid() or stat.S_IMODE(found.st_mode) != 0o700:
            sys.exit(f"cardamommill: start: {directory} is not this user's own")
        return directory

    def _unpack(self, directory):
        made = tempfile.mkdtemp(prefix="cardamommill-",
                                dir=os.path.dirname(directory))
        with zipfile.ZipFile(self._archive) as members:
            members.extractall(made, self._members)
        try:
            os.rename(made, directory)
        except OSError:
            # Another process was faster; both hold the same files.
            for parent, folders, files in os.walk(made, topdown=False):
                for name in files:
                    os.unlink(os.path.join(parent, name))
                for name in folders:
                    os.rmdir(os.path.join(parent, name))
            os.rmdir(made)


def main():
    """Makes the archive importable and runs the command line."""
    sys.meta_path.insert(0, NativeFinder(ARCHIVE))
    from cardamommill import cmdline
    cmdline.main()


if __name__ == "__main__":
    main()
