"""Tests of the generator of own days; run with `python3 -m unittest discover -s tools`."""

import tomllib
import unittest

from own_days import KIND_LINE, Verdict
from point_days import CLOSINGS, DRAW_POINT, MIX, POINT_KINDS, POINTS, draw_day
from trouble_day import Site

OTHER_KINDS = frozenset({"burst", "srv_crash"})
SITE = Site(["zone-a", "zone-b", "zone-c"], 1, 4.0, frozenset(POINT_KINDS) | OTHER_KINDS)
MANY_DAYS = 200


def parse(day):
    return tomllib.loads(day.to_toml())["day"][0]


def troubles_of(day):
    parsed = parse(day)
    return parsed["plan"] + parsed["faults"]


class DrawDayTest(unittest.TestCase):
    def test_same_arguments_draw_the_same_day(self):
        for point in DRAW_POINT:
            self.assertEqual(draw_day(SITE, point, 7, 5).to_toml(), draw_day(SITE, point, 7, 5).to_toml())

    def test_another_seed_or_index_draws_another_day(self):
        days = {str(draw_day(SITE, 1, seed, index).troubles) for seed in range(10) for index in range(10)}
        self.assertEqual(len(days), 100)

    def test_a_known_day_stays_as_it_was(self):
        day = parse(draw_day(SITE, 3, 7, 1))
        self.assertEqual(day["seed"], 1006779971)
        self.assertEqual(day["closing"], {"kind": "wipe_after_ack", "down_s": 1.0})

    def test_only_listed_kinds_are_drawn(self):
        site = Site(["zone-a", "zone-b"], 1, 4.0, frozenset({"config_change", "core_cut", "replace_core"}))
        for point in (MIX, *POINTS):
            days = [draw_day(site, point, 1, index) for index in range(MANY_DAYS)]
            kinds = {trouble["kind"] for day in days for trouble in troubles_of(day)}
            self.assertLessEqual(kinds, site.kinds)

    def test_every_listed_kind_and_every_closing_is_drawn(self):
        days = [draw_day(SITE, MIX, 1, index) for index in range(MANY_DAYS)]
        kinds = {trouble["kind"] for day in days for trouble in troubles_of(day)}
        self.assertEqual(kinds, SITE.kinds)
        closings = {(day.closing["kind"], day.closing.get("how", "")) for day in days}
        self.assertEqual(closings, set(CLOSINGS))

    def test_the_two_days_of_the_issue_begin_point_three(self):
        two_replaced, leader_replaced = (parse(draw_day(SITE, 3, 9, index)) for index in (0, 1))
        first, second = two_replaced["faults"]
        self.assertEqual([first["kind"], second["kind"]], ["replace_core", "replace_core"])
        self.assertNotEqual(first["zone"], second["zone"])
        self.assertEqual(first["at"], 5.0)
        self.assertTrue(11.0 <= second["at"] <= 13.0)
        self.assertEqual([fault["how"] for fault in leader_replaced["faults"]], ["leader", "leader"])
        self.assertEqual(leader_replaced["closing"]["kind"], "wipe_after_ack")

    def test_every_newest_trouble_is_drawn_at_point_six(self):
        site = Site(SITE.core_zones, 1, 4.0, SITE.kinds | {"release", "clock_step"})
        days = [draw_day(site, 6, 1, index) for index in range(MANY_DAYS)]
        words = {word for day in days for trouble in troubles_of(day) for word in trouble.get("how", "").split()}
        newest = {"split", "behind", "lure", "relieve", "both", "near", "all", "seeds", "oldest", "off", "taken", "busy"}
        self.assertLessEqual(newest, words)
        self.assertIn("oldest", {day.closing.get("how") for day in days})

    def test_a_second_loss_never_falls_into_the_time_for_catching_up(self):
        for index in range(2, MANY_DAYS):
            faults = parse(draw_day(SITE, 3, 1, index))["faults"]
            replaced = [fault for fault in faults if fault["kind"] == "replace_core" and fault["at"] < 32.0]
            for first, second in zip(replaced, replaced[1:]):
                self.assertGreaterEqual(second["at"] - first["at"] - first["x"], SITE.catch_up_s)


class VerdictTest(unittest.TestCase):
    REPORT = {"breaks": {}, "short": [], "fault": None, "exits_n": 0, "G": 0.9}

    def test_a_clean_day_has_not_failed(self):
        self.assertFalse(Verdict.from_report(self.REPORT).failed())

    def test_each_kind_of_failure_counts(self):
        for change in ({"breaks": {"CONFIG": 1}}, {"short": ["no ack"]}, {"fault": "memory"}, {"exits_n": 2}):
            self.assertTrue(Verdict.from_report(self.REPORT | change).failed(), change)
        self.assertTrue(Verdict(not_played="given up").failed())


class KindsTest(unittest.TestCase):
    def test_kinds_are_read_from_the_listing(self):
        lines = ("closing = { kind = x }", "", "burst: x times", "For servers, y", "these may come too:", "disk_full: z")
        listing = "\n".join(lines)
        self.assertEqual(KIND_LINE.findall(listing), ["burst", "disk_full"])


if __name__ == "__main__":
    unittest.main()
