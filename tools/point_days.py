"""Draws days with faults for the bench, deterministically from a seed, a point number and an index.

The points are the failures of the control plane that issue 20 lists: 1 a core machine is cut off
for about twenty seconds, 2 two operators change the configuration at once, 3 a second loss follows
a first, 4 hundreds of changes before a restart or a loss, 5 resets and lost answers. Point 6 has
the newest fault kinds. Point 0 mixes two of the first five.
"""

from newest_days import point_newest
from trouble_day import Day, Draw

POINTS = (1, 2, 3, 4, 5, 6)
# Points of which a mixed day combines two.
MIXED_POINTS = (1, 2, 3, 4, 5)
MIX = 0
CLOSINGS = (
    ("power_off_all", ""), ("wipe_after_ack", "aimed"), ("kill_all", ""), ("wipe_after_ack", "timed"),
    ("power_off_all", "taken"), ("wipe_after_ack", ""), ("kill_all", "timed"), ("wipe_after_ack", "taken"),
    ("power_off_all", "timed"), ("kill_all", "taken"),
)
CONFIG_FIELDS = ("route", "weights", "timeout", "tenant", "quota", "idle")
TARGETS = ("", "leader", "seed", "reader")
FOLLOW_UPS = ("", "meet", "race", "hard", "drain", "race hard", "meet drain", "race drain", "meet hard")
LOSSES = ("replace_core", "replace_core", "replace_core", "replace_core", "node_kill", "node_kill", "after_ack_wipe",
          "after_ack_wipe", "after_ack_kill", "roll_term", "herd_kill")
# Kinds that the functions of the five points draw with fields of their own; any other kind is drawn with defaults.
POINT_KINDS = {"core_cut", "node_cut", "node_freeze", "seed_turnover", "config_race", "ack_lost", "bad_config",
               "after_ack_kill", "after_ack_wipe", "replace_core", "node_kill", "roll_term", "herd_kill",
               "config_storm", "config_change", "big_config", "disk_full", "disk_slow", "disk_stall",
               "reset_conns", "answer_lost", "primary_cut"}


def draw_day(site, point, seed, index):
    """Returns the day of this seed, point and index. The same arguments always give the same day."""
    draw = Draw(seed, point, index)
    kind, how = CLOSINGS[(index + seed) % len(CLOSINGS)]
    closing = {"kind": kind, "down_s": draw.uniform(0.5, 2.0)}
    if how:
        closing["how"] = how
    day = Day(f"own-point{point}-seed{seed}-day{index}", site, draw.integer(1, 2**30), closing)
    if point == 3 and index < len(ISSUE_DAYS):
        ISSUE_DAYS[index](day, draw)
        return day
    for chosen in draw.pick_two(MIXED_POINTS) if point == MIX else (point,):
        DRAW_POINT[chosen](day, draw)
    add_config_changes(day, draw, draw.integer(2, 6))
    if draw.chance(0.4):
        add_other_trouble(day, draw)
    return day


def add_config_changes(day, draw, count):
    """Adds single configuration changes at random times of the day."""
    for _ in range(count):
        day.add("config_change", draw.uniform(1.5, 31.0), how=draw.pick(CONFIG_FIELDS))


def add_other_trouble(day, draw):
    """Adds one fault of a kind that no point draws, with the bench's defaults."""
    others = sorted(day.site.kinds - POINT_KINDS)
    if others:
        day.add(draw.pick(others), draw.uniform(2.0, 28.0))


def issue_two_replaced(day, draw):
    """Replaces two core machines unplanned, the second just after the first has had its time to catch up."""
    first, second = draw.pick_two(day.site.core_zones)
    day.add("replace_core", 5.0, x=0.5, zone=first)
    day.add("replace_core", draw.uniform(11.0, 13.0), x=0.5, zone=second)
    add_config_changes(day, draw, 3)


def issue_leader_replaced_then_wiped(day, draw):
    """Replaces the leader's machine twice, then wipes a disk after the last acknowledgement."""
    day.closing = {"kind": "wipe_after_ack", "down_s": 1.0}
    day.add("replace_core", 5.1, x=0.5, how="leader")
    day.add("replace_core", 13.0, x=0.5, how="leader")
    add_config_changes(day, draw, 3)


