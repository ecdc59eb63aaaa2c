"""Executes orders at a simulated runner."""

import asyncio
from typing import Any

from cardamommill.domain import clock, model
from cardamommill.experiment import modelfleet, modelpasses

# Time to become ready if the runner last served the same model.
REJOIN_MS = 200.0
# Loads before the first request take this fraction of the normal time.
PRELOAD_TIME_RATIO = 0.1


class OrderExecutor:
    """Executes the orders of one runner, with a method per operation."""

    def __init__(self, runner: modelfleet.ListedRunner,
                 passes: modelpasses.ForwardPasses) -> None:
        self._runner = runner
        self._passes = passes
        self._epoch = 0
        # When each load in progress ends, by model.
        self._load_ends: dict[str, float] = {}

    def execute(self, order: dict[str, Any]) -> int:
        """Starts to execute an order; returns the status of the answer."""
        if self._runner.is_unreachable:
            return 503
        expected = order.get("expected")
        if expected is not None and expected != self._runner.begun:
            return 409
        handlers = {
            "join": self._join,
            "open": self._open,
            "close": self._close,
            "leave": self._leave,
            "stage": self._stage,
        }
        handler = handlers.get(order["operation"])
        return handler(order) if handler is not None else 400

    def _model(self, name: str) -> model.ServedModel:
        engine = self._runner.engine
        assert engine is not None
        served = engine.model(name)
        assert served is not None
        return served

    def _join(self, order: dict[str, Any]) -> int:
        runner = self._runner
        key = _key(order)
        members = tuple(order["members"])
        if key.epoch < self._epoch:
            return 412
        before = runner.membership
        if before is not None and before.key == key:
            return 200 if members == runner.members else 412
        if before is not None:
            self._check_single_group(before.key)
        self._epoch = key.epoch
        runner.begun += 1
        served = self._model(order["model"])
        runner.members = members
        runner.served = served.name
        runner.membership = model.Membership(key.name, key.epoch,
                                             members.index(runner.id),
                                             model.MemberState.JOINING)
        runner.send_heartbeat()
        asyncio.get_running_loop().create_task(
            self._become_ready(key, members, served))
        return 202

    def _check_single_group(self, key: model.GroupKey) -> None:
        fleet = self._runner.fleet
        for other in fleet.runners.values():
            place = other.membership
            serves = place is not None and place.state in (
                model.MemberState.OPEN, model.MemberState.CLOSING)
            if (place is not None and place.key == key and not place.rank and
                    serves and not other.ended):
                fleet.oracle.broken(
                    "TWO",
                    f"{self._runner.id} joined elsewhere while {key} was open")

    async def _become_ready(self, key: model.GroupKey, members: tuple[str, ...],
                            served: model.ServedModel) -> None:
        runner = self._runner
        if runner.last_model == served.name:
            await asyncio.sleep(REJOIN_MS / 1000)
        else:
            if served.name not in runner.staged:
                await self._load(served)
            await asyncio.sleep(served.warm_ms / 1000)
        if runner.ended or not runner.is_in(key):
            return
        runner.last_model = served.name
        runner.fleet.oracle.ready[(key, members)].add(runner.id)
        runner.set_state(model.MemberState.READY)

    async def _load(self, served: model.ServedModel) -> None:
        engine = self._runner.engine
        assert engine is not None
        if served.name in self._load_ends:
            await asyncio.sleep(
                max(0.0, self._load_ends[served.name] - clock.now_ms()) / 1000)
            return
        fleet = self._runner.fleet
        if not fleet.is_before_traffic:
            fleet.oracle.record_load()
        fleet.loading += 1
        slowdown = max(1.0, fleet.loading / engine.loads_at_once)
        load_ms = served.load_ms * slowdown * (PRELOAD_TIME_RATIO if
                                               fleet.is_before_traffic else 1)
        self._load_ends[served.name] = clock.now_ms() + load_ms
        try:
            await asyncio.sleep(load_ms / 1000)
        finally:
            fleet.loading -= 1
            self._load_ends.pop(served.name, None)
        self._runner.staged = (served.name,)
        self._runner.send_heartbeat()

    def _state_as_head(self, key: model.GroupKey) -> model.MemberState | None:
        """Returns its state in a group, or None if it is not its head."""
        place = self._runner.membership
        if place is None or place.key != key or place.rank:
            return None
        return place.state

    def _open(self, order: dict[str, Any]) -> int:
        state = self._state_as_head(_key(order))
        if state is model.MemberState.OPEN:
            return 200
        if state is not model.MemberState.READY:
            return 409
        self._runner.begun += 1
        asyncio.get_running_loop().create_task(self._start_serving(_key(order)))
        return 202

    async def _start_serving(self, key: model.GroupKey) -> None:
        engine = self._runner.engine
        assert engine is not None
        await asyncio.sleep(engine.form_ms / 1000)
        if self._runner.is_in(key):
            self._runner.set_state(model.MemberState.OPEN)

    def _close(self, order: dict[str, Any]) -> int:
        state = self._state_as_head(_key(order))
        if state is None:
            return 409
        if state is not model.MemberState.OPEN:
            return 200
        self._runner.begun += 1
        self._runner.set_state(model.MemberState.CLOSING)
        asyncio.get_running_loop().create_task(self._finish_closing(
            _key(order)))
        return 202

    async def _finish_closing(self, key: model.GroupKey) -> None:
        while self._runner.jobs:
            await asyncio.sleep(0.02)
        if self._state_as_head(key) is model.MemberState.CLOSING:
            self._runner.set_state(model.MemberState.READY)

    def _leave(self, order: dict[str, Any]) -> int:
        if self._runner.is_in(_key(order)):
            self._runner.begun += 1
            self._runner.membership = None
            self._runner.members = ()
            self._passes.cut()
            self._runner.send_heartbeat()
        return 200

    def _stage(self, order: dict[str, Any]) -> int:
        served = self._model(order["model"])
        if served.name in self._runner.staged or served.name in self._load_ends:
            return 200
        self._runner.begun += 1
        asyncio.get_running_loop().create_task(self._load(served))
        return 202


def _key(order: dict[str, Any]) -> model.GroupKey:
    return model.GroupKey(order["group"], order["epoch"])
