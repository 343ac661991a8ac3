"""A client's write whose data holds a line feed. PROTOCOL.md ends a line with CR LF, and its last field runs to the
end, so the line feed is data. TROUBLE=0: a blank stands in its place."""
import case
from wire import Client, succeeded

LINE_FEED = b"\n" if case.trouble() else b" "


async def smuggle(deployment, service, record):
    sent = {}
    held = True
    for number, machine in enumerate(deployment.machines):
        client = await Client.open(deployment.client_address(machine), "lepu270", "u3f1")
        mine, other = f"a{number}01", f"b{number}02"
        text = b"WRITE rx%d 12.tablets.of" % number + LINE_FEED + f"QUERY {other} WRITE stock{number} 0".encode()
        sent[mine] = text
        answer = await client.query(mine, text)
        record("client sent one message: QUERY", mine, text, "| answered", answer)
        unasked = await client.unasked(1.0)
        record("the client asks nothing more; it receives", unasked)
        client.close()
        if succeeded(answer) and text not in [run[3] for run in service.runs if run[2] == mine]:
            record("the client was told of success for", mine)
    for _, server, number, text, _ in service.runs:
        if number.startswith("warm"):
            continue
        record("server", server, "ran", number, text)
        if sent.get(number) != text:
            held = False
            record("  UNASKED:", "its client sent other text" if number in sent else "no client sent this id")
    for _, number, writes in service.primary().log:
        record("committed", number, writes)
    ran = {run[2] for run in service.runs}
    return held if all(number in ran for number in sent) else None


case.main(smuggle, [("lepu270", "primary", 1000, 200)])
