"""Which replicas are far slower than others of their service."""

from collections.abc import Iterator, Mapping
import dataclasses
import statistics

from cardamommill import board as board_lib

SMOOTHING = 0.15
# A request without a byte for so long, and for so many times as long as usual,
# isn't only waiting for a slot.
SILENT_MS = 1000
SILENT_SLOWNESS = 8.0
# Below this many samples a replica's speed isn't known.
LEAST_SAMPLES = 3
# So many times the median is a straggler.
EJECT_SLOWNESS = 4.0
# At most this part of a service's replicas is ejected at once: where more are
# slow, the service is, and sending all work to the rest would break it.
EJECT_CAP = 0.2
EJECT_MS = 10_000
MAX_EJECT_MS = 120_000


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A replica's ejection or return, for the journal."""

    replica_id: str
    event: str
    detail: str


def sample(load: board_lib.ReplicaLoad, first_byte_ms: int) -> None:
    """Takes in a time to the first byte."""
    if not load.samples:
        load.first_byte_ms = float(first_byte_ms)
    load.first_byte_ms += SMOOTHING * (first_byte_ms - load.first_byte_ms)
    load.samples += 1


def silent(load: board_lib.ReplicaLoad, waited_ms: int) -> None:
    """Takes in that a request has waited so long and still has no byte.

    A replica that hangs gives no samples at all: its time is at least this.

    Args:
        load: The replica's.
        waited_ms: Since the request was sent.
    """
    if waited_ms > max(SILENT_MS, SILENT_SLOWNESS * load.first_byte_ms):
        load.first_byte_ms = float(waited_ms)
        load.samples = max(load.samples, LEAST_SAMPLES)


def evaluate(loads: Mapping[str, board_lib.ReplicaLoad],
             now_ms: int) -> Iterator[Change]:
    """Compares the replicas of a service; ejects and takes back.

    Args:
        loads: By replica; slowness and ejection are written.
        now_ms: The local monotonic time.
    """
    measured = [
        load.first_byte_ms
        for load in loads.values()
        if load.samples >= LEAST_SAMPLES and load.ejected_until_ms <= now_ms
    ]
    if len(measured) < 2:
        return
    median_ms = max(1.0, statistics.median_low(measured))
    ejected = sum(load.ejected_until_ms > now_ms for load in loads.values())
    room = int(len(loads) * EJECT_CAP) - ejected
    for replica_id, load in loads.items():
        if load.ejected_until_ms > now_ms:
            continue
        if load.samples >= (1 if load.probing else LEAST_SAMPLES):
            load.slowness = max(1.0, load.first_byte_ms / median_ms)
            if load.slowness < EJECT_SLOWNESS:
                if load.probing:
                    load.probing = False
                    load.ejections = 0
                    yield Change(replica_id, "ejection-ended",
                                 f"{load.slowness:.1f} times the median")
            elif room > 0:
                room -= 1
                yield _eject(replica_id, load, median_ms, now_ms)


def _eject(replica_id: str, load: board_lib.ReplicaLoad, median_ms: float,
           now_ms: int) -> Change:
    for_ms = min(MAX_EJECT_MS, EJECT_MS * 2**min(load.ejections, 8))
    detail = (f"first byte after {load.first_byte_ms:.0f} ms, "
              f"{load.slowness:.1f} times the median {median_ms:.0f} ms; "
              f"nothing is sent for {for_ms} ms")
    load.ejected_until_ms = now_ms + for_ms
    load.ejections += 1
    # When that time is over it gets one request at a time until it has shown
    # that it is fast again.
    load.probing = True
    # Its old times say nothing about how it will be when it comes back.
    load.samples = 0
    load.slowness = 1.0
    load.first_byte_ms = 0.0
    return Change(replica_id, "ejected", detail)
