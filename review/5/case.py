"""A configuration takes away the only account; its list of accounts is empty.

Version 8 removes the tenant and its keys; with TROUBLE its list `tenants` is
empty, else it holds another tenant with a key of its own. Its route isn't
public. Later than `revokeMs` after the acknowledgement, callers send requests
with the removed key, with a key that no configuration ever held, and without
one; none of them may run.
"""

import asyncio
import json
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / "common-2"))
import standins as s  # noqa: E402

NODES = 2
NEVER_HELD = "n3v3rh3ld"
REVOKE_S = s.BOUNDS["revoke_ms"] / 1000
# After the bound of revocation.
LATE_S = 1.0
REQUESTS = 5
OTHER = {"name": "bureau", "apiKeys": ["0th3rk3y"], "priority": 1}


def configuration(version, tenants):
    return json.dumps({
        "version": version,
        "routes": [s.route("records", "portal", "non_idempotent")],
        "services": [s.service("portal")],
        "limits": {"headerBytes": 16384, "bodyBytes": 4194304,
                   "headerMs": 3000, "idleMs": 15000},
        "tenants": tenants,
    }).encode()


async def send(node, attempt, key, record):
    """Sends a request on a new connection."""
    record.line(f"sent {attempt} to {node.name} with the key {key}")
    data = s.request_bytes("POST", "/records/1", attempt, 1500, b"{}")
    bearer = f"Authorization: Bearer {s.KEY}\r\n".encode()
    data = data.replace(
        bearer, f"Authorization: Bearer {key}\r\n".encode() if key else b"")
    reader, writer = await asyncio.open_connection(node.host, s.CALLERS_PORT)
    try:
        writer.write(data)
        first, _ = await asyncio.wait_for(s.read_head(reader), 3)
    except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
        first = repr(error)
    finally:
        writer.close()
    record.line(f"{attempt} is answered: {first}")


async def case(folder, record):
    network = s.free_network()
    store = s.Store(f"{network}.1")
    await store.listen()
    hosts = [f"{network}.{number + 2}" for number in range(NODES)]
    nodes = [s.Node(network, number + 1, "praha-a", folder, hosts)
             for number in range(NODES)]
    runner = s.Runner(store, f"{network}.40", "i-0001", "portal", "praha-a",
                      record)
    await runner.start()
    await store.put("op", "config", configuration(
        7, [{"name": s.TENANT, "apiKeys": [s.KEY], "priority": 1}]))
    try:
        for node in nodes:
            node.write_settings(["praha-a"])
            await node.start()
        for node in nodes:
            if not await node.wait_ready():
                return None
        await asyncio.sleep(1)
        for node in nodes:
            await send(node, f"before-{node.host}", s.KEY, record)
        if len(runner.runs) < NODES:
            return None
        tenants = [] if s.TROUBLE else [OTHER]
        await store.put("op", "config", configuration(8, tenants))
        record.line(f"version 8 is acknowledged: tenants {tenants}")
        await asyncio.sleep(REVOKE_S + LATE_S)
        for count in range(REQUESTS):
            for node in nodes:
                for name, key in (("removed", s.KEY), ("never", NEVER_HELD),
                                  ("none", "")):
                    await send(node, f"{name}-{count}-{node.host}", key, record)
    finally:
        for node in nodes:
            await node.end()
    ran = {name: sum(each.startswith(name) for each in runner.runs)
           for name in ("removed", "never", "none")}
    record.line(f"of {REQUESTS * NODES} requests each ran: {ran['removed']} "
                f"with the removed key, {ran['never']} with a key that was "
                f"never held, {ran['none']} without a key")
    return not any(ran.values())


s.main(case)
