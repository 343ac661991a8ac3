"""Requests that a stopping node took within 3 s of its SIGTERM, and that servers answer before the last sixth of the grace."""
import asyncio
import os
import pathlib
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standin2"))
from deployment import Deployment, configuration, route  # noqa: E402
from group import Group  # noqa: E402
from record import Record  # noqa: E402
from wire import Client  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
GRACE_S = 6.0
# When servers are done with the statements of one client after another: before the last sixth of the grace, from 5.0 s on.
DONE_S = (4.75, 4.85, 4.95)
# The platform passes new connections to the node until it has missed two probes; these sessions open before that.
OPENED_S, EARLY_SENT_S, LATE_SENT_S = 0.8, 2.2, 2.9


async def session(deployment, record, name, database, text, stopped_at, sent_s):
    """Opens a session to the node, and sends its first statement `sent_s` after the SIGTERM."""
    client = Client(record, name)
    await asyncio.sleep(max(0.0, stopped_at + OPENED_S - record.now()))
    ready = await client.open(deployment.client_address(2), database)
    if not ready.startswith("READY"):
        return None
    await asyncio.sleep(max(0.0, stopped_at + sent_s - record.now()))
    answer = await client.query(text, statement_id=f"{name}-s")
    client.close()
    return answer


def work_s(statement_id, since_stop_s):
    """How long a server is at work on a statement: the long ones until their time of `DONE_S`."""
    if not statement_id.endswith("-s"):
        return 0.006
    number = int(statement_id[1:-2])
    return max(0.006, DONE_S[number % len(DONE_S)] - since_stop_s)


async def play(record):
    deployment = Deployment(record)
    done_at = {}
    group = Group(record, "scripdb", deployment.server_addresses(3), slots=20)
    try:
        platform = await deployment.start_platform([group])
        await group.start()
        deployment.start_all()
        beats = asyncio.create_task(group.beats(deployment.control))
        routes = [route("rx-order", "orders", "scripdb", timeout_ms=3000, target_ms=800),
                  route("rx-status", "status", "scripdb", "bounded_staleness", timeout_ms=3000, target_ms=800)]
        if await deployment.configure(configuration(1, routes, ["scripdb"])) != 200:
            return 2
        for index in range(3):
            for database in ("orders", "status"):
                if not await deployment.until_serving(index, database, Client(record, f"warm{index}{database}")):
                    return 2
        await asyncio.sleep(2)
        stopped_at = record.now()
        group.work = lambda statement_id, word: work_s(statement_id, record.now() - stopped_at)

        async def note(server, writer, statement_id, text):
            if statement_id.endswith("-s"):
                done_at.setdefault(statement_id, record.now() - stopped_at)

        group.before_answer = note
        if TROUBLE:
            deployment.send("node", 2, signal.SIGTERM)
        wanted = [("orders", "WRITE rx{0} taken{0}", EARLY_SENT_S), ("orders", "WRITE rx{0} taken{0}", LATE_SENT_S),
                  ("status", "READ rx{0}", EARLY_SENT_S), ("status", "READ rx{0}", LATE_SENT_S)]
        answers = await asyncio.gather(*(
            session(deployment, record, f"c{number}", database, text.format(number), stopped_at, sent_s)
            for number, (database, text, sent_s) in enumerate(wanted * 2)))
        ended_s = None
        for _ in range(40):
            if ended_s is None and deployment.processes["node", 2].poll() is not None:
                ended_s = record.now() - stopped_at
                record.add("node 2 has ended by", f"{ended_s:.2f}", "s after SIGTERM")
            await asyncio.sleep(0.05)
        beats.cancel()
        platform.close()
        return judge(record, answers, done_at, stopped_at)
    finally:
        deployment.end()


def judge(record, answers, done_at, stopped_at):
    """A request counts if it was sent within 3 s and its server answered before the last sixth of the grace."""
    opened = [answer for answer in answers if answer is not None]
    broken = 0
    for answer in opened:
        sent_s, done_s = answer["sent_at"] - stopped_at, done_at.get(answer["id"])
        lost = answer["ended"] is not None and done_s is not None and sent_s <= 3.0 and done_s < GRACE_S * 5 / 6
        broken += lost
        state = "LOST" if lost else "answered" if answer["ended"] is None else "not counted"
        record.add("judge", answer["id"], f"sent {sent_s:.2f} s, server done", done_s, state)
    record.add("judge", f"{broken} of {len(opened)} requests lost")
    if not opened or not done_at:
        return 2
    return 1 if broken else 0


def main():
    record = Record(HERE / "record.txt")
    try:
        code = asyncio.run(asyncio.wait_for(play(record), 110))
    except Exception as error:  # a case that could not run
        record.add("could not run:", repr(error))
        code = 2
    record.add("exit", code)
    record.close()
    sys.exit(code)


main()
