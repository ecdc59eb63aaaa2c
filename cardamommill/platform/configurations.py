"""Decodes the operator's configuration into the types of `domain.model`."""

from collections.abc import Iterable, Iterator
import hashlib
from typing import Annotated, Any

import pydantic

from cardamommill import units
from cardamommill.domain import model
from cardamommill.platform import configurationfaults, wire

DEFAULT_PRIORITY = 5


class _Backend(wire.Wire):
    service: str
    weight: wire.Float = 1.0


class _Route(wire.Wire):
    """A route from a host and path prefix to services.

    Attributes:
        type: The route's kind, which says whether requests may be repeated;
            the platform's name for it is "type".
        service: The only service; unused if `backends` lists services.
    """

    name: str = ""
    host: str
    prefix: Annotated[str, pydantic.StringConstraints(pattern=r"^/")]
    type: model.RouteKind
    timeoutMs: wire.Int  # noqa: N815
    goalMs: wire.Int = 0  # noqa: N815
    gapGoalMs: wire.Int = 0  # noqa: N815
    priority: wire.Int = DEFAULT_PRIORITY
    service: str = ""
    backends: tuple[_Backend, ...] = ()
    maxAttempts: wire.Int = 1  # noqa: N815
    public: bool = False
    resumable: bool = False
    allowedRegions: tuple[str, ...] = ()  # noqa: N815

    @pydantic.field_validator("backends", "allowedRegions", mode="before")
    @classmethod
    def _empty_if_null(cls, value: Any) -> Any:
        return value or ()


class _Model(wire.Wire):
    """A model that an engine serves; see `model.ServedModel`."""

    name: str
    size: wire.Int = 1
    share: wire.Float = 0.0
    pace: wire.Float = 1.0
    loadS: wire.Float = 0.0  # noqa: N815
    warmS: wire.Float = 0.0  # noqa: N815


class _Usual(wire.Wire):
    """Tokens of the prompt and of the answer of a usual request."""

    prompt: wire.Float = 500.0
    answer: wire.Float = 100.0


class _Engine(wire.Wire):
    """The parameters of a service's engine; see `model.Engine`."""

    slots: wire.Int = 1
    kvCapacity: wire.Int = 0  # noqa: N815
    stride: wire.Int = 1
    models: tuple[_Model, ...] = ()
    step_ms: wire.Float = 10.0
    per_seq_ms: wire.Float = 0.0
    context_per_k: wire.Float = 0.0
    read_per_s: wire.Float = 10_000.0
    pairs_per_m: wire.Float = 0.0
    chunk: wire.Int = 2048
    loadsPerS: wire.Float = 1.0  # noqa: N815
    loads_at_once: wire.Int = 1
    usual: _Usual = _Usual()
    formMs: wire.Float = 0.0  # noqa: N815
    report_lag_ms: wire.Float = 0.0
    far_x: wire.Float = 1.0


class _Service(wire.Wire):
    name: str
    healthPath: str = "/"  # noqa: N815
    maxConns: wire.Int = 64  # noqa: N815
    coldS: wire.Float = 0.0  # noqa: N815
    coldPerS: wire.Float = 0.0  # noqa: N815
    engine: Annotated[_Engine | None, wire.NONE_IF_EMPTY] = None


class _Limits(wire.Wire):
    headerBytes: wire.Int = 16_384  # noqa: N815
    bodyBytes: wire.Int = 4_194_304  # noqa: N815
    headerMs: wire.Int = 3000  # noqa: N815
    idleMs: wire.Int = 15_000  # noqa: N815


class _Tenant(wire.Wire):
    name: str
    apiKeys: tuple[str, ...] = ()  # noqa: N815
    priority: wire.Int | None = None
    allowedRegions: tuple[str, ...] = ()  # noqa: N815

    @pydantic.field_validator("allowedRegions", mode="before")
    @classmethod
    def _empty_if_null(cls, value: Any) -> Any:
        return value or ()


class _Configuration(wire.Wire):
    """A configuration.

    Attributes:
        tenants: The client accounts; None if the field is absent, so that no
            request needs a key. An empty list removes the last account.
    """

    version: wire.Int
    routes: tuple[_Route, ...] = ()
    services: tuple[_Service, ...] = ()
    limits: _Limits = _Limits()
    tenants: tuple[_Tenant, ...] | None = None

    @pydantic.field_validator("tenants", mode="before")
    @classmethod
    def _empty_if_null(cls, value: Any) -> Any:
        return () if value is None else value


class _Accounts(wire.Wire):
    """The part of a configuration that grants and revokes API keys."""

    version: wire.Int
    tenants: tuple[Any, ...] | None = None

    @pydantic.field_validator("tenants", mode="before")
    @classmethod
    def _empty_if_null(cls, value: Any) -> Any:
        return () if value is None else value


