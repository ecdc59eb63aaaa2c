"""Processes of a trial deployment, each ended by the one that started it."""

from collections.abc import Callable
import pathlib
import random
import signal
import socket
import subprocess
import sys
import time
from typing import Self
import zipfile

from cardamommill import boottime, exceptions, units

END_TIMEOUT_S = 10.0
READY_TIMEOUT_S = 20.0
# Below the range that outgoing connections get their ports from, so that no
# connection takes a port between its choice and its use.
RESERVING_HOST = "127.0.0.2"
PORTS = range(20_000, 32_000)


def program() -> tuple[str, ...]:
    """Returns what to put before a command's arguments to run this program."""
    if zipfile.is_zipfile(sys.argv[0]):
        return (sys.executable, sys.argv[0])
    return (sys.executable, "-m", "cardamommill")


class Process:
    """A running ``cardamommill`` command; a context manager.

    Attributes:
        name: How messages call it.
        log: The file with its output.
    """

    def __init__(self,
                 name: str,
                 arguments: tuple[str, ...],
                 directory: pathlib.Path,
                 of: tuple[str, ...] = ()) -> None:
        """Starts it.

        Args:
            name: How messages call it.
            arguments: What follows ``cardamommill`` on the command line.
            directory: Where its output is kept.
            of: The program to run; by default the one that runs this.
        """
        self.name = name
        self.log = directory / f"{name}.log"
        with self.log.open("wb") as output:
            self._process = subprocess.Popen([*(of or program()), *arguments],
                                             stdin=subprocess.DEVNULL,
                                             stdout=output,
                                             stderr=subprocess.STDOUT)

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *exception: object) -> None:
        self.end()

    @property
    def pid(self) -> int:
        """The process's id."""
        return self._process.pid

    def running(self) -> bool:
        """Tells whether it has not ended."""
        return self._process.poll() is None

    def kill(self) -> None:
        """Ends it at once, as a crash would."""
        self._process.kill()
        self._process.wait()

    def pause(self) -> None:
        """Makes it stand still."""
        self._process.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Lets it go on."""
        self._process.send_signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Asks it to end gracefully, without waiting."""
        self._process.terminate()

    def wait(self, timeout_s: float) -> int | None:
        """Returns its exit code, or None if it has not ended in time."""
        try:
            return self._process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            return None

    def end(self) -> None:
        """Ends it, gracefully if it can, and waits for that."""
        if not self.running():
            return
        self.resume()
        self.terminate()
        if self.wait(END_TIMEOUT_S) is None:
            self.kill()

    def ready_addresses(self, count: int) -> list[str]:
        """Waits for so many ``ready address=...`` lines of a stand-in.

        Raises:
            CommandError: It ended, or took too long.
        """

        def found() -> list[str]:
            lines = self.log.read_text("utf-8").splitlines()
            return [
                line.split("address=")[1].split()[0]
                for line in lines
                if line.startswith("ready address=")
            ]

        def enough() -> bool:
            if not self.running():
                raise exceptions.CommandError(
                    f"ended: {self.log.read_text('utf-8')[-500:]}",
                    step="start",
                    peer=self.name)
            return len(found()) >= count

        wait_until(enough, f"{self.name} is ready")
        return found()


def wait_until(condition: Callable[[], bool],
               what: str,
               timeout_s: float = READY_TIMEOUT_S,
               every_s: float = 0.02) -> float:
    """Waits until a condition holds, and returns for how long, in seconds.

    Args:
        condition: What is waited for.
        what: The same in words, for the error.
        timeout_s: After which it has not come true.
        every_s: How long to rest between two looks.

    Raises:
        CommandError: It did not hold in time.
    """
    start_ms = boottime.now_ms()
    while not condition():
        if boottime.now_ms() - start_ms > timeout_s * units.MS_PER_S:
            raise exceptions.CommandError(
                f"not within {timeout_s:.0f} s: {what}", step="wait")
        time.sleep(every_s)
    return (boottime.now_ms() - start_ms) / units.MS_PER_S


def free_address(taken: set[int]) -> str:
    """Returns a free address on 127.0.0.1, and adds its port to `taken`."""
    chance = random.SystemRandom()
    while True:
        port = chance.choice(PORTS)
        if port in taken or not _is_free(port) or not _reserve(port):
            continue
        taken.add(port)
        return f"127.0.0.1:{port}"


def _is_free(port: int) -> bool:
    """Tells whether neither TCP nor UDP uses a port; nodes want both."""
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(type=kind) as trial:
            try:
                trial.bind(("127.0.0.1", port))
            except OSError:
                return False
    return True


def _reserve(port: int) -> bool:
    """Keeps other test processes from choosing a port, until this one ends.

    A node binds its port half a second after it was found free. Two processes
    that chose the same one in between failed one of their tests, by chance.
    The same port of another loopback address stands for the choice.
    """
    reservation = socket.socket(type=socket.SOCK_DGRAM)
    try:
        reservation.bind((RESERVING_HOST, port))
    except OSError:
        reservation.close()
        return False
    _reservations.append(reservation)
    return True


_reservations: list[socket.socket] = []
