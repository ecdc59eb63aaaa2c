"""The head of a replica's answer."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerHead:
    """The head of a replica's answer.

    Attributes:
        status: The HTTP status.
        headers: All headers, with names in lower case.
    """

    status: int
    headers: tuple[tuple[str, str], ...]

    def get(self, name: str) -> str:
        """Returns a header, or empty text.

        Args:
            name: Its name in lower case.
        """
        return next((value for key, value in self.headers if key == name), "")

    @property
    def framed(self) -> bool:
        """Whether the end of the body can be told from a cut."""
        return bool(
            self.get("content-length") or self.get("transfer-encoding") or
            self.status in (204, 304))


def parse(lines: list[bytes]) -> AnswerHead:
    """Returns the head that its lines make.

    Args:
        lines: Without their ends, the status line first.
    """
    headers = []
    for line in lines[1:]:
        name, _, value = line.decode("latin-1").partition(":")
        headers.append((name.strip().lower(), value.strip()))
    return AnswerHead(int(lines[0].split()[1]), tuple(headers))