def key_digest(key: str) -> bytes:
    """Returns the SHA-256 digest that is kept in place of an API key."""
    return hashlib.sha256(key.encode("utf-8", "replace")).digest()


def decode(value: bytes) -> model.Configuration:
    """Returns the configuration that a row of the store holds.

    Args:
        value: The row's value, JSON.

    Raises:
        UndecodableConfiguration: The value is incomplete or invalid; no part
            of it is used.
    """
    try:
        configuration = _Configuration.model_validate_json(value)
    except pydantic.ValidationError as error:
        raise _undecodable(error) from None
    return model.Configuration(
        version=configuration.version,
        routes=tuple(_route(each) for each in configuration.routes),
        services={each.name: _service(each) for each in configuration.services},
        limits=model.Limits(configuration.limits.headerBytes,
                            configuration.limits.bodyBytes,
                            configuration.limits.headerMs,
                            configuration.limits.idleMs),
        tenants=tuple(map(_tenant, configuration.tenants or ())),
        needs_keys=configuration.tenants is not None)


def decode_accounts(value: bytes) -> model.ClientAccounts | None:
    """Returns the client accounts of a configuration that can't be decoded.

    An account that can't be decoded itself is left out, so that its keys do not
    work.

    Args:
        value: The row's value, JSON.

    Returns:
        None if it is unknown which keys the configuration revokes.
    """
    try:
        found = _Accounts.model_validate_json(value)
    except pydantic.ValidationError:
        return None
    return model.ClientAccounts(found.version,
                                tuple(_sound_tenants(found.tenants or ())),
                                found.tenants is not None)


def _sound_tenants(found: Iterable[Any]) -> Iterator[model.Tenant]:
    for each in found:
        try:
            tenant = _Tenant.model_validate(each)
        except pydantic.ValidationError:
            continue
        yield _tenant(tenant)


def _tenant(tenant: _Tenant) -> model.Tenant:
    return model.Tenant(tenant.name, tuple(map(key_digest, tenant.apiKeys)),
                        tenant.priority, tenant.allowedRegions)


def _undecodable(
    error: pydantic.ValidationError
) -> configurationfaults.UndecodableConfiguration:
    """Returns the first fault, without the input, which may hold an API key."""
    first = error.errors(include_url=False, include_context=False)[0]
    field = ".".join(map(str, first["loc"]))
    found = configurationfaults.kind_of(first["input"])
    if first["type"] == "missing":
        found = "nothing"
    return configurationfaults.UndecodableConfiguration(
        f"{field}: {first['type']}",
        configurationfaults.Fault(field, found, first["msg"]))


def _route(route: _Route) -> model.Route:
    backends = tuple((each.service, each.weight) for each in route.backends)
    return model.Route(name=route.name,
                       host=route.host.lower(),
                       prefix=route.prefix,
                       kind=route.type,
                       timeout_ms=route.timeoutMs,
                       goal_ms=route.goalMs,
                       gap_goal_ms=route.gapGoalMs,
                       priority=route.priority,
                       backends=backends or ((route.service, 1.0),),
                       max_attempts=max(1, route.maxAttempts),
                       public=route.public,
                       resumable=route.resumable,
                       allowed_regions=route.allowedRegions)


def _service(service: _Service) -> model.Service:
    return model.Service(
        name=service.name,
        health_path=service.healthPath,
        max_connections=service.maxConns,
        engine=_engine(service.engine) if service.engine else None,
        cold_s=service.coldS,
        cold_per_s=service.coldPerS)


def _engine(engine: _Engine) -> model.Engine | None:
    # Without models there is nothing to form groups for: a plain service.
    if not engine.models:
        return None
    return model.Engine(slots=max(1, engine.slots),
                        kv_tokens=engine.kvCapacity,
                        stride=max(1, engine.stride),
                        step_ms=engine.step_ms,
                        per_sequence_ms=engine.per_seq_ms,
                        context_per_k_ms=engine.context_per_k,
                        read_tokens_per_ms=engine.read_per_s / units.MS_PER_S,
                        pairs_per_m_ms=engine.pairs_per_m,
                        chunk_tokens=engine.chunk,
                        loads_per_s=engine.loadsPerS,
                        loads_at_once=max(1, engine.loads_at_once),
                        form_ms=engine.formMs,
                        report_lag_ms=engine.report_lag_ms,
                        far_factor=max(1.0, engine.far_x),
                        usual_prompt_tokens=engine.usual.prompt,
                        usual_answer_tokens=engine.usual.answer,
                        models=tuple(_model(each) for each in engine.models))


def _model(served: _Model) -> model.ServedModel:
    return model.ServedModel(name=served.name,
                             size=max(1, served.size),
                             share=served.share,
                             pace=served.pace,
                             load_ms=served.loadS * units.MS_PER_S,
                             warm_ms=served.warmS * units.MS_PER_S)
