"""Decodes the keys of the operator's rows that evacuate data centres."""

from cardamommill.platform import wirenames


def evacuated_data_centre(key: str) -> str | None:
    """Returns the data centre that a row evacuates, or None for other rows.

    The value of the row is not needed.
    """
    if not key.startswith(wirenames.EVACUATION_PREFIX):
        return None
    return key.removeprefix(wirenames.EVACUATION_PREFIX)
