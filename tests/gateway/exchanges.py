"""Runs code in simulated time against a peer that answers given bytes."""

import asyncio

from cardamommill.experiment import virtualloop
from cardamommill.transport import upstream

ADDRESS = ("10.9.0.1", 8080)


class Peer(asyncio.Protocol):
    """Answers each request with the next of the given byte strings."""

    def __init__(self, answers, requests, after_answer):
        self._answers = answers
        self._requests = requests
        self._after_answer = after_answer

    def connection_made(self, transport):
        self._transport = transport

    def data_received(self, data):
        self._requests.append(data)
        if self._answers:
            self._transport.write(self._answers.pop(0))
        if self._after_answer == "reset":
            self._transport.abort()
        elif self._after_answer == "close":
            self._transport.close()


def run(script, answers, after_answer="", seed=1):
    """Runs a script with a connection pool and a peer.

    Args:
        script: A coroutine function that is called with the pool.
        answers: What the peer answers, one for each received block of bytes.
        after_answer: What the peer then does with its connection: "reset",
            "close" or nothing.
        seed: The seed of the simulated network.

    Returns:
        The result of the script, and the requests that the peer received.
    """
    requests = []
    remaining = list(answers)

    async def main():
        loop = asyncio.get_running_loop()
        await loop.create_server(
            lambda: Peer(remaining, requests, after_answer), *ADDRESS)
        with upstream.Pool() as pool:
            return await script(pool)

    with virtualloop.running(seed) as loop:
        return loop.run_until_complete(main()), requests
