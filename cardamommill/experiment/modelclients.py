"""Simulated clients that send requests, verify answers and retry."""

import asyncio
import dataclasses
import random
from typing import Any
import zlib

from cardamommill.domain import clock
from cardamommill.experiment import oracle, rightanswers
from cardamommill.gateway.requests import eventparser
from cardamommill.platform import fetching, wirenames
from cardamommill.transport import upstream

CONNECT_TIMEOUT_MS = 1000.0
# Lower bound of the time without an event after which a client gives up.
MIN_GAP_TIMEOUT_MS = 2000.0
# How many parts of their kinds prompts share, and the tokens of each.
TOPICS = 6
DOCUMENTS = 40
PART_TOKENS = 40
# An answer that ends this long before its deadline ends at the deadline.
DEADLINE_MARGIN_MS = 50.0
# How the reason begins for an exchange that its peer ended.
_CLOSED = "closed"


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """A kind of request, with the figures of the experiment's file."""

    name: str
    host: str
    prefix: str
    service: str
    per_s: float
    method: str
    model: str
    prompt_tokens: float
    answer_tokens: float
    goal_ms: float
    gap_goal_ms: float
    deadline_ms: float
    repeatable: bool
    streaming: bool
    worth: float
    late_worth: float


@dataclasses.dataclass(slots=True)
class Result:
    """The outcome of a request as its client saw it.

    Attributes:
        outcome: in-aim, late, refused, failed or denied.
        worth: The credit that was earned.
        owed: The credit of an answer that meets its latency goals.
    """

    kind: str
    place: str
    at_ms: float
    outcome: str
    worth: float
    owed: float
    first_ms: float = 0.0
    status: int = 0
    tenant: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Content:
    """What all copies of a request have in common.

    Attributes:
        target: Its path.
        body: Its body.
        prompt: The number of tokens of its prompt.
        answer: The number of tokens of its answer.
        tenant: The name of its client account.
        key: The API key.
        parts: The ids of the parts of its prompt; empty without a model.
    """

    target: str
    body: bytes
    prompt: int
    answer: int
    tenant: str
    key: str
    parts: tuple[str, ...] = ()


class _Receiver:
    """Receives an answer and verifies its bytes against the expected ones."""

    keeps_body = False

    def __init__(self, kind: Kind, target: str, run_oracle: oracle.Oracle,
                 attempt: str) -> None:
        self.done: asyncio.Future[str] = (
            asyncio.get_running_loop().create_future())
        self.status = 0
        self.head = upstream.Head()
        self.body = bytearray()
        self.first_ms = 0.0
        self.longest_gap_ms = 0.0
        self.last_ms = 0.0
        self.next_id = 1
        self._kind = kind
        self._target = target
        self._run_oracle = run_oracle
        self._attempt = attempt
        self._parser = eventparser.EventParser()

    def on_head(self, head: upstream.Head) -> bool:
        self.head = head
        self.status = head.status
        if head.status == 200 and head.get(wirenames.RESPONSE_SEAL) is None:
            self._run_oracle.broken(
                "MIXED", f"{self._attempt}: status 200 without a seal")
        return True

    def on_body(self, data: bytes) -> None:
        self.body += data
        if self.status != 200:
            return
        now_ms = clock.now_ms()
        if not self._kind.streaming:
            self.first_ms = self.first_ms or now_ms
            return
        for event in self._parser.feed(data):
            if event.data != rightanswers.event_bytes(self._target,
                                                      self.next_id):
                self._run_oracle.broken(
                    "ORDER", f"{self._attempt}: got {event.data[:20]!r} "
                    f"instead of event {self.next_id}")
            if self.first_ms:
                self.longest_gap_ms = max(self.longest_gap_ms,
                                          now_ms - self.last_ms)
            else:
                self.first_ms = now_ms
            self.last_ms = now_ms
            self.next_id += 1

    def on_end(self, ending: upstream.Ending, reason: str) -> None:
        if ending is upstream.Ending.NOT_HTTP:
            # A violation, not just a failure: a complete answer within a
            # stream would otherwise look like a runner that closed its
            # connection.
            self._run_oracle.broken("MIXED", f"{self._attempt}: {reason}")
        if not self.done.done():
            self.done.set_result(ending.value if ending is
                                 upstream.Ending.COMPLETE else reason)


