"""How a process ends: its exit code, and what it says on standard error."""

from collections.abc import Iterator
import contextlib
import os
import sys

from cardamommill import exceptions

EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_FAULT = 70
EXIT_INTERRUPTED = 130
DEBUG_VARIABLE = "CARDAMOMMILL_DEBUG"


@contextlib.contextmanager
def told() -> Iterator[None]:
    """Ends the process by what its work raises.

    Exit codes: 0 done; 1 it could not be done, and standard error says at
    which step and peer; 2 wrong usage or input; 70 a fault of this program;
    130 it was interrupted.
    """
    try:
        yield
    except exceptions.InputError as error:
        _end(str(error), EXIT_USAGE)
    except exceptions.CardamommillError as error:
        _end(str(error), EXIT_FAILED)
    except KeyboardInterrupt:
        _end("interrupted", EXIT_INTERRUPTED)
    except BrokenPipeError:
        # Whoever read the output has had enough; not for the person.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        sys.exit(EXIT_FAILED)
    except Exception as error:
        if os.environ.get(DEBUG_VARIABLE):
            raise
        _end(
            f"a fault of this program: {error!r}; with {DEBUG_VARIABLE}=1 it "
            "shows where", EXIT_FAULT)


def _end(message: str, code: int) -> None:
    print(f"cardamommill: {message}", file=sys.stderr)
    sys.exit(code)
