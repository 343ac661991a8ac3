"""Sessions that prepare statements and end; what the nodes keep of them afterwards."""
import asyncio
import os
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standin2"))
from deployment import Deployment, configuration, route  # noqa: E402
from group import Group  # noqa: E402
from record import Record  # noqa: E402
from wire import Client  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MEMORY_MB = 260
SHAPE_BYTES = 32_000
SESSIONS, CLIENTS = 10_500, 6


def memory_mb(process):
    """The resident memory of a process that this case started."""
    for line in pathlib.Path(f"/proc/{process.pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1000
    return 0.0


class Quiet:
    """Notes one session in 500, so that the record stays short."""

    def __init__(self, record):
        self.record = record

    def add(self, *words):
        return self.record.now()


async def sessions(record, deployment, node, first, counts, ended):
    """One client after another: each prepares a statement, runs it, gives it back and leaves."""
    quiet = Quiet(record)
    for number in range(first, SESSIONS, CLIENTS):
        if ended.is_set():
            return
        shape = f"q{number if TROUBLE else 0}".ljust(SHAPE_BYTES, "x")
        client = Client(quiet, f"n{node}c{number}")
        ready = await client.open(deployment.client_address(node), "status")
        if not ready.startswith("READY"):
            return
        prepared = await client.query(f"PREPARE s1 READ {shape}")
        answer = await client.query(f"EXECUTE s1 rx{number}")
        if prepared["complete"] and answer["complete"]:
            counts[node] += 1
        if not answer["ended"]:
            await client.query("DEALLOC s1")
        client.writer.write(b"RELEASE\r\n")
        client.close()


async def watch(record, deployment, ends, ended):
    """The platform: "a process that exceeds `memory_mb` is killed"."""
    noted = record.now()
    while True:
        await asyncio.sleep(0.05)
        sizes = {}
        for (role, index), process in list(deployment.processes.items()):
            if process.poll() is None:
                sizes[role, index] = memory_mb(process)
                if sizes[role, index] > MEMORY_MB:
                    record.add("platform kills", role, index, f"at {sizes[role, index]:.0f} MB of {MEMORY_MB}")
                    process.kill()
                    process.wait()
                    ends.append((role, index))
                    if role == "node":
                        ended[index].set()
        if record.now() - noted > 1:
            noted = record.now()
            record.add("memory, MB:", {f"{role} {index}": round(size) for (role, index), size in sizes.items()})


async def load(record, deployment, node, counts, ended):
    results = await asyncio.gather(
        *(sessions(record, deployment, node, first, counts, ended) for first in range(CLIENTS)), return_exceptions=True)
    record.add("node", node, "served", counts[node], "sessions, all have ended", [repr(r) for r in results if r is not None][:1])


async def play(record):
    deployment = Deployment(record)
    group = Group(Quiet(record), "scripdb", deployment.server_addresses(3), slots=20)
    group.work = lambda statement_id, word: 0.0005
    ends, counts, ended = [], [0, 0, 0], [asyncio.Event() for _ in range(3)]
    try:
        platform = await deployment.start_platform([group])
        await group.start()
        deployment.start_all()
        beats = asyncio.create_task(group.beats(deployment.control))
        routes = [route("rx-status", "status", "scripdb", "bounded_staleness", timeout_ms=3000, target_ms=800)]
        if await deployment.configure(configuration(1, routes, ["scripdb"])) != 200:
            return 2
        for index in range(3):
            if not await deployment.until_serving(index, "status", Client(record, f"warm{index}")):
                return 2
        platform_watch = asyncio.create_task(watch(record, deployment, ends, ended))
        await asyncio.wait([asyncio.create_task(load(record, deployment, n, counts, ended[n])) for n in range(3)], timeout=90)
        await asyncio.sleep(2)
        platform_watch.cancel()
        beats.cancel()
        platform.close()
        record.add("judge", counts, "sessions served by the nodes,", len(ends), "processes ended over their memory:", ends)
        if sum(counts) < 3000:
            return 2
        return 1 if len(ends) >= 3 and len({index for _, index in ends}) >= 2 else 0
    finally:
        deployment.end()


def main():
    record = Record(HERE / "record.txt")
    try:
        code = asyncio.run(asyncio.wait_for(play(record), 115))
    except Exception as error:  # a case that could not run
        record.add("could not run:", repr(error))
        code = 2
    record.add("exit", code)
    record.close()
    sys.exit(code)


main()
