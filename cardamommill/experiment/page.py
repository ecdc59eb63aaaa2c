"""Writes a static HTML page with plots of experiments."""

import html
import io
import pathlib

from matplotlib import figure

from cardamommill.experiment import comparing

OUTCOMES = {
    "in-aim": "#3a7d44",
    "late": "#e0a030",
    "refused": "#8899bb",
    "failed": "#c0392b"
}
BIN_S = 1.0
STYLE = """body{font:15px sans-serif;max-width:70em;margin:2em auto;color:#222}
table{border-collapse:collapse}td,th{padding:.2em .7em;text-align:left;
border-bottom:1px solid #ddd}svg{max-width:100%;height:auto}"""


def write(path: pathlib.Path, played: list[comparing.Played]) -> None:
    """Writes the page with a table and plots of all runs.

    Args:
        path: The HTML file to write.
        played: All runs, in the order in which they are shown.
    """
    parts = [
        "<!doctype html><meta charset='utf-8'><title>Experiments</title>",
        f"<style>{STYLE}</style><h1>Experiments</h1><table><tr>"
    ]
    parts += [f"<th>{html.escape(each)}</th>" for each in comparing.COLUMNS]
    parts.append("</tr>")
    for each in played:
        cells = "".join(f"<td>{html.escape(cell)}</td>" for cell in each.row())
        parts.append(f"<tr>{cells}</tr>")
    parts.append("</table>")
    for each in played:
        title = f"{each.outcome.name}, {each.variant}, seed {each.seed}"
        parts.append(f"<h2>{html.escape(title)}</h2>{_plots(each)}")
    path.write_text("\n".join(parts), encoding="utf-8")


def _plots(played: comparing.Played) -> str:
    chart = figure.Figure(figsize=(11, 6.5), layout="constrained")
    above, middle, below = chart.subplots(3, 1, sharex=True)
    outcome = played.outcome
    start_ms = outcome.started_ms
    bins = int(
        max((each.at_ms - start_ms
             for each in outcome.results), default=0.0) / 1000 / BIN_S) + 1
    times = [number * BIN_S for number in range(bins)]
    bottom = [0] * bins
    for name, colour in OUTCOMES.items():
        counts = [0] * bins
        for each in outcome.results:
            if each.outcome == name:
                counts[int((each.at_ms - start_ms) / 1000 / BIN_S)] += 1
        above.bar(times, counts, BIN_S, bottom, color=colour, label=name)
        bottom = [a + b for a, b in zip(bottom, counts, strict=True)]
    above.set_ylabel("requests")
    above.legend(loc="upper right", ncols=4, fontsize="small")
    served = [each for each in outcome.results if each.first_ms]
    middle.scatter([(each.at_ms - start_ms) / 1000 for each in served],
                   [each.first_ms for each in served],
                   s=4,
                   color="#335")
    middle.set_yscale("log")
    middle.set_ylabel("first event, ms")
    names = sorted(
        {name for _, counts in outcome.open_groups for name in counts})
    for name in names:
        below.step(
            [(at_ms - start_ms) / 1000 for at_ms, _ in outcome.open_groups],
            [counts.get(name, 0) for _, counts in outcome.open_groups],
            label=name)
    below.set_ylabel("open groups")
    below.set_xlabel("seconds")
    if names:
        below.legend(loc="lower right", fontsize="small")
    text = io.StringIO()
    chart.savefig(text, format="svg")
    svg = text.getvalue()
    return svg[svg.index("<svg"):]
