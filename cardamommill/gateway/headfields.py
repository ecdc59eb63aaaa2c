"""Fields of a message's head."""

Headers = list[tuple[str, str]]


def first(headers: Headers, name: str) -> str | None:
    """Returns the first field of a name, whatever its case."""
    wanted = name.lower()
    return next((value for key, value in headers if key.lower() == wanted),
                None)
