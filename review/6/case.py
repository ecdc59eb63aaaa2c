"""A configuration takes a key away and ranks a new route after all others.

Version 8 removes one of a tenant's two keys and adds a route for archive work
that comes last: with TROUBLE its priority is 12, else 9. The pages set no
largest priority. Later than `revokeMs` after the acknowledgement, callers still
send requests with the removed key; none of these may run.
"""

import asyncio
import json
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / "common-2"))
import standins as s  # noqa: E402

NODES = 2
KEPT, REMOVED = "k3pt0k3y", "l34k3dk3y"
LOWEST = 12 if s.TROUBLE else 9
REVOKE_S = s.BOUNDS["revoke_ms"] / 1000
# After the bound of revocation.
LATE_S = 1.0
REQUESTS = 10


def configuration(version, keys, *routes):
    return json.dumps({
        "version": version,
        "routes": list(routes),
        "services": [s.service("portal")],
        "limits": {"headerBytes": 16384, "bodyBytes": 4194304,
                   "headerMs": 3000, "idleMs": 15000},
        "tenants": [{"name": s.TENANT, "apiKeys": keys, "priority": 1}],
    }).encode()


async def send(node, path, attempt, key, record):
    """Sends a request on a new connection and returns the status."""
    record.line(f"sent {attempt} to {node.name}, {path} with {key}")
    reader, writer = await asyncio.open_connection(node.host, s.CALLERS_PORT)
    try:
        data = s.request_bytes("POST", path, attempt, 1500, b"{}")
        writer.write(data.replace(s.KEY.encode(), key.encode()))
        first, _ = await asyncio.wait_for(s.read_head(reader), 3)
    except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
        first = repr(error)
    finally:
        writer.close()
    record.line(f"{attempt} is answered: {first}")
    return first


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
    records = s.route("records", "portal", "non_idempotent")
    await store.put("op", "config", configuration(7, [KEPT, REMOVED], records))
    try:
        for node in nodes:
            node.write_settings(["praha-a"])
            await node.start()
        for node in nodes:
            if not await node.wait_ready():
                return None
        await asyncio.sleep(1)
        for node in nodes:
            await send(node, "/records/1", f"before-{node.host}", REMOVED,
                       record)
        if len(runner.runs) < NODES:
            return None
        archive = s.route("archive", "portal", "non_idempotent",
                          priority=LOWEST)
        await store.put("op", "config",
                        configuration(8, [KEPT], records, archive))
        record.line(f"version 8 is acknowledged: priority {LOWEST}, "
                    f"{REMOVED} is gone")
        await asyncio.sleep(REVOKE_S + LATE_S)
        for count in range(REQUESTS):
            for node in nodes:
                await send(node, "/records/1", f"late-{count}-{node.host}",
                           REMOVED, record)
                await send(node, "/archive/1", f"new-{count}-{node.host}",
                           KEPT, record)
    finally:
        for node in nodes:
            await node.end()
    ran = [each for each in runner.runs if each.startswith("late")]
    new = [each for each in runner.runs if each.startswith("new")]
    record.line(f"{len(ran)} of {REQUESTS * NODES} requests with the removed "
                f"key ran, {len(new)} of {REQUESTS * NODES} on the new route")
    return not ran


s.main(case)
