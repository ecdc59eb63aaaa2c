"""The wall time, for people only; no decision looks at it."""

import datetime


def now() -> str:
    """Returns the wall time in ISO 8601, to the millisecond."""
    time = datetime.datetime.now(datetime.UTC)
    return time.isoformat(timespec="milliseconds").replace("+00:00", "Z")


def near(one: str, other: str, within_s: float) -> bool:
    """Tells whether two wall times are near each other.

    Args:
        one: As `now` returns it; an empty one is near to any.
        other: The same.
        within_s: How near, in seconds.
    """
    if not (one and other):
        return True
    try:
        apart = (datetime.datetime.fromisoformat(one) -
                 datetime.datetime.fromisoformat(other))
    except (TypeError, ValueError):
        return False
    return abs(apart.total_seconds()) <= within_s
