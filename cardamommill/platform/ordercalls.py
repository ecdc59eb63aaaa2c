"""Sends orders to runners and asks runners for their reports."""

import dataclasses
import enum
import json
from typing import Any

import logbook

from cardamommill import exceptions, logs
from cardamommill.domain import incarnations, model, orders
from cardamommill.platform import entries, fetching, flowcontrol, wirenames
from cardamommill.transport import upstream

# A runner answers in a few ms; an unreachable one never does. An unanswered
# order is sent again. If the first copy arrives late, the runner refuses it,
# since the order names how many orders the runner must have begun before it.
ORDER_TIMEOUT_MS = 300
REPORT_TIMEOUT_MS = 150

_LOG = logbook.Logger("platform")


class OrderReply(enum.Enum):
    """A runner's reply to an order."""

    # Status 202: the runner has begun to carry out the order.
    BEGUN = "begun"
    # Status 200: carried out at once, or begun or done already.
    DONE = "done"
    # Status 409: the runner's state or count of orders is not the expected one.
    UNFIT = "unfit"
    # Any other status, such as when another runner has the address or the epoch
    # is too old. Also if the order could not be sent.
    REFUSED = "refused"
    # Another incarnation of the runner answered, so the one that the order was
    # for has ended. The order may have been carried out by the other one.
    ENDED = "ended"
    # No complete answer: the order may have been carried out, or may be yet.
    UNKNOWN = "unknown"


_REPLY_BY_STATUS = {
    200: OrderReply.DONE,
    202: OrderReply.BEGUN,
    409: OrderReply.UNFIT
}


def order_body(order: orders.Order) -> dict[str, Any]:
    """Returns an order as the JSON object that runners expect."""
    body: dict[str, Any] = {"operation": order.operation.value}
    if order.group is not None:
        body |= {"group": order.group.name, "epoch": order.group.epoch}
    if order.model:
        body["model"] = order.model
    if order.members:
        body["members"] = list(map(incarnations.instance_of, order.members))
    if order.operation is orders.Operation.CLOSE:
        body["closeMode"] = "queue"
    if order.expected_seq is not None:
        body["expected"] = order.expected_seq
    return body


async def send_order(pool: upstream.Pool, runner: model.Runner,
                     order: orders.Order) -> tuple[OrderReply, str]:
    """Sends an order to a runner.

    Returns:
        The reply and a text for the log: the answer's status and the start of
        its body, or why there is no complete answer.
    """
    request = fetching.request_bytes("POST", wirenames.ORDER_PATH, [
        ("Host", f"{runner.host}:{runner.port}"),
        (wirenames.EXPECT_INSTANCE, runner.instance),
        ("Content-Type", "application/json"),
    ],
                                     json.dumps(order_body(order)).encode())
    answer = await fetching.fetch(pool, (runner.host, runner.port), request,
                                  ORDER_TIMEOUT_MS)
    if answer.ending is upstream.Ending.NOT_SENT:
        return OrderReply.REFUSED, answer.reason
    if answer.ending is not upstream.Ending.COMPLETE:
        return OrderReply.UNKNOWN, answer.reason
    if incarnations.is_other(runner.born_ms,
                             entries.order_born_ms(answer.body)):
        return OrderReply.ENDED, f"{answer.head.status} of another incarnation"
    reply = _REPLY_BY_STATUS.get(answer.head.status, OrderReply.REFUSED)
    return reply, f"{answer.head.status} {answer.body[:120]!r}"


@dataclasses.dataclass(frozen=True, slots=True)
class ReportReply:
    """What came of a request for a report.

    Attributes:
        report: The report; None without a complete answer of status 200 in
            time.
        was_taken: Whether the runner's VM took the request and its process did
            not answer it. On a reused connection that says nothing: it looks
            the same if the VM is gone.
    """

    report: model.Report | None
    was_taken: bool = False


async def fetch_report(pool: upstream.Pool,
                       runner: model.Runner,
                       new_connection: bool = False) -> ReportReply:
    """Asks a runner for its report.

    Args:
        pool: Connections to runners.
        runner: The runner.
        new_connection: Whether to open a connection for this request only.

    Raises:
        BadPeerMessage: The answer's body is no valid report.
    """
    request = fetching.request_bytes(
        "GET", wirenames.REPORT_PATH,
        [("Host", f"{runner.host}:{runner.port}"),
         (wirenames.EXPECT_INSTANCE, runner.instance)])
    answer = await fetching.fetch(pool, (runner.host, runner.port), request,
                                  REPORT_TIMEOUT_MS, new_connection)
    if answer.ending is not upstream.Ending.COMPLETE:
        return ReportReply(
            None, answer.is_timeout and answer.ending is upstream.Ending.BROKEN)
    if answer.head.status != 200:
        return ReportReply(None)
    report = entries.decode_report(runner.id, answer.body)
    return ReportReply(
        dataclasses.replace(report,
                            cold_left_ms=_cold_left_ms(answer, runner.id)))


def _cold_left_ms(answer: fetching.Answer, runner: str) -> float:
    """Returns for how much longer a runner is cold, by its answer.

    A malformed header does not make the report invalid.
    """
    try:
        return flowcontrol.cold_left_ms(answer.head.headers, runner)
    except exceptions.BadPeerMessage as error:
        _LOG.warning(
            logs.line("answer-header-ignored", runner=runner,
                      reason=str(error)))
        return 0.0
