"""Counters and latencies, rendered as text for ``/metrics``."""

from collections.abc import Callable, Iterable
import dataclasses
import threading

from hdrh import histogram

from cardamommill import units

PREFIX = "cardamommill"
MIN_LATENCY_US = 1
MAX_LATENCY_US = 600_000_000
DIGITS = 2
QUANTILES = (0.5, 0.9, 0.99, 0.999)
# Label values come from documents, never from callers; these bound memory
# whatever the documents hold: a latency takes some 24 KB, a counter 200 bytes.
MAX_COUNTERS = 2000
MAX_LATENCIES = 200

Labels = tuple[tuple[str, str], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """A figure as it is at this moment.

    Attributes:
        name: Such as ``replicas_serving``.
        value: The figure.
        labels: What it is of, in pairs of name and text.
    """

    name: str
    value: float
    labels: Labels = ()


@dataclasses.dataclass(slots=True)
class _Latency:
    histogram: histogram.HdrHistogram
    count: int = 0
    sum_us: int = 0


class Metrics:
    """All figures of a node; thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._counters: dict[tuple[str, Labels], float] = {}
        self._latencies: dict[tuple[str, Labels], _Latency] = {}
        self._collected: list[Callable[[], Iterable[Sample]]] = []

    def count(self, name: str, amount: float = 1, **labels: str) -> None:
        """Adds to a counter, such as ``requests_total``."""
        series = (name, tuple(sorted(labels.items())))
        with self._lock:
            if series in self._counters or len(self._counters) < MAX_COUNTERS:
                self._counters[series] = self._counters.get(series, 0) + amount

    def observe_ms(self, name: str, value_ms: float, **labels: str) -> None:
        """Notes a latency, such as ``first_byte`` (rendered in seconds)."""
        value_us = min(max(int(value_ms * units.US_PER_MS), MIN_LATENCY_US),
                       MAX_LATENCY_US)
        series = (name, tuple(sorted(labels.items())))
        with self._lock:
            latency = self._latencies.get(series)
            if latency is None:
                if len(self._latencies) >= MAX_LATENCIES:
                    return
                latency = self._latencies[series] = _Latency(
                    histogram.HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US,
                                           DIGITS))
            latency.histogram.record_value(value_us)
            latency.count += 1
            latency.sum_us += value_us

    def collect(self, read: Callable[[], Iterable[Sample]]) -> None:
        """Has figures read anew at each rendering."""
        self._collected.append(read)

    def render(self) -> str:
        """Returns all figures in the text format of Prometheus."""
        lines: list[str] = []
        typed: set[str] = set()
        for read in self._collected:
            for sample in sorted(read(), key=lambda each: each.name):
                if sample.name not in typed:
                    lines.append(f"# TYPE {PREFIX}_{sample.name} gauge")
                    typed.add(sample.name)
                lines.append(f"{PREFIX}_{sample.name}"
                             f"{_braces(sample.labels)} {sample.value:g}")
        with self._lock:
            for (name, labels), value in sorted(self._counters.items()):
                if name not in typed:
                    lines.append(f"# TYPE {PREFIX}_{name} counter")
                    typed.add(name)
                lines.append(f"{PREFIX}_{name}{_braces(labels)} {value:g}")
            for (name, labels), latency in sorted(self._latencies.items(),
                                                  key=lambda item: item[0]):
                lines += _summary(f"{PREFIX}_{name}_seconds", labels, latency,
                                  typed)
        return "\n".join(lines) + "\n"


def _summary(name: str, labels: Labels, latency: _Latency,
             typed: set[str]) -> list[str]:
    lines = []
    if name not in typed:
        lines.append(f"# TYPE {name} summary")
        typed.add(name)
    for quantile in QUANTILES:
        value_us = latency.histogram.get_value_at_percentile(quantile * 100)
        with_quantile = (*labels, ("quantile", f"{quantile:g}"))
        lines.append(f"{name}{_braces(with_quantile)} "
                     f"{value_us / units.US_PER_S:.6f}")
    return [
        *lines,
        f"{name}_sum{_braces(labels)} {latency.sum_us / units.US_PER_S:.6f}",
        f"{name}_count{_braces(labels)} {latency.count}",
    ]


def _braces(labels: Labels) -> str:
    if not labels:
        return ""
    pairs = ",".join(f'{name}="{_escaped(text)}"' for name, text in labels)
    return f"{{{pairs}}}"


def _escaped(text: str) -> str:
    return text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
