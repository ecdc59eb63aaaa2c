"""The base of the models that validate the platform's JSON objects."""

from typing import Annotated

import pydantic

# Precedes what the store gave for a row's value that isn't base64. No UTF-8
# text begins like this, so that each reader of the row, also by way of a peer,
# refuses it.
NOT_BASE64 = b"\xffnot base64: "
# How much is kept of such a value.
MAX_UNREADABLE_BYTES = 100

# JSON numbers up to this are whole and exact for all writers.
MAX_INT = 2**53

Int = Annotated[int, pydantic.Field(ge=-MAX_INT, le=MAX_INT)]
Count = Annotated[int, pydantic.Field(ge=0, le=MAX_INT)]
Float = Annotated[float,
                  pydantic.Field(ge=-MAX_INT, le=MAX_INT, allow_inf_nan=False)]

# For optional objects, which may be absent, null or {}.
NONE_IF_EMPTY = pydantic.BeforeValidator(lambda value: value or None)


class Wire(pydantic.BaseModel):
    """A JSON object of the platform; unknown fields are ignored."""

    model_config = pydantic.ConfigDict(extra="ignore", frozen=True)
