"""Claims on their way: what `claims.Claims` keeps of each."""

import dataclasses

from cardamommill import requesting, store


@dataclasses.dataclass(slots=True)
class Claim:
    """A claim that is not decided.

    Attributes:
        request_id: The request.
        key: Its row.
        row: What is written there.
        until_ms: When the caller is told that there is no table.
        version: The version that the row must have.
        doubtful: Whether a write of it may have taken effect unseen.
        refused: Whether the caller has been told that it did not run.
    """

    request_id: str
    key: store.Key
    row: store.ClaimRow
    until_ms: int
    version: int = store.ABSENT
    doubtful: bool = False
    refused: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Fetch:
    """A recorded answer that is on its way from the object store."""

    request_id: str
    row: store.ClaimRow
    answer: requesting.RecordedAnswer
