"""Runs the stand-ins as programs of their own."""

import contextlib
import dataclasses
import signal
import threading
from typing import Any

from cardamommill import (
    exceptions,
    standin_engine,
    standin_platform,
    standin_runner,
)

FLAGS = {"yes": True, "no": False, "true": True, "false": False}


class Standin:
    """Small stand-ins of the outside systems, for tests and the demo."""

    def platform(self, port: int = 0, lag_ms: int = 0) -> None:
        """Runs a stand-in of the platform until it is told to end.

        Args:
            port: The port on 127.0.0.1; 0 for any free one, which is printed.
            lag_ms: How late the list of VMs shows a change.
        """
        with standin_platform.Platform(port, lag_ms) as platform:
            _say_ready(platform.address)
            _wait_for_signal()

    def runner(self,
               vm: str,
               port: int = 0,
               count: int = 1,
               **options: Any) -> None:
        """Runs stand-ins of backend servers until it is told to end.

        Args:
            vm: The VM's name; with a count, each gets its number appended.
            port: The port on 127.0.0.1; 0 for any free one, which is printed.
                With a count, the first of so many.
            count: How many runners live in this one process.
            **options: The fields of standin_engine.EngineOptions, such as
                --load-ms, --token-ms, --kind plain, --checks-fencing no.
        """
        names = [vm] if count == 1 else [f"{vm}-{n}" for n in range(count)]
        with contextlib.ExitStack() as stack:
            for offset, name in enumerate(names):
                runner = stack.enter_context(
                    standin_runner.Runner(_engine_options(name, options),
                                          port + offset if port else 0))
                _say_ready(runner.address, name)
            _wait_for_signal()


def _engine_options(vm_id: str,
                    options: dict[str, Any]) -> standin_engine.EngineOptions:
    known = {
        field.name: field.default
        for field in dataclasses.fields(standin_engine.EngineOptions)
    }
    unknown = sorted(set(options) - set(known))
    if unknown:
        raise exceptions.CommandError(
            f"no such option: {', '.join(unknown)}; there are "
            f"{', '.join(sorted(known))}",
            step="standin runner")
    taken = {
        name: _typed(name, value, type(known[name]))
        for name, value in options.items()
    }
    return standin_engine.EngineOptions(vm_id=vm_id, **taken)


def _typed(name: str, value: Any, kind: type[Any]) -> Any:
    try:
        return FLAGS[str(value).lower()] if kind is bool else kind(value)
    except (KeyError, ValueError) as error:
        raise exceptions.CommandError(
            f"--{name}: found {value!r}, must be "
            f"{'yes or no' if kind is bool else kind.__name__}",
            step="standin runner") from error


def _say_ready(address: str, vm_id: str = "") -> None:
    name = f" vm={vm_id}" if vm_id else ""
    print(f"ready address={address}{name}", flush=True)


def _wait_for_signal() -> None:
    ended = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: ended.set())
    ended.wait()
