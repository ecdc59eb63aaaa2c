"""Where requests lose time, from the logs of all nodes."""

import collections
from collections.abc import Iterable, Sequence
import dataclasses
import enum
import pathlib

from cardamommill import exceptions, loglines

MAX_GROUPS = 10
MAX_FAULTS = 10
BAR_WIDTH = 40


class Cause(enum.Enum):
    """How a request ended, and for a late one why it was late."""

    IN_TIME = "in time"
    # No group could be in time when it was sent.
    OVERLOADED = "overloaded"
    # A runner before the last one refused or failed it.
    RETRIED = "retried"
    # It should have been in time by the forecast.
    FORECAST = "forecast"
    # Its service has no forecast.
    SLOW = "slow runner"
    REFUSED = "refused"
    FAILED = "failed"
    CALLER_LEFT = "caller left"


LATE = (Cause.OVERLOADED, Cause.RETRIED, Cause.FORECAST, Cause.SLOW)
_ENDED = "request-ended"
_REFUSALS = frozenset({408, 421, 429, 503})
_LEFT = "caller left"


@dataclasses.dataclass(frozen=True, slots=True)
class Ended:
    """The end of a request, as its node told it.

    Attributes:
        second: When, in whole seconds of the wall clock.
        route: The route.
        first_ms: When its first event, or its whole answer, came.
        goal_ms: When it was due; 0 where nothing is due.
        cause: How it ended.
        group: Where it ran last; empty for none.
    """

    second: int
    route: str
    first_ms: float
    goal_ms: float
    cause: Cause
    group: str


def read(paths: Iterable[pathlib.Path]) -> tuple[list[Ended], list[str]]:
    """Returns the ends of all requests, and what could not be read.

    Raises:
        CommandError: A file can't be read.
    """
    found: list[Ended] = []
    faults: list[str] = []
    for path in paths:
        lines = 0
        for number, line in loglines.numbered(path):
            lines += 1
            if line.event != _ENDED:
                continue
            try:
                found.append(_ended(line))
            except (KeyError, ValueError) as error:
                faults.append(f"{path}:{number}: {_ENDED} without a sound "
                              f"{_field(error)}")
        if not lines:
            faults.append(f"{path}: no line of a node's log")
    return found, faults


def _field(error: Exception) -> str:
    return str(error.args[0]) if isinstance(error, KeyError) else str(error)


def _ended(line: loglines.LogLine) -> Ended:
    first_ms = _number(line, "first_event_ms", line.fields.get("took_ms", ""))
    goal_ms = _number(line, "goal_ms", "0")
    targets = line.fields.get("targets", "")
    return Ended(int(line.at.timestamp()), line.fields.get("route", ""),
                 first_ms, goal_ms, _cause(line, first_ms, goal_ms),
                 line.fields.get("answered_by",
                                 targets.rpartition(",")[2]))


def _number(line: loglines.LogLine, name: str, default: str) -> float:
    try:
        return float(line.fields.get(name, default))
    except ValueError:
        raise ValueError(name) from None


def _cause(line: loglines.LogLine, first_ms: float, goal_ms: float) -> Cause:
    status = int(_number(line, "status", ""))
    if line.fields.get("reason", "") == _LEFT:
        return Cause.CALLER_LEFT
    if status in _REFUSALS:
        return Cause.REFUSED
    if not 200 <= status < 300 or "reason" in line.fields:
        return Cause.FAILED
    if not goal_ms or first_ms <= goal_ms:
        return Cause.IN_TIME
    if "," in line.fields.get("targets", ""):
        return Cause.RETRIED
    if line.fields.get("patient") == str(True):
        return Cause.OVERLOADED
    return Cause.FORECAST if "expected_ms" in line.fields else Cause.SLOW


def report(ends: Sequence[Ended]) -> str:
    """Returns tables by route, by second and by group."""
    return "\n\n".join([_by_route(ends), _by_second(ends), _by_group(ends)])


def refuse(faults: Sequence[str]) -> None:
    """Raises InputError where some lines could not be read."""
    if not faults:
        return
    shown = [*faults[:MAX_FAULTS]]
    if len(faults) > len(shown):
        shown.append(f"and {len(faults) - len(shown)} more")
    raise exceptions.InputError("\n".join(["not all could be read:", *shown]),
                                step="latency")


def _by_route(ends: Sequence[Ended]) -> str:
    by_route: dict[str, list[Ended]] = collections.defaultdict(list)
    for each in ends:
        by_route[each.route or "(none)"].append(each)
    rows = [("ROUTE", "REQUESTS", "GOAL MS", "P50 MS", "P99 MS",
             *(each.value.upper() for each in Cause))]
    for route, found in sorted(by_route.items()):
        served_ms = sorted(each.first_ms
                           for each in found
                           if each.cause is Cause.IN_TIME or each.cause in LATE)
        counts = collections.Counter(each.cause for each in found)
        rows.append((route, str(len(found)), f"{found[-1].goal_ms:.0f}",
                     _quantile(served_ms, 0.5), _quantile(served_ms, 0.99),
                     *(str(counts[each]) for each in Cause)))
    return _table(rows)


def _quantile(ordered: Sequence[float], part: float) -> str:
    if not ordered:
        return "-"
    return f"{ordered[min(len(ordered) - 1, int(part * len(ordered)))]:.0f}"


def _by_second(ends: Sequence[Ended]) -> str:
    """Draws a bar a second: served in time, late, and not served."""
    seconds: dict[int, list[Ended]] = collections.defaultdict(list)
    for each in ends:
        seconds[each.second].append(each)
    most = max(map(len, seconds.values()), default=1)
    rows = [("SECOND", "REQUESTS", "LATE", "UNSERVED",
             "# IN TIME, + LATE, . UNSERVED")]
    first = min(seconds, default=0)
    for second in sorted(seconds):
        found = seconds[second]
        late = sum(each.cause in LATE for each in found)
        in_time = sum(each.cause is Cause.IN_TIME for each in found)
        unserved = len(found) - late - in_time
        bar = "".join(mark * round(BAR_WIDTH * count / most)
                      for mark, count in (("#", in_time), ("+", late),
                                          (".", unserved)))
        rows.append((str(second - first), str(len(found)), str(late),
                     str(unserved), bar))
    return _table(rows)


def _by_group(ends: Sequence[Ended]) -> str:
    """Lists the groups with the most late requests."""
    groups: dict[str, list[Ended]] = collections.defaultdict(list)
    for each in ends:
        if each.group and each.cause in LATE:
            groups[each.group].append(each)
    rows = [("GROUP", "LATE", "MEDIAN LATENESS MS")]
    ranked = sorted(groups.items(), key=lambda each: (-len(each[1]), each[0]))
    for group, found in ranked[:MAX_GROUPS]:
        late_ms = sorted(each.first_ms - each.goal_ms for each in found)
        rows.append((group, str(len(found)), _quantile(late_ms, 0.5)))
    return _table(rows)


def _table(rows: Sequence[tuple[str, ...]]) -> str:
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    return "\n".join("  ".join(
        cell.ljust(width)
        for cell, width in zip(row, widths, strict=True)).rstrip()
                     for row in rows)
