"""Finds the target of a request's next attempt, from all that a node knows."""

from collections.abc import Callable
import dataclasses
import random

from cardamommill.domain import clock, model
from cardamommill.gateway.fleet import availablegroups, fleetview, grouploads
from cardamommill.gateway.requests import (
    eligibility,
    forecast,
    placing,
    plainrunners,
    reliability,
    routetable,
)
from cardamommill.gateway.shell import (
    admissioncontrol,
    admitting,
    backpressure,
    eligibletargets,
    relay,
    targets,
)
from cardamommill.transport import upstream


@dataclasses.dataclass(frozen=True, slots=True)
class Evidence:
    """What a node knows of groups and runners, and who may use them."""

    available_groups: availablegroups.AvailableGroups
    group_loads: grouploads.GroupLoads
    forecast: forecast.Forecast
    reliability: reliability.Reliability
    backpressure: backpressure.Backpressure
    plain_runners: plainrunners.PlainRunners
    eligible_targets: eligibletargets.EligibleTargets
    admission: admissioncontrol.AdmissionControl


class TargetFinder:
    """Joins the decisions about where a request may and should go."""

    def __init__(self, data_centre: str, pool: upstream.Pool,
                 view: fleetview.FleetView, evidence: Evidence,
                 chance: random.Random,
                 expected_recovery_ms: Callable[[], float]) -> None:
        """Initialises the instance.

        Args:
            data_centre: The node's data centre.
            pool: Knows the idle connections to runners.
            view: The node's view of the fleet.
            evidence: What the node knows of groups and runners.
            chance: Spreads requests over groups and retries over time.
            expected_recovery_ms: Returns the estimated time until a missing
                group is available again.
        """
        self._data_centre = data_centre
        self._pool = pool
        self._view = view
        self._evidence = evidence
        self._chance = chance
        self.expected_recovery_ms = expected_recovery_ms

    def find(
            self, one: relay.Relay, configuration: model.Configuration
    ) -> targets.Target | placing.Refused:
        """Returns the target of a request's next attempt, or a refusal.

        Args:
            one: The request.
            configuration: The configuration in force.
        """
        evidence = self._evidence
        assert one.route is not None
        refused = placing.Refused("no service",
                                  admitting.DEFAULT_RETRY_AFTER_MS)
        eligible = evidence.eligible_targets.decide(one.route, one.tenant)
        for name in routetable.draw_service_order(one.route, self._chance):
            service = configuration.services.get(name)
            if service is None:
                continue
            if service.engine is not None and one.model_name:
                found = self._find_group(one, service, service.engine, eligible)
            else:
                found = self._find_runner(one, service, eligible)
            if isinstance(found, targets.Target):
                one.service = name
                return found
            refused = found
        return refused

    def _find_group(
            self, one: relay.Relay, service: model.Service,
            engine: model.Engine, eligible: eligibility.Eligibility
    ) -> targets.Target | placing.Refused:
        evidence = self._evidence
        now_ms = clock.now_ms()
        served = engine.model(one.model_name)
        if served is None:
            return placing.Refused("no such model",
                                   admitting.DEFAULT_RETRY_AFTER_MS)
        groups = [
            each for each in evidence.available_groups.of_model(
                service.name, served.name)
            if eligible.allows_all(each.data_centres)
        ]
        if not groups and not eligible.is_unrestricted:
            return eligibletargets.refusal(eligible)
        candidates = [
            self._candidate(each, engine, served, now_ms) for each in groups
        ]
        others_requests = sum(
            evidence.group_loads.others(each.key).total_requests
            for each in groups)
        excluded = frozenset(
            each.key for each in one.attempted if each.key is not None)
        requirements = dataclasses.replace(
            one.requirements(self._chance.random()),
            unreported_requests=placing.unreported_requests(
                engine, served.pace, others_requests,
                evidence.group_loads.age_ms),
            overhead_ms=evidence.forecast.overhead_ms(service.name))
        placed, decision = evidence.admission.place(
            admissioncontrol.Asked(service.name, served.name, one.priority,
                                   one.tenant.name if one.tenant else "",
                                   not one.attempted), engine,
            candidates, lambda groups: placing.place(
                engine, one.request_tokens, groups, excluded, requirements,
                self.expected_recovery_ms()), now_ms)
        one.admission = decision or one.admission
        if isinstance(placed, placing.Refused):
            return placed
        key = placed.candidate.key
        head = next(each.head for each in groups if each.key == key)
        return targets.Target(head, key, placed)

    def _candidate(self, group: availablegroups.AvailableGroup,
                   engine: model.Engine, served: model.ServedModel,
                   now_ms: float) -> placing.Candidate:
        """Returns an available group with all that placement asks about it."""
        evidence = self._evidence
        load = evidence.group_loads.load(group.key)
        runner = group.head.runner
        odds = evidence.reliability.fail_odds(runner.id, now_ms)
        is_suspect = evidence.available_groups.is_avoided(group.key, now_ms)
        return placing.Candidate(
            key=group.key,
            head=runner.id,
            in_flight=load.requests,
            deferred=load.deferred,
            slots=engine.slots,
            pace=served.pace *
            max(1.0, group.pace,
                engine.far_factor if group.spans_domains else 1.0),
            is_remote=runner.data_centre != self._data_centre,
            is_avoided=(group.has_leaving_member or is_suspect or
                        odds > reliability.DOUBT_THRESHOLD),
            is_suspect=is_suspect,
            is_down=evidence.available_groups.is_down(group.key, now_ms),
            pending_prompt_tokens=load.pending_prompt_tokens,
            fail_odds=odds,
            is_cooling_down=evidence.reliability.is_cooling_down(
                runner.id, now_ms),
            wait_ms=evidence.backpressure.wait_ms(runner, now_ms),
            has_idle_connection=self._pool.has_idle((runner.host, runner.port)))

    def _find_runner(
            self, one: relay.Relay, service: model.Service,
            eligible: eligibility.Eligibility
    ) -> targets.Target | placing.Refused:
        evidence = self._evidence
        now_ms = clock.now_ms()
        attempted = {each.known.runner.id for each in one.attempted}
        candidates = [
            each for each in self._view.runners_of(service.name)
            if each.is_usable and each.runner.id not in attempted and
            eligible.allows(each.runner.data_centre)
        ]
        if not candidates and not eligible.is_unrestricted:
            return eligibletargets.refusal(eligible)
        if not candidates:
            return placing.Refused("no runner",
                                   admitting.DEFAULT_RETRY_AFTER_MS)
        waits_ms = {
            each.runner.id: evidence.backpressure.wait_ms(each.runner, now_ms)
            for each in candidates
        }
        accepting = [
            each for each in candidates if not waits_ms[each.runner.id]
        ]
        if not accepting:
            return placing.backpressure_refusal(waits_ms.values(),
                                                self._chance.random())
        return targets.Target(evidence.plain_runners.choose(accepting, now_ms))
