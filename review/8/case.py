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
from wire import Client, Closed  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MEMORY_MB = 260
SHAPE_BYTES = 64_000
SESSIONS, CLIENTS = 15_000, 6
# "three times in the day [...] on a tenth of the machines in use (two at least)", read as three times on each of two.
ENDS, MACHINES = 3, 2
RESTART_S = 0.5


def memory_mb(process):
    """The resident memory of a process that this case started."""
    for line in pathlib.Path(f"/proc/{process.pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1000
    return 0.0


class Quiet:
    """Notes nothing, so that the record stays short."""

    def __init__(self, record):
        self.record = record

    def add(self, *words):
        return self.record.now()


class Node:
    """A node as the platform sees it: how many sessions it served, and how often it was killed for its memory."""

    def __init__(self):
        self.served, self.ends = 0, 0


async def sessions(record, deployment, index, node, first):
    """One client after another: each prepares a statement, runs it, gives it back and leaves."""
    quiet = Quiet(record)
    for number in range(first, SESSIONS, CLIENTS):
        if node.ends >= ENDS:
            return
        shape = f"q{number if TROUBLE else 0}".ljust(SHAPE_BYTES, "x")
        client = Client(quiet, f"n{index}c{number}")
        try:
            ready = await client.open(deployment.client_address(index), "status")
            if not ready.startswith("READY"):
                raise Closed(ready)
            prepared = await client.query(f"PREPARE s1 READ {shape}")
            answer = await client.query(f"EXECUTE s1 rx{number}")
            if answer["ended"] or prepared["ended"]:
                raise Closed("the node has ended")
            node.served += prepared["complete"] is not None and answer["complete"] is not None
            await client.query("DEALLOC s1")
            client.writer.write(b"RELEASE\r\n")
        except (OSError, Closed, asyncio.TimeoutError):
            await asyncio.sleep(0.2)
        client.close()


async def watch(record, deployment, nodes):
    """The platform: "a process that exceeds `memory_mb` is killed", and "started again after a short delay"."""
    noted = record.now()
    while True:
        await asyncio.sleep(0.05)
        sizes = {}
        for (role, index), process in list(deployment.processes.items()):
            if process.poll() is not None:
                continue
            sizes[role, index] = memory_mb(process)
            if role == "node" and sizes[role, index] > MEMORY_MB:
                record.add("platform kills", role, index, f"at {sizes[role, index]:.0f} MB of {MEMORY_MB}")
                process.kill()
                process.wait()
                nodes[index].ends += 1
                asyncio.get_running_loop().call_later(RESTART_S, deployment.start, index, role)
        if record.now() - noted > 1:
            noted = record.now()
            record.add("memory, MB:", {f"{role} {index}": round(size) for (role, index), size in sizes.items()})


async def play(record):
    deployment = Deployment(record)
    group = Group(Quiet(record), "scripdb", deployment.server_addresses(3), slots=20)
    group.work = lambda statement_id, word: 0.0005
    nodes = [Node() for _ in range(3)]
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
        platform_watch = asyncio.create_task(watch(record, deployment, nodes))
        load = [asyncio.create_task(sessions(record, deployment, index, node, first))
                for index, node in enumerate(nodes) for first in range(CLIENTS)]
        await asyncio.wait(load, timeout=95)
        for task in load:
            task.cancel()
        await asyncio.sleep(1)
        platform_watch.cancel()
        beats.cancel()
        platform.close()
        record.add("judge", [node.served for node in nodes], "sessions served by the nodes, killed for their memory:",
                   [node.ends for node in nodes], "times")
        if sum(node.served for node in nodes) < 3000:
            return 2
        return 1 if sum(node.ends >= ENDS for node in nodes) >= MACHINES else 0
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
