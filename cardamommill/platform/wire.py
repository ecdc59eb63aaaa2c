"""The base of the models that validate the platform's JSON objects."""

import pydantic

# For optional objects, which may be absent, null or {}.
NONE_IF_EMPTY = pydantic.BeforeValidator(lambda value: value or None)


class Wire(pydantic.BaseModel):
    """A JSON object of the platform; unknown fields are ignored."""

    model_config = pydantic.ConfigDict(extra="ignore", frozen=True)
