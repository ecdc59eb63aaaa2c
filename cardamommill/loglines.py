"""Reads nodes' log lines back, and joins what belongs to one request."""

from collections.abc import Iterable, Iterator
import dataclasses
import datetime
import pathlib
import re

from cardamommill import exceptions

# What happened to a request's groups this long around it may explain it.
AROUND_S = 6.0
MAX_LINES = 200

_PAIR = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S+)')
_ESCAPE = re.compile(r"\\(.)")

# What the end of a request means; the first that its reason begins with.
CAUSES = (
    ("no group stands", "not run: no group of its model stood; see which group "
     "fell silent, which runner was down and when the next one opened"),
    ("all groups are full", "not run: demand was above what the standing "
     "groups can do in time"),
    ("no runner takes more now", "not run: each runner that could take it had "
     "named a rate limit or asked for rest; see runner-limit and runner-rests"),
    ("keys not confirmed", "not run: this node had no word of the platform for "
     "too long to trust any key"),
    ("key not confirmed", "its key was taken away, or could not be confirmed, "
     "before it could go on elsewhere"),
    ("no configuration", "not run: the node had no configuration yet"),
    ("no such route", "no route of the configuration in force fits"),
    ("unknown key", "no client account of the configuration holds its key"),
    ("not run", "not run: each runner that was tried said so, or was not "
     "reached"),
    ("may have run", "unknown: it was sent, no whole answer came, and it may "
     "not be sent again; the runner's own records tell whether it ran"),
    ("no answer in time", "its time was over; it may have run"),
    ("broken off", "a stream that could go on nowhere else ended early"),
    ("caller left", "the caller closed its connection first"),
)


@dataclasses.dataclass(frozen=True, slots=True)
class LogLine:
    """One line, read."""

    at: datetime.datetime
    node: str
    event: str
    fields: dict[str, str]

    def shown(self) -> str:
        """Returns it for a person."""
        rest = " ".join(
            f"{name}={value}" for name, value in self.fields.items()
            if name not in ("time", "level", "node", "channel", "event"))
        return (f"{self.at.time().isoformat('milliseconds')} {self.node} "
                f"{self.event} {rest}")


def parsed(text: str) -> LogLine | None:
    """Returns a line of a node's log, or None for any other."""
    start = text.find("time=")
    if start < 0:
        return None
    pairs = _PAIR.findall(text[start:])
    fields = {name: _plain(value) for name, value in pairs}
    try:
        return LogLine(datetime.datetime.fromisoformat(fields["time"]),
                       fields["node"], fields["event"], fields)
    except (KeyError, ValueError):
        return None


def _plain(value: str) -> str:
    if not value.startswith('"'):
        return value
    return _ESCAPE.sub(r"\1", value[1:-1])


def read(paths: Iterable[pathlib.Path]) -> Iterator[LogLine]:
    """Returns all lines of files that are log lines.

    Raises:
        CommandError: A file can't be read.
    """
    for path in paths:
        for _, line in numbered(path):
            yield line


def numbered(path: pathlib.Path) -> Iterator[tuple[int, LogLine]]:
    """Returns the log lines of a file with their numbers, from 1.

    Raises:
        CommandError: The file can't be read.
    """
    try:
        with path.open(encoding="utf-8", errors="replace") as file:
            for number, text in enumerate(file, 1):
                line = parsed(text)
                if line is not None:
                    yield number, line
    except OSError as error:
        raise exceptions.CommandError(f"can't be read: {error.strerror}",
                                      step="logs",
                                      peer=str(path)) from error


def explain_request(request: str, paths: Iterable[pathlib.Path]) -> str:
    """Returns what the logs of all nodes say of a request, and its cause.

    Raises:
        CommandError: No line names the request.
    """
    lines = list(read(paths))
    own = [each for each in lines if each.fields.get("request") == request]
    if not own:
        raise exceptions.CommandError(f"no line names request {request}",
                                      step="explain")
    groups = {
        name for each in own
        for name in (each.fields.get("targets", "") + "," +
                     each.fields.get("target", "")).split(",") if name
    }
    first = min(each.at for each in own)
    last = max(each.at for each in own)
    around = datetime.timedelta(seconds=AROUND_S)
    near = [
        each for each in lines if each not in own and first -
        around <= each.at <= last + around and _concerns(each, groups)
    ]
    near.sort(key=lambda each: abs(each.at - last))
    shown = sorted([*own, *near[:MAX_LINES]], key=lambda each: each.at)
    marked = [("* " if each in own else "  ") + each.shown() for each in shown]
    return "\n".join([*marked, f"cause: {_cause(own)}"])


def _concerns(line: LogLine, groups: set[str]) -> bool:
    if line.event in ("group-open", "runner-down", "runner-answers",
                      "store-lost", "store-regained"):
        return True
    return line.fields.get("group") in groups


def _cause(own: list[LogLine]) -> str:
    ends = [each for each in own if each.event == "request-ended"]
    if not ends:
        return "its end is in none of these logs"
    end = ends[-1]
    reason = end.fields.get("reason", "")
    if not reason:
        tries = len(end.fields.get("targets", "").split(","))
        return f"answered with {end.fields.get('status')} after {tries} tries"
    found = next((text for start, text in CAUSES if reason.startswith(start)),
                 "")
    return f"{reason}: {found}" if found else reason
