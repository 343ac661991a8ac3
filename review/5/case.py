"""A primary is replaced in order while a replica that has just started is not registered yet."""
import asyncio
import os
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standin2"))
from database import Server  # noqa: E402
from orders import BEHIND_S, BESIDE_S, TROUBLE, run  # noqa: E402

VARIANT = os.environ.get("VARIANT", "drain")
LATE_BEAT_S = float(os.environ.get("LATE", "2"))


async def play(orders):
    group = orders.group
    if not await orders.begin([BEHIND_S, BEHIND_S, BEHIND_S]):
        return 2
    primary = group.primary()
    fresh = Server(group, "scripdb-i4", orders.addresses[3], "replica")
    fresh.delay_s, fresh.late_beats_s, fresh.term = BESIDE_S, LATE_BEAT_S, primary.term
    fresh.log = list(primary.log)
    group.servers.append(fresh)
    await fresh.start()
    await asyncio.sleep(0.5)
    if TROUBLE and VARIANT == "drain":
        await orders.drain_primary()
    elif TROUBLE:
        await primary.stop()
    await orders.until_promoted(primary, 15 if TROUBLE else 5)
    return await orders.judge()


run(HERE, play)
