"""The settings of a node: one YAML file, checked whole."""

import pathlib
from typing import Annotated

import pydantic

from cardamommill import checking, fleet, periods


class CallerSide(checking.Checked):
    """Limits towards callers.

    Attributes:
        address: Where callers are answered.
        requests_in_progress: How many at once.
        header_bytes: The largest request head.
        body_bytes: The largest request body, whatever a document allows.
        read_timeout_ms: How long a request may take to arrive whole.
        idle_timeout_ms: How long a connection may stand idle.
        connections: Connections at once; more are closed at once.
        workers: Threads that look into requests; none waits for an answer.
        held_bytes: What requests of all callers may take together.
        unsent_bytes: What may wait for a caller that does not read its
            stream; with more the caller is cut off.
        answer_bytes: The largest answer that is not a stream.
        tls_certificate: A PEM file; empty for plain HTTP.
        tls_key: A PEM file.
    """

    address: checking.Address
    requests_in_progress: Annotated[int, pydantic.Field(ge=1, le=4096)] = 256
    header_bytes: Annotated[int, pydantic.Field(ge=256)] = 16_384
    body_bytes: Annotated[int, pydantic.Field(ge=1)] = 8_388_608
    read_timeout_ms: Annotated[int, pydantic.Field(ge=1)] = 10_000
    idle_timeout_ms: Annotated[int, pydantic.Field(ge=1)] = 30_000
    connections: Annotated[int, pydantic.Field(ge=1, le=65_536)] = 1024
    workers: Annotated[int, pydantic.Field(ge=1, le=64)] = 8
    held_bytes: Annotated[int, pydantic.Field(ge=1024)] = 67_108_864
    unsent_bytes: Annotated[int, pydantic.Field(ge=1024)] = 1_048_576
    answer_bytes: Annotated[int, pydantic.Field(ge=1024)] = 8_388_608
    tls_certificate: str = ""
    tls_key: str = ""


class OperatorSide(checking.Checked):
    """The operators' port.

    Attributes:
        address: Where operators are answered.
        key_sha256: The hexadecimal SHA-256 of the operators' key.
    """

    address: checking.Address
    key_sha256: Annotated[str,
                          pydantic.StringConstraints(pattern=r"^[0-9a-f]{64}$")]


class PeerSide(checking.Checked):
    """The port for other nodes.

    Attributes:
        address: Where other nodes are answered.
        known: Addresses of other nodes for when the table can't be read.
        message_bytes: The largest message taken.
        tls_certificate: A PEM file for mutual TLS; empty for none.
        tls_key: A PEM file.
        tls_authority: A PEM file with the authority that signs nodes.
    """

    address: checking.Address
    known: tuple[checking.Address, ...] = ()
    message_bytes: Annotated[int, pydantic.Field(ge=1024)] = 1_048_576
    tls_certificate: str = ""
    tls_key: str = ""
    tls_authority: str = ""


class Platform(checking.Checked):
    """The platform's service.

    Attributes:
        address: Its tables, objects and list of VMs.
    """

    address: checking.Address


class Tracing(checking.Checked):
    """Where spans go.

    Attributes:
        file: A file to append spans to, one JSON object a line.
        otlp_address: An OTLP/HTTP collector; empty for none.
    """

    file: str = ""
    otlp_address: str = ""


class Settings(checking.Checked):
    """All settings of a node.

    Attributes:
        node: The node's name, unique in the fleet.
        data_centre: Where it stands.
        region: The region of that data centre.
        callers: Limits towards callers.
        operators: The operators' port.
        peers: The port for other nodes.
        platform: The platform's service.
        tracing: Where spans go.
        logging: What is logged.
        timing: Periods that differ from `periods.PERIODS`, in milliseconds.
    """

    node: checking.Name
    data_centre: checking.Name
    region: checking.Name
    callers: CallerSide
    operators: OperatorSide
    peers: PeerSide
    platform: Platform
    tracing: Tracing = Tracing()
    logging: checking.Logging = checking.Logging()
    timing: dict[str, int] = {}

    @pydantic.field_validator("timing")
    @classmethod
    def _periods_are_known_and_safe(cls, value: dict[str,
                                                     int]) -> dict[str, int]:
        known = {period.name for period in periods.PERIODS}
        unknown = sorted(set(value) - known)
        if unknown:
            raise ValueError(f"no such period: {', '.join(unknown)}")
        broken = [
            f"{' + '.join(rule.smaller)} must be less than {rule.larger}, "
            f"or else this breaks: {rule.promise}"
            for rule in periods.violations(periods.Timing(**value))
        ]
        if broken:
            raise ValueError("; ".join(broken))
        return value

    def timing_in_force(self) -> periods.Timing:
        """Returns the periods in force."""
        return periods.Timing(**self.timing)

    def identity(self, incarnation: int) -> fleet.NodeIdentity:
        """Returns who this node is in the given life of its process."""
        return fleet.NodeIdentity(self.node, self.data_centre, self.region,
                                  incarnation, self.peers.address,
                                  self.callers.address)


def load(path: pathlib.Path) -> Settings:
    """Returns the settings in a file.

    Args:
        path: A YAML file.

    Raises:
        SettingsError: Lists every fault in the file.
    """
    return checking.load_as(Settings, path)
