"""A group of database servers as PROTOCOL.md has them: one primary, replicas, synchronous commits, promotions."""
import asyncio
import itertools

from wire import Closed, read_line

PROMOTE_S = 0.3
REPLICATION_S = 0.002


class Refused(Exception):
    """An ERROR answer: code and text."""


class Server:
    """One server; `work(session, text)` returns how many seconds a statement takes."""

    numbers = itertools.count(1)

    def __init__(self, group, name, address, role):
        self.group, self.name, self.address, self.role = group, name, address, role
        self.term, self.log, self.suspended = 1, [], 0
        self.delay_s, self.late_beats_s, self.seq_step = REPLICATION_S, 0.0, 1
        self.beating, self.congested = True, False
        self.deaf, self.running, self.state, self.seq = False, False, "in_service", 0
        self.connections, self.listener, self.zone = set(), None, "z1"
        self.slots = asyncio.Semaphore(group.slots)

    @property
    def end(self):
        return self.log[-1][:2] if self.log else (1, 0)

    def position(self):
        return f"{self.end[0]}.{self.end[1]}"

    async def start(self):
        host, port = self.address.rsplit(":", 1)
        self.listener = await asyncio.start_server(self.connection, host, int(port), limit=1 << 22)
        self.running, self.suspended = True, 0
        self.group.record.add("server", self.name, "runs as", self.role, "at", self.position())

    async def stop(self):
        """Ends the process: its connections break."""
        self.running = False
        self.listener.close()
        for writer in list(self.connections):
            writer.transport.abort()
        self.group.record.add("server", self.name, "has ended")

    async def connection(self, reader, writer):
        session = {"state": "I", "values": {}, "names": {}, "writes": [], "read": False, "term": 0}
        self.connections.add(writer)
        try:
            words = (await read_line(reader)).split(" ")
            wanted = words[3] if len(words) > 3 else self.name
            if words[0] != "SETUP" or words[1] != self.group.name or wanted != self.name:
                writer.write(f"ERROR WRONGPEER {self.name}\r\n".encode())
                return
            if len(self.connections) > self.group.max_connections:
                writer.write(b"ERROR NOCAPACITY\r\n")
                return
            self.ready(writer, session)
            while True:
                line = await read_line(reader)
                word, _, rest = line.partition(" ")
                if word != "QUERY":
                    return
                statement_id, _, text = rest.partition(" ")
                await self.answer(writer, session, statement_id, text)
        except (Closed, ConnectionError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    def ready(self, writer, session):
        if not writer.transport.is_closing():
            writer.write(f"READY {session['state']} {self.position()}\r\n".encode())

    async def answer(self, writer, session, statement_id, text):
        try:
            rows, stamp = await self.run(session, statement_id, text)
            answer = "".join(f"ROW {row}\r\n" for row in rows) + f"COMPLETE {stamp}\r\n"
        except Refused as refusal:
            answer = f"ERROR {refusal}\r\n"
            if session["state"] == "T" and not str(refusal).startswith("CONGESTED"):
                session["state"] = "E"
        hook = self.group.before_answer
        if hook is not None and await hook(self, writer, statement_id, text) == "drop":
            writer.transport.abort()
            raise Closed("the answer is lost")
        if not self.running:
            raise Closed("the server has ended")
        if statement_id != "-":
            self.group.record.add("server", self.name, "answers", statement_id, answer.split("\r\n")[0][:80])
        writer.write(answer.encode())
        self.ready(writer, session)
        await writer.drain()

    async def run(self, session, statement_id, text):
        if self.congested:
            raise Refused("CONGESTED")
        floor = None
        if text.startswith("NOTBEFORE "):
            _, position, text = text.split(" ", 2)
            floor = tuple(int(part) for part in position.split("."))
        word, _, rest = text.partition(" ")
        if session["state"] == "E" and word != "ROLLBACK":
            raise Refused("MALFORMED the transaction has failed")
        if word in ("STATUS", "SUSPEND", "RESUME", "DEMOTE"):
            return [await self.group.control(self, word, rest)], "-"
        if word == "SET":
            name, _, value = rest.partition(" ")
            session["values"][name] = value
            return [], "-"
        if word == "PREPARE":
            name, kind, shape = rest.split(" ", 2)
            session["names"][name] = (kind, shape)
            return [], "-"
        if word == "DEALLOC":
            session["names"].pop(rest, None)
            return [], "-"
        if word == "RESET":
            session.update(values={}, names={})
            return [], "-"
        if word == "ROLLBACK":
            session.update(state="I", writes=[])
            return [], "-"
        if floor is not None and self.end < floor:
            raise Refused("LAGGING")
        if word == "BEGIN":
            if rest != "READ" and self.role != "primary":
                raise Refused(f"READONLY {self.name}")
            session.update(state="T", read=rest == "READ", writes=[], term=self.term)
            return [], "-"
        return await self.statement(session, statement_id, word, rest)

    async def statement(self, session, statement_id, word, rest):
        in_transaction = session["state"] == "T"
        plain = in_transaction and not session["read"]
        if plain and (self.role != "primary" or self.term != session["term"]) and (word != "COMMIT" or session["writes"]):
            raise Refused(f"READONLY {self.name}")
        kind, thing, data = word, rest, ""
        if word == "EXECUTE":
            name, _, arguments = rest.partition(" ")
            if name not in session["names"]:
                raise Refused(f"NOSTMT {name}")
            kind = session["names"][name][0]
            thing, _, data = arguments.partition(" ")
        elif word == "WRITE":
            thing, _, data = rest.partition(" ")
        if kind == "WRITE" and (self.role != "primary" or session["read"] and in_transaction):
            raise Refused(f"READONLY {self.name}")
        async with self.slots:
            self.group.record.add("server", self.name, "runs", statement_id, f"{word} {rest}"[:80], dict(session["values"]))
            await asyncio.sleep(self.group.work(statement_id, word))
            stamp = f"{self.term}.{next(self.numbers):x}.{statement_id}"
            if kind == "READ":
                return [self.read(thing, session["writes"])], stamp
            if kind == "WRITE" and in_transaction:
                session["writes"].append((statement_id, thing, data))
                return [], stamp
            writes = session["writes"] if kind == "COMMIT" else [(statement_id, thing, data)]
            if kind == "COMMIT":
                session.update(state="I", writes=[])
            if writes:
                await self.group.commit(self, statement_id, writes)
            return [], stamp

    def read(self, thing, own):
        for _, other, data in reversed(own):
            if other == thing:
                return data
        for _, _, _, writes in reversed(self.log):
            for _, other, data in reversed(writes):
                if other == thing:
                    return data
        return "none"