class Clients:
    """Generates the requests of all clients of one data centre."""

    def __init__(self, world: Any, place: str, run_oracle: oracle.Oracle,
                 seed: int) -> None:
        """Creates the clients.

        Args:
            world: Provides `choose_node`, `all_keys`, `model_name`, `stride`.
            place: The clients' data centre.
            run_oracle: Records what is sent and received.
            seed: Seeds the random number generator.
        """
        self._world = world
        self._place = place
        self._run_oracle = run_oracle
        self._rng = random.Random(f"{seed}-{place}")
        self._parts_rng = random.Random(f"parts {seed}-{place}")
        self._pool = upstream.Pool()
        self._count = 0
        self.factor = 1.0
        self.results: list[Result] = []

    async def send_all(self, kind: Kind, until_ms: float) -> None:
        """Sends requests of a kind as a Poisson process until `until_ms`."""
        loop = asyncio.get_running_loop()
        while clock.now_ms() < until_ms:
            rate = max(1e-9, kind.per_s * self.factor)
            await asyncio.sleep(self._rng.expovariate(rate))
            if clock.now_ms() >= until_ms:
                return
            self._count += 1
            loop.create_task(self._request_counted(kind, self._count))

    def _draw(self, kind: Kind, number: int) -> Content:
        """Returns the content of the next request of a kind."""
        prompt = max(8, int(self._rng.expovariate(1) * kind.prompt_tokens))
        prompt = min(prompt, int(4 * kind.prompt_tokens) or 8)
        answer = max(1, int(self._rng.expovariate(1) * kind.answer_tokens))
        answer = min(answer, int(3 * kind.answer_tokens) or 1)
        # Some clients keep using a revoked key; their results do not count.
        tenant, key = self._rng.choice(self._world.all_keys)
        return Content(f"{kind.prefix}{self._place}/{number}",
                       b"" if kind.method == "GET" else b"x" * 200, prompt,
                       answer, tenant, key, self.draw_parts(kind))

    def draw_parts(self, kind: Kind) -> tuple[str, ...]:
        """Returns the parts of a prompt: its kind's, two others', its own."""
        if not kind.model:
            return ()
        names = (kind.name, f"topic {self._parts_rng.randrange(TOPICS)}",
                 f"document {self._parts_rng.randrange(DOCUMENTS)}",
                 f"own {self._place} {self._parts_rng.random()}")
        return tuple(f"{zlib.crc32(each.encode()):08x}" for each in names)

    async def _request_counted(self, kind: Kind, number: int) -> None:
        content = self._draw(kind, number)
        result = await self.request(kind, content, number)
        if content.key not in self._run_oracle.revoked_ms:
            self.results.append(result)

    async def request(self, kind: Kind, content: Content,
                      number: int | str) -> Result:
        """Sends a request, once more if it fails, and returns the outcome.

        Args:
            kind: The kind of the request.
            content: What its copies have in common.
            number: Tells it from the other requests of these clients.
        """
        began_ms = clock.now_ms()
        result = Result(kind.name,
                        self._place,
                        began_ms,
                        "failed",
                        0.0,
                        kind.worth,
                        tenant=content.tenant)
        for retry in range(2):
            left_ms = began_ms + kind.deadline_ms - clock.now_ms()
            if left_ms < 50:
                break
            attempt = f"{self._place}-{number}-{retry}"
            retry_after_ms = await self._attempt(kind, content, began_ms,
                                                 left_ms, attempt, result)
            if not retry and result.outcome != "denied":
                self._run_oracle.record_first_try(
                    attempt, result.outcome in ("in-aim", "late"))
            if retry_after_ms is None:
                break
            await asyncio.sleep(min(retry_after_ms, left_ms / 3) / 1000)
        return result

    async def _attempt(self, kind: Kind, content: Content, began_ms: float,
                       left_ms: float, attempt: str,
                       result: Result) -> float | None:
        """Makes one attempt; returns the delay in ms of a retry, or None."""
        target, body = content.target, content.body
        headers = [("Host", kind.host), (wirenames.ATTEMPT_ID, attempt),
                   (wirenames.DEADLINE_MS, str(int(left_ms))),
                   ("Authorization", f"Bearer {content.key}")]
        if kind.model:
            headers += [
                (wirenames.MODEL, self._world.model_name(kind.model)),
                (wirenames.TOKEN_COUNTS, f"{content.prompt},{content.answer}"),
                (wirenames.LENGTH_HINT, str(content.answer)),
                (wirenames.PROMPT_PREFIX,
                 ",".join(f"{each}:{PART_TOKENS}" for each in content.parts))
            ]
        address = self._world.choose_node(self._place, self._rng)
        sent_ms = clock.now_ms()
        self._run_oracle.record_send(
            attempt,
            oracle.Sent(sent_ms, kind.method, target, body, content.key,
                        content.tenant, kind.service, kind.repeatable,
                        address[0] if address else "", content.parts))
        receiver = _Receiver(kind, target, self._run_oracle, attempt)
        if address is None:
            return 100.0
        exchange = self._pool.send(address,
                                   fetching.request_bytes(
                                       kind.method, target, headers, body),
                                   receiver,
                                   new_connection=True)
        end = await self._wait_for_end(kind, receiver, exchange, left_ms)
        self._run_oracle.record_final_status(attempt, receiver.status)
        ends_at_ms = clock.now_ms() + DEADLINE_MARGIN_MS
        if end.startswith(_CLOSED) and ends_at_ms < sent_ms + left_ms:
            self._run_oracle.record_broken_answer(attempt)
        result.status = receiver.status
        complete = end == upstream.Ending.COMPLETE.value
        if receiver.status == 200 and complete:
            self._check_complete(kind, receiver, target, content.answer,
                                 attempt)
            result.first_ms = receiver.first_ms - began_ms
            in_aim = (result.first_ms <= kind.goal_ms and
                      receiver.longest_gap_ms <= kind.gap_goal_ms)
            result.outcome = "in-aim" if in_aim else "late"
            result.worth = kind.worth if in_aim else (kind.worth *
                                                      kind.late_worth)
            return None
        if receiver.status in (429, 503):
            result.outcome = "refused"
            return 1000 * float(receiver.head.get("Retry-After") or 0.1)
        result.outcome = "failed"
        if receiver.status in (400, 401, 404):
            result.outcome = "denied"
            return None
        return 50.0 if kind.repeatable else None

    async def _wait_for_end(self, kind: Kind, receiver: _Receiver,
                            exchange: upstream.Exchange, left_ms: float) -> str:
        gap_ms = max(MIN_GAP_TIMEOUT_MS, 4 * kind.goal_ms, 8 * kind.gap_goal_ms)
        end_ms = clock.now_ms() + left_ms
        last_ms = clock.now_ms()
        while not receiver.done.done():
            last_ms = max(last_ms, receiver.last_ms)
            now_ms = clock.now_ms()
            stalled = kind.streaming and now_ms - last_ms > gap_ms
            unsent = not exchange.sent and now_ms - last_ms > CONNECT_TIMEOUT_MS
            if now_ms >= end_ms or stalled or unsent:
                exchange.cancel()
                return "client timeout"
            await asyncio.sleep(0.02)
        return receiver.done.result()

    def _check_complete(self, kind: Kind, receiver: _Receiver, target: str,
                        answer: int, attempt: str) -> None:
        if kind.streaming:
            stride = self._world.stride(kind.service)
            if receiver.next_id - 1 != -(-answer // stride):
                self._run_oracle.broken(
                    "ORDER",
                    f"{attempt}: wrong number of events: {receiver.next_id - 1}"
                )
        elif bytes(receiver.body) != rightanswers.plain_body(target):
            self._run_oracle.broken(
                "MIXED", f"{attempt}: body differs from the expected one")
