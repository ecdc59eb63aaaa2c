"""Figures of a node's status, for ``/metrics``; what alarms are set on."""

from collections.abc import Iterator

from cardamommill import metrics, report, units


def samples(status: report.Status) -> Iterator[metrics.Sample]:
    """Yields the figures of a status.

    Args:
        status: What the node knows.
    """
    node, vms = status.node, status.vms
    yield metrics.Sample("ready", node.ready)
    yield metrics.Sample("cut_off", node.cut_off)
    yield metrics.Sample("table_age_seconds",
                         node.table_age_ms / units.MS_PER_S)
    yield metrics.Sample("planner_known", bool(node.planner))
    yield metrics.Sample("peers_heard", len(status.peers))
    yield metrics.Sample("suspects", len(status.suspects))
    for service in status.services:
        labels = (("service", service.service),)
        for name, value in (("replicas_wanted", service.wanted),
                            ("replicas_serving", service.serving),
                            ("document_revision", service.revision),
                            ("requests_running", service.running),
                            ("requests_queued", service.queued)):
            yield metrics.Sample(name, value, labels)
    for use, count in (("member", vms.member), ("spare", vms.spare),
                       ("releasing", vms.releasing), ("free", vms.free)):
        yield metrics.Sample("vms", count, (("use", use),))
    yield metrics.Sample("vms_stranded", stranded(status))


def stranded(status: report.Status) -> int:
    """Returns how many VMs are held but belong to no serving replica.

    Args:
        status: What the node knows.
    """
    idle_members = sum(
        len(each.members) for each in status.replicas if not each.serving)
    return idle_members + status.vms.spare + status.vms.releasing
