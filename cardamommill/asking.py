"""Asks the other nodes of a data centre what they know of a subject."""

from collections.abc import Callable, Iterable, Mapping
from concurrent import futures
import dataclasses
from typing import Annotated, Self

import pydantic

from cardamommill import explaining, walltime

THREADS = 8
MAX_LINES = 500
SAME_WITHIN_S = 2.0

Ask = Callable[[str, bytes], bytes | None]


class Question(pydantic.BaseModel):
    """What one node asks another.

    Attributes:
        kind: A key of `explaining.EXPLAINERS`.
        name: The subject's id.
    """

    model_config = pydantic.ConfigDict(extra="forbid")

    kind: Annotated[str, pydantic.StringConstraints(max_length=16)]
    name: Annotated[str, pydantic.StringConstraints(max_length=256)]


_ANSWER: pydantic.TypeAdapter[explaining.Explanation] = pydantic.TypeAdapter(
    explaining.Explanation)


class PeerAsker:
    """Asks all peers at once; a context manager that owns its threads."""

    def __init__(self, ask: Ask) -> None:
        """Makes it.

        Args:
            ask: Sends bytes to a peer's address and returns its answer, or
                None where there was none in time.
        """
        self._ask = ask
        self._pool = futures.ThreadPoolExecutor(THREADS, "explain")

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *exception: object) -> None:
        self._pool.shutdown(cancel_futures=True)

    def ask(self, addresses: Mapping[str, str],
            question: Question) -> dict[str, explaining.Explanation | None]:
        """Returns each node's answer, None where it gave none.

        Args:
            addresses: Peers' addresses by the node's name.
            question: What to ask.
        """
        data = question.model_dump_json().encode()
        waiting = {
            node: self._pool.submit(self._ask, address, data)
            for node, address in addresses.items()
        }
        return {node: _decoded(each.result()) for node, each in waiting.items()}


def _decoded(data: bytes | None) -> explaining.Explanation | None:
    try:
        return None if data is None else _ANSWER.validate_json(data)
    except ValueError:
        return None


def answer(data: bytes, explain: Callable[[str, str],
                                          explaining.Explanation]) -> bytes:
    """Returns the answer to another node's question.

    Args:
        data: What came.
        explain: Explains a subject by kind and name, from this node alone.

    Raises:
        ValueError: It is no question of this version.
    """
    question = Question.model_validate_json(data)
    if question.kind not in explaining.EXPLAINERS:
        raise ValueError(f"no such kind: {question.kind!r}")
    return _ANSWER.dump_json(explain(question.kind, question.name))


def merged(
    own: explaining.Explanation,
    others: Mapping[str,
                    explaining.Explanation | None]) -> explaining.Explanation:
    """Returns one explanation of what several nodes know.

    What is now is taken from the node itself, or else from the first that
    knows anything; what happened is taken from all, each line once.

    Args:
        own: Of the node that was asked.
        others: Of the others, None where there was no answer.
    """
    told = [own] + [each for each in others.values() if each is not None]
    known = [each for each in told if each.known]
    silent = sorted(node for node, each in others.items() if each is None)
    now = known[0].now if known else ()
    if silent:
        now = (*now, f"No answer came from {', '.join(silent)}: what only they "
               "know is missing here.")
    return dataclasses.replace(own,
                               known=bool(known),
                               now=now,
                               history=_lines(told))


def _lines(
        told: Iterable[explaining.Explanation]) -> tuple[explaining.Line, ...]:
    kept: list[explaining.Line] = []
    all_lines = [line for each in told for line in each.history]
    # Lines without a time come last, so that their dated twins win.
    for line in sorted(all_lines, key=lambda line: (not line.at, line.at)):
        if not any(_same(line, other) for other in kept):
            kept.append(line)
    return tuple(sorted(kept, key=lambda line: line.at)[-MAX_LINES:])


def _same(one: explaining.Line, other: explaining.Line) -> bool:
    # A change stands in the row and in the journal of the node that made it,
    # and every node shows the row.
    return ((one.event, one.detail) == (other.event, other.detail) and
            walltime.near(one.at, other.at, SAME_WITHIN_S))