ISSUE_DAYS = (issue_two_replaced, issue_leader_replaced_then_wiped)


def point_long_cut(day, draw):
    """Point 1: a core machine is cut off or frozen for about twenty seconds while the configuration changes."""
    at, for_s = draw.uniform(2.0, 8.0), draw.uniform(16.0, 24.0)
    follow_up = draw.pick(FOLLOW_UPS)
    kind = draw.pick(("core_cut", "core_cut", "core_cut", "node_cut", "node_freeze"))
    if kind == "core_cut":
        how = draw.words(TARGETS, ("", "one_way", "seeds", "both"), ("", "", "reset", "refuse"), (follow_up,))
        day.add(kind, at, count=draw.integer(1, day.site.tolerated), for_s=for_s, how=how)
    elif kind == "node_cut":
        day.add(kind, at, share=draw.uniform(0.08, 0.3), for_s=for_s, how=draw.words(("", "servers"), (follow_up,)))
    else:
        day.add(kind, at, on="core", share=0.25, for_s=for_s, how=draw.words(TARGETS, (follow_up,)))
    add_config_changes(day, draw, draw.integer(4, 8))
    if draw.chance(0.5):
        day.add("config_race", at + draw.uniform(1.0, 10.0), count=draw.integer(1, 4), gap_s=draw.uniform(0.5, 2.0))
    if draw.chance(0.4):
        day.add("seed_turnover", at + for_s + draw.uniform(0.2, 4.0))
    if draw.chance(0.4):
        add_loss(day, draw, at + for_s + draw.uniform(0.3, 9.0))


def point_two_operators(day, draw):
    """Point 2: races, repeated and old versions, lost acknowledgements, and losses right after one."""
    for _ in range(draw.integer(2, 4)):
        day.add("config_race", draw.uniform(1.5, 28.0), count=draw.integer(2, 8), gap_s=draw.uniform(0.2, 1.5))
    for how in ("same_version", "old_version"):
        day.add("bad_config", draw.uniform(3.0, 29.0), how=how, count=draw.integer(2, 6), gap_s=draw.uniform(0.2, 0.8))
    for _ in range(draw.integer(1, 2)):
        day.add("ack_lost", draw.uniform(1.5, 24.0), x=draw.uniform(0.5, 1.0), for_s=draw.uniform(4.0, 16.0))
    if draw.chance(0.7):
        how = draw.words(("", "kill", "timed", "taken"))
        day.add("after_ack_kill", draw.uniform(4.0, 28.0), for_s=draw.uniform(0.5, 4.0), how=how)
    if draw.chance(0.5):
        how = draw.words(TARGETS, ("race", "race hard", "meet", "race drain"))
        kind = draw.pick(("core_cut", "node_freeze"))
        day.add(kind, draw.uniform(4.0, 24.0), on="core", for_s=draw.uniform(2.0, 8.0), how=how)


def add_loss(day, draw, at):
    """Adds the loss of a core machine and returns the time at which it is back."""
    for_s = draw.uniform(0.5, 4.0)
    follow_up = draw.pick(FOLLOW_UPS)
    kind = draw.pick(LOSSES)
    if kind == "replace_core":
        target = draw.pick(TARGETS)
        day.add(kind, at, x=for_s, how=draw.words((target,), ("", "planned"), (follow_up,)))
    elif kind == "node_kill":
        how = draw.words(("power",), TARGETS, (follow_up,))
        day.add(kind, at, on="core", count=1, for_s=for_s, how=how)
    elif kind == "roll_term":
        # The bench never lets core machines leave in this way; `planned` replacements do that.
        day.add(kind, at, share=draw.uniform(0.2, 0.6), x=1.0, gap_s=draw.uniform(0.5, 4.0), how="remove")
    elif kind == "herd_kill":
        day.add(kind, at, on="core", for_s=draw.uniform(0.4, 1.0), how=draw.pick(("", "power", "power taken")))
    else:
        day.add(kind, at, for_s=for_s, how=draw.pick(("", "timed", "taken")))
    return at + for_s


