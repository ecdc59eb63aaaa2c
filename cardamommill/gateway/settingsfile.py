"""The file of a node's settings, which may change while the node runs."""

import pathlib

import logbook

from cardamommill import exceptions, logs
from cardamommill.gateway import entrysettings

_LOG = logbook.Logger("entry")


class SettingsFile:
    """Reads settings again when they have changed."""

    def __init__(self, path: pathlib.Path) -> None:
        self._path = path
        self._stamp = _stamp(path)

    @property
    def has_changed(self) -> bool:
        """Whether the file differs from what was read last."""
        return _stamp(self._path) != self._stamp

    def read(self, why: str) -> entrysettings.EntrySettings | None:
        """Returns the settings, or None where the file is faulty."""
        self._stamp = _stamp(self._path)
        try:
            changed = entrysettings.load(self._path)
        except exceptions.SettingsError as error:
            _LOG.error(logs.line("reload-refused", why=why, reason=str(error)))
            return None
        _LOG.info(logs.line("reload", why=why))
        return changed


def _stamp(path: pathlib.Path) -> tuple[int, int]:
    try:
        found = path.stat()
    except OSError:
        return (0, 0)
    return (found.st_mtime_ns, found.st_size)
