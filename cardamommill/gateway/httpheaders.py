"""Fields of a message's head."""

# More are no count, time or id of any kind.
MAX_DIGITS = 18

Headers = list[tuple[str, str]]


def first_value(headers: Headers, name: str) -> str | None:
    """Returns the first field of a name, whatever its case."""
    wanted = name.lower()
    return next((value for key, value in headers if key.lower() == wanted),
                None)


def number(text: str | None) -> int | None:
    """Returns the number that a field holds, if it holds one."""
    digits = (text or "").strip()
    if not digits.isascii() or not digits.isdigit() or (len(digits)
                                                        > MAX_DIGITS):
        return None
    return int(digits)