def point_second_loss(day, draw):
    """Point 3: a loss of a core machine, and a second (at times a third) soon after the first is back."""
    if draw.chance(0.6):
        back = add_two_replacements(day, draw)
    else:
        back = add_loss(day, draw, draw.uniform(3.0, 8.0))
        back = add_loss(day, draw, back + gap_after_loss(day.site, draw))
    if draw.chance(0.3):
        day.add("seed_turnover", back + draw.uniform(0.1, 4.0))
    if draw.chance(0.6):
        add_loss(day, draw, back + gap_after_loss(day.site, draw))


def add_two_replacements(day, draw):
    """Replaces two different core machines for good, and returns the time at which the second successor runs."""
    at = draw.uniform(3.0, 8.0)
    for zone in draw.pick_two(day.site.core_zones):
        # The sooner a successor runs, the sooner the bench allows the next loss.
        for_s = draw.uniform(0.5, 1.0) if draw.chance(0.7) else draw.uniform(1.0, 3.0)
        how = draw.words(("", "", "planned"), FOLLOW_UPS)
        day.add("replace_core", at, x=for_s, zone=zone, how=how)
        back = at + for_s
        at = back + gap_after_loss(day.site, draw)
    return back


def gap_after_loss(site, draw):
    """The pause from a machine's return to the next loss: just over what the site grants for catching up, or longer."""
    return site.catch_up_s + draw.uniform(0.2, 5.0)


def point_many_changes(day, draw):
    """Point 4: hundreds of changes with restarts and disk faults, then the loss of a machine."""
    start = draw.uniform(1.0, 3.0)
    if not day.add("config_storm", start, count=draw.integer(100, 300), gap_s=draw.uniform(0.08, 0.2)):
        day.add("config_race", start, count=draw.integer(60, 130), gap_s=draw.uniform(0.15, 0.25))
    day.add("big_config", draw.uniform(1.5, 6.0), count=draw.integer(200, 1400))
    for _ in range(draw.integer(1, 3)):
        kind = draw.pick(("disk_full", "disk_full", "disk_slow", "disk_stall", "node_kill", "roll_term"))
        at, for_s = draw.uniform(5.0, 24.0), draw.uniform(3.0, 12.0)
        if kind == "roll_term":
            day.add(kind, at, share=1.0, x=1.0, gap_s=draw.uniform(0.8, 2.0), how=draw.pick(("", "busy")))
        elif kind == "node_kill":
            day.add(kind, at, on="core", count=1, for_s=for_s, how=draw.words(("", "power"), TARGETS))
        else:
            day.add(kind, at, count=draw.integer(1, day.site.tolerated), for_s=for_s, how=draw.words(TARGETS))
    add_loss(day, draw, draw.uniform(24.0, 31.0))


def point_resets_and_lost_answers(day, draw):
    """Point 5: connections reset, answers lost, primaries cut off, processes killed or frozen."""
    for _ in range(draw.integer(2, 4)):
        day.add("reset_conns", draw.uniform(2.0, 31.0), share=draw.uniform(0.3, 1.0), x=draw.uniform(0.3, 1.0))
    for _ in range(draw.integer(1, 3)):
        day.add("answer_lost", draw.uniform(2.0, 26.0), share=draw.uniform(0.3, 0.7), x=draw.uniform(0.02, 0.3),
                for_s=draw.uniform(2.0, 7.0), how=draw.words(("", "reset"), ("", "primary")))
    day.add("ack_lost", draw.uniform(2.0, 24.0), x=draw.uniform(0.4, 0.9), for_s=draw.uniform(3.0, 10.0))
    if draw.chance(0.6):
        day.add("primary_cut", draw.uniform(4.0, 24.0), share=draw.uniform(0.3, 0.7), for_s=draw.uniform(3.0, 8.0),
                how=draw.pick(("", "replicas", "core", "split")))
    if draw.chance(0.4):
        day.add("herd_kill", draw.uniform(8.0, 28.0), share=draw.uniform(0.3, 0.7), for_s=draw.uniform(0.5, 2.0),
                how=draw.pick(("", "power")))
    if draw.chance(0.6):
        day.add("node_freeze", draw.uniform(4.0, 26.0), share=draw.uniform(0.08, 0.3), for_s=draw.uniform(1.0, 6.0))


DRAW_POINT = {1: point_long_cut, 2: point_two_operators, 3: point_second_loss, 4: point_many_changes,
              5: point_resets_and_lost_answers, 6: point_newest}
