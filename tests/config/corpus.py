"""Operators' files generated from seeds: valid ones, and ones with a planted fault whose line is known.

The planted line ends with a marker comment. The checker has to report that line, with the given reason.
"""

from dataclasses import dataclass
from random import Random

MARK = "# planted"


@dataclass(frozen=True, slots=True)
class GeneratedFiles:
    seed: int
    files: dict[str, str]  # text by name; the first is the top file
    kind: str  # name of the function that planted the fault; empty for a valid file
    line: int = 0
    reason: str = ""

    def read(self, name: str) -> bytes:
        if name not in self.files:
            raise FileNotFoundError(2, "No such file or directory")
        return self.files[name].encode()


CLASSES = (("query", "idempotent"), ("submit", "non-idempotent"), ("mark", "journalled"))


def generate_sections(random: Random) -> dict[str, list[str]]:
    """Return the sections of a valid file, each a list of lines, in which faults can be planted."""
    pools = [f"p{n}" for n in range(random.randint(2, 5))]
    sections: dict[str, list[str]] = {
        "listen": ["[listeners.callers]", 'address = "127.0.0.1:8080"'],
        "defaults": ["[defaults]", f"attempts = {random.randint(2, 4)}", 'retry-share = "5%"'],
    }
    for number, name in enumerate(pools):
        sections[f"pool {name}"] = _pool(random, pools, number)
    for name, effect in CLASSES:
        sections[f"class {name}"] = _class(random, name, effect)
    for number in range(random.randint(3, 9)):
        sections[f"route {number}"] = _route(random, pools, number)
    return sections


def _pool(random: Random, pools: list[str], number: int) -> list[str]:
    name = pools[number]
    lines = [f"[pools.{name}]"]
    members = [
        f'    {{ id = "{name}-{n}", address = "10.1.{number}.{n + 1}:80" }},'
        for n in range(random.randint(1, 6))
    ]
    source_kind = random.randrange(3) if number else 1
    if source_kind == 0:
        lines.append(f'discovery = "10.2.0.{number + 1}:8500"')
    elif source_kind == 1:
        lines += ["members = [", *members, "]"]
    else:
        lines.append(f'file = "{name}.json"')
    if number == 1 and random.random() < 0.5:
        lines.append(f'fallback = "{pools[0]}"')
    if random.random() < 0.3:
        lines.append(f'grace = "{random.randint(500, 2500)}ms"')
    return lines


def _class(random: Random, name: str, effect: str) -> list[str]:
    limit = random.randint(2, 6)
    lines = [
        f"[classes.{name}]", f'effect = "{effect}"', f'service-goal = "{limit * 400}ms"',
        f'hard-limit = "{limit}s"', f"revenue = {random.randint(1, 10)}",
    ]  # fmt: skip
    if effect == "journalled":
        lines += ['repeat-window = "8s"', 'group = "zone"']
    return lines


def _route(random: Random, pools: list[str], number: int) -> list[str]:
    kind = CLASSES[number % len(CLASSES)][0]
    lines = ["[[routes]]", f'name = "r{number}"', f'path = "/a{number}/b"', f'class = "{kind}"']
    if random.random() < 0.4:
        weights = ", ".join(f"{name} = {random.randint(1, 99)}" for name in pools[:2])
        lines.append(f"pools = {{ {weights} }}")
    else:
        lines.append(f'pool = "{pools[number % len(pools)]}"')
    if kind == "query" and random.random() < 0.5:
        lines += ['hop-time = "400ms"', "attempts = 3", 'second-copy-after = "200ms"']
    if kind == "submit" and random.random() < 0.5:
        lines += ["concurrency = 50", 'rate = "200/s"']
    if random.random() < 0.3:
        lines.append(f'methods = ["{random.choice(("GET", "POST"))}"]')
    return lines


def _plant(lines: list[str], line: str) -> None:
    """Replace the line of the same key, or append the line, with the marker."""
    key = line.partition("=")[0]
    for number, before in enumerate(lines):
        if before.partition("=")[0] == key:
            lines[number] = f"{line}  {MARK}"
            return
    lines.append(f"{line}  {MARK}")


