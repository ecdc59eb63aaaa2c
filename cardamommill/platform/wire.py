"""What all checked objects of the platform's JSON have in common."""

import pydantic

# For objects that are absent, null or {} where there is none.
NONE_IF_EMPTY = pydantic.BeforeValidator(lambda value: value or None)


class Wire(pydantic.BaseModel):
    """An object on the wire; fields that it doesn't know are passed over."""

    model_config = pydantic.ConfigDict(extra="ignore", frozen=True)
