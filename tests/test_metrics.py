"""Tests of the figures."""

from cardamommill import metrics


def test_latencies_are_rendered_with_quantiles_in_seconds():
    figures = metrics.Metrics()
    for value_ms in range(1, 101):
        figures.observe_ms("first_byte", value_ms, service="s")
    lines = figures.render().splitlines()
    name = "cardamommill_first_byte_seconds"
    assert f"# TYPE {name} summary" in lines
    assert f'{name}_count{{service="s"}} 100' in lines
    (median,) = (line for line in lines if 'quantile="0.5"' in line)
    assert 0.049 <= float(median.split()[1]) <= 0.051


def test_counters_and_gauges_are_rendered_once_typed():
    figures = metrics.Metrics()
    figures.count("requests_total", service='a"\n')
    figures.count("requests_total", 2, service="b")
    figures.collect(lambda: [
        metrics.Sample("replicas", 2, (("service", "s"),)),
        metrics.Sample("ready", True)
    ])
    assert figures.render() == (
        "# TYPE cardamommill_ready gauge\n"
        "cardamommill_ready 1\n"
        "# TYPE cardamommill_replicas gauge\n"
        'cardamommill_replicas{service="s"} 2\n'
        "# TYPE cardamommill_requests_total counter\n"
        'cardamommill_requests_total{service="a\\"\\n"} 1\n'
        'cardamommill_requests_total{service="b"} 2\n')


def test_memory_is_bounded():
    figures = metrics.Metrics()
    for n in range(metrics.MAX_COUNTERS + 10):
        figures.count("x", label=str(n))
    for n in range(metrics.MAX_LATENCIES + 10):
        figures.observe_ms("y", 1, label=str(n))
    rendered = figures.render()
    assert rendered.count("_x{") == metrics.MAX_COUNTERS
    assert rendered.count("_count{") == metrics.MAX_LATENCIES
