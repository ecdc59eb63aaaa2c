"""Reads header fields of HTTP messages."""

# No count, time or id has more digits; a longer number is invalid.
MAX_DIGITS = 18

Headers = list[tuple[str, str]]


def first_value(headers: Headers, name: str) -> str | None:
    """Returns the value of the first field of a name, ignoring case."""
    wanted = name.lower()
    return next((value for key, value in headers if key.lower() == wanted),
                None)


def number(text: str | None) -> int | None:
    """Returns the non-negative integer in a field, or None if it has none."""
    digits = (text or "").strip()
    if not digits.isascii() or not digits.isdigit() or (len(digits)
                                                        > MAX_DIGITS):
        return None
    return int(digits)


def delimits_body(name: str, value: str) -> bool:
    """Whether a field, in lower case, determines where the body ends."""
    return name == "content-length" or (name == "transfer-encoding" and
                                        "chunked" in value)


def content_length(headers: Headers) -> int | None:
    """Returns the length of the body, or None if the head doesn't give it."""
    if first_value(headers, "transfer-encoding") is not None:
        return None
    return number(first_value(headers, "content-length"))


def keep_alive_ms(headers: Headers) -> float | None:
    """Returns the peer's keep-alive timeout, or None if it states none."""
    for part in (first_value(headers, "keep-alive") or "").split(","):
        name, _, value = part.strip().partition("=")
        seconds = number(value)
        if name.lower() == "timeout" and seconds is not None:
            return seconds * 1000.0
    return None
