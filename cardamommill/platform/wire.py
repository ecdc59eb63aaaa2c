"""The base of the models that validate the platform's JSON objects."""

import pydantic

# Precedes what the store gave for a row's value that isn't base64. No UTF-8
# text begins like this, so that each reader of the row, also by way of a peer,
# refuses it.
NOT_BASE64 = b"\xffnot base64: "
# How much is kept of such a value.
MAX_UNREADABLE_BYTES = 100

# For optional objects, which may be absent, null or {}.
NONE_IF_EMPTY = pydantic.BeforeValidator(lambda value: value or None)


class Wire(pydantic.BaseModel):
    """A JSON object of the platform; unknown fields are ignored."""

    model_config = pydantic.ConfigDict(extra="ignore", frozen=True)
