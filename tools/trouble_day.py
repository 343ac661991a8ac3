"""A day with faults, written as a `[[day]]` of the bench's site files, and the random source it is drawn from."""

import random
import tomllib
from dataclasses import dataclass, field

LAST_TROUBLE_S = 32.0
# A generated day must state its scoring marks; the floor is that of the harshest days that must still be served.
SCORE_MARKS = "one = 0.9\nzero = 0.4\ngoal = { floor = 0.3 }"
PLANNED_KINDS = {"release", "roll_term", "add_nodes", "hup", "seed_turnover", "config_change", "config_storm",
                 "config_race", "bad_config", "big_config"}


class Draw:
    """A random generator that uses `random()` only, because Python keeps its sequence stable across versions."""

    def __init__(self, *key):
        self._random = random.Random("/".join(str(part) for part in key)).random

    def uniform(self, low, high):
        """Returns a number in the range, rounded to two decimals."""
        return round(low + (high - low) * self._random(), 2)

    def integer(self, low, high):
        """Returns an integer in the range, both ends included."""
        return low + int((high - low + 1) * self._random())

    def chance(self, probability):
        """Returns true with this probability."""
        return self._random() < probability

    def pick(self, options):
        """Returns one of the options."""
        return options[int(len(options) * self._random())]

    def pick_two(self, options):
        """Returns two different options, or the same one twice if there is only one."""
        first = self.pick(options)
        others = [option for option in options if option != first]
        return first, self.pick(others or options)

    def words(self, *groups):
        """Picks one word of each group and joins them with spaces; empty words are omitted."""
        return " ".join(word for word in (self.pick(group) for group in groups) if word)


@dataclass(frozen=True)
class Site:
    """The properties of a deployment that determine which faults can be drawn."""

    core_zones: list
    tolerated: int
    catch_up_s: float
    kinds: frozenset

    @staticmethod
    def load(path, kinds):
        """Reads a site file; `kinds` are the fault kinds that the bench lists for it."""
        with open(path, "rb") as file:
            content = tomllib.load(file)
        zones = [machine["zone"] for machine in content["machines"] if machine.get("counted")]
        return Site(zones, content["tolerate"]["machines"], content["timing"]["catch_up_s"], frozenset(kinds))


@dataclass
class Day:
    """One day with its faults and planned events, which is written as a `[[day]]` of a site file."""

    name: str
    site: Site
    seed: int
    closing: dict
    troubles: list = field(default_factory=list)

    def add(self, kind, at, **fields):
        """Adds a fault or planned event if the site lists its kind. Returns whether it was added."""
        if kind not in self.site.kinds:
            return False
        at = round(min(at, LAST_TROUBLE_S), 2)
        kept = {name: value for name, value in fields.items() if value not in ("", None)}
        self.troubles.append({"at": at, "kind": kind, **kept})
        return True

    def to_toml(self):
        """Returns the day as the text of a TOML file for the bench."""
        ordered = sorted(self.troubles, key=lambda trouble: trouble["at"])
        planned = [trouble for trouble in ordered if trouble["kind"] in PLANNED_KINDS]
        unplanned = [trouble for trouble in ordered if trouble["kind"] not in PLANNED_KINDS]
        return "\n".join([
            "[[day]]", f'name = "{self.name}"', 'slot = "trouble"', f"seed = {self.seed}", SCORE_MARKS,
            f"closing = {inline_table(self.closing)}",
            toml_list("plan", planned), toml_list("faults", unplanned), "",
        ])


def inline_table(values):
    pairs = (f'{name} = "{value}"' if isinstance(value, str) else f"{name} = {value}" for name, value in values.items())
    return "{ " + ", ".join(pairs) + " }"


def toml_list(name, troubles):
    lines = [f"  {inline_table(trouble)}," for trouble in troubles]
    return "\n".join([f"{name} = [", *lines, "]"])
