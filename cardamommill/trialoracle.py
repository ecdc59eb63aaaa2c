"""What callers of a trial were told, checked against what really ran."""

from collections.abc import Mapping
import dataclasses
import json

from cardamommill import webclient

OUTCOME = "cardamommill-outcome"
REQUEST = "cardamommill-request"
NOT_RUN = "not-run"


@dataclasses.dataclass(frozen=True, slots=True)
class Told:
    """A caller's answer to a call that may run once only.

    Attributes:
        status: The HTTP status; 0 where no whole answer came.
        outcome: What the answer said of whether it ran.
        body: The answer.
    """

    status: int
    outcome: str
    body: bytes


@dataclasses.dataclass(slots=True)
class Tally:
    """What a trial saw; the last four must stay empty.

    Attributes:
        delivered: Answers that reached their caller whole.
        refused: Final answers that were no success, by status and title.
        broken: Streams that ended in an explicit error.
        silent: Answers that ended as whole and were not.
        foreign: Answers that were another request's.
        doubled: Keys that ran more than once.
        denied: Keys of which ``not-run`` was said and that ran.
    """

    delivered: int = 0
    refused: dict[str, int] = dataclasses.field(default_factory=dict)
    broken: int = 0
    silent: list[str] = dataclasses.field(default_factory=list)
    foreign: list[str] = dataclasses.field(default_factory=list)
    doubled: list[str] = dataclasses.field(default_factory=list)
    denied: list[str] = dataclasses.field(default_factory=list)

    def violations(self) -> list[str]:
        """Returns a line for each broken promise."""
        return [
            f"{name}: {entry}" for name in ("silent", "foreign", "doubled",
                                            "denied")
            for entry in getattr(self, name)
        ]


class Oracle:
    """Remembers what each caller was told; the caller holds a lock."""

    def __init__(self) -> None:
        self.tally = Tally()
        self._told: dict[str, list[Told]] = {}

    def streamed(self, answer: webclient.Answer | None, wanted: int) -> None:
        """Looks at an answer to a streamed request.

        Args:
            answer: What came; None where the connection broke.
            wanted: How many events make it whole.
        """
        if answer is None:
            self.tally.broken += 1
            return
        if answer.status != 200:
            self._refused(answer)
            return
        request_id = answer.headers.get(REQUEST, "")
        lines = [line for line in answer.text().split("\n\n") if line.strip()]
        if any(line.startswith("event: error") for line in lines):
            self.tally.broken += 1
            lines = [each for each in lines if each.startswith("data: ")]
        elif not lines or lines[-1].strip() != "data: [DONE]":
            self.tally.silent.append(request_id)
            return
        else:
            lines.pop()
            self.tally.delivered += 1
            if len(lines) != wanted:
                self.tally.silent.append(f"{request_id} {len(lines)}/{wanted}")
        for number, line in enumerate(lines):
            event = json.loads(line.removeprefix("data: "))
            if (event["request"], event["index"]) != (request_id, number):
                self.tally.foreign.append(f"{request_id} event {line}")

    def called(self, key: str, answer: webclient.Answer | None) -> None:
        """Looks at an answer to a call that may run once only.

        Args:
            key: Its idempotency key.
            answer: What came; None where the connection broke.
        """
        if answer is None:
            self._told.setdefault(key, []).append(Told(0, "", b""))
            return
        self._told.setdefault(key, []).append(
            Told(answer.status, answer.headers.get(OUTCOME, ""), answer.body))
        if answer.status == 200:
            self.tally.delivered += 1
        else:
            self._refused(answer)

    def _refused(self, answer: webclient.Answer) -> None:
        name = f"{answer.status} {_title(answer)}"
        self.tally.refused[name] = self.tally.refused.get(name, 0) + 1

    def evaluate(self, runs: Mapping[str, int]) -> Tally:
        """Compares what was told with what ran.

        Args:
            runs: How often the runners ran each key.
        """
        for key, told in self._told.items():
            if runs.get(key, 0) > 1:
                self.tally.doubled.append(f"{key} ran {runs[key]} times")
            if runs.get(key, 0) and all(
                    each.status and each.outcome == NOT_RUN for each in told):
                self.tally.denied.append(key)
            bodies = {each.body for each in told if each.status == 200}
            if len(bodies) > 1:
                self.tally.foreign.append(f"{key}: answers differ")
        return self.tally


def _title(answer: webclient.Answer) -> str:
    try:
        return str(answer.json()["title"])
    except (ValueError, KeyError, TypeError):
        return "without a problem's title"
