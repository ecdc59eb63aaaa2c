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


def request_head(method: str, target: str, headers: Headers) -> bytes:
    """Returns the encoded head of a request."""
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers]
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n"


def without_upgrade(headers: Headers) -> Headers:
    """Returns the headers of a request without its offer of a protocol.

    What else the connection header names stays: these headers concern one
    connection only.
    """
    found: Headers = []
    for name, value in headers:
        if name.lower() == "upgrade":
            continue
        if name.lower() == "connection":
            tokens = (each.strip() for each in value.split(","))
            value = ", ".join(
                each for each in tokens if each.lower() != "upgrade")
        found.append((name, value))
    return found


def delimits_body(name: str, value: str) -> bool:
    """Whether a field, in lower case, determines where the body ends."""
    return name == "content-length" or (name == "transfer-encoding" and
                                        "chunked" in value)


def allows_body(method: str, status: int) -> bool:
    """Whether an answer may have a body; see RFC 9112, section 6.3.

    Args:
        method: The method of the request.
        status: The status of the answer.
    """
    return not (method == "HEAD" or status < 200 or status in (204, 304))


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
