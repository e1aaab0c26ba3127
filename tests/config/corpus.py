"""Operators' files made from a seed: sound ones, and ones with a planted fault whose line is known.

The planted line ends with a mark; a fault counts as found if that line and the reason given here are named.
"""

from dataclasses import dataclass
from random import Random

MARK = "# planted"


@dataclass(frozen=True, slots=True)
class Made:
    seed: int
    files: dict[str, str]  # by name; the first is the one to be read
    kind: str  # of the fault; empty where there is none
    line: int = 0
    reason: str = ""

    def read(self, name: str) -> bytes:
        if name not in self.files:
            raise FileNotFoundError(2, "No such file or directory")
        return self.files[name].encode()


CLASSES = (("query", "idempotent"), ("submit", "non-idempotent"), ("mark", "journalled"))


def sound(chance: Random) -> dict[str, list[str]]:
    """A file by sections, each a list of lines, in which faults are then planted."""
    pools = [f"p{n}" for n in range(chance.randint(2, 5))]
    sections: dict[str, list[str]] = {
        "listen": ["[listeners.callers]", 'address = "127.0.0.1:8080"'],
        "defaults": ["[defaults]", f"attempts = {chance.randint(2, 4)}", 'retry-share = "5%"'],
    }
    for number, name in enumerate(pools):
        sections[f"pool {name}"] = _pool(chance, pools, number)
    for name, effect in CLASSES:
        sections[f"class {name}"] = _class(chance, name, effect)
    for number in range(chance.randint(3, 9)):
        sections[f"route {number}"] = _route(chance, pools, number)
    return sections


def _pool(chance: Random, pools: list[str], number: int) -> list[str]:
    name = pools[number]
    lines = [f"[pools.{name}]"]
    members = [
        f'    {{ id = "{name}-{n}", address = "10.1.{number}.{n + 1}:80" }},'
        for n in range(chance.randint(1, 6))
    ]
    way = chance.randrange(3) if number else 1
    if way == 0:
        lines.append(f'discovery = "10.2.0.{number + 1}:8500"')
    elif way == 1:
        lines += ["members = [", *members, "]"]
    else:
        lines.append(f'file = "{name}.json"')
    if number == 1 and chance.random() < 0.5:
        lines.append(f'fallback = "{pools[0]}"')
    if chance.random() < 0.3:
        lines.append(f'grace = "{chance.randint(500, 2500)}ms"')
    return lines


def _class(chance: Random, name: str, effect: str) -> list[str]:
    limit = chance.randint(2, 6)
    lines = [
        f"[classes.{name}]", f'effect = "{effect}"', f'service-goal = "{limit * 400}ms"',
        f'hard-limit = "{limit}s"', f"revenue = {chance.randint(1, 10)}",
    ]  # fmt: skip
    if effect == "journalled":
        lines += ['repeat-window = "8s"', 'group = "zone"']
    return lines


def _route(chance: Random, pools: list[str], number: int) -> list[str]:
    kind = CLASSES[number % len(CLASSES)][0]
    lines = ["[[routes]]", f'name = "r{number}"', f'path = "/a{number}/b"', f'class = "{kind}"']
    if chance.random() < 0.4:
        weights = ", ".join(f"{name} = {chance.randint(1, 99)}" for name in pools[:2])
        lines.append(f"pools = {{ {weights} }}")
    else:
        lines.append(f'pool = "{pools[number % len(pools)]}"')
    if kind == "query" and chance.random() < 0.5:
        lines += ['hop-time = "400ms"', "attempts = 3", 'second-copy-after = "200ms"']
    if kind == "submit" and chance.random() < 0.5:
        lines += ["concurrency = 50", 'rate = "200/s"']
    if chance.random() < 0.3:
        lines.append(f'methods = ["{chance.choice(("GET", "POST"))}"]')
    return lines


