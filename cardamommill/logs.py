"""The log: one line of key=value pairs for each event."""

from concurrent import futures
import queue
import re
import sys
from typing import Any, Self, TextIO

import logbook

from cardamommill import checking

MAX_BACKLOG = 10_000
MAX_VALUE_CHARS = 2000
HIDDEN = "(hidden)"

_PLAIN = re.compile(r"[\w.:/@+,-]+\Z")
_SECRET_NAME = re.compile(r"authorization|password|secret|(^|_)key$", re.I)
# The last defence: what reaches the log by way of some error's message.
_SECRET_TEXT = re.compile(r"(?i)(bearer\s+)[^\s\"',;]+")


def line(event: str, **fields: object) -> str:
    """Returns the message of an event.

    Args:
        event: A short name, such as ``request-ended``.
        **fields: What belongs to it; empty ones are left out. Fields whose
            name says that they hold a secret are hidden.
    """
    pairs = [f"event={quoted(event)}"]
    for name, value in fields.items():
        if value is None or value == "":
            continue
        text = HIDDEN if _SECRET_NAME.search(name) else str(value)
        pairs.append(f"{name}={quoted(text)}")
    return " ".join(pairs)


def quoted(text: str) -> str:
    """Returns a value for a line, in quotes where it needs them."""
    if _PLAIN.match(text):
        return text
    cut = text[:MAX_VALUE_CHARS].replace("\\", "\\\\").replace('"', '\\"')
    printable = "".join(
        char if char.isprintable() else f"\\x{ord(char):02x}" for char in cut)
    return f'"{printable}"'


def without_secrets(text: str) -> str:
    """Returns the text with the keys of callers and operators hidden."""
    return _SECRET_TEXT.sub(rf"\1{HIDDEN}", text)


def format_record(record: Any, node: str) -> str:
    """Returns the one line of a log record, errors included."""
    message = str(record.message)
    if not message.startswith("event="):
        message = line("note", text=message)
    fields = [
        f"time={record.time.isoformat(timespec='milliseconds')}",
        f"level={record.level_name}", f"node={quoted(node)}",
        f"channel={quoted(str(record.channel))}", message
    ]
    if record.formatted_exception:
        # A traceback has many lines; it goes into one value, escaped.
        fields.append(f"error={quoted(record.formatted_exception)}")
    return without_secrets(" ".join(fields)).replace("\n", "\\n")


class LogHandler(logbook.Handler):  # type: ignore[misc]
    """Writes records on a thread of its own; a context manager.

    The control thread must never wait: a terminal or a pipe that nobody
    reads would stop every decision of the node. Where the backlog is full,
    records are dropped and the next line that gets through says how many.
    """

    def __init__(self, settings: checking.Logging, node: str) -> None:
        """Makes it.

        Args:
            settings: What is logged, and where.
            node: The node's name, on every line.
        """
        super().__init__(level=settings.level)
        self._settings = settings
        self._node = node
        self._backlog: queue.Queue[Any] = queue.Queue(MAX_BACKLOG)
        self._pool = futures.ThreadPoolExecutor(1, "log")
        self._dropped = 0

    def __enter__(self) -> Self:
        self._output: TextIO = (open(self._settings.file, "a", encoding="utf-8")
                                if self._settings.file else sys.stdout)
        self._writing = self._pool.submit(self._write)
        self.push_application()
        return self

    def __exit__(self, *exception: object) -> None:
        self.pop_application()
        self._backlog.put(None)
        self._pool.shutdown()
        if self._output is not sys.stdout:
            self._output.close()

    def emit(self, record: Any) -> None:
        """Hands a record over, or drops it."""
        record.pull_information()
        try:
            self._backlog.put_nowait(record)
        except queue.Full:
            self._dropped += 1

    def _write(self) -> None:
        while (record := self._backlog.get()) is not None:
            # Whatever is wrong with one record, the thread lives on: without
            # it the log would be silent for the rest of the node's life.
            try:
                if self._dropped:
                    dropped, self._dropped = self._dropped, 0
                    self._print(line("log-lines-dropped", count=dropped))
                self._print(format_record(record, self._node))
            except Exception:
                self._dropped += 1

    def _print(self, text: str) -> None:
        print(text, file=self._output, flush=self._backlog.empty())
