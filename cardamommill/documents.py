"""The document of a service: the only way to change what runs."""

import enum
import functools
from typing import Annotated

import pydantic

from cardamommill import checking, exceptions, yamltext

MAX_REPLICA_VMS = 32
MAX_DOCUMENT_BYTES = 262_144


class ServiceKind(enum.StrEnum):
    """What stands behind a service."""

    MODEL = "model"
    PLAIN = "plain"


class FabricRule(enum.StrEnum):
    """Whether a replica's VMs must share a fabric domain."""

    REQUIRE = "require"
    PREFER = "prefer"


class Engine(checking.Checked):
    """What this service's backend servers can do.

    Attributes:
        checks_fencing: Whether they refuse an order with an old number.
        checks_dispatch: Whether they refuse a request for another replica
            or epoch than their own.
        can_resume: Whether a stream can go on at another replica.
    """

    checks_fencing: bool = True
    checks_dispatch: bool = True
    can_resume: bool = False


class Capacity(checking.Checked):
    """What a service gets in one data centre.

    Attributes:
        replicas: How many replicas are wanted.
        spares: How many spare VMs, with weights loaded, stand by.
    """

    replicas: Annotated[int, pydantic.Field(ge=0, le=1000)]
    spares: Annotated[int, pydantic.Field(ge=0, le=1000)] = 0


class Route(checking.Checked):
    """What holds for calls of a path.

    Attributes:
        prefix: Holds for paths that start with this; the longest one wins.
        methods: Holds for these methods; empty for all.
        repeatable: Whether a call may be sent to a second replica. A call
            that may not needs an ``Idempotency-Key``.
    """

    prefix: str = ""
    methods: tuple[str, ...] = ()
    repeatable: bool = True


class Limits(checking.Checked):
    """Limits of a service on each node.

    Attributes:
        queue_length: Requests that may wait in a node.
        default_deadline_ms: Where the caller names none.
        max_deadline_ms: What a caller may ask for at most.
        body_bytes: The largest request body.
        retry_fraction: Retries allowed as a part of the successes.
    """

    queue_length: Annotated[int, pydantic.Field(ge=0, le=100_000)] = 200
    default_deadline_ms: Annotated[int, pydantic.Field(ge=1)] = 60_000
    max_deadline_ms: Annotated[int, pydantic.Field(ge=1)] = 600_000
    body_bytes: Annotated[int, pydantic.Field(ge=1)] = 4_194_304
    retry_fraction: Annotated[float, pydantic.Field(ge=0, le=1)] = 0.1


class Account(checking.Checked):
    """A client account.

    Attributes:
        name: How limits, logs and claims call it.
        key_sha256: The hexadecimal SHA-256 of its key; never the key.
        requests_per_s: Its rate over all nodes together.
        burst: Requests that it may send at once after a pause.
        concurrent: Its requests in progress over all nodes together.
        weight: Its share of a full service, relative to others.
        top_priority: The most urgent priority that its requests may ask for.
    """

    name: checking.Name
    key_sha256: Annotated[str,
                          pydantic.StringConstraints(pattern=r"^[0-9a-f]{64}$")]
    requests_per_s: Annotated[float, pydantic.Field(gt=0)] = 100.0
    burst: Annotated[int, pydantic.Field(ge=1)] = 100
    concurrent: Annotated[int, pydantic.Field(ge=1)] = 1000
    weight: Annotated[float, pydantic.Field(gt=0)] = 1.0
    top_priority: Annotated[int, pydantic.Field(ge=1, le=9)] = 1


class Costs(checking.Checked):
    """How the planner weighs what repair costs.

    Attributes:
        downtime: The price of a second in which a replica cannot serve.
        stranded: The price of a second in which one VM is held but serves
            nobody.
        load_s: How long a VM takes to load the weights, in seconds.
        unshared_slowdown: With `FabricRule.PREFER`, how many times slower a
            replica is whose VMs do not share a fabric domain.
    """

    downtime: Annotated[float, pydantic.Field(ge=0)] = 10.0
    stranded: Annotated[float, pydantic.Field(ge=0)] = 1.0
    load_s: Annotated[float, pydantic.Field(ge=0)] = 120.0
    unshared_slowdown: Annotated[float, pydantic.Field(ge=1)] = 4.0


