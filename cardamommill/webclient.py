"""One HTTP call at a time, waited for; for the command line and the demo."""

from collections.abc import Callable, Mapping
import dataclasses
import io
import json
from typing import Any

import pycurl

from cardamommill import exceptions

DEFAULT_TIMEOUT_S = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """An answer that came whole.

    Attributes:
        status: The HTTP status.
        headers: Header fields, by lower-case name.
        body: The body.
    """

    status: int
    headers: Mapping[str, str]
    body: bytes

    def text(self) -> str:
        """Returns the body as text."""
        return self.body.decode("utf-8", "replace")

    def json(self) -> Any:
        """Returns the body's JSON value; raises ValueError."""
        return json.loads(self.body)


def call(method: str,
         url: str,
         *,
         body: bytes = b"",
         headers: Mapping[str, str] | None = None,
         timeout_s: float = DEFAULT_TIMEOUT_S,
         on_chunk: Callable[[bytes], None] | None = None) -> Answer:
    """Makes a call and returns its answer, whatever its status.

    Args:
        method: The HTTP method.
        url: Where to.
        body: What to send.
        headers: What to send along.
        timeout_s: After which it has failed.
        on_chunk: Sees the body as it comes.

    Raises:
        CommandError: No whole answer came.
    """
    received = io.BytesIO()
    fields: dict[str, str] = {}

    def take(chunk: bytes) -> None:
        received.write(chunk)
        if on_chunk is not None:
            on_chunk(chunk)

    def take_header(line: bytes) -> None:
        name, colon, text = line.decode("latin-1").partition(":")
        if colon:
            fields[name.strip().lower()] = text.strip()

    curl = pycurl.Curl()
    try:
        curl.setopt(pycurl.URL, url)
        curl.setopt(pycurl.CUSTOMREQUEST, method)
        curl.setopt(pycurl.TIMEOUT_MS, int(timeout_s * 1000))
        curl.setopt(pycurl.NOSIGNAL, 1)
        curl.setopt(pycurl.PROXY, "")
        curl.setopt(pycurl.WRITEFUNCTION, take)
        curl.setopt(pycurl.HEADERFUNCTION, take_header)
        curl.setopt(pycurl.HTTPHEADER, [b"Expect:"] + [
            f"{name}: {text}".encode()
            for name, text in (headers or {}).items()
        ])
        if body:
            curl.setopt(pycurl.POSTFIELDS, body)
        curl.perform()
        status = int(curl.getinfo(pycurl.RESPONSE_CODE))
    except pycurl.error as error:
        raise exceptions.CommandError(f"no whole answer: {error}",
                                      step=f"{method} call",
                                      peer=url) from error
    finally:
        curl.close()
    return Answer(status, fields, received.getvalue())
