#!/usr/bin/env python3
"""Draws days with faults for the points of issue 20 from a seed and plays them with the bench.

Run it at the root of the repository, which is where the bench builds and writes its journal:

    tools/own_days.py BENCH SITE --point 3 --seed 7 --days 12 --jobs 4

BENCH is the path of the bench's program, SITE that of a site file. Points: 1 a core machine is cut
off for about twenty seconds, 2 two operators, 3 a second loss right after a first, 4 hundreds of
changes, 5 resets and lost answers, 6 the newest fault kinds, 0 two of the first five at once.
The same seed, point and index always draw the same day; days 0 and 1 of point 3 are those of issue
20. A day that breaks a rule, falls short of the gate, has a process that exited unexpectedly or is
not played is kept as a TOML file under --keep and can be played again by `BENCH run SITE FILE`, or
here by `--first INDEX --days 1`.
Arguments after `--` go to `BENCH run` (for instance `-- --small` or `-- --log all`).
"""

import argparse
import json
import re
import subprocess
import sys
import tempfile
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from pathlib import Path

from point_days import MIX, POINTS, draw_day
from trouble_day import Site

KIND_LINE = re.compile(r"^([a-z_]+): ", re.MULTILINE)
DEFAULT_KEEP_DIRECTORY = "target/own-days"


@dataclass(frozen=True)
class Verdict:
    """Result of one day, as reported by the bench."""

    broken: dict = field(default_factory=dict)
    short_of_gate: tuple = ()
    unexpected_exits: int = 0
    score: float = 0.0
    not_played: str = ""

    @staticmethod
    def from_report(report):
        short = list(report["short"])
        if report["fault"]:
            short.append(f"fault: {report['fault']}")
        return Verdict(report["breaks"], tuple(short), report["exits_n"], report["G"])

    def failed(self):
        return bool(self.broken or self.short_of_gate or self.unexpected_exits or self.not_played)

    def describe(self):
        if self.not_played:
            return f"NOT PLAYED: {self.not_played}"
        rules = ", ".join(f"{rule} {count}" for rule, count in sorted(self.broken.items()))
        parts = [
            f"BROKEN {rules}" if rules else "no rule broken",
            f"gate FAILED ({'; '.join(self.short_of_gate)})" if self.short_of_gate else "gate passed",
            f"unexpected exits {self.unexpected_exits}",
            f"score {self.score:.3f}",
        ]
        return " | ".join(parts)


@dataclass(frozen=True)
class Player:
    """Plays days of one site with the bench, each in a process of its own."""

    bench: str
    site_path: str
    keep: Path
    why: str
    run_arguments: tuple

    def play(self, day):
        """Plays one day and saves its file under `keep` if it failed."""
        with tempfile.TemporaryDirectory() as directory:
            day_file = Path(directory) / f"{day.name}.toml"
            day_file.write_text(day.to_toml())
            verdict = self._run(day_file, Path(directory) / "report.json")
            if verdict.failed():
                self.keep.mkdir(parents=True, exist_ok=True)
                (self.keep / f"{Path(self.site_path).stem}-{day_file.name}").write_text(day.to_toml())
        return verdict

    def _run(self, day_file, report_file):
        command = [self.bench, "run", self.site_path, str(day_file), "--jobs", "1", "--why", self.why,
                   "--report", str(report_file), *self.run_arguments]
        done = subprocess.run(command, capture_output=True, text=True, check=False)
        if self.run_arguments:
            print(done.stdout)
        if not report_file.exists():
            lines = (done.stdout + done.stderr).strip().splitlines()
            return Verdict(not_played=lines[-1] if lines else f"exit code {done.returncode}")
        return Verdict.from_report(json.loads(report_file.read_text()))


def list_kinds(bench, site_path):
    """Returns the fault kinds that the bench lists for this site."""
    listed = subprocess.run([bench, "kinds", site_path], capture_output=True, text=True, check=True)
    return KIND_LINE.findall(listed.stdout)


def print_total(verdicts):
    broken = Counter()
    for verdict in verdicts:
        broken.update(verdict.broken)
    print(f"total: {len(verdicts)} days, {sum(not verdict.failed() for verdict in verdicts)} clean, "
          f"{sum(bool(verdict.broken) for verdict in verdicts)} with a broken rule {dict(broken)}, "
          f"{sum(bool(verdict.short_of_gate) for verdict in verdicts)} short of the gate, "
          f"{sum(bool(verdict.unexpected_exits) for verdict in verdicts)} with unexpected process exits "
          f"({sum(verdict.unexpected_exits for verdict in verdicts)}), "
          f"{sum(bool(verdict.not_played) for verdict in verdicts)} not played")


def parse_arguments():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("bench")
    parser.add_argument("site")
    parser.add_argument("--point", type=int, choices=(MIX, *POINTS), default=MIX)
    parser.add_argument("--seed", type=int, required=True)
    parser.add_argument("--days", type=int, default=12, help="how many days (12)")
    parser.add_argument("--first", type=int, default=0, help="index of the first day (0)")
    parser.add_argument("--jobs", type=int, default=2, help="days played side by side (2)")
    parser.add_argument("--keep", type=Path, default=Path(DEFAULT_KEEP_DIRECTORY), help="where failed days are kept")
    parser.add_argument("--why", default="own days", help="the reason noted in the journal")
    parser.add_argument("--draw", action="store_true", help="print the days and play none")
    parser.add_argument("run_arguments", nargs="*", help="after --: more arguments for the bench")
    return parser.parse_args()


def main():
    arguments = parse_arguments()
    site = Site.load(arguments.site, list_kinds(arguments.bench, arguments.site))
    indices = range(arguments.first, arguments.first + arguments.days)
    days = [draw_day(site, arguments.point, arguments.seed, index) for index in indices]
    if arguments.draw:
        print("\n".join(day.to_toml() for day in days))
        return 0
    player = Player(arguments.bench, arguments.site, arguments.keep, arguments.why, tuple(arguments.run_arguments))
    verdicts = []
    with ThreadPoolExecutor(arguments.jobs) as pool:
        for day, verdict in zip(days, pool.map(player.play, days)):
            print(f"{day.name}: {verdict.describe()}", flush=True)
            verdicts.append(verdict)
    print_total(verdicts)
    return 1 if any(verdict.failed() for verdict in verdicts) else 0


if __name__ == "__main__":
    sys.exit(main())
