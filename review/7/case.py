"""A server that deregisters first and serves on, two of whose heartbeats come seconds late."""
import asyncio
import os
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standin2"))
from deployment import Deployment, configuration, route  # noqa: E402
from group import Group  # noqa: E402
from record import Record  # noqa: E402
from wire import Client, Closed, http  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
STEP = int(os.environ.get("STEP", "1200"))
DRAIN_S = 7.0
SERVES_ON_S = 13.0


async def read(record, deployment, number, until):
    """One client: looks orders up one after the other."""
    client = None
    while not until.is_set():
        try:
            if client is None:
                client = Client(record, f"r{number}")
                ready = await client.open(deployment.client_address(number % 3), "status")
                if not ready.startswith("READY"):
                    raise Closed(ready)
            answer = await client.query(f"READ rx{number}", timeout=5)
            if answer["ended"]:
                raise Closed(answer["ended"])
            await asyncio.sleep(0.05)
        except (OSError, Closed, asyncio.TimeoutError):
            if client is not None:
                client.close()
            client = None
            await asyncio.sleep(0.1)


async def play(record):
    deployment = Deployment(record)
    group = Group(record, "scripdb", deployment.server_addresses(3))
    until, runs = asyncio.Event(), []
    try:
        platform = await deployment.start_platform([group])
        await group.start()
        for server in group.servers:
            server.seq_step = STEP
        deployment.start_all()
        beats = asyncio.create_task(group.beats(deployment.control))
        routes = [route("rx-order", "orders", "scripdb"),
                  route("rx-status", "status", "scripdb", "bounded_staleness", timeout_ms=3000, target_ms=800)]
        if await deployment.configure(configuration(1, routes, ["scripdb"])) != 200:
            return 2
        for index in range(3):
            if not await deployment.until_serving(index, "status", Client(record, f"warm{index}")):
                return 2
        leaving = group.servers[2]
        work = group.work
        group.before_answer = note(record, runs, leaving)
        readers = [asyncio.create_task(read(record, deployment, n, until)) for n in range(12)]
        await asyncio.sleep(4)
        # Two calls that are on their way while the server deregisters; they arrive 2 s and 3 s late.
        leaving.beating = False
        late = [(address, group.heartbeat(leaving)) for address in deployment.control[:2]]
        await asyncio.sleep(0.2)
        status, _, _ = await http(deployment.control[2], "POST", f"/v1/Instances.Deregister/{leaving.name}", {})
        gone_at = record.add("server", leaving.name, "Deregister ->", status)
        if status != 200:
            return 2
        if TROUBLE:
            for late_s, (address, body) in zip((2.0, 3.0), late):
                await asyncio.sleep(max(0.0, gone_at + late_s - record.now()))
                answer, _, _ = await http(address, "POST", f"/v1/Instances.Heartbeat/{leaving.name}", body)
                record.add("server", leaving.name, "a late beat", body["call_seq"], "arrives ->", answer)
        await asyncio.sleep(max(0.0, gone_at + SERVES_ON_S - record.now()))
        until.set()
        await asyncio.gather(*readers)
        beats.cancel()
        platform.close()
        group.work = work
        late_runs = [at for at in runs if at > gone_at + DRAIN_S]
        record.add("judge", len(runs), "lookups at", leaving.name, ",", len(late_runs), f"later than {DRAIN_S} s after the acknowledgement")
        if not runs:
            return 2
        return 1 if late_runs else 0
    finally:
        deployment.end()


def note(record, runs, leaving):
    """Returns a hook that notes when the leaving server runs a client's statement."""

    async def hook(server, writer, statement_id, text):
        if server is leaving and statement_id != "-":
            runs.append(record.now())

    return hook


def main():
    record = Record(HERE / "record.txt")
    try:
        code = asyncio.run(asyncio.wait_for(play(record), 110))
    except Exception as error:  # a case that could not run
        record.add("could not run:", repr(error))
        code = 2
    record.add("exit", code)
    record.close()
    sys.exit(code)


main()