def _remove(lines: list[str], *keys: str) -> None:
    lines[:] = [line for line in lines if line.partition(" =")[0] not in keys]


# Each function plants one fault and returns a part of the expected reason. Routes 0, 1 and 2 have the classes
# `query`, `submit` and the journalled `mark`.


def bare_number(sections):
    _plant(sections["route 0"], "total-time = 2000")
    return 'written as "2000ms"'


def unknown_unit(sections):
    _plant(sections["class query"], 'service-goal = "2 fortnights"')
    return "is no span of time"


def misspelt_key(sections):
    _plant(sections["route 0"], 'hop-tme = "300ms"')
    return "is 'hop-time' meant?"


def hedged_submit(sections):
    _plant(sections["route 1"], 'second-copy-after = "100ms"')
    return "never two hops at once"


def hedged_journalled(sections):
    _plant(sections["class mark"], 'second-copy-after = "100ms"')
    return "never two hops at once"


def replay_of_a_submit(sections):
    _plant(sections["route 1"], "replays = 1")
    return "an effect twice"


def total_over_limit(sections):
    _plant(sections["route 1"], 'total-time = "7s"')
    return "over the hard limit of 'submit'"


def attempt_timeout_over_limit(sections):
    _remove(sections["route 0"], "attempts", "second-copy-after")
    _plant(sections["route 0"], 'hop-time = "9s"')
    return "over the hard limit of 'query'"


def attempts_that_cannot_fit(sections):
    _remove(sections["route 1"], "hop-time")
    sections["route 1"].append('hop-time = "1500ms"')
    _plant(sections["route 1"], "attempts = 5")
    return "5 of 1500ms take 7500ms"


def shares_that_multiply(sections):
    _remove(sections["route 0"], "pools", "pool", "fallback")
    sections["route 0"] += ['pool = "p1"', 'fallback = "p0"']
    _plant(sections["route 0"], 'retry-share = "20%"')
    return "44% of first hops with the fallback's"


def shadowed_route(sections):
    methods = [line for line in sections["route 0"] if line.startswith("methods")]
    sections["shadow"] = [
        "[[routes]]",
        'name = "again"',
        f'path = "/a0/b/"  {MARK}',
        'class = "submit"',
        'pool = "p0"',
        *methods,
    ]
    return "is never reached: 'r0'"


def zero_weights(sections):
    _remove(sections["route 0"], "pool")
    _plant(sections["route 0"], "pools = { p0 = 0, p1 = 0 }")
    return "sum to nothing"


def negative_weight(sections):
    _remove(sections["route 0"], "pool")
    _plant(sections["route 0"], "pools = { p0 = 2, p1 = -1 }")
    return "-1 is below 0"


def pool_without_members(sections):
    sections["empty"] = [f"[pools.empty]  {MARK}", "probes = true"]
    return "has no members"


def empty_members(sections):
    sections["empty"] = ["[pools.empty]", f"members = []  {MARK}"]
    return "is empty"


def own_listener_as_member(sections):
    sections["own"] = [
        "[pools.own]",
        "members = [",
        f'    {{ id = "x", address = "127.0.0.1:8080" }},  {MARK}',
        "]",
    ]
    return "it would ask itself"


def duplicate_member(sections):
    member = '    { id = "x", address = "10.9.0.1:80" },'
    sections["own"] = ["[pools.own]", "members = [", member, f"{member}  {MARK}", "]"]
    return "'x' is there twice"


def fallback_cycle(sections):
    sections["ring"] = ["[pools.one]", 'discovery = "10.3.0.1:80"', f'fallback = "two"  {MARK}',
                        "[pools.two]", 'discovery = "10.3.0.2:80"', 'fallback = "one"']  # fmt: skip
    return "goes round: one -> two -> one"


def fallback_to_itself(sections):
    _remove(sections["route 0"], "pools")
    _remove(sections["route 0"], "pool")
    sections["route 0"].append('pool = "p0"')
    _plant(sections["route 0"], 'fallback = "p0"')
    return "what the route goes to anyway"


def unknown_pool(sections):
    _remove(sections["route 0"], "pools")
    _plant(sections["route 0"], 'pool = "p00"')
    return "there is no pool 'p00'; is"


