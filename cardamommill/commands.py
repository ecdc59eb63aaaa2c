"""The commands, each with the imports that it alone needs.

What a command does not need it does not import: a node starts with what it
runs on, and dozens of stand-ins start cheaply.
"""

from collections.abc import Callable
import functools
import getpass
import importlib
import json
import pathlib
import sys
from typing import Any

from cardamommill import exceptions, operatorclient, standins

BENCHES = ("edge", "requests", "fleet")

Client = Callable[[], operatorclient.OperatorClient]


class Service:
    """Documents of services: the only way to change what runs."""

    def __init__(self, client: Client) -> None:
        self._client = client

    def apply(self,
              file: str,
              author: str = "",
              reason: str = "",
              base: int | None = None) -> str:
        """Makes a document the accepted one of its service.

        Args:
            file: The document, a YAML file. If `service get` wrote it, the
                revision that it was made from stands in its first line, and
                a change that somebody else made since then is not undone.
            author: Who you are; by default the name of your account.
            reason: Why.
            base: The revision that it was made from, 0 for a new service.
        """
        text = _read(file)
        service = _documents().parse(text, file).service
        row = self._client().json(
            "POST",
            "services",
            service,
            body=_wish(author, reason) | {
                "document": text,
                "base_revision": _base(text) if base is None else base
            })
        return f"accepted: {service} revision {row['revision']}"

    def get(self, service: str, revision: int = 0) -> str:
        """Prints a document, with the revision to change it from.

        Args:
            service: The service.
            revision: Which one; 0 for the accepted one.
        """
        row = self._client().json("GET",
                                  "services",
                                  service,
                                  query={"revision": revision})
        body = _without_base(row["body"])
        return f"{BASE_MARK}{row['revision']}\n{body}".rstrip()

    def list(self) -> str:
        """Prints each service and the revision of its accepted document."""
        revisions = self._client().json("GET", "services")
        return "\n".join(
            f"{service} revision {number}"
            for service, number in sorted(revisions.items())) or "none"

    def history(self, service: str) -> str:
        """Prints who changed a document, when and why.

        Args:
            service: The service.
        """
        rows = self._client().json("GET", "services", service, "history")
        return "\n".join(f"{row['revision']:>5}  {row['at']}  {row['author']}  "
                         f"{row['reason']}" for row in rows) or "none"

    def diff(self, service: str, old: int, new: int = 0) -> str:
        """Prints how two revisions differ.

        Args:
            service: The service.
            old: A revision.
            new: Another; 0 for the accepted one.
        """
        return str(self._client().json("GET",
                                       "services",
                                       service,
                                       "diff",
                                       query={
                                           "old": old,
                                           "new": new
                                       }))

    def rollback(self,
                 service: str,
                 revision: int,
                 author: str = "",
                 reason: str = "") -> str:
        """Makes an old document a new revision.

        Args:
            service: The service.
            revision: The one that is to be in force again.
            author: Who you are; by default the name of your account.
            reason: Why.
        """
        row = self._client().json("POST",
                                  "services",
                                  service,
                                  "rollback",
                                  body=_wish(author, reason) |
                                  {"revision": revision})
        return f"accepted: {service} revision {row['revision']}"


class Quarantine:
    """Requests that crashed backend servers and are not run any more."""

    def __init__(self, client: Client) -> None:
        self._client = client

    def list(self) -> str:
        """Prints what is held against which request."""
        suspects = self._client().json("GET", "quarantine")
        return "\n".join(f"{each['digest']}  {each['state']}  crashed "
                         f"{', '.join(each['crashes'])}"
                         for each in suspects) or "none"

    def lift(self, digest: str, author: str = "", reason: str = "") -> str:
        """Lets a request run again.

        Args:
            digest: Of the request, as `quarantine list` prints it.
            author: Who you are; by default the name of your account.
            reason: Why.
        """
        changed = self._client().json("DELETE",
                                      "quarantine",
                                      digest,
                                      body=_wish(author, reason))
        return "lifted" if changed else "it was not in quarantine"


class Settings:
    """Settings of nodes."""

    def check(self, file: str) -> str:
        """Checks a file of settings, and prints every fault in it.

        Args:
            file: The settings, a YAML file.
        """
        settings = importlib.import_module("cardamommill.settings")
        node = settings.load(pathlib.Path(file)).node
        return f"{file}: settings of {node}, no fault"


