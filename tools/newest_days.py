"""Point 6: the kinds of trouble that came last to the bench, drawn close together.

The core is cut into halves or a minority is left behind; the disks that have lasted longest go one
after the other; power goes everywhere at once right after something was accepted; machines stop
while they answer.
"""

CUTS = ("split", "split", "behind", "behind", "lure", "relieve", "both", "near", "all", "oldest", "seeds", "one_way")
CUT_FOLLOW_UPS = ("", "", "meet", "race", "hard", "drain", "race hard")
HERD_KILLS = ("", "power", "off", "taken", "taken all", "off taken")
OLDEST_CLOSINGS = ("oldest", "oldest taken", "oldest timed", "taken", "timed", "aimed")


def point_newest(day, draw):
    """Point 6: two to four of the newest troubles, each soon after the one before, and the closing on the oldest."""
    if draw.chance(0.7):
        day.closing = {"kind": "wipe_after_ack", "down_s": draw.between(0.5, 2.0), "how": draw.pick(OLDEST_CLOSINGS)}
    at = draw.between(2.0, 6.0)
    for _ in range(draw.whole(2, 4)):
        at = draw.pick(NEWEST)(day, draw, at) + draw.between(0.2, 5.0)
    if draw.chance(0.5):
        day.add("release", draw.between(2.0, 20.0), share=draw.between(0.3, 1.0), x=draw.whole(1, 2), gap_s=1.0)
    if draw.chance(0.4):
        day.add("ack_lost", draw.between(2.0, 24.0), x=draw.between(0.4, 0.9), for_s=draw.between(3.0, 10.0))
    if draw.chance(0.4):
        day.add("clock_step", draw.between(2.0, 24.0), x=draw.whole(500, 8_000), share=draw.between(0.2, 0.8))


def cut_core(day, draw, at):
    """A cut of the core, at times two that overlap."""
    for_s = draw.between(2.0, 9.0)
    for _ in range(draw.whole(1, 2)):
        how = draw.words((draw.pick(CUTS),), ("", "", "", "reset", "refuse"), CUT_FOLLOW_UPS)
        day.add("core_cut", at, count=draw.whole(1, day.site.tolerated), for_s=for_s, how=how)
        at += draw.between(0.2, 2.0)
    return at + for_s


def lose_oldest_disks(day, draw, at):
    """The core machines whose disks have lasted longest are replaced or wiped, one after the other."""
    for _ in range(draw.whole(2, len(day.site.core_zones))):
        for_s = draw.between(0.5, 1.5)
        if draw.chance(0.6):
            day.add("replace_core", at, x=for_s, how=draw.words(("oldest",), ("", "", "planned")))
        else:
            day.add("after_ack_wipe", at, for_s=for_s, how=draw.words(("oldest",), ("", "timed", "taken")))
        at += for_s + day.site.catch_up_s + draw.between(0.1, 1.5)
    return at


def kill_herd(day, draw, at):
    """All of the core, or every machine, at once."""
    for_s = draw.between(0.4, 1.0)
    day.add("herd_kill", at, on="core", for_s=for_s, how=draw.pick(HERD_KILLS))
    return at + for_s


def stop_busy(day, draw, at):
    """Machines stop in turn, each while it answers."""
    gap_s = draw.between(0.6, 2.0)
    day.add("roll_term", at, share=draw.between(0.4, 1.0), x=1.0, gap_s=gap_s, how=draw.pick(("busy", "busy", "")))
    return at + draw.between(3.0, 8.0)


def kill_after_ack(day, draw, at):
    """A machine loses power within milliseconds of an acknowledgement."""
    for_s = draw.between(0.5, 3.0)
    day.add("after_ack_kill", at, for_s=for_s, how=draw.pick(("", "timed", "taken", "taken gone", "kill")))
    return at + for_s


NEWEST = (cut_core, cut_core, lose_oldest_disks, kill_herd, stop_busy, kill_after_ack)
