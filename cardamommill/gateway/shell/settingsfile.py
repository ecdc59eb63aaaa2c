"""Reloads a node's settings file when it changes."""

import pathlib

import logbook

from cardamommill import exceptions, logs
from cardamommill.domain import entrysettings

_LOG = logbook.Logger("entry")


class SettingsFile:
    """A settings file and the state in which it was last read."""

    def __init__(self, path: pathlib.Path) -> None:
        self._path = path
        self._fingerprint = _fingerprint(path)

    @property
    def has_changed(self) -> bool:
        """Whether the file's size or time has changed since the last read."""
        return _fingerprint(self._path) != self._fingerprint

    def read(self, why: str) -> entrysettings.EntrySettings | None:
        """Returns the settings, or None if the file is invalid.

        Args:
            why: The reason for the read, which is logged.
        """
        self._fingerprint = _fingerprint(self._path)
        try:
            settings = entrysettings.load(self._path)
        except exceptions.SettingsError as error:
            _LOG.error(logs.line("reload-refused", why=why, reason=str(error)))
            return None
        _LOG.info(logs.line("reload", why=why))
        return settings


def _fingerprint(path: pathlib.Path) -> tuple[int, int]:
    try:
        file_status = path.stat()
    except OSError:
        return (0, 0)
    return (file_status.st_mtime_ns, file_status.st_size)
