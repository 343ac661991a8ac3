"""A replica that never says `draining` sends Instances.Deregister, serves on and ends. Its last beat, which it sent just
before, comes two seconds late. TROUBLE=0: the beat comes at once."""
import asyncio
import time

import case
from deployment import BOUNDS
from wire import Client

BEATS_BEFORE = 68
LATE_S = 2.0
DRAIN_S = BOUNDS["drain_ms"] / 1000
SERVES_ON_S = DRAIN_S + 4.0


async def read_forever(deployment, machine, reader, record):
    """One client: single reads of the route that replicas may serve."""
    number, client = 0, None
    while True:
        number += 1
        try:
            if client is None:
                client = await Client.open(deployment.client_address(machine), "xapu221", "u3f1")
            answer = await client.query(f"r{reader}n{number}", "READ 1a4")
            record.quiet("client", f"r{reader}n{number}", "answered", answer)
            if answer[-1] is None:
                client = None
        except OSError:
            client = None
        await asyncio.sleep(0.05)


async def leave(deployment, service, record):
    server = next(one for one in service.servers.values() if one.role == "replica")
    while server.beats < BEATS_BEFORE:
        await asyncio.sleep(0.1)
    deployment.beating[server.name].cancel()
    for reader in range(6):
        machine = deployment.machines[reader % len(deployment.machines)]
        deployment.tasks.append(asyncio.create_task(read_forever(deployment, machine, reader, record)))
    await asyncio.sleep(2.0)
    last_beat = server.beat()
    record("server", server.name, "sends its last beat", last_beat)

    async def deliver():
        status, _ = await deployment.control("POST", f"/v1/Instances.Heartbeat/{server.name}", last_beat)
        record("this beat arrives and is answered", status)

    if not case.trouble():
        await deliver()
    status, _ = await deployment.control("POST", f"/v1/Instances.Deregister/{server.name}")
    gone_at = time.monotonic()
    record("server", server.name, "deregisters, answered", status)
    if status != 200:
        return None
    await asyncio.sleep(LATE_S)
    if case.trouble():
        await deliver()
    await asyncio.sleep(gone_at + SERVES_ON_S - time.monotonic())
    record("server", server.name, "ends")
    server.stop()
    arrivals = [run for run in service.runs if run[1] == server.name and run[0] > gone_at]
    for second in range(int(SERVES_ON_S) + 1):
        count = sum(gone_at + second <= run[0] < gone_at + second + 1 for run in arrivals)
        record(f"clients' statements that reached it {second} to {second + 1} s after the acknowledgement: {count}")
    late = [run for run in arrivals if run[0] > gone_at + DRAIN_S]
    for run in late[:5]:
        record(f"  {run[2]} {run[3]} reached it {run[0] - gone_at:.3f} s after the acknowledgement")
    total = sum(run[0] > gone_at for run in service.runs)
    record(f"{total} statements ran at all servers since, {len(late)} of them at the one that is gone, too late")
    return None if total < 100 else not late


case.main(leave, [("lepu270", "primary", 1000, 200), ("xapu221", "bounded_staleness", 3000, 800)])
