"""A primary is replaced in order while a replica that has just started is not registered yet."""
import asyncio
import os
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standin2"))
from database import Server  # noqa: E402
from deployment import Deployment, configuration, route  # noqa: E402
from group import Group  # noqa: E402
from record import Record  # noqa: E402
from wire import Client, Closed  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
VARIANT = os.environ.get("VARIANT", "drain")
WRITERS = 30
# "replicas 20 ms behind"; the new replica stands beside the primary.
BEHIND_S, BESIDE_S = 0.020, 0.001
LATE_BEAT_S = float(os.environ.get("LATE", "2"))


async def write(record, deployment, number, acknowledged, until):
    """One client: orders one after the other."""
    client, count = None, 0
    while not until.is_set():
        try:
            if client is None:
                client = Client(record, f"w{number}")
                ready = await client.open(deployment.client_address(number % 3), "orders")
                if not ready.startswith("READY"):
                    raise Closed(ready)
            count += 1
            answer = await client.query(f"WRITE rx{number} order{count}", statement_id=f"w{number}o{count}", timeout=5)
            if answer["complete"]:
                acknowledged[answer["id"]] = answer["at"]
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
    addresses = deployment.server_addresses(4)
    group = Group(record, "scripdb", addresses[:3])
    group.promote_s = 0.6
    lacking = []
    acknowledged, until = {}, asyncio.Event()
    lead = group.lead

    def lead_and_check(server):
        """Notes which acknowledged commits the promoted server's log lacks at that moment."""
        held = {entry[2] for entry in server.log}
        missing = [name for name in acknowledged if name not in held]
        lacking.extend(missing)
        for name in missing:
            record.add("judge", server.name, "is promoted without", name, f"acknowledged at {acknowledged[name]:.3f}")
        lead(server)

    group.lead = lead_and_check
    try:
        platform = await deployment.start_platform([group])
        await group.start()
        for replica in group.servers[1:]:
            replica.delay_s = BEHIND_S
        deployment.start_all()
        beats = asyncio.create_task(group.beats(deployment.control))
        routes = [route("rx-order", "orders", "scripdb", timeout_ms=1000, target_ms=200)]
        if await deployment.configure(configuration(1, routes, ["scripdb"])) != 200:
            return 2
        for index in range(3):
            if not await deployment.until_serving(index, "orders", Client(record, f"warm{index}")):
                return 2
        await asyncio.sleep(6)
        writers = [asyncio.create_task(write(record, deployment, n, acknowledged, until)) for n in range(WRITERS)]
        await asyncio.sleep(2)
        primary = group.primary()
        fresh = Server(group, "scripdb-i4", addresses[3], "replica")
        fresh.delay_s, fresh.late_beats_s, fresh.term = BESIDE_S, LATE_BEAT_S, primary.term
        fresh.log = list(primary.log)
        group.servers.append(fresh)
        await fresh.start()
        await asyncio.sleep(0.5)
        if TROUBLE and VARIANT == "drain":
            record.add("the primary", primary.name, "is to be replaced: it says draining")
            primary.state = "draining"
            await group.beat(primary)
        elif TROUBLE:
            await primary.stop()
        for _ in range(150):
            await asyncio.sleep(0.1)
            if group.promotions and group.primary() is not primary:
                break
        await asyncio.sleep(1)
        until.set()
        await asyncio.gather(*writers)
        beats.cancel()
        platform.close()
        record.add("judge", len(acknowledged), "orders acknowledged,", len(lacking), "lost at a promotion,", len(group.promotions), "promotions asked")
        if len(acknowledged) < 100 or TROUBLE and not group.promotions:
            return 2
        return 1 if lacking else 0
    finally:
        deployment.end()


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
