"""Functions that build test data for the gateway."""

from cardamommill.domain import entrysettings, incarnations, model
from cardamommill.gateway.fleet import fleetview

LARGE = model.ServedModel("large", 4, 0.57, 1.0, 16_000.0, 1600.0)
SMALL = model.ServedModel("small", 3, 0.43, 0.6, 12_000.0, 1100.0)


def settings(**changes) -> entrysettings.EntrySettings:
    figures = dict(node="n1",
                   data_centre="a",
                   data_centres=("a", "b"),
                   regions={
                       "a": "north",
                       "b": "south"
                   },
                   ip="127.0.0.1",
                   callers="127.0.0.1:1",
                   ready="127.0.0.1:2",
                   peer_port=3,
                   platform="127.0.0.1:4")
    return entrysettings.EntrySettings(**{**figures, **changes})


def engine(**changes) -> model.Engine:
    figures = dict(slots=13,
                   kv_tokens=795_000,
                   stride=7,
                   step_ms=6.0,
                   per_sequence_ms=0.09,
                   context_per_k_ms=0.016,
                   read_tokens_per_ms=50.0,
                   pairs_per_m_ms=0.0,
                   chunk_tokens=2048,
                   loads_per_s=4.5,
                   loads_at_once=6,
                   form_ms=300.0,
                   report_lag_ms=200.0,
                   far_factor=2.5,
                   usual_prompt_tokens=1000.0,
                   usual_answer_tokens=180.0,
                   models=(LARGE, SMALL))
    return model.Engine(**{**figures, **changes})


def cold_settings(**changes) -> entrysettings.EntrySettings:
    """Returns settings with bounds for cold runners."""
    bounds = entrysettings.Bounds(cold_overage=1.5, cold_slack=5)
    return settings(**{"node": "n", "bounds": bounds, **changes})


def service(**changes) -> model.Service:
    return model.Service("llm", "/healthz", 300, engine(**changes))


def member(key: model.GroupKey, rank: int, state: model.MemberState):
    return model.Membership(key.name, key.epoch, rank, state)


def runner(number: int,
           row_version: int = 1,
           place: str = "a",
           domain: str = "d0",
           leaving: bool = False,
           membership: model.Membership | None = None,
           served: str = "",
           staged: tuple[str, ...] = (),
           born_ms: int | None = None) -> model.Runner:
    incarnation = incarnations.Incarnation(f"i-{number}", born_ms)
    return model.Runner(id=str(incarnation),
                        service="llm",
                        host=f"10.0.0.{number}",
                        port=8140,
                        data_centre=place,
                        leaving=leaving,
                        slots=13,
                        row_version=row_version,
                        status=model.RunnerStatus(
                            domain=domain,
                            staged=staged,
                            models=(served,) if served else (),
                            membership=membership))


def report(begun: int,
           membership: model.Membership | None = None,
           served: str = "") -> model.Report:
    return model.Report(status=model.RunnerStatus(
        domain="d0", models=(served,) if served else (), membership=membership),
                        orders_begun=begun,
                        busy=False,
                        waiting=0,
                        running=0,
                        pace=1.0)


def view(*runners: model.Runner, at_ms: float = 1000.0) -> fleetview.FleetView:
    found = fleetview.FleetView()
    found.apply_list(runners, at_ms)
    return found
