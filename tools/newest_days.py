"""Point 6: the fault kinds most recently added to the bench, drawn close together in time.

The core is partitioned into halves or a minority is left behind; the oldest disks are
lost one after the other; all machines lose power right after a write was accepted; machines stop while
they answer requests.
"""

CUTS = ("split", "split", "behind", "behind", "lure", "relieve", "both", "near", "all", "oldest", "seeds", "one_way")
CUT_FOLLOW_UPS = ("", "", "meet", "race", "hard", "drain", "race hard")
HERD_KILLS = ("", "power", "off", "taken", "taken all", "off taken")
OLDEST_CLOSINGS = ("oldest", "oldest taken", "oldest timed", "taken", "timed", "aimed")


def point_newest(day, draw):
    """Point 6: two to four of the newest fault kinds in quick succession; the closing may hit the oldest disks."""
    if draw.chance(0.7):
        day.closing = {"kind": "wipe_after_ack", "down_s": draw.uniform(0.5, 2.0), "how": draw.pick(OLDEST_CLOSINGS)}
    at = draw.uniform(2.0, 6.0)
    for _ in range(draw.integer(2, 4)):
        at = draw.pick(NEWEST)(day, draw, at) + draw.uniform(0.2, 5.0)
    if draw.chance(0.5):
        day.add("release", draw.uniform(2.0, 20.0), share=draw.uniform(0.3, 1.0), x=draw.integer(1, 2), gap_s=1.0)
    if draw.chance(0.4):
        day.add("ack_lost", draw.uniform(2.0, 24.0), x=draw.uniform(0.4, 0.9), for_s=draw.uniform(3.0, 10.0))
    if draw.chance(0.4):
        day.add("clock_step", draw.uniform(2.0, 24.0), x=draw.integer(500, 8_000), share=draw.uniform(0.2, 0.8))


def cut_core(day, draw, at):
    """Adds one or two overlapping network partitions of the core and returns when the last one ends."""
    for_s = draw.uniform(2.0, 9.0)
    for _ in range(draw.integer(1, 2)):
        how = draw.words((draw.pick(CUTS),), ("", "", "", "reset", "refuse"), CUT_FOLLOW_UPS)
        day.add("core_cut", at, count=draw.integer(1, day.site.tolerated), for_s=for_s, how=how)
        at += draw.uniform(0.2, 2.0)
    return at + for_s


def lose_oldest_disks(day, draw, at):
    """Replaces or wipes the core machines with the oldest disks one after the other, each after a catch-up pause."""
    for _ in range(draw.integer(2, len(day.site.core_zones))):
        for_s = draw.uniform(0.5, 1.5)
        if draw.chance(0.6):
            day.add("replace_core", at, x=for_s, how=draw.words(("oldest",), ("", "", "planned")))
        else:
            day.add("after_ack_wipe", at, for_s=for_s, how=draw.words(("oldest",), ("", "timed", "taken")))
        at += for_s + day.site.catch_up_s + draw.uniform(0.1, 1.5)
    return at


def kill_herd(day, draw, at):
    """Kills the whole core, or every machine, at once."""
    for_s = draw.uniform(0.4, 1.0)
    day.add("herd_kill", at, on="core", for_s=for_s, how=draw.pick(HERD_KILLS))
    return at + for_s


def stop_busy(day, draw, at):
    """Stops machines in turn, each while it answers requests."""
    gap_s = draw.uniform(0.6, 2.0)
    day.add("roll_term", at, share=draw.uniform(0.4, 1.0), x=1.0, gap_s=gap_s, how=draw.pick(("busy", "busy", "")))
    return at + draw.uniform(3.0, 8.0)


def kill_after_ack(day, draw, at):
    """Makes a machine lose power within milliseconds of an acknowledgement."""
    for_s = draw.uniform(0.5, 3.0)
    day.add("after_ack_kill", at, for_s=for_s, how=draw.pick(("", "timed", "taken", "taken gone", "kill")))
    return at + for_s


NEWEST = (cut_core, cut_core, lose_oldest_disks, kill_herd, stop_busy, kill_after_ack)
