"""Settings of the process of an entry VM."""

import pathlib
from typing import Annotated

import pydantic

from cardamommill import checking


class Bounds(checking.Checked):
    """Guarantees that the operators give and the node has to meet.

    Attributes:
        drain_ms: Time after which a leaving runner gets no requests.
        grace_s: Time between SIGTERM and forced termination.
        config_apply_ms: Time within which an accepted configuration takes
            effect.
        revoke_ms: Time after which a revoked key is no longer accepted.
        retry_ratio: Maximum ratio of retries to requests, over all nodes.
        retry_window_s: Window over which that ratio is taken.
        retry_slack: Number of retries allowed beyond the ratio.
        stall_ms: How long a group stalls after it has lost a member.
        pass_ms: Maximum delay between receiving and forwarding an event.
        cold_overage: A cold runner may get this many times its rate in any one
            second,
        cold_slack: plus this many requests.
        evacuate_ms: Time after which the runners of an evacuated data centre
            get no requests.
    """

    drain_ms: Annotated[float, pydantic.Field(gt=0)] = 2000
    grace_s: Annotated[float, pydantic.Field(gt=0)] = 8
    config_apply_ms: Annotated[float, pydantic.Field(gt=0)] = 2000
    revoke_ms: Annotated[float, pydantic.Field(gt=0)] = 5000
    retry_ratio: Annotated[float, pydantic.Field(ge=0)] = 0.2
    retry_window_s: Annotated[float, pydantic.Field(gt=0)] = 10
    retry_slack: Annotated[float, pydantic.Field(ge=0)] = 0
    stall_ms: Annotated[float, pydantic.Field(gt=0)] = 4000
    pass_ms: Annotated[float, pydantic.Field(gt=0)] = 120
    cold_overage: Annotated[float, pydantic.Field(ge=1)] = 1
    cold_slack: Annotated[float, pydantic.Field(ge=0)] = 0
    evacuate_ms: Annotated[float, pydantic.Field(gt=0)] = 5000


class EntrySettings(checking.Checked):
    """All settings of the process of an entry VM.

    Attributes:
        node: The node's name.
        data_centre: The node's data centre.
        data_centres: All data centres.
        regions: The region of each data centre.
        ip: The node's address, for other nodes.
        callers: Address on which requests of callers are accepted.
        ready: Address of the readiness endpoint for the load balancer.
        peer_port: Port for traffic between nodes, the same on all of them.
        seeds: Addresses of some nodes, which may be stale. Only the host is
            used, with `peer_port`.
        platform: Address of the platform's store.
        memory_mb: Memory beyond which the process is killed; 0 if unlimited.
        metrics_port: Port of the metrics endpoint; 0 disables it.
        heartbeat_ms: Interval at which runners write to the store.
        admission_control: Whether requests that compete for a model are
            admitted by priority and client account.
        bounds: Service guarantees.
        logging: Logging settings.
    """

    node: checking.Name
    data_centre: checking.Name
    data_centres: tuple[checking.Name, ...]
    regions: dict[checking.Name, checking.Name] = {}
    ip: Annotated[str,
                  pydantic.StringConstraints(
                      pattern=r"^(\d{1,3}\.){3}\d{1,3}$")]
    callers: checking.Address
    ready: checking.Address
    peer_port: Annotated[int, pydantic.Field(ge=1, le=65_535)]
    seeds: tuple[checking.Address, ...] = ()
    platform: checking.Address
    memory_mb: Annotated[float, pydantic.Field(ge=0)] = 0
    metrics_port: Annotated[int, pydantic.Field(ge=0, le=65_535)] = 9464
    heartbeat_ms: Annotated[float, pydantic.Field(gt=0)] = 1200
    admission_control: bool = False
    bounds: Bounds = Bounds()
    logging: checking.Logging = checking.Logging()

    @property
    def named_data_centres(self) -> frozenset[str]:
        """All data centres that any setting names."""
        return frozenset(self.data_centres) | self.regions.keys()


def address(text: str) -> tuple[str, int]:
    """Returns host and port of an address written as host:port."""
    host, _, port = text.rpartition(":")
    return host, int(port)


def load(path: pathlib.Path) -> EntrySettings:
    """Returns the settings in a file.

    Raises:
        SettingsError: Lists every error in the file.
    """
    return checking.load_as(EntrySettings, path)
