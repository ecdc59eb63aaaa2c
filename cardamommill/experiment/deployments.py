"""Experiment files: the YAML schema of a deployment, its load and faults."""

import pathlib
from typing import Annotated, Any, Literal

import pydantic

from cardamommill import checking
from cardamommill.experiment import modelclients


class ModelSpec(checking.Checked):
    """A model served by groups of runners; see `domain.model.ServedModel`."""

    name: str
    size: Annotated[int, pydantic.Field(ge=1)]
    share: Annotated[float, pydantic.Field(gt=0)]
    pace: float = 1.0
    load_s: float = 16.0
    warm_s: float = 1.6


class EngineSpec(checking.Checked):
    """Performance figures of the simulated inference engine."""

    slots: int = 13
    stride: int = 7
    step_ms: float = 5.95
    per_sequence_ms: float = 0.089
    context_per_k_ms: float = 0.016
    read_tokens_per_s: float = 50_700.0
    chunk_tokens: int = 2048
    loads_per_s: float = 4.5
    loads_at_once: int = 6
    form_ms: float = 300.0
    report_lag_ms: float = 200.0
    far_factor: float = 2.5


class KindSpec(checking.Checked):
    """A kind of request and its rate; see `modelclients.Kind`."""

    name: str
    per_s: Annotated[float, pydantic.Field(gt=0)]
    model: str = ""
    prompt_tokens: float = 0.0
    answer_tokens: float = 0.0
    goal_ms: float = 200.0
    gap_goal_ms: float = 300.0
    deadline_ms: float = 5000.0
    type: Literal["streaming", "idempotent", "non_idempotent"] = "streaming"
    worth: float = 1.0
    late_worth: float = 0.25
    allowed_regions: tuple[str, ...] = ()


class Trouble(checking.Checked):
    """A fault or other event that is injected into a run.

    Attributes:
        at_s: Seconds from the start of traffic.
        kind: The kind of event; `troubles.Troubles` has a method for each.
        place: The data centre affected; chosen at random if empty.
        count: How many runners, nodes or keys are affected.
        for_s: Duration in seconds; for some kinds 0 means until the end.
        factor: Magnitude; its meaning depends on the kind.
    """

    at_s: float
    kind: Literal["runners_dark", "domain_dark", "runners_crash", "new_runners",
                  "runners_slow", "runners_drain", "runners_cut", "late_orders",
                  "node_kill", "node_stop", "all_nodes_kill", "place_cut",
                  "store_silent", "store_busy", "store_slow", "store_compact",
                  "store_restored", "store_cut", "configuration", "revoke",
                  "burst", "plain_cut", "heads_fail", "heads_reset",
                  "heads_limited", "heads_rest", "heads_leave", "plain_limited",
                  "plain_rest", "evacuate", "cold_again", "cold_return",
                  "plain_leave", "runners_restart", "plain_restart",
                  "deadly_part", "deadly_request", "nodes_cut", "nodes_parted",
                  "nodes_reset", "nodes_refused", "runners_silent",
                  "runners_frozen"]
    place: str = ""
    count: Annotated[int, pydantic.Field(ge=1)] = 1
    for_s: Annotated[float, pydantic.Field(ge=0)] = 0.0
    factor: float = 1.0