def _put(lines: list[str], line: str) -> None:
    """In place of the same key, or at the end."""
    key = line.partition("=")[0]
    for number, before in enumerate(lines):
        if before.partition("=")[0] == key:
            lines[number] = f"{line}  {MARK}"
            return
    lines.append(f"{line}  {MARK}")


def _drop(lines: list[str], *keys: str) -> None:
    lines[:] = [line for line in lines if line.partition(" =")[0] not in keys]


# Each plants one fault and gives the reason to be named. Route 0 is a query, 1 a submit, 2 journalled.


def bare_number(s):
    _put(s["route 0"], "total-time = 2000")
    return 'written as "2000ms"'


def unknown_unit(s):
    _put(s["class query"], 'service-goal = "2 fortnights"')
    return "is no span of time"


def misspelt_key(s):
    _put(s["route 0"], 'hop-tme = "300ms"')
    return "is 'hop-time' meant?"


def copy_of_a_submit(s):
    _put(s["route 1"], 'second-copy-after = "100ms"')
    return "never two hops at once"


def copy_of_a_journalled(s):
    _put(s["class mark"], 'second-copy-after = "100ms"')
    return "never two hops at once"


def replay_of_a_submit(s):
    _put(s["route 1"], "replays = 1")
    return "an effect twice"


def total_over_limit(s):
    _put(s["route 1"], 'total-time = "7s"')
    return "over the hard limit of 'submit'"


def hop_over_limit(s):
    _drop(s["route 0"], "attempts", "second-copy-after")
    _put(s["route 0"], 'hop-time = "9s"')
    return "over the hard limit of 'query'"


def attempts_that_cannot_fit(s):
    _drop(s["route 1"], "hop-time")
    s["route 1"].append('hop-time = "1500ms"')
    _put(s["route 1"], "attempts = 5")
    return "5 of 1500ms take 7500ms"


def shares_that_multiply(s):
    _drop(s["route 0"], "pools", "pool", "fallback")
    s["route 0"] += ['pool = "p1"', 'fallback = "p0"']
    _put(s["route 0"], 'retry-share = "20%"')
    return "44% of first hops with the fallback's"


def shadowed(s):
    methods = [line for line in s["route 0"] if line.startswith("methods")]
    s["shadow"] = [
        "[[routes]]",
        'name = "again"',
        f'path = "/a0/b/"  {MARK}',
        'class = "submit"',
        'pool = "p0"',
        *methods,
    ]
    return "is never reached: 'r0'"


def weightless(s):
    _drop(s["route 0"], "pool")
    _put(s["route 0"], "pools = { p0 = 0, p1 = 0 }")
    return "sum to nothing"


def negative_weight(s):
    _drop(s["route 0"], "pool")
    _put(s["route 0"], "pools = { p0 = 2, p1 = -1 }")
    return "-1 is below 0"


def memberless(s):
    s["empty"] = [f"[pools.empty]  {MARK}", "probes = true"]
    return "has no members"


def empty_members(s):
    s["empty"] = ["[pools.empty]", f"members = []  {MARK}"]
    return "is empty"


def itself(s):
    s["own"] = ["[pools.own]", "members = [", f'    {{ id = "x", address = "127.0.0.1:8080" }},  {MARK}', "]"]
    return "it would ask itself"


def twice_a_member(s):
    member = '    { id = "x", address = "10.9.0.1:80" },'
    s["own"] = ["[pools.own]", "members = [", member, f"{member}  {MARK}", "]"]
    return "'x' is there twice"


def fallback_ring(s):
    s["ring"] = ["[pools.one]", 'discovery = "10.3.0.1:80"', f'fallback = "two"  {MARK}', "[pools.two]",
                 'discovery = "10.3.0.2:80"', 'fallback = "one"']  # fmt: skip
    return "goes round: one -> two -> one"


def fallback_to_itself(s):
    _drop(s["route 0"], "pools")
    _drop(s["route 0"], "pool")
    s["route 0"].append('pool = "p0"')
    _put(s["route 0"], 'fallback = "p0"')
    return "what the route goes to anyway"


