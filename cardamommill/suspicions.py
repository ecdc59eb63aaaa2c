"""What is held against requests, and how news of it are brought together."""

import collections
import dataclasses

from cardamommill import peering

# A request is kept from running after it was in so many distinct crashes:
# chance puts an innocent one beside a guilty one once, hardly twice.
CRASHES_TO_QUARANTINE = 2
MAX_CASES = 4096
MAX_CRASHES = 16
MAX_RAN_WHOLE = 8192

_State = peering.SuspectState


@dataclasses.dataclass(slots=True)
class _Case:
    """The crashes that a request was in.

    Attributes:
        crashes: All that are known.
        cleared: Those that it has since been found innocent of.
    """

    crashes: set[str] = dataclasses.field(default_factory=set)
    cleared: set[str] = dataclasses.field(default_factory=set)

    @property
    def live(self) -> frozenset[str]:
        """The crashes that are held against it."""
        return frozenset(self.crashes - self.cleared)


class Cases:
    """All cases of a node; both sets of each only ever grow.

    So news may come late, twice and in any order: a crash that a request was
    cleared of is not held against it again by somebody who heard less.
    """

    def __init__(self, published: dict[str, peering.Suspicion]) -> None:
        """Makes it.

        Args:
            published: Where the state of each request is kept up to date.
        """
        self._published = published
        self._cases: dict[str, _Case] = {}
        self._ran_whole: collections.OrderedDict[str, None] = (
            collections.OrderedDict())

    def state(self, digest: str) -> peering.Suspicion | None:
        """Returns what is held against a request, if anything ever was."""
        return self._published.get(digest)

    def crashed(self, digest: str, crash: str) -> bool:
        """Takes in that a request ran at a replica that crashed.

        Args:
            digest: Of the request.
            crash: Names the crash.

        Returns:
            Whether anything is now held against it that was not before.
        """
        if digest in self._ran_whole:
            # It has run whole, which a request that crashes every backend
            # server never does. Many callers send the same harmless request;
            # without this it would be in each crash and be quarantined. The
            # excuse holds once, since a new model may fail on it.
            del self._ran_whole[digest]
            return False
        return self._add(digest, frozenset((crash,)), frozenset())

    def ran_whole(self, digest: str) -> bool:
        """Takes in that a request was answered whole.

        Args:
            digest: Of the request.

        Returns:
            Whether that clears it of anything.
        """
        self._ran_whole[digest] = None
        self._ran_whole.move_to_end(digest)
        if len(self._ran_whole) > MAX_RAN_WHOLE:
            self._ran_whole.popitem(last=False)
        return self.clear(digest)

    def clear(self, digest: str) -> bool:
        """Takes everything back that is held against a request now."""
        case = self._cases.get(digest)
        if case is None or not case.live:
            return False
        return self._add(digest, frozenset(), case.live)

    def heard(self, suspicion: peering.Suspicion) -> bool:
        """Takes in what another node or the table says.

        Args:
            suspicion: Its word.

        Returns:
            Whether it was news.
        """
        crashes = frozenset(suspicion.crashes[:MAX_CRASHES])
        if suspicion.state is _State.CLEARED:
            return self._add(suspicion.digest, frozenset(), crashes)
        return self._add(suspicion.digest, crashes, frozenset())

    def _add(self, digest: str, crashes: frozenset[str],
             cleared: frozenset[str]) -> bool:
        case = self._cases.setdefault(digest, _Case())
        before = case.live
        case.crashes |= crashes
        case.cleared |= cleared
        if case.live == before:
            return False
        self._publish(digest, case)
        self._bound()
        return True

    def _publish(self, digest: str, case: _Case) -> None:
        live = case.live
        state = (_State.QUARANTINED if len(live) >= CRASHES_TO_QUARANTINE else
                 _State.SUSPECT if live else _State.CLEARED)
        self._published[digest] = peering.Suspicion(
            digest, state,
            tuple(sorted(live or case.cleared))[:MAX_CRASHES])

    def _bound(self) -> None:
        if len(self._cases) <= MAX_CASES:
            return
        for state in (_State.CLEARED, _State.SUSPECT, _State.QUARANTINED):
            for digest in self._cases:
                known = self._published.get(digest)
                if known is None or known.state is state:
                    del self._cases[digest]
                    self._published.pop(digest, None)
                    return
