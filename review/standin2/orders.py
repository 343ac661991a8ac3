"""A small deployment under orders, whose promotions are checked for acknowledged commits that they lose."""
import asyncio
import os
import random
import sys

from deployment import Deployment, configuration, route
from group import Group
from record import Record
from wire import Client, Closed

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
WRITERS = 30
# "replicas 20 ms behind"; a replica that stands beside the primary receives sooner.
BEHIND_S, BESIDE_S = 0.020, 0.001


class Orders:
    """Three nodes, three keepers, one service of three servers, and clients that place one order after the other."""

    def __init__(self, record, servers=3):
        self.record, self.deployment = record, Deployment(record)
        self.addresses = self.deployment.server_addresses(servers + 1)
        self.group = Group(record, "scripdb", self.addresses[:servers])
        self.group.promote_s = 0.6
        self.acknowledged, self.lacking, self.until, self.tasks = {}, [], asyncio.Event(), []
        lead = self.group.lead

        def lead_and_check(server):
            """Notes which acknowledged commits the promoted server's log lacks at that moment."""
            held = {write[0] for entry in server.log for write in entry[3]}
            missing = [name for name in self.acknowledged if name not in held and name not in self.lacking]
            self.lacking.extend(missing)
            for name in missing:
                record.add("judge", server.name, "is promoted without", name, f"acknowledged at {self.acknowledged[name]:.3f}")
            lead(server)

        self.group.lead = lead_and_check

    async def begin(self, delays_s):
        """Starts all processes and the clients; returns False if the deployment does not serve."""
        self.platform = await self.deployment.start_platform([self.group])
        await self.group.start()
        for server, delay_s in zip(self.group.servers, delays_s):
            server.delay_s = delay_s
        self.deployment.start_all()
        self.beats = asyncio.create_task(self.group.beats(self.deployment.control))
        routes = [route("rx-order", "orders", "scripdb", timeout_ms=1000, target_ms=200)]
        if await self.deployment.configure(configuration(1, routes, ["scripdb"])) != 200:
            return False
        for index in range(3):
            if not await self.deployment.until_serving(index, "orders", Client(self.record, f"warm{index}")):
                return False
        await asyncio.sleep(6)
        self.tasks = [asyncio.create_task(self.write(number)) for number in range(WRITERS)]
        await asyncio.sleep(2)
        return True

    async def write(self, number):
        client, count = None, 0
        while not self.until.is_set():
            try:
                if client is None:
                    client = Client(self.record, f"w{number}")
                    ready = await client.open(self.deployment.client_address(number % 3), "orders")
                    if not ready.startswith("READY"):
                        raise Closed(ready)
                count += 1
                answer = await client.query(f"WRITE rx{number} order{count}", statement_id=f"w{number}o{count}", timeout=5)
                if answer["complete"]:
                    self.acknowledged[answer["id"]] = answer["at"]
                if answer["ended"]:
                    raise Closed(answer["ended"])
                await asyncio.sleep(random.uniform(0.02, 0.08))
            except (OSError, Closed, asyncio.TimeoutError):
                if client is not None:
                    client.close()
                client = None
                await asyncio.sleep(0.1)

    async def drain_primary(self):
        """The primary is to be replaced: it says `draining` and serves on."""
        primary = self.group.primary()
        self.record.add("the primary", primary.name, "is to be replaced: it says draining")
        primary.state = "draining"
        await self.group.beat(primary)

    async def until_promoted(self, old_primary, seconds=15):
        for _ in range(seconds * 10):
            await asyncio.sleep(0.1)
            if self.group.promotions and self.group.primary() is not old_primary:
                break
        await asyncio.sleep(1)

    async def judge(self):
        """Ends the clients; returns the exit code."""
        self.until.set()
        await asyncio.gather(*self.tasks)
        self.beats.cancel()
        self.platform.close()
        self.record.add("judge", len(self.acknowledged), "orders acknowledged,", len(self.lacking),
                        "lost at a promotion,", len(self.group.promotions), "promotions asked")
        if len(self.acknowledged) < 100 or TROUBLE and not self.group.promotions:
            return 2
        return 1 if self.lacking else 0


def run(folder, play):
    """Runs a case with its record; `play(orders)` returns the exit code."""
    record = Record(folder / "record.txt")

    async def whole():
        orders = Orders(record)
        try:
            return await play(orders)
        finally:
            orders.deployment.end()

    try:
        code = asyncio.run(asyncio.wait_for(whole(), 110))
    except Exception as error:  # a case that could not run
        record.add("could not run:", repr(error))
        code = 2
    record.add("exit", code)
    record.close()
    sys.exit(code)
