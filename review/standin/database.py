"""A service of database servers as PROTOCOL.md, "Servers", describes them: one primary, replicas, sync_replicas 1."""
import asyncio
import json
import time

from wire import read_line


class Server:
    """One server. `log` holds (term, number, [(id, text)]) of each commit; `data` what the log's writes come to."""

    def __init__(self, service, name, zone):
        self.service, self.name, self.zone = service, name, zone
        self.role, self.term, self.suspended = "replica", 1, 0
        self.log, self.data, self.deaf, self.beats = [], {}, False, 0
        self.state, self.address, self.listener, self.tasks = "in_service", None, None, []

    def position(self):
        return (self.log[-1][0], self.log[-1][1]) if self.log else (1, 0)

    def receive(self, entry):
        self.log.append(entry)
        for _, thing, data in entry[2]:
            self.data[thing] = data

    async def start(self, host, port=0):
        self.listener = await asyncio.start_server(self.serve, host, port, limit=4 << 20)
        self.address = self.listener.sockets[0].getsockname()[:2]

    def stop(self):
        self.listener.close()
        for task in list(self.tasks):
            task.cancel()

    def beat(self):
        self.beats += 1
        return json.dumps({
            "service": self.service.name, "address": "%s:%d" % self.address, "zone": self.zone, "revision": "v1",
            "capacity_slots": 10, "state": self.state, "cold_remaining_ms": 0, "db_role": self.role,
            "call_seq": self.beats,
        })

    async def serve(self, reader, writer):
        self.tasks.append(asyncio.current_task())
        try:
            await Connection(self, reader, writer).run()
        except (ConnectionError, OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()
            self.tasks.remove(asyncio.current_task())


class Connection:
    """One connection to a server: its session values, prepared names and transaction."""

    def __init__(self, server, reader, writer):
        self.server, self.reader, self.writer = server, reader, writer
        self.values, self.prepared = {}, {}
        self.state, self.plain, self.term, self.writes = "I", False, 0, []

    async def run(self):
        setup = await read_line(self.reader)
        words = (setup or b"").decode().split(" ")
        if len(words) < 3 or words[0] != "SETUP":
            return
        if words[1] != self.server.service.name or (len(words) > 3 and words[3] != self.server.name):
            self.writer.write(b"ERROR WRONGPEER\r\n")
            return
        self.reply()
        while (line := await read_line(self.reader)) is not None:
            word, _, rest = line.partition(b" ")
            if word != b"QUERY":
                return
            number, _, text = rest.partition(b" ")
            await self.query(number.decode(), text)
            await self.writer.drain()

    def reply(self, *lines):
        term, number = self.server.position()
        for line in lines:
            self.writer.write(line if isinstance(line, bytes) else line.encode())
            self.writer.write(b"\r\n")
        self.writer.write(f"READY {self.state} {term}.{number}\r\n".encode())

    def fail(self, word):
        if self.state == "T":
            self.state, self.writes = "E", []
        self.reply("ERROR " + word)

    async def query(self, number, text):
        server, service = self.server, self.server.service
        if text.startswith(b"NOTBEFORE "):
            _, floor, text = text.split(b" ", 2)
            if server.position() < tuple(int(part) for part in floor.split(b".")):
                return self.fail("LAGGING")
        verb, _, rest = text.partition(b" ")
        first, _, second = rest.partition(b" ")
        if verb in (b"STATUS", b"SUSPEND", b"RESUME", b"DEMOTE"):
            service.control(server, verb.decode(), first)
            term, position = server.position()
            return self.reply(f"ROW {server.role} {server.term} {term}.{position} {server.suspended} 0 0 1",
                              "COMPLETE -")
        if verb == b"RESET":
            self.values, self.prepared = {}, {}
            return self.reply("COMPLETE -")
        if verb == b"SET":
            self.values[first] = second
            return self.reply("COMPLETE -")
        if verb == b"PREPARE":
            kind, _, shape = second.partition(b" ")
            self.prepared[first] = (kind, shape)
            return self.reply("COMPLETE -")
        if verb == b"BEGIN":
            self.plain = rest != b"READ"
            if self.plain and server.role != "primary":
                return self.fail("READONLY")
            self.state, self.term, self.writes = "T", server.term, []
            return self.reply("COMPLETE -")
        if verb == b"ROLLBACK":
            self.state, self.writes = "I", []
            return self.reply("COMPLETE -")
        lost_lead = self.state == "T" and self.plain and (server.role != "primary" or server.term != self.term)
        if lost_lead and not (verb == b"COMMIT" and not self.writes):
            return self.fail("READONLY")
        if verb == b"EXECUTE":
            if first not in self.prepared:
                return self.fail("NOSTMT")
            verb, shape = self.prepared[first]
            thing, _, data = second.partition(b" ")
            text = verb + b" " + second
        else:
            thing, data, shape = first, second, None
        if verb == b"WRITE" and server.role != "primary":
            return self.fail("READONLY")
        service.ran(server, number, text, shape)
        await service.work(server, number, verb)
        if verb == b"READ":
            rows = [b"ROW " + server.data.get(thing, b"none")]
            return self.reply(*rows, f"COMPLETE {server.term}.{server.name}.{number}")
        if verb == b"WRITE" and self.state == "T":
            self.writes.append((number, thing, data))
            return self.reply(f"COMPLETE {server.term}.{server.name}.{number}")
        writes = self.writes if verb == b"COMMIT" else [(number, thing, data)]
        if writes and (server.role != "primary" or (self.state == "T" and server.term != self.term)):
            return self.fail("READONLY")
        self.state, self.writes = "I", []
        if writes:
            await service.commit(server, writes)
        self.reply(f"COMPLETE {server.term}.{server.name}.{number}")


class Service:
    """A service: its servers, what they ran and what was committed."""

    def __init__(self, name, record):
        self.name, self.record, self.servers, self.runs = name, record, {}, []
        self.work_s = lambda server, number, verb: 0.002
        self.promoted = lambda server: None

    async def add(self, name, zone, host, role="replica", port=0):
        server = Server(self, name, zone)
        server.role = role
        await server.start(host, port)
        self.servers[name] = server
        return server

    def primary(self):
        return next((server for server in self.servers.values() if server.role == "primary"), None)

    def ran(self, server, number, text, shape):
        self.runs.append((time.monotonic(), server.name, number, text, shape))
        self.record.quiet("server", server.name, "ran", number, text)

    async def work(self, server, number, verb):
        await asyncio.sleep(self.work_s(server, number, verb.decode()))

    async def commit(self, server, writes):
        """Answered once a replica has received it. If the server loses the lead first, its connection ends."""
        entry = (server.term, server.position()[1] + 1, writes)
        server.receive(entry)
        index = len(server.log)
        while not any(len(other.log) >= index for other in self.servers.values() if other is not server):
            await asyncio.sleep(0.002)
            self.replicate()
            if server.role != "primary" or server.log[index - 1] is not entry:
                raise ConnectionResetError("the lead was lost")

    def replicate(self):
        """Each replica that is neither suspended nor deaf receives the primary's log."""
        primary = self.primary()
        for server in self.servers.values() if primary else ():
            if server is not primary and not server.suspended and not server.deaf:
                for entry in primary.log[len(server.log):]:
                    server.receive(entry)

    def control(self, server, verb, term):
        if verb == "SUSPEND" and server.role == "replica" and int(term) > server.term:
            server.suspended = int(term)
        elif verb == "RESUME":
            server.suspended = 0
        elif verb == "DEMOTE" and server.role == "primary" and int(term) > server.term:
            server.role = "replica"

    async def promote(self, name):
        chosen = self.servers.get(name)
        if chosen is None:
            return False
        if chosen.role != "primary":
            await asyncio.sleep(0.3)
            term = max(server.term for server in self.servers.values()) + 1
            for server in self.servers.values():
                server.role, server.term, server.suspended = "replica", term, 0
                server.log, server.data = list(chosen.log), dict(chosen.data)
            chosen.role = "primary"
            self.promoted(chosen)
        return True