def unknown_pool(s):
    _drop(s["route 0"], "pools")
    _put(s["route 0"], 'pool = "p00"')
    return "there is no pool 'p00'; is"


def unknown_class(s):
    _put(s["route 2"], 'class = "marks"')
    return "there is no class 'marks'; is 'mark' meant?"


def mirrored_submit(s):
    s["shadow pool"] = ["[pools.dark]", 'discovery = "10.3.0.1:80"']
    _put(s["route 1"], 'mirror = "dark"')
    return "a copy would have an effect"


def rate_under_the_cold_budget(s):
    _drop(s["route 0"], "pools")
    _drop(s["route 0"], "pool")
    s["route 0"].append('pool = "p0"')
    _put(s["route 0"], 'rate = "2/min"')
    return "a cold upstream of 'p0' would get"


def goal_over_limit(s):
    _put(s["class submit"], 'service-goal = "8s"')
    return "over the hard limit"


def windowless(s):
    _drop(s["class mark"], "repeat-window")
    s["class mark"][0] += f"  {MARK}"
    return "repeat-window is missing"


def no_method(s):
    _put(s["route 0"], 'methods = ["GTE"]')
    return "is 'GET' meant?"


def bad_address(s):
    _put(s["listen"], 'address = "localhost:80"')
    return "is not an IPv4 address and port"


def twice_a_route(s):
    _put(s["route 1"], 'name = "r0"')
    return "the name of routes[0] already"


def late_copy(s):
    _drop(s["route 0"], "hop-time", "attempts")
    s["route 0"] += ['hop-time = "300ms"', "attempts = 2"]
    _put(s["route 0"], 'second-copy-after = "300ms"')
    return "it never acts"


def no_attempt(s):
    _put(s["class query"], "attempts = 0")
    return "not between 1 and"


def share_over_all(s):
    _put(s["defaults"], 'retry-share = "150%"')
    return "not between 0 and 1"


def no_table(s):
    s["defaults"] = [f"defaults = 3  {MARK}"]
    s.update({name: s.pop(name) for name in list(s) if name != "defaults"})  # before all tables
    return "is no table"


def no_toml(s):
    s["route 0"].append(f"pool 7  {MARK}")
    return "is no TOML"


def unset(s):
    _drop(s["route 0"], "pools")
    _put(s["route 0"], 'pool = "${NOWHERE}"')
    return "NOWHERE is not set"


def round_include(s):
    s["listen"].insert(0, f'include = ["file.toml"]  {MARK}')
    return "goes round: file.toml -> file.toml"


def missing_include(s):
    s["listen"].insert(0, f'include = ["gone.toml"]  {MARK}')
    return "gone.toml can't be read"


FAULTS = (
    bare_number, unknown_unit, misspelt_key, copy_of_a_submit, copy_of_a_journalled, replay_of_a_submit,
    total_over_limit, hop_over_limit, attempts_that_cannot_fit, shares_that_multiply, shadowed, weightless,
    negative_weight, memberless, empty_members, itself, twice_a_member, fallback_ring, fallback_to_itself,
    unknown_pool, unknown_class, mirrored_submit, rate_under_the_cold_budget, goal_over_limit, windowless,
    no_method, bad_address, twice_a_route, late_copy, no_attempt, share_over_all, no_table, no_toml, unset,
    round_include, missing_include,
)  # fmt: skip


def generate_operator_files(seed: int) -> Made:
    """Even seeds are sound, odd ones hold a fault each, all kinds in turn."""
    chance = Random(f"corpus {seed}")
    sections = sound(chance)
    plant = FAULTS[seed // 2 % len(FAULTS)] if seed % 2 else None
    reason = plant(sections) if plant else ""
    text = "\n\n".join("\n".join(lines) for lines in sections.values()) + "\n"
    line = next((n for n, each in enumerate(text.splitlines(), 1) if MARK in each), 0)
    return Made(seed, {"file.toml": text}, plant.__name__ if plant else "", line, reason)
