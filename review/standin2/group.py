"""Replication, promotions and heartbeats of a group of servers."""
import asyncio

from database import PROMOTE_S, Refused, Server
from wire import Closed, http


class Group:
    """A service: its servers, its log and what was committed."""

    def __init__(self, record, name, addresses, slots=5, max_connections=84):
        self.record, self.name, self.slots, self.max_connections = record, name, slots, max_connections
        self.before_answer, self.promote_s = None, PROMOTE_S
        self.work = lambda statement_id, word: 0.006
        self.servers = []
        for index, address in enumerate(addresses):
            role = "primary" if index == 0 else "replica"
            self.servers.append(Server(self, f"{name}-i{index + 1}", address, role))
        self.fence, self.promotions = 0, []

    def primary(self):
        leading = [server for server in self.servers if server.role == "primary" and server.running]
        return max(leading, key=lambda server: server.term, default=None)

    async def start(self):
        for server in self.servers:
            await server.start()
        self.replication = asyncio.create_task(self.replicate())

    def receivers(self, primary):
        return [s for s in self.servers if s is not primary and s.running and s.role == "replica"]

    async def commit(self, primary, statement_id, writes):
        """Appends a commit and waits until one replica has received it."""
        if primary.role != "primary":
            raise Refused(f"READONLY {primary.name}")
        entry = (primary.term, primary.end[1] + 1, statement_id, list(writes))
        primary.log.append(entry)
        self.record.add("server", primary.name, "logs", statement_id, f"{entry[0]}.{entry[1]}")
        term, sent = primary.term, {}
        loop = asyncio.get_running_loop()
        while True:
            if not primary.running or primary.role != "primary" or primary.term != term:
                raise Closed("the lead is lost before the commit was received")
            for replica in self.receivers(primary):
                # Sent once, and again if the replica has not taken it: it was suspended, deaf or away.
                if loop.time() >= sent.get(replica.name, 0):
                    sent[replica.name] = loop.time() + replica.delay_s + 0.05
                    loop.call_later(replica.delay_s, self.receive, replica, primary, entry)
            await asyncio.sleep(0.001)
            if any(replica.end >= entry[:2] for replica in self.receivers(primary)):
                return

    def receive(self, replica, primary, entry):
        """A replica receives the primary's log up to `entry`."""
        takes = replica.running and replica.role == "replica" and not replica.suspended and not replica.deaf
        if takes and primary.running and primary.role == "primary" and primary.term == entry[0] and replica.end < entry[:2]:
            replica.log = primary.log[:primary.log.index(entry) + 1]
            replica.term = primary.term

    async def replicate(self, interval_s=0.02):
        """Replicas that lag behind catch up; runs until cancelled."""
        while True:
            primary = self.primary()
            if primary is not None and primary.log:
                for replica in self.receivers(primary):
                    if replica.end < primary.end:
                        asyncio.get_running_loop().call_later(replica.delay_s, self.receive, replica, primary, primary.log[-1])
            await asyncio.sleep(interval_s)

    async def control(self, server, word, rest):
        if word == "SUSPEND" and int(rest) > server.term and server.role == "replica":
            server.suspended = int(rest)
        if word == "RESUME":
            server.suspended = 0
        if word == "DEMOTE" and int(rest) > server.term and server.role == "primary":
            server.role = "replica"
            asyncio.get_running_loop().create_task(self.tell_role(server))
        if word != "STATUS":
            self.record.add("server", server.name, word, rest, "at", server.position())
        return f"{server.role} {server.term} {server.position()} {server.suspended} 0 0 {len(server.connections)}"

    async def promotion(self, method, path, headers, body):
        """The platform's `POST /promotion`, for this group."""
        fence, wanted = int(headers["x-fence-number"]), body["instance_id"]
        self.record.add("platform promotion", wanted, "holder", headers["x-duty-holder"], "fence", fence)
        server = next((s for s in self.servers if s.name == wanted and s.running), None)
        if fence < self.fence or server is None:
            return 409, {}
        self.fence = fence
        self.promotions.append((self.record.now(), headers["x-duty-holder"], fence, wanted))
        if server.role != "primary" or server is not self.primary():
            asyncio.get_running_loop().call_later(self.promote_s, self.lead, server)
        return 200, {}

    def lead(self, server):
        if not server.running:
            return
        term = max(other.term for other in self.servers) + 1
        for other in self.servers:
            if other is not server and other.running:
                other.role = "replica"
                if other.end > server.end:
                    other.log = list(server.log)
        server.role, server.term, server.suspended = "primary", term, 0
        self.record.add("server", server.name, "leads term", term, "at", server.position())
        for other in self.servers:
            if other.running:
                asyncio.get_running_loop().create_task(self.tell_role(other))

    async def tell_role(self, server):
        if self.control_nodes:
            await self.beat(server)

    control_nodes = ()

    def heartbeat(self, server):
        server.seq += server.seq_step
        return {"service": self.name, "address": server.address, "zone": server.zone, "revision": "v1",
                "capacity_slots": self.slots, "state": server.state, "cold_remaining_ms": 0,
                "db_role": server.role, "call_seq": server.seq}

    async def beat(self, server):
        """Sends one heartbeat to the first control node that acknowledges it; returns whether one did."""
        for address in self.control_nodes:
            body = self.heartbeat(server)
            if server.late_beats_s:
                # The call arrives that much later, and its answer after the server has given up.
                asyncio.get_running_loop().create_task(self.late_beat(address, server, body, server.late_beats_s))
                await asyncio.sleep(1.0)
                continue
            try:
                status, _, _ = await http(address, "POST", f"/v1/Instances.Heartbeat/{server.name}", body)
            except (OSError, asyncio.TimeoutError, Closed, ValueError, asyncio.IncompleteReadError):
                continue
            if 200 <= status < 300:
                return True
        return False

    async def late_beat(self, address, server, body, late_s):
        await asyncio.sleep(late_s)
        try:
            status, _, _ = await http(address, "POST", f"/v1/Instances.Heartbeat/{server.name}", body)
            self.record.add("server", server.name, "late beat", body["call_seq"], "->", status)
        except (OSError, asyncio.TimeoutError, Closed, ValueError, asyncio.IncompleteReadError):
            pass

    async def beats(self, control_nodes, interval_s=1.2):
        """Sends the heartbeats of all running servers until cancelled."""
        self.control_nodes = control_nodes
        tasks = {}
        while True:
            for server in self.servers:
                if server.running and server.beating and (server.name not in tasks or tasks[server.name].done()):
                    tasks[server.name] = asyncio.create_task(self.beat(server))
            await asyncio.sleep(interval_s)
