"""The line protocol and small HTTP calls, for the stand-ins of this review."""
import asyncio
import json


class Closed(Exception):
    """The peer closed the connection, or it broke."""


async def read_line(reader):
    """Returns the next line without its CR LF."""
    try:
        line = await reader.readuntil(b"\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError) as error:
        raise Closed(str(error)) from error
    return line[:-2].decode("utf-8", "replace")


async def http(address, method, path, body=None, headers=None, timeout=1.0):
    """Makes one HTTP/1.1 call; returns (status, headers, body text). Raises on silence or a broken connection."""

    async def exchange():
        host, port = address.rsplit(":", 1)
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            data = b"" if body is None else json.dumps(body).encode()
            lines = [f"{method} {path} HTTP/1.1", f"Host: {address}", f"Content-Length: {len(data)}"]
            lines += ["Content-Type: application/json", "Connection: close"]
            lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + data)
            await writer.drain()
            status = int((await read_line(reader)).split(" ")[1])
            received = {}
            while line := await read_line(reader):
                name, _, value = line.partition(":")
                received[name.strip().lower()] = value.strip()
            length = received.get("content-length")
            text = await (reader.readexactly(int(length)) if length is not None else reader.read())
            return status, received, text.decode()
        finally:
            writer.close()

    return await asyncio.wait_for(exchange(), timeout)


async def serve_http(host, port, handle):
    """Serves HTTP/1.1; `handle(method, path, headers, body)` returns (status, object)."""

    async def connection(reader, writer):
        try:
            while True:
                method, path, _ = (await read_line(reader)).split(" ", 2)
                headers = {}
                while line := await read_line(reader):
                    name, _, value = line.partition(":")
                    headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                status, answer = await handle(method, path, headers, body)
                data = json.dumps(answer).encode()
                head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n"
                writer.write(head.encode() + data)
                await writer.drain()
        except (Closed, ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(connection, host, port)


class Client:
    """One client session."""

    def __init__(self, record, name):
        self.record, self.name, self.reader, self.writer, self.count = record, name, None, None, 0

    async def open(self, address, database, key="u1", timeout=2.0):
        """Connects and sends SETUP; returns READY's line or ERROR's."""
        host, port = address.rsplit(":", 1)
        self.reader, self.writer = await asyncio.open_connection(host, int(port), limit=1 << 22)
        self.writer.write(f"SETUP {database} {key}\r\n".encode())
        answer = await asyncio.wait_for(read_line(self.reader), timeout)
        self.record.add("client", self.name, "SETUP", address, database, "->", answer)
        return answer

    async def query(self, text, statement_id=None, timeout=10.0):
        """Sends a statement; returns its id and answer: a dict with rows, complete, error, state, ended."""
        self.count += 1
        statement_id = statement_id or f"{self.name}-{self.count}"
        answer = {"id": statement_id, "rows": [], "complete": None, "error": None, "state": None, "ended": None}
        sent_at = self.record.add("client", self.name, "sends", statement_id, text[:80])
        answer["sent_at"] = sent_at
        try:
            self.writer.write(f"QUERY {statement_id} {text}\r\n".encode())
            while True:
                line = await asyncio.wait_for(read_line(self.reader), timeout)
                word, _, rest = line.partition(" ")
                if word == "ROW":
                    answer["rows"].append(rest)
                elif word == "COMPLETE":
                    answer["complete"] = rest
                elif word == "ERROR":
                    answer["error"] = rest
                elif word == "READY":
                    answer["state"], _, answer["position"] = rest.partition(" ")
                    break
        except (Closed, ConnectionError) as error:
            answer["ended"] = f"connection ended: {error}"
        except asyncio.TimeoutError:
            answer["ended"] = "no answer"
        result = answer["ended"] or answer["error"] or f"COMPLETE {answer['complete']} {answer['rows']}"
        answer["at"] = self.record.add("client", self.name, "gets", statement_id, result[:120], answer["state"] or "")
        return answer

    def close(self):
        if self.writer is not None:
            self.writer.close()
