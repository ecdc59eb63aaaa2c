"""Calls a node's operators' port for the command line."""

import json
import os
from typing import Any
import urllib.parse

from cardamommill import exceptions, webclient

ADDRESS_VARIABLE = "CARDAMOMMILL_OPERATOR"
KEY_VARIABLE = "CARDAMOMMILL_KEY"
TIMEOUT_S = 20.0


class OperatorClient:
    """One node's operators' port, with the key to it."""

    def __init__(self, address: str = "", key: str = "") -> None:
        """Takes address and key, or else those of the environment.

        Args:
            address: The port's ``ip:port``.
            key: The operators' key.

        Raises:
            CommandError: There is none of either.
        """
        self._address = address or os.environ.get(ADDRESS_VARIABLE, "")
        self._key = key or os.environ.get(KEY_VARIABLE, "")
        for value, flag, variable in ((self._address, "--operator",
                                       ADDRESS_VARIABLE), (self._key, "--key",
                                                           KEY_VARIABLE)):
            if not value:
                raise exceptions.CommandError(f"give {flag} or set {variable}",
                                              step="operators' port")

    def text(self, *path: str) -> str:
        """Returns what a GET answers as text for a person."""
        return self._call("GET", path, accept="text/plain").text().rstrip()

    def json(self,
             method: str,
             *path: str,
             body: object = None,
             query: dict[str, object] | None = None) -> Any:
        """Returns the JSON value that a call answers.

        Args:
            method: The HTTP method.
            *path: Parts of the path, not yet quoted.
            body: What to send, as JSON.
            query: Fields of the query.

        Raises:
            CommandError: The node can't be reached or refuses.
        """
        return self._call(method, path, body, query).json()

    def _call(self,
              method: str,
              path: tuple[str, ...],
              body: object = None,
              query: dict[str, object] | None = None,
              accept: str = "application/json") -> webclient.Answer:
        quoted = "/".join(
            urllib.parse.quote(str(part), safe="") for part in path)
        asked = f"?{urllib.parse.urlencode(query)}" if query else ""
        answer = webclient.call(
            method,
            f"http://{self._address}/{quoted}{asked}",
            body=b"" if body is None else json.dumps(body).encode(),
            headers={
                "Authorization": f"Bearer {self._key}",
                "Accept": accept
            },
            timeout_s=TIMEOUT_S)
        if answer.status >= 400:
            raise self._error(answer)
        return answer

    def _error(self, answer: webclient.Answer) -> exceptions.CommandError:
        try:
            problem = answer.json()
            return exceptions.CommandError(str(problem["detail"]),
                                           step=str(problem["step"]),
                                           peer=str(
                                               problem.get("peer") or
                                               self._address))
        except (ValueError, KeyError, TypeError):
            return exceptions.CommandError(f"status {answer.status}",
                                           step="operators' port",
                                           peer=self._address)
