"""A stand-in of a backend server: a model engine or a plain service.

For tests, benches and the quick start; docs/STANDINS.md has its interface.
"""

import collections
from collections.abc import Callable, Iterator
import dataclasses
import http.client
import json
import os
import threading
from typing import Any, Self

from cardamommill import fleet, prompts, standin_engine, standin_http

MEMBER_POLL_S = 0.2
MEMBER_TIMEOUT_S = 1.0
CRASH_EXIT_CODE = 70
DEFAULT_PRIORITY = 5
DEFAULT_MAX_TOKENS = 16
COMPLETIONS = "/v1/completions"


@dataclasses.dataclass(slots=True)
class Faults:
    """What the stand-in does wrong.

    Attributes:
        speed: 0.5 runs at half the speed.
        leaving: Says that its VM will go, and takes no new work.
        drop_after: Breaks each stream after so many events; 0 for never.
    """

    speed: float = 1.0
    leaving: bool = False
    drop_after: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class _Work:
    """A request for work, and the event that ends it early."""

    call: standin_http.Call
    request_id: str
    ended: threading.Event


class Runner:
    """The stand-in as a whole; a context manager.

    Attributes:
        address: Where it listens, ``ip:port``.
        vm_id: The VM that it runs on.
    """

    def __init__(self,
                 options: standin_engine.EngineOptions,
                 port: int = 0,
                 crash: Callable[[], None] | None = None) -> None:
        """Makes it.

        Args:
            options: How it behaves.
            port: The port on 127.0.0.1; 0 for any free one.
            crash: What a request that crashes it does; None to end the
                process.
        """
        self.vm_id = options.vm_id
        self._options = options
        self._engine = standin_engine.Engine(options)
        self._faults = Faults()
        self._crash = crash or (lambda: os._exit(CRASH_EXIT_CODE))
        self._runs: collections.Counter[str] = collections.Counter()
        self._works: dict[str, _Work] = {}
        self._closing = threading.Event()
        self._handlers: dict[tuple[str, str],
                             Callable[[standin_http.Call],
                                      standin_http.Reply]] = {
                                          ("GET", "/state"):
                                              self._answer_state,
                                          ("POST", "/orders"):
                                              self._answer_order,
                                          ("GET", "/cache-events"):
                                              self._answer_cache_events,
                                          ("GET", "/weights"):
                                              self._answer_weights,
                                          ("PUT", "/faults"):
                                              self._answer_faults,
                                          ("GET", "/runs"):
                                              self._answer_runs,
                                      }
        self._server = standin_http.Server(self._handle, port)
        self.address = self._server.address

    def __enter__(self) -> Self:
        self._server.__enter__()
        threading.Thread(target=self._watch_members, daemon=True).start()
        return self

    def __exit__(self, *exception: object) -> None:
        self._closing.set()
        self._break_all()
        self._server.__exit__(*exception)

    def _handle(self, call: standin_http.Call) -> standin_http.Reply:
        handler = self._handlers.get((call.method, call.path))
        if handler is not None:
            return handler(call)
        if call.path.startswith("/cancel/"):
            work = self._works.get(call.path.removeprefix("/cancel/"))
            if work is not None:
                work.ended.set()
            return standin_http.Reply(204)
        return self._answer_work(call)

    # --- What the node asks and orders ---

    def _answer_state(self, call: standin_http.Call) -> standin_http.Reply:
        del call
        return standin_http.json_reply(dataclasses.asdict(
            self._engine.report()))

    def _answer_order(self, call: standin_http.Call) -> standin_http.Reply:
        fields = call.json()
        order = fleet.Order(
            **{
                **fields, "kind": fleet.OrderKind(fields["kind"]),
                "role": fleet.RunnerRole(fields["role"]),
                "members": tuple(fields["members"]),
                "member_addresses": tuple(fields["member_addresses"])
            })
        with self._engine.lock:
            before = self._engine.formation.key()
            refusal = self._engine.obey(order)
            after = self._engine.formation.key()
        if refusal:
            return standin_http.json_reply({
                "taken": False,
                "detail": refusal
            }, 409)
        if order.kind is fleet.OrderKind.FORM and before != after:
            self._break_all()
        return standin_http.json_reply({"taken": True})

    def _answer_cache_events(self,
                             call: standin_http.Call) -> standin_http.Reply:
        after = int(call.query.get("after", "0"))
        events = self._engine.cache.events_after(after)
        return standin_http.json_reply({
            "boot_id": self._engine.boot_id,
            "first_sequence": events[0].sequence if events else after + 1,
            "stored": [event.prefix for event in events if event.stored],
            "evicted": [event.prefix for event in events if not event.stored],
            "next_sequence": events[-1].sequence if events else after,
        })

    def _answer_weights(self, call: standin_http.Call) -> standin_http.Reply:
        del call
        return standin_http.json_reply({"loaded": self._engine.loaded()})

    def _answer_faults(self, call: standin_http.Call) -> standin_http.Reply:
        self._faults = Faults(**call.json())
        self._engine.leaving = self._faults.leaving
        return standin_http.Reply(204)

    def _answer_runs(self, call: standin_http.Call) -> standin_http.Reply:
        del call
        return standin_http.json_reply({"runs": dict(self._runs)})

    # --- Work ---

    def _answer_work(self, call: standin_http.Call) -> standin_http.Reply:
        refusal = self._refusal(call)
        if refusal is not None:
            return refusal
        priority = int(
            call.headers.get("cardamommill-priority", DEFAULT_PRIORITY))
        if not self._engine.slots.take(priority):
            return _not_run(503, "all slots are taken")
        work = self._start(call)
        try:
            # Looked at again, since it may have waited for its slot.
            reply = self._refusal(call) or self._run(work)
        except BaseException:
            self._end(work)
            raise
        return dataclasses.replace(reply, done=lambda: self._end(work))

    def _refusal(self, call: standin_http.Call) -> standin_http.Reply | None:
        engine = self._engine
        named = (call.headers.get("cardamommill-replica",
                                  ""), _number(call, "cardamommill-epoch"),
                 _number(call, "cardamommill-formation"))
        if self._options.checks_dispatch and named != engine.formation.key():
            return _not_run(421, f"this is {engine.formation.key()}")
        if engine.leaving:
            return _not_run(503, "leaving")
        if not (engine.is_head() and engine.ready()):
            return _not_run(503, "not ready")
        return None

    def _start(self, call: standin_http.Call) -> _Work:
        request_id = call.headers.get("cardamommill-request", "")
        work = _Work(call, request_id, threading.Event())
        attempt_id = call.headers.get("cardamommill-attempt", "")
        self._works[attempt_id or str(id(work))] = work
        return work

    def _end(self, work: _Work) -> None:
        for attempt_id, each in list(self._works.items()):
            if each is work and self._works.pop(attempt_id, None) is work:
                self._engine.slots.give_back()

    def _break_all(self) -> None:
        for work in list(self._works.values()):
            work.ended.set()

    def _run(self, work: _Work) -> standin_http.Reply:
        headers = work.call.headers
        if headers.get("cardamommill-standin-crash") == "yes":
            self._crash()
            raise standin_http.BrokenAnswer
        key = headers.get("idempotency-key") or work.request_id
        self._runs[key] += 1
        if self._options.kind == "plain":
            return self._run_plain(work, self._runs[key])
        return self._run_model(work)

    def _run_plain(self, work: _Work, run: int) -> standin_http.Reply:
        self._wait(work, self._options.token_ms)
        body = {"request": work.request_id, "vm_id": self.vm_id, "run": run}
        return standin_http.Reply(200,
                                  json.dumps(body).encode(),
                                  headers=self._names(work))

    def _run_model(self, work: _Work) -> standin_http.Reply:
        asked = work.call.json() if work.call.path == COMPLETIONS else {}
        prompt = str(asked.get("prompt", ""))
        max_tokens = int(asked.get("max_tokens", DEFAULT_MAX_TOKENS))
        first = self._first(work)
        missing = self._engine.cache.use(
            list(prompts.read(work.call.body).prefixes) if asked else [])
        self._wait(work, missing * self._options.prefill_ms)
        texts = self._generate(work, prompt, first, max_tokens)
        if asked.get("stream"):
            return standin_http.Reply(200,
                                      content_type="text/event-stream",
                                      headers=self._names(work),
                                      stream=self._events(work, texts, first))
        body = {"request": work.request_id, "text": "".join(texts)}
        return standin_http.Reply(200,
                                  json.dumps(body).encode(),
                                  headers=self._names(work))

    def _generate(self, work: _Work, prompt: str, first: int,
                  max_tokens: int) -> Iterator[str]:
        for index in range(first, max_tokens):
            if 0 < self._faults.drop_after <= index - first:
                raise standin_http.BrokenAnswer
            self._wait(work, self._options.token_ms)
            self._engine.tokens.add()
            yield standin_engine.token_text(prompt, index)

    def _events(self, work: _Work, texts: Iterator[str],
                first: int) -> Iterator[bytes]:
        for index, text in enumerate(texts, first):
            event = {"request": work.request_id, "index": index, "text": text}
            yield f"data: {json.dumps(event)}\n\n".encode()
        yield b"data: [DONE]\n\n"

    def _wait(self, work: _Work, wait_ms: float) -> None:
        wait_s = wait_ms / 1000 / max(self._faults.speed, 0.001)
        if work.ended.wait(wait_s):
            raise standin_http.BrokenAnswer

    def _names(self, work: _Work) -> dict[str, str]:
        replica_id, epoch, formation = self._engine.formation.key()
        names = {
            "Cardamommill-Replica": replica_id,
            "Cardamommill-Epoch": str(epoch),
            "Cardamommill-Formation": str(formation),
            "Cardamommill-Request": work.request_id,
        }
        if first := self._first(work):
            names["Cardamommill-Resume-From"] = str(first)
        return names

    def _first(self, work: _Work) -> int:
        """Returns the number of the first event of a work's stream."""
        if not self._options.can_resume:
            return 0
        return _number(work.call, "cardamommill-resume-from")

    # --- The head's watch over its members ---

    def _watch_members(self) -> None:
        links: dict[str, http.client.HTTPConnection] = {}
        while not self._closing.wait(MEMBER_POLL_S):
            formation = self._engine.formation
            if not self._engine.is_head() or len(formation.members) <= 1:
                continue
            present = all([
                self._member_present(links, formation, address)
                for address in formation.addresses[1:]
            ])
            with self._engine.lock:
                if self._engine.formation is not formation:
                    continue
                was_present = self._engine.members_present
                self._engine.members_present = present
            if was_present and not present:
                self._break_all()

    def _member_present(self, links: dict[str, http.client.HTTPConnection],
                        formation: standin_engine.Formation,
                        address: str) -> bool:
        link = links.setdefault(
            address,
            http.client.HTTPConnection(address, timeout=MEMBER_TIMEOUT_S))
        try:
            link.request("GET", "/state")
            state: dict[str, Any] = json.load(link.getresponse())
        except (OSError, http.client.HTTPException, ValueError):
            link.close()
            return False
        believed = (state["replica_id"], state["epoch"], state["formation"])
        return bool(state["ready"]) and believed == formation.key()


def _not_run(status: int, detail: str) -> standin_http.Reply:
    return standin_http.json_reply({"ran": False, "detail": detail}, status)


def _number(call: standin_http.Call, name: str) -> int:
    return int(call.headers.get(name, "0") or 0)