class Document(checking.Checked):
    """All that a team says of its service.

    Attributes:
        service: The service's name.
        kind: What stands behind it.
        priority: The duty's priority, 1 the most urgent, 9 the least.
        pool: The pool of VMs that it uses.
        model: The model's name; empty for a plain service.
        version: The model's version.
        adapters: Adapters that each replica loads.
        replica_vms: How many VMs make one replica.
        fabric: Whether those must share a fabric domain.
        capacity: What it gets in each data centre.
        engine: What its backend servers can do.
        routes: What holds for its paths.
        limits: Its limits.
        accounts: Who may call it.
        costs: What repair costs.
    """

    service: checking.Name
    kind: ServiceKind = ServiceKind.MODEL
    priority: Annotated[int, pydantic.Field(ge=1, le=9)] = 5
    pool: checking.Name
    model: str = ""
    version: str = ""
    adapters: tuple[str, ...] = ()
    replica_vms: Annotated[int, pydantic.Field(ge=1, le=MAX_REPLICA_VMS)] = 1
    fabric: FabricRule = FabricRule.REQUIRE
    capacity: dict[checking.Name, Capacity]
    engine: Engine = Engine()
    routes: tuple[Route, ...] = ()
    limits: Limits = Limits()
    accounts: tuple[Account, ...]
    costs: Costs = Costs()

    @pydantic.model_validator(mode="after")
    def _fits_its_kind(self) -> "Document":
        if self.kind is ServiceKind.PLAIN and self.replica_vms != 1:
            raise ValueError("replica_vms of a plain service must be 1")
        if self.kind is ServiceKind.MODEL and not (self.model and self.version):
            raise ValueError("a model service needs model and version")
        names = [account.name for account in self.accounts]
        if len(names) != len(set(names)):
            raise ValueError("accounts must have different names")
        keys = {account.key_sha256 for account in self.accounts}
        if len(keys) != len(names):
            raise ValueError("accounts must have different keys")
        return self

    @property
    def weights(self) -> str:
        """What a runner of this service loads, ``name@version`` or empty."""
        return f"{self.model}@{self.version}" if self.model else ""

    def route(self, method: str, path: str) -> Route:
        """Returns the route with the longest prefix that takes the call."""
        # With and without a leading slash is the same path: a prefix that
        # silently matched nothing would let a booking count as repeatable.
        bare = path.lstrip("/")
        matching = [
            route for route in self.routes
            if bare.startswith(route.prefix.lstrip("/")) and
            (not route.methods or method in route.methods)
        ]
        return max(matching,
                   key=lambda route: len(route.prefix),
                   default=Route())


def parse(text: str, source: str) -> Document:
    """Returns the document that a YAML text holds.

    Args:
        text: The YAML text.
        source: The file or row that it came from, for the message.

    Raises:
        DocumentError: Lists every fault: field, what was found, what is
            allowed.
    """
    return _parse(text, source)


@functools.lru_cache(maxsize=512)
def _parse(text: str, source: str) -> Document:
    if len(text.encode("utf-8", "replace")) > MAX_DOCUMENT_BYTES:
        raise exceptions.DocumentError(
            f"larger than {MAX_DOCUMENT_BYTES} bytes",
            step="document",
            peer=source)
    try:
        return Document.model_validate(yamltext.load(text))
    except pydantic.ValidationError as error:
        # Not "from error": pydantic's text shows what it found, and a key
        # written into the wrong field would reach the log with a traceback.
        raise exceptions.DocumentError(checking.faults(error),
                                       step="document",
                                       peer=source) from None
    except ValueError as error:
        raise exceptions.DocumentError(f"not YAML: {error}",
                                       step="document",
                                       peer=source) from error