class Deployment(checking.Checked):
    """The simulated deployment, load and faults of one experiment.

    Attributes:
        places: Entry VMs per data centre.
        regions: The region of each data centre; empty for none.
        account_regions: Regions in which the requests of some client accounts
            may run, by account name.
        domains: Fabric domains per data centre.
        runners: Runners per fabric domain.
        plain_runners: Runners of the plain service per data centre.
        cold_s: For how long runners are cold after a start during traffic.
        cold_per_s: Requests per second that a cold runner takes; 0 for any.
        states_born: Whether runners state the time of their start, and may
            restart under their id.
        retry_slack: Retries of a service that all nodes together may make
            within a window, beyond a share of its requests.
        variants: By variant name, the values that override constants of
            decision modules, such as ``placing.PATIENT_PART``.
    """

    name: str
    seed: int = 1
    lead_s: float = 12.0
    length_s: float = 20.0
    places: dict[str, int] = {"a": 3, "b": 2, "c": 1}
    regions: dict[str, str] = {}
    account_regions: dict[str, tuple[str, ...]] = {}
    domains: int = 2
    runners: int = 9
    plain_runners: int = 1
    states_born: bool = False
    tenants: int = 4
    cold_s: Annotated[float, pydantic.Field(ge=0)] = 0.0
    cold_per_s: Annotated[float, pydantic.Field(ge=0)] = 0.0
    retry_slack: Annotated[float, pydantic.Field(ge=0)] = 130.0
    engine: EngineSpec = EngineSpec()
    models: tuple[ModelSpec, ...]
    kinds: tuple[KindSpec, ...]
    troubles: tuple[Trouble, ...] = ()
    variants: dict[str, dict[str, float]] = {}

    def kind(self, spec: KindSpec) -> modelclients.Kind:
        """Converts a request specification to the form that clients use."""
        streaming = spec.type == "streaming"
        return modelclients.Kind(
            name=spec.name,
            host="model.example",
            prefix=f"/{spec.name}/",
            service="engine" if spec.model else "plain",
            per_s=spec.per_s / len(self.places),
            method="POST" if spec.type != "idempotent" else "GET",
            model=spec.model,
            prompt_tokens=spec.prompt_tokens,
            answer_tokens=spec.answer_tokens,
            goal_ms=spec.goal_ms,
            gap_goal_ms=spec.gap_goal_ms,
            deadline_ms=spec.deadline_ms,
            repeatable=spec.type != "non_idempotent",
            streaming=streaming,
            worth=spec.worth,
            late_worth=spec.late_worth)

    def configuration(self, version: int,
                      keys: list[tuple[str, str]]) -> dict[str, Any]:
        """Returns the operator's configuration as the platform stores it."""
        engine = self.engine
        tenants: dict[str, list[str]] = {}
        for name, key in keys:
            tenants.setdefault(name, []).append(key)
        return {
            "version":
                version,
            "routes": [self._route(each) for each in self.kinds],
            "services": [{
                "name": "engine",
                "healthPath": "/healthz",
                "maxConns": 300,
                "coldS": self.cold_s,
                "coldPerS": self.cold_per_s,
                "engine": {
                    "slots": engine.slots,
                    "kvCapacity": 795_000,
                    "stride": engine.stride,
                    "models": [{
                        "name": each.name,
                        "size": each.size,
                        "share": each.share,
                        "pace": each.pace,
                        "loadS": each.load_s,
                        "warmS": each.warm_s
                    } for each in self.models],
                    "step_ms": engine.step_ms,
                    "per_seq_ms": engine.per_sequence_ms,
                    "context_per_k": engine.context_per_k_ms,
                    "read_per_s": engine.read_tokens_per_s,
                    "pairs_per_m": 0.0,
                    "chunk": engine.chunk_tokens,
                    "loadsPerS": engine.loads_per_s,
                    "loads_at_once": engine.loads_at_once,
                    "usual": {
                        "prompt": 1115,
                        "answer": 178
                    },
                    "formMs": engine.form_ms,
                    "report_lag_ms": engine.report_lag_ms,
                    "far_x": engine.far_factor,
                }
            }, {
                "name": "plain",
                "healthPath": "/healthz",
                "maxConns": 96,
                "coldS": self.cold_s,
                "coldPerS": self.cold_per_s
            }],
            "limits": {
                "headerBytes": 16_384,
                "bodyBytes": 1 << 20,
                "headerMs": 3000,
                "idleMs": 15_000
            },
            "tenants": [{
                "name": name,
                "apiKeys": owned,
                "priority": 1,
                "allowedRegions": self.account_regions.get(name, ())
            } for name, owned in tenants.items()],
        }

    def data_centres_in(self, allowed_regions: tuple[str,
                                                     ...]) -> frozenset[str]:
        """Returns the data centres of some regions."""
        return frozenset(place for place in self.places
                         if self.regions.get(place) in allowed_regions)

    def _route(self, spec: KindSpec) -> dict[str, Any]:
        return {
            "name": spec.name,
            "host": "model.example",
            "prefix": f"/{spec.name}/",
            "type": spec.type,
            "timeoutMs": int(spec.deadline_ms),
            "goalMs": int(spec.goal_ms),
            "gapGoalMs": int(spec.gap_goal_ms),
            "priority": 1,
            "service": "engine" if spec.model else "plain",
            "maxAttempts": 1 if spec.type == "non_idempotent" else 2,
            "public": False,
            "sticky": bool(spec.model),
            "resumable": spec.type == "streaming",
            "allowedRegions": spec.allowed_regions
        }


def load(path: pathlib.Path) -> Deployment:
    """Loads an experiment from a YAML file.

    Raises:
        SettingsError: Lists every fault in the file.
    """
    return checking.load_as(Deployment, path, "experiment")
