"""Runs code in simulated time against peers that answer given bytes."""

import asyncio

from cardamommill.experiment import virtualloop
from cardamommill.gateway import upstream

ADDRESS = ("10.9.0.1", 8080)


class Peer(asyncio.Protocol):
    """Answers each request with the next of the given texts."""

    def __init__(self, answers, requests, then):
        self._answers = answers
        self._requests = requests
        self._then = then

    def connection_made(self, transport):
        self._transport = transport

    def data_received(self, data):
        self._requests.append(data)
        if self._answers:
            self._transport.write(self._answers.pop(0))
        if self._then == "reset":
            self._transport.abort()
        elif self._then == "close":
            self._transport.close()


def run(work, answers, then="", seed=1):
    """Returns what the coroutine function gives, and what the peer got."""
    requests = []
    left = list(answers)

    async def main():
        loop = asyncio.get_running_loop()
        await loop.create_server(lambda: Peer(left, requests, then), *ADDRESS)
        with upstream.Pool() as pool:
            return await work(pool)

    with virtualloop.running(seed) as loop:
        return loop.run_until_complete(main()), requests
