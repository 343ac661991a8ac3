"""A day of trouble in the form of a `[[day]]` of the bench's site files, and what it is drawn from."""

import random
import tomllib
from dataclasses import dataclass, field

LAST_TROUBLE_S = 32.0
# A day of one's own needs the marks of its score; the floor is that of the harshest days that still have to serve.
SCORE_MARKS = "one = 0.9\nzero = 0.4\ngoal = { floor = 0.3 }"
PLANNED_KINDS = {"release", "roll_term", "add_nodes", "hup", "seed_turnover", "config_change", "config_storm",
                 "config_race", "bad_config", "big_config"}


class Draw:
    """A random generator that rests on `random()` alone, whose sequence Python keeps across versions."""

    def __init__(self, *key):
        self._random = random.Random("/".join(str(part) for part in key)).random

    def between(self, low, high):
        """A number with two decimals."""
        return round(low + (high - low) * self._random(), 2)

    def whole(self, low, high):
        """A whole number, both ends included."""
        return low + int((high - low + 1) * self._random())

    def chance(self, share):
        """True in this share of all cases."""
        return self._random() < share

    def pick(self, options):
        """One of the options."""
        return options[int(len(options) * self._random())]

    def two(self, options):
        """Two different options, or the same twice where there is but one."""
        first = self.pick(options)
        others = [option for option in options if option != first]
        return first, self.pick(others or options)

    def words(self, *groups):
        """One word of each group; empty words leave no trace."""
        return " ".join(word for word in (self.pick(group) for group in groups) if word)


@dataclass(frozen=True)
class Site:
    """What a day needs to know of a deployment."""

    core_zones: list
    tolerated: int
    catch_up_s: float
    kinds: frozenset

    @staticmethod
    def load(path, kinds):
        """Reads a site file; `kinds` are those that the bench lists for it."""
        with open(path, "rb") as file:
            content = tomllib.load(file)
        zones = [machine["zone"] for machine in content["machines"] if machine.get("counted")]
        return Site(zones, content["tolerate"]["machines"], content["timing"]["catch_up_s"], frozenset(kinds))


@dataclass
class Day:
    """One day: its troubles in the form of a `[[day]]` of a site file."""

    name: str
    site: Site
    seed: int
    closing: dict
    troubles: list = field(default_factory=list)

    def add(self, kind, at, **fields):
        """Adds a trouble, unless the site does not list its kind. Returns whether it was added."""
        if kind not in self.site.kinds:
            return False
        at = round(min(at, LAST_TROUBLE_S), 2)
        kept = {name: value for name, value in fields.items() if value not in ("", None)}
        self.troubles.append({"at": at, "kind": kind, **kept})
        return True

    def to_toml(self):
        """The day as the text of a file for the bench."""
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
