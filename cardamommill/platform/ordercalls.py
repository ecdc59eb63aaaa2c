"""Orders to runners, and questions about them."""

import enum
import json
from typing import Any

from cardamommill.gateway import fetching, model, orders, upstream
from cardamommill.platform import entries, words

# A runner answers in a few ms; one that is dark never does. An order that was
# not answered is sent again, and one that is late refused by its count.
ORDER_TIMEOUT_MS = 300
REPORT_TIMEOUT_MS = 150


class Reply(enum.Enum):
    """What a runner said of an order."""

    BEGUN = "begun"
    DONE = "done"
    # Its state or its count of orders is not what the order expected.
    UNFIT = "unfit"
    # Another runner has the address, or an epoch was too old.
    REFUSED = "refused"
    # It may be carried out, also later.
    UNKNOWN = "unknown"


_REPLIES = {200: Reply.DONE, 202: Reply.BEGUN, 409: Reply.UNFIT}


def order_body(order: orders.Order) -> dict[str, Any]:
    """Returns an order as the runner takes it."""
    body: dict[str, Any] = {"operation": order.operation.value}
    if order.group is not None:
        body |= {"group": order.group.name, "epoch": order.group.epoch}
    if order.model:
        body["model"] = order.model
    if order.members:
        body["members"] = list(order.members)
    if order.operation is orders.Operation.CLOSE:
        body["closeMode"] = "queue"
    if order.expected_seq is not None:
        body["expected"] = order.expected_seq
    return body


async def send_order(pool: upstream.Pool, runner: model.Runner,
                     order: orders.Order) -> tuple[Reply, str]:
    """Sends an order; returns the reply, and why where it is not done."""
    request = fetching.request_bytes("POST", words.ORDER_PATH, [
        ("Host", f"{runner.host}:{runner.port}"),
        (words.EXPECT_INSTANCE, runner.id),
        ("Content-Type", "application/json"),
    ],
                                     json.dumps(order_body(order)).encode())
    answer = await fetching.fetch(pool, (runner.host, runner.port), request,
                                  ORDER_TIMEOUT_MS)
    if answer.ending is upstream.Ending.NOT_SENT:
        return Reply.REFUSED, answer.reason
    if answer.ending is not upstream.Ending.COMPLETE:
        return Reply.UNKNOWN, answer.reason
    reply = _REPLIES.get(answer.head.status, Reply.REFUSED)
    return reply, f"{answer.head.status} {answer.body[:120]!r}"


async def ask_report(pool: upstream.Pool,
                     runner: model.Runner) -> model.Report | None:
    """Returns a runner's report; None where it gave none in time.

    Raises:
        BadPeerMessage: It answered with something else.
    """
    request = fetching.request_bytes("GET", words.REPORT_PATH,
                                     [("Host", f"{runner.host}:{runner.port}"),
                                      (words.EXPECT_INSTANCE, runner.id)])
    answer = await fetching.fetch(pool, (runner.host, runner.port), request,
                                  REPORT_TIMEOUT_MS)
    if answer.ending is not upstream.Ending.COMPLETE:
        return None
    if answer.head.status != 200:
        return None
    return entries.decode_report(runner.id, answer.body)
