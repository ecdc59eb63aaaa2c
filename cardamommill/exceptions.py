"""All errors that users of cardamommill may see."""


class CardamommillError(Exception):
    """The base of all errors of this package.

    Attributes:
        message: What went wrong, for a person.
        step: The step at which it arose, such as ``claim`` or ``settings``.
        peer: Who was spoken to, such as an address or a file; may be empty.
    """

    def __init__(self, message: str, *, step: str, peer: str = "") -> None:
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        at_peer = f" ({self.peer})" if self.peer else ""
        return f"{self.step}: {self.message}{at_peer}"


class SettingsError(CardamommillError):
    """A settings file is wrong; the message lists every fault in it."""


class DocumentError(CardamommillError):
    """A service's document is wrong; the message lists every fault in it."""


class RevisionConflict(CardamommillError):
    """Somebody else's change of a document was accepted first."""


class StoreError(CardamommillError):
    """The platform's tables or objects gave no answer that can be used."""


class BadPeerMessage(CardamommillError):
    """Another process sent something that this version does not take."""


class CommandError(CardamommillError):
    """A command could not do what its user asked."""


class InputError(CardamommillError):
    """What a user handed over can't be read, or not all of it."""


class RequestError(CardamommillError):
    """A caller's request can't be taken.

    Attributes:
        status: The HTTP status that says why.
    """

    def __init__(self, message: str, *, status: int, step: str) -> None:
        super().__init__(message, step=step)
        self.status = status


class AnswerOutOfOrder(CardamommillError):
    """A step of an answer does not follow what its caller was sent."""


class ControlFailed(CardamommillError):
    """A decision failed; the node ends rather than serve from half of one."""
