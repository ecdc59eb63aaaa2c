"""Decodes the operator's configuration into the product's own types."""

import hashlib
from typing import Annotated, Any

import pydantic

from cardamommill import exceptions, units
from cardamommill.gateway import model
from cardamommill.platform import wire

DEFAULT_PRIORITY = 5


class _Backend(wire.Wire):
    service: str
    weight: float = 1.0


class _Route(wire.Wire):
    """A route.

    Attributes:
        type: What may be repeated, under the platform's word "type".
        service: The one service; in place of it `backends` may stand.
    """

    name: str = ""
    host: str
    prefix: Annotated[str, pydantic.StringConstraints(pattern=r"^/")]
    type: model.RouteKind
    timeoutMs: int  # noqa: N815
    goalMs: int = 0  # noqa: N815
    gapGoalMs: int = 0  # noqa: N815
    priority: int = DEFAULT_PRIORITY
    service: str = ""
    backends: tuple[_Backend, ...] = ()
    maxAttempts: int = 1  # noqa: N815
    public: bool = False
    resumable: bool = False

    @pydantic.field_validator("backends", mode="before")
    @classmethod
    def _none_for_null(cls, value: Any) -> Any:
        return value or ()


class _Model(wire.Wire):
    name: str
    size: int = 1
    share: float = 0.0
    pace: float = 1.0
    loadS: float = 0.0  # noqa: N815
    warmS: float = 0.0  # noqa: N815


class _Usual(wire.Wire):
    prompt: float = 500.0
    answer: float = 100.0


class _Engine(wire.Wire):
    slots: int = 1
    kvCapacity: int = 0  # noqa: N815
    stride: int = 1
    models: tuple[_Model, ...] = ()
    step_ms: float = 10.0
    per_seq_ms: float = 0.0
    context_per_k: float = 0.0
    read_per_s: float = 10_000.0
    pairs_per_m: float = 0.0
    chunk: int = 2048
    loadsPerS: float = 1.0  # noqa: N815
    loads_at_once: int = 1
    usual: _Usual = _Usual()
    formMs: float = 0.0  # noqa: N815
    report_lag_ms: float = 0.0
    far_x: float = 1.0


class _Service(wire.Wire):
    name: str
    healthPath: str = "/"  # noqa: N815
    maxConns: int = 64  # noqa: N815
    engine: Annotated[_Engine | None, wire.NONE_IF_EMPTY] = None


class _Limits(wire.Wire):
    headerBytes: int = 16_384  # noqa: N815
    bodyBytes: int = 4_194_304  # noqa: N815
    headerMs: int = 3000  # noqa: N815
    idleMs: int = 15_000  # noqa: N815


class _Tenant(wire.Wire):
    name: str
    apiKeys: tuple[str, ...] = ()  # noqa: N815
    priority: int | None = None


class _Configuration(wire.Wire):
    version: int
    routes: tuple[_Route, ...] = ()
    services: tuple[_Service, ...] = ()
    limits: _Limits = _Limits()
    tenants: tuple[_Tenant, ...] = ()


def key_digest(key: str) -> bytes:
    """Returns what is kept of an API key."""
    return hashlib.sha256(key.encode("utf-8", "replace")).digest()


def decode(value: bytes) -> model.Configuration:
    """Returns the configuration that a row holds.

    Args:
        value: The row's value, JSON.

    Raises:
        BadPeerMessage: It is no whole configuration; nothing of it counts.
    """
    try:
        wire = _Configuration.model_validate_json(value)
    except pydantic.ValidationError as error:
        # Not the text that was found: it may hold a key.
        first = error.errors(include_url=False, include_input=False)[0]
        raise exceptions.BadPeerMessage(
            f"{'.'.join(map(str, first['loc']))}: {first['type']}",
            step="decode configuration",
            peer="platform") from None
    return model.Configuration(
        version=wire.version,
        routes=tuple(_route(each) for each in wire.routes),
        services={each.name: _service(each) for each in wire.services},
        limits=model.Limits(wire.limits.headerBytes, wire.limits.bodyBytes,
                            wire.limits.headerMs, wire.limits.idleMs),
        tenants=tuple(
            model.Tenant(each.name, tuple(map(key_digest, each.apiKeys)),
                         each.priority) for each in wire.tenants))


def _route(wire: _Route) -> model.Route:
    backends = tuple((each.service, each.weight) for each in wire.backends)
    return model.Route(name=wire.name,
                       host=wire.host.lower(),
                       prefix=wire.prefix,
                       kind=wire.type,
                       timeout_ms=wire.timeoutMs,
                       goal_ms=wire.goalMs,
                       gap_goal_ms=wire.gapGoalMs,
                       priority=wire.priority,
                       backends=backends or ((wire.service, 1.0),),
                       max_attempts=max(1, wire.maxAttempts),
                       public=wire.public,
                       resumable=wire.resumable)


def _service(wire: _Service) -> model.Service:
    return model.Service(name=wire.name,
                         health_path=wire.healthPath,
                         max_connections=wire.maxConns,
                         engine=_engine(wire.engine) if wire.engine else None)


def _engine(wire: _Engine) -> model.Engine | None:
    if not wire.models:
        return None
    return model.Engine(slots=max(1, wire.slots),
                        kv_tokens=wire.kvCapacity,
                        stride=max(1, wire.stride),
                        step_ms=wire.step_ms,
                        per_sequence_ms=wire.per_seq_ms,
                        context_per_k_ms=wire.context_per_k,
                        read_tokens_per_ms=wire.read_per_s / units.MS_PER_S,
                        pairs_per_m_ms=wire.pairs_per_m,
                        chunk_tokens=wire.chunk,
                        loads_per_s=wire.loadsPerS,
                        loads_at_once=max(1, wire.loads_at_once),
                        form_ms=wire.formMs,
                        report_lag_ms=wire.report_lag_ms,
                        far_factor=max(1.0, wire.far_x),
                        usual_prompt_tokens=wire.usual.prompt,
                        usual_answer_tokens=wire.usual.answer,
                        models=tuple(_model(each) for each in wire.models))


def _model(wire: _Model) -> model.ServedModel:
    return model.ServedModel(name=wire.name,
                             size=max(1, wire.size),
                             share=wire.share,
                             pace=wire.pace,
                             load_ms=wire.loadS * units.MS_PER_S,
                             warm_ms=wire.warmS * units.MS_PER_S)