class Commands:
    """A serving system for models that span several VMs."""

    def __init__(self, operator: str = "", key: str = "") -> None:
        """Takes what all commands share.

        Args:
            operator: Address of the operators' port of a node, for `drain`
                and `explain` one in the right data centre; by default that
                in the environment variable CARDAMOMMILL_OPERATOR.
            key: The operators' key; by default that in CARDAMOMMILL_KEY,
                which other users of the machine do not see.
        """
        self._client = functools.partial(operatorclient.OperatorClient,
                                         str(operator), str(key))
        self.standin = standins.Standin()
        self.service = Service(self._client)
        self.quarantine = Quarantine(self._client)
        self.settings = Settings()

    def node(self, settings: str) -> None:
        """Runs a node until it is told to end.

        Args:
            settings: Its settings, a YAML file.
        """
        settings_lib = importlib.import_module("cardamommill.settings")
        checked = settings_lib.load(pathlib.Path(settings))
        node_lib = importlib.import_module("cardamommill.node")
        with node_lib.Node(checked) as node:
            node.run()

    def entry(self, settings: str) -> None:
        """Runs an entry VM on a platform that keeps the runners' list.

        Args:
            settings: Its settings, a YAML file.
        """
        importlib.import_module("cardamommill.gateway.shell.starting").run(
            settings)

    def status(self, json: bool = False) -> str:
        """Prints what a node knows of its data centre.

        Args:
            json: Whether to print JSON.
        """
        return self._shown(("status",), json)

    def explain(self,
                kind: str,
                name: str,
                json: bool = False,
                logs: str = "") -> str:
        """Prints how something is, and how it came to be so.

        Args:
            kind: replica, request, vm or service.
            name: Its id.
            json: Whether to print JSON.
            logs: Files with the output of nodes, separated by commas; from
                these alone a request is then explained, and no node asked.

        Raises:
            CommandError: Logs explain requests alone.
        """
        if logs:
            if kind != "request":
                raise exceptions.CommandError("logs explain requests alone",
                                              step="explain")
            loglines = importlib.import_module("cardamommill.loglines")
            return str(loglines.explain_request(str(name), _files(logs)))
        return self._shown(("explain", kind, name), json)

    def latency(self, logs: str) -> None:
        """Prints where requests lose time, by route, second and group.

        Args:
            logs: Files with the output of nodes, separated by commas.

        Raises:
            InputError: Some lines can't be read; the others are told before.
        """
        latency = importlib.import_module("cardamommill.latency")
        ends, faults = latency.read(_files(logs))
        print(latency.report(ends))
        latency.refuse(faults)

    def _shown(self, path: tuple[str, ...], as_json: bool) -> str:
        client = self._client()
        if as_json:
            return _dumped(client.json("GET", *path))
        return client.text(*path)

    def drain(self, vm: str, author: str = "", reason: str = "") -> str:
        """Has a VM emptied: no new work, its replica goes elsewhere.

        Args:
            vm: The VM.
            author: Who you are; by default the name of your account.
            reason: Why.
        """
        changed = self._client().json("PUT",
                                      "drains",
                                      vm,
                                      body=_wish(author, reason))
        return f"{vm} is drained" if changed else f"{vm} was drained already"

    def undrain(self, vm: str) -> str:
        """Lets a drained VM be used again.

        Args:
            vm: The VM.
        """
        changed = self._client().json("DELETE", "drains", vm)
        return f"{vm} may be used" if changed else f"{vm} was not drained"

    def debug(self) -> str:
        """Prints figures of a node's process."""
        return _dumped(self._client().json("GET", "debug"))

    def demo(self) -> None:
        """Shows the main job on this machine, in under a minute."""
        importlib.import_module("cardamommill.demo").run()

    def bench(self, *names: str) -> None:
        """Measures what is promised, against plain baselines in the same run.

        Args:
            *names: Some of edge, requests and fleet; all of them if empty.

        Raises:
            CommandError: There is no bench of such a name.
        """
        unknown = sorted(set(names) - set(BENCHES))
        if unknown:
            raise exceptions.CommandError(
                f"no bench {', '.join(unknown)}; there are "
                f"{', '.join(BENCHES)}",
                step="bench")
        for name in names or BENCHES:
            print(f"== {name}")
            importlib.import_module(f"cardamommill.bench_{name}").main()

    def experiment(self, *files: str, seeds: int = 1, page: str = "") -> str:
        """Plays whole nodes against a model of the platform, in simulated time.

        Args:
            *files: Experiments, YAML files; see examples/experiments.
            seeds: How many runs of each variant.
            page: A file for a page with plots; none if empty.

        Raises:
            CommandError: A run broke a rule.
        """
        deployments = importlib.import_module(
            "cardamommill.experiment.deployments")
        comparing = importlib.import_module("cardamommill.experiment.comparing")
        played = []
        for file in files:
            for each in comparing.play_all(deployments.load(pathlib.Path(file)),
                                           int(seeds)):
                played.append(each)
                print(f"{len(played)}: {', '.join(each.row())}",
                      file=sys.stderr,
                      flush=True)
        if page:
            importlib.import_module("cardamommill.experiment.page").write(
                pathlib.Path(page), played)
        broken = [
            f"{violation.rule}: {violation.text}" for each in played
            for violation in each.outcome.violations
        ]
        print(comparing.table([each.row() for each in played]))
        if broken:
            raise exceptions.CommandError("; ".join(broken[:10]),
                                          step="experiment")
        return f"{len(played)} runs, no rule broken"

    def trial(self, seed: int = 1, seconds: float = 60) -> None:
        """Lets real processes fail under load, and checks all answers.

        Args:
            seed: For all chance in it.
            seconds: For how long things fail.
        """
        importlib.import_module("cardamommill.trial").main(seed, seconds)

    def version(self) -> str:
        """Prints the version."""
        package: Any = importlib.import_module("cardamommill")
        return f"cardamommill {package.__version__}, Python " + (
            sys.version.split()[0])


# The first line of a document that `service get` printed.
BASE_MARK = "# made from revision "


def _files(names: str) -> list[pathlib.Path]:
    return [pathlib.Path(each) for each in str(names).split(",")]


def _wish(author: str, reason: str) -> dict[str, Any]:
    return {"author": str(author or getpass.getuser()), "reason": str(reason)}


def _base(text: str) -> int | None:
    first = text.split("\n", 1)[0]
    number = first.removeprefix(BASE_MARK).strip()
    return int(
        number) if first.startswith(BASE_MARK) and number.isdigit() else None


def _without_base(text: str) -> str:
    return text.split("\n", 1)[-1] if text.startswith(BASE_MARK) else text


def _read(file: str) -> str:
    try:
        return pathlib.Path(file).read_text("utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise exceptions.CommandError(f"can't be read: {error}",
                                      step="read",
                                      peer=file) from error


def _documents() -> Any:
    return importlib.import_module("cardamommill.documents")


def _dumped(value: Any) -> str:
    return json.dumps(value, indent=2)
