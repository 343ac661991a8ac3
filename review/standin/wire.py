"""The line protocol of PROTOCOL.md, "The wire": each line ends with CR LF, and its last field runs to the end."""
import asyncio
import time

START = time.monotonic()


class Record:
    """record.txt: what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")

    def __call__(self, *words):
        line = f"{time.monotonic() - START:8.3f} " + " ".join(str(word) for word in words)
        self.file.write(line + "\n")
        self.file.flush()
        print(line, flush=True)

    def quiet(self, *words):
        self.file.write(f"{time.monotonic() - START:8.3f} " + " ".join(str(word) for word in words) + "\n")


async def read_line(reader):
    """Returns the next line without its CR LF, or None at the end of the stream. A lone LF does not end a line."""
    try:
        return (await reader.readuntil(b"\r\n"))[:-2]
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None


class Client:
    """One session of a client."""

    def __init__(self, reader, writer):
        self.reader, self.writer = reader, writer

    @classmethod
    async def open(cls, address, database, who, source=None):
        host, port = address
        local = (source, 0) if source else None
        reader, writer = await asyncio.open_connection(host, port, limit=4 << 20, local_addr=local)
        client = cls(reader, writer)
        client.greeting = await client.ask(f"SETUP {database} {who}".encode())
        return client

    async def ask(self, line):
        """Sends one message and returns the lines of its answer; the last is READY, or None if the answer broke off."""
        answer = []
        try:
            self.writer.write(line + b"\r\n")
            await self.writer.drain()
        except (ConnectionError, OSError):
            return [None]
        while True:
            got = await read_line(self.reader)
            answer.append(got)
            if got is None or got.startswith(b"READY "):
                return answer

    async def query(self, number, text):
        text = text if isinstance(text, bytes) else text.encode()
        return await self.ask(b"QUERY " + number.encode() + b" " + text)

    async def unasked(self, seconds):
        """Returns a message that arrives within the time although nothing is asked, or None."""
        try:
            return await asyncio.wait_for(read_line(self.reader), seconds)
        except asyncio.TimeoutError:
            return None

    def close(self):
        self.writer.close()


def succeeded(answer):
    """Whether the answer is a success with a server's stamp."""
    return answer[-1] is not None and any(
        line.startswith(b"COMPLETE ") and line != b"COMPLETE -" for line in answer[:-1]
    )
