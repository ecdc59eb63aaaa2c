"""What all events are, and what joins an answer to its question."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Token:
    """Joins an answer to the action that asked.

    Attributes:
        owner: The controller that asked; others pass the answer by.
        serial: Unique in that controller.
        subject: What it was about, for the controller's own use.
    """

    owner: str
    serial: int
    subject: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """The base of all events."""
