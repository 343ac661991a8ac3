"""Runs a case: starts a small deployment, calls the case, and turns its result into the exit status."""
import asyncio
import os
import signal
import sys
import traceback

from database import Service
from deployment import Deployment
from wire import Client, Record, succeeded

HELD, BROKEN, NOT_RUN = 0, 1, 2


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


async def started(record, routes, machines=3):
    """Starts servers, nodes and keepers, configures them and waits until a write succeeds at every node."""
    service = Service("huvo11a", record)
    deployment = Deployment(record, service, machines)
    try:
        names = [f"i-{i}a1" for i in range(3)]
        for i, name in enumerate(names):
            await service.add(name, f"z{i}", deployment.host, "primary" if i == 0 else "replica")
        await deployment.start()
        await asyncio.sleep(1.0)
        for name in names:
            deployment.beats(service.servers[name])
        if not await deployment.configure(routes):
            raise RuntimeError("the first configuration was not acknowledged")
        for machine in deployment.machines:
            await until_served(deployment, machine, routes[0][0])
        record("the deployment serves")
        return deployment, service
    except BaseException:
        await deployment.stop()
        raise


async def until_served(deployment, machine, database):
    for attempt in range(80):
        try:
            client = await Client.open(deployment.client_address(machine), database, "u")
            answer = await client.query(f"warm{machine['zone']}x{attempt}", "READ warm")
            client.close()
            if succeeded(answer) and await deployment.ready(machine):
                return
        except OSError:
            pass
        await asyncio.sleep(0.25)
    raise RuntimeError(f"{machine['name']} does not serve")


def main(case, routes, limit_s=116):
    """`case(deployment, service, record)` returns whether the rule held, or None if the case could not run."""

    async def run():
        record = Record(os.path.join(os.environ["CASE_DIR"], "record.txt"))
        deployment, service = await started(record, routes)
        try:
            held = await case(deployment, service, record)
        finally:
            await deployment.stop()
        record("the case could not run" if held is None else "the rule held" if held else "the rule was BROKEN")
        return NOT_RUN if held is None else HELD if held else BROKEN

    async def within_limit():
        # SIGTERM and SIGINT end the case, and with it the processes that it started.
        running = asyncio.create_task(run())
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, running.cancel)
        return await asyncio.wait_for(running, limit_s)

    try:
        status = asyncio.run(within_limit())
    except (Exception, asyncio.CancelledError):  # pylint: disable=broad-except
        traceback.print_exc()
        status = NOT_RUN
    sys.stdout.flush()
    os._exit(status)
