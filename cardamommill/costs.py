"""When waiting for a silent VM has cost as much as replacing it would.

Nobody knows how long a silent VM stays silent. Waiting until the cost of the
wait equals the price of the replacement, and only then paying it, never costs
more than twice what a planner would pay that knew (the rule for renting or
buying skis).
"""

from cardamommill import documents, units


def preload_after_ms(document: documents.Document) -> int:
    """Returns the silence after which a VM loads weights to replace another.

    Args:
        document: The service's document.
    """
    return _even_ms(document, vms=1)


def rebuild_after_ms(document: documents.Document) -> int:
    """Returns the silence after which a whole replica is built elsewhere.

    Args:
        document: The service's document.
    """
    return _even_ms(document, vms=document.replica_vms)


def _even_ms(document: documents.Document, vms: int) -> int:
    costs = document.costs
    # While a member is missing, the others are stranded too.
    waiting = costs.downtime + costs.stranded * (document.replica_vms - 1)
    loading = costs.stranded * costs.load_s * vms
    return round(units.MS_PER_S * loading / waiting) if waiting else 0
