"""The settings of an entry VM on a platform that keeps groups' runners."""

import pathlib
from typing import Annotated

import pydantic

from cardamommill import checking


class Bounds(checking.Checked):
    """What the operators promise their users; the node keeps to it.

    Attributes:
        drain_ms: After this a leaving runner gets no request.
        grace_s: Between the word to stop and the end by force.
        config_apply_ms: After this an accepted configuration is in force.
        revoke_ms: After this a key that was taken away does not work.
        retry_ratio: Repeats a request, over all nodes.
        retry_window_s: The window of that ratio.
        retry_slack: Repeats beyond the ratio.
        stall_ms: What a group stands still after it lost a member.
        pass_ms: How late an event may leave after it came.
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


class EntrySettings(checking.Checked):
    """All settings of the process of an entry VM.

    Attributes:
        node: The node's name.
        data_centre: Where it stands.
        data_centres: All of them.
        ip: Its address, for other nodes.
        callers: Where callers are answered.
        ready: Where the balancer asks whether to send callers here.
        peer_port: The port for datagrams between nodes, the same on all.
        seeds: Control addresses of some nodes; they may be stale.
        platform: The store.
        metrics_port: Where figures are read.
        heartbeat_ms: How often runners tell the store of themselves.
        bounds: What is promised.
        logging: What is logged.
    """

    node: checking.Name
    data_centre: checking.Name
    data_centres: tuple[checking.Name, ...]
    ip: Annotated[str,
                  pydantic.StringConstraints(
                      pattern=r"^(\d{1,3}\.){3}\d{1,3}$")]
    callers: checking.Address
    ready: checking.Address
    peer_port: Annotated[int, pydantic.Field(ge=1, le=65_535)]
    seeds: tuple[checking.Address, ...] = ()
    platform: checking.Address
    metrics_port: Annotated[int, pydantic.Field(ge=0, le=65_535)] = 9464
    heartbeat_ms: Annotated[float, pydantic.Field(gt=0)] = 1200
    bounds: Bounds = Bounds()
    logging: checking.Logging = checking.Logging()


def address(text: str) -> tuple[str, int]:
    """Returns host and port."""
    host, _, port = text.rpartition(":")
    return host, int(port)


def load(path: pathlib.Path) -> EntrySettings:
    """Returns the settings in a file.

    Raises:
        SettingsError: Lists every fault in the file.
    """
    return checking.load_as(EntrySettings, path)