def unknown_class(sections):
    _plant(sections["route 2"], 'class = "marks"')
    return "there is no class 'marks'; is 'mark' meant?"


def mirrored_submit(sections):
    sections["shadow pool"] = ["[pools.dark]", 'discovery = "10.3.0.1:80"']
    _plant(sections["route 1"], 'mirror = "dark"')
    return "a copy would have an effect"


def rate_below_slow_start_budget(sections):
    _remove(sections["route 0"], "pools")
    _remove(sections["route 0"], "pool")
    sections["route 0"].append('pool = "p0"')
    _plant(sections["route 0"], 'rate = "2/min"')
    return "a cold upstream of 'p0' would get"


def goal_over_limit(sections):
    _plant(sections["class submit"], 'service-goal = "8s"')
    return "over the hard limit"


def missing_repeat_window(sections):
    _remove(sections["class mark"], "repeat-window")
    sections["class mark"][0] += f"  {MARK}"
    return "repeat-window is missing"


def no_method(sections):
    _plant(sections["route 0"], 'methods = ["GTE"]')
    return "is 'GET' meant?"


def bad_address(sections):
    _plant(sections["listen"], 'address = "localhost:80"')
    return "is not an IPv4 address and port"


def duplicate_route(sections):
    _plant(sections["route 1"], 'name = "r0"')
    return "the name of routes[0] already"


def late_hedge(sections):
    _remove(sections["route 0"], "hop-time", "attempts")
    sections["route 0"] += ['hop-time = "300ms"', "attempts = 2"]
    _plant(sections["route 0"], 'second-copy-after = "300ms"')
    return "it never acts"


def no_attempt(sections):
    _plant(sections["class query"], "attempts = 0")
    return "not between 1 and"


def share_over_all(sections):
    _plant(sections["defaults"], 'retry-share = "150%"')
    return "not between 0 and 1"


def scalar_for_table(sections):
    sections["defaults"] = [f"defaults = 3  {MARK}"]
    # The other sections are moved behind it: the key has to come before all tables.
    sections.update({name: sections.pop(name) for name in list(sections) if name != "defaults"})
    return "is no table"


def invalid_toml(sections):
    sections["route 0"].append(f"pool 7  {MARK}")
    return "is no TOML"


def unset_variable(sections):
    _remove(sections["route 0"], "pools")
    _plant(sections["route 0"], 'pool = "${NOWHERE}"')
    return "NOWHERE is not set"


def include_cycle(sections):
    sections["listen"].insert(0, f'include = ["file.toml"]  {MARK}')
    return "forms a cycle: file.toml -> file.toml"


def missing_include(sections):
    sections["listen"].insert(0, f'include = ["gone.toml"]  {MARK}')
    return "gone.toml can't be read"


FAULTS = (
    bare_number, unknown_unit, misspelt_key, hedged_submit, hedged_journalled, replay_of_a_submit,
    total_over_limit, attempt_timeout_over_limit, attempts_that_cannot_fit, shares_that_multiply,
    shadowed_route, zero_weights, negative_weight, pool_without_members, empty_members,
    own_listener_as_member, duplicate_member, fallback_cycle, fallback_to_itself, unknown_pool,
    unknown_class, mirrored_submit, rate_below_slow_start_budget, goal_over_limit, missing_repeat_window,
    no_method, bad_address, duplicate_route, late_hedge, no_attempt, share_over_all, scalar_for_table,
    invalid_toml, unset_variable, include_cycle, missing_include,
)  # fmt: skip


def generate_operator_files(seed: int) -> GeneratedFiles:
    """Generate a valid file from an even seed, or one with a fault from an odd one, all kinds in turn."""
    random = Random(f"corpus {seed}")
    sections = generate_sections(random)
    plant = FAULTS[seed // 2 % len(FAULTS)] if seed % 2 else None
    reason = plant(sections) if plant else ""
    text = "\n\n".join("\n".join(lines) for lines in sections.values()) + "\n"
    line = next((n for n, each in enumerate(text.splitlines(), 1) if MARK in each), 0)
    return GeneratedFiles(seed, {"file.toml": text}, plant.__name__ if plant else "", line, reason)
