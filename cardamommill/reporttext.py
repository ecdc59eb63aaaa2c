"""Status and explanations as text that a person can read."""

from collections.abc import Iterable, Sequence

from cardamommill import explaining, report, units


def status(value: report.Status) -> str:
    """Returns a status as a short report."""
    parts = [
        _head(value.node),
        _table(("SERVICE", "REVISION", "BY", "SERVING", "SPARES", "RUNNING",
                "QUEUED", "WAIT"),
               ((each.service, each.revision, each.author,
                 f"{each.serving} of {each.wanted}", each.spares, each.running,
                 each.queued, f"{each.wait_ms} ms")
                for each in value.services)),
        _table(("REPLICA", "SERVICE", "EPOCH", "FORMATION", "LOAD", "STATE"),
               ((each.replica_id, each.service, each.epoch, each.formation,
                 f"{each.running}/{each.slots}", _state(each))
                for each in value.replicas)),
        _vms(value.vms),
        _table(
            ("PEER", "HEARD", "READY"),
            ((each.node, _age(each.heard_ms_ago), "yes" if each.ready else "no")
             for each in value.peers)),
        _table(("DATA CENTRE", "SERVICE", "FREE", "WAIT", "REVISION", "AGE"),
               ((each.data_centre, each.service, each.free_slots,
                 f"{each.wait_ms} ms", each.revision, _age(each.age_ms))
                for each in value.elsewhere)),
        _table(("SUSPECT REQUEST", "STATE", "CRASHED"),
               ((each.digest[:16], each.state, ", ".join(each.crashes))
                for each in value.suspects)),
    ]
    return "\n\n".join(part for part in parts if part) + "\n"


def _head(node: report.NodePart) -> str:
    lines = [
        f"{node.node} in {node.data_centre}: {node.phase}, "
        f"{'ready' if node.ready else 'not ready'}"
    ]
    if node.planner:
        lines.append(f"planner: {node.planner}, epoch {node.planner_epoch}")
    else:
        lines.append("planner: none is known")
    if node.cut_off:
        silent = ("never answered" if node.table_age_ms == report.UNKNOWN_AGE
                  else f"silent for {_age(node.table_age_ms)}")
        lines.append(f"THE TABLE IS OUT OF REACH ({silent}): documents and "
                     "assignments are as of then")
    return "\n".join(lines)


def _state(replica: report.ReplicaPart) -> str:
    if replica.serving:
        return "serving"
    return "does not serve: " + "; ".join(replica.faults)


def _vms(vms: report.VmsPart) -> str:
    text = (f"VMs: {vms.listed} listed, {vms.heard} heard, {vms.member} "
            f"members, {vms.spare} spares, {vms.releasing} releasing, "
            f"{vms.free} free")
    if vms.leaving:
        text += f"; leaving: {', '.join(vms.leaving)}"
    return text


def _age(age_ms: int) -> str:
    return f"{age_ms / units.MS_PER_S:.1f} s"


def _table(head: Sequence[str], rows: Iterable[Sequence[object]]) -> str:
    texts = [[str(cell) for cell in row] for row in rows]
    if not texts:
        return ""
    widths = [
        max(len(row[column])
            for row in [list(head), *texts])
        for column in range(len(head))
    ]
    return "\n".join("  ".join(
        cell.ljust(width)
        for cell, width in zip(row, widths, strict=True)).rstrip()
                     for row in [list(head), *texts])


def explanation(value: explaining.Explanation) -> str:
    """Returns an explanation as a short report."""
    lines = [value.subject, ""]
    lines += value.now
    if value.history:
        lines += ["", "How it came to be:"]
        lines += [
            f"  {line.at or '-':24}  {line.node:12}  {line.event}: "
            f"{line.detail}" for line in value.history
        ]
    return "\n".join(lines) + "\n"
