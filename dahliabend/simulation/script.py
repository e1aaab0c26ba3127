"""Scenarios as data: the world, the load and the faults of one run. A file can be read, shrunk and kept.

TOML or JSON, decoded by msgspec. A span is text with its unit ("250ms", "1.5s", "1us"); unknown keys, unknown
faults and what can't be in that world are refused by path. `draw` makes a scenario from a seed.
"""

from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Literal

import msgspec

from dahliabend.config.operator_file import units
from dahliabend.config.operator_file.units import Duration

MS, S = 1_000, 1_000_000

What = Literal[
    "hang", "slow", "fail", "crash", "restart", "drain", "refuse", "mute", "vanish", "limit", "reset",
    "garble", "flap", "cut-zone", "reset-hop", "lose-hop", "kill", "term", "stall", "reload", "drop-class",
    "broken-file", "upgrade", "late", "silent", "end-watch", "wrong", "move", "exclude", "evacuate",
    "half-call", "crowd", "rude", "twice", "slow-dial", "withdraw", "deaf", "whole", "anew", "flood",
    "behind", "leave", "away",
]  # fmt: skip
GROUPS = {
    "upstream": ("hang", "slow", "fail", "crash", "restart", "drain", "refuse", "mute", "vanish", "limit",
                 "reset", "garble", "flap", "twice", "slow-dial", "withdraw"),
    "zone": ("cut-zone",),
    "hop": ("reset-hop", "lose-hop"),
    "balancer": ("kill", "term", "stall", "reload", "drop-class", "broken-file", "upgrade"),
    "discovery": ("late", "silent", "end-watch", "wrong", "move", "deaf", "whole", "anew", "away"),
    "operator": ("exclude", "evacuate", "half-call"),
    "clients": ("crowd", "rude", "flood", "behind", "leave"),
}  # fmt: skip
# Those of the operators' stricter terms, drawn apart: what a seed drew before them it still draws.
TERMS = ("twice", "slow-dial", "withdraw", "deaf", "whole", "anew", "flood", "behind", "leave", "away")
# Each with an upstream that is withdrawn soon after, in a longer run.
UNHEARD = ("deaf", "whole", "anew", "away")
GROUP_OF = {what: group for group, kinds in GROUPS.items() for what in kinds}
EVENTS = {
    "hop.head": "a hop's first byte is written",
    "hop.whole": "a hop's last byte is written",
    "begun": "a hop's last byte has come to its upstream",
    "made": "an upstream is about to answer",
    "answer": "a caller has had its answer",
    "told": "a balancer is told that an upstream drains or goes",
    "yes": "an operator's call was answered",
    "listening": "a process has just begun to take callers",
    "ended": "a process has ended",
    "fault": "another fault begins",
}


class Table(msgspec.Struct, rename="kebab", forbid_unknown_fields=True, omit_defaults=True):
    """A key that is not known is a fault of the file."""


class WorldSpec(Table):
    balancers: int = 2
    upstreams: int = 4
    behind: int = 0  # upstreams of a second tier, which those of the first call
    calls: float = 1.0  # how often for each request, one after the other, in the mean
    work_behind: Duration = Duration(0)  # of a job there; 0: as in the first
    zones: int = 1
    cores: int = 2  # of an upstream
    slots: int = 8  # jobs at once on a core
    queue: int = 8  # and waiting
    choke_at: float = 1.0  # of its slots: from there on an upstream's work slows
    work: Duration = Duration(8 * MS)  # of a query, in the mean; a submit's is half as much again
    cold: Duration = Duration(2 * S)
    cold_share: float = 0.4
    fall_multiple: float = 4.0
    grace: Duration = Duration(1_500 * MS)
    goal: Duration = Duration(500 * MS)
    limit: Duration = Duration(1_500 * MS)
    hops: int = 4
    may_probe: bool = True
    may_cancel: bool = True
    advises: bool = True
    sockets: int = 256  # descriptors of a balancer
    conn_idle: Duration = Duration(2 * S)
    dial: Duration = Duration(75 * MS)  # how long a connection to an upstream may take to come up
    repeat_window: Duration = Duration(1_200 * MS)  # for which a journalled one is remembered
    order_pause: Duration = Duration(
        0
    )  # a key's rest after a hop that may go on, where journalled ones carry keys
    shared: bool = False  # the platform holds the listener, and processes share a folder
    admin: bool = True
    delay: Duration = Duration(250)
    cross: Duration = Duration(3 * MS)
    jitter: float = 0.3
    sending: int = 262_144
    window: int = 65_536
    piece: int = 0
    idle_dies: Duration = Duration(0)
    idle_resets: bool = False
    notice: Duration = Duration(50 * MS)  # until discovery tells of a change, in the mean


class LoadSpec(Table):
    requests: int = 110
    over: Duration = Duration(4 * S)
    burst: float = 0.0  # of them come within a tenth of the time
    submits: float = 0.4
    marked: float = 0.1  # journalled ones
    group: Literal["all", "zone", "cell"] = "cell"
    retries: int = 1
    honours: float = 0.8  # share of those that wait as long as they are told
    leave: float = 0.02
    trickle: float = 0.03
    fresh: float = 0.1  # on a new connection although one is open
    long_bodies: float = 0.0
    long_answers: float = 0.0
    keys: int = 0  # so many that journalled ones carry, and are kept in order by; 0: none


class Fault(Table):
    """`at` counts from the load's start. With `on`, it acts at the nth such event (of `whom`, where it names
    an upstream or a class), `after` later."""

    what: What
    whom: int = 0
    at: Duration | None = None
    on: str = ""
    nth: int = 1
    name: str = ""  # of a class, for events of requests
    after: Duration = Duration(0)
    span: Duration = Duration(500 * MS)
    size: float = 0.0


class Scenario(Table):
    seed: int = 0
    length: Duration = Duration(5 * S)
    world: WorldSpec = msgspec.field(default_factory=WorldSpec)
    load: LoadSpec = msgspec.field(default_factory=LoadSpec)
    faults: list[Fault] = []
    why: str = ""  # for those who read the file
    breaks: str = ""  # the rule that a regression file once broke


def encode(scenario: Scenario) -> bytes:
    return msgspec.json.format(msgspec.json.encode(plain(scenario))) + b"\n"


def plain(value):
    """Spans as text: msgspec takes them for the whole numbers that they are."""
    if isinstance(value, Duration):
        return str(value)
    if isinstance(value, msgspec.Struct):
        fields = msgspec.structs.fields(value)
        return {f.encode_name: plain(v) for f in fields if (v := getattr(value, f.name)) != _default(f)}
    if isinstance(value, list):
        return [plain(each) for each in value]
    return value


def _default(field):
    if field.default is not msgspec.NODEFAULT:
        return field.default
    return field.default_factory() if field.default_factory is not msgspec.NODEFAULT else msgspec.NODEFAULT


def parse(kind: type, text: bytes, name: str):
    """By the name's ending, TOML or JSON. ValueError says by path what is wrong."""
    decoder = msgspec.toml if name.endswith(".toml") else msgspec.json
    return decoder.decode(text, type=kind, dec_hook=units.decode_unit)


def decode(text: bytes, name: str = "script.json") -> Scenario:
    """ValueError says by path what is wrong."""
    made = parse(Scenario, text, name)
    check(made)
    return made


def read(path: str, decode: Callable = decode):
    """What a file says. ValueError names the file too."""
    try:
        return decode(Path(path).read_bytes(), path)
    except OSError as error:
        raise ValueError(f"{path}: {error.strerror}") from None
    except ValueError as error:
        raise ValueError(f"{path}: {error}") from None


def check(scenario: Scenario) -> None:
    """What can't be in that world is a `ValueError` that names the place."""
    world = scenario.world
    for key, least, most in (
        ("balancers", 1, 32), ("upstreams", 1, 64), ("behind", 0, 32), ("zones", 1, 4), ("cores", 1, 64),
        ("slots", 1, 256), ("queue", 0, 1024), ("hops", 1, 16), ("sockets", 64, 65536),
    ):  # fmt: skip
        if not least <= getattr(world, key) <= most:
            raise ValueError(f"$.world.{key}: {getattr(world, key)} is not between {least} and {most}")
    if not 1 <= scenario.load.requests <= 1_000_000:
        raise ValueError(f"$.load.requests: {scenario.load.requests} is not between 1 and 1000000")
    if scenario.load.over > scenario.length:
        raise ValueError("$.load.over: longer than the run")
    if scenario.length > 24 * 3600 * S:
        raise ValueError("$.length: longer than a day")
    for number, fault in enumerate(scenario.faults):
        here = f"$.faults[{number}]"
        whom = GROUP_OF[fault.what]
        most = {"upstream": world.upstreams + world.behind, "balancer": world.balancers,
                "discovery": world.balancers, "operator": world.balancers, "zone": world.zones}  # fmt: skip
        if whom in most and not 0 <= fault.whom < most[whom]:
            raise ValueError(f"{here}.whom: there is no {whom} {fault.whom}")
        if fault.what == "cut-zone" and (world.zones < 2 or fault.whom == 0):
            raise ValueError(f"{here}.what: the callers' own zone, or the only one, can't be cut off")
        if fault.what == "upgrade" and not world.shared:
            raise ValueError(f"{here}.what: an upgrade wants world.shared")
        if whom == "operator" and not world.admin:
            raise ValueError(f"{here}.what: there is no operators' door, world.admin is off")
        if whom == "hop" and fault.on not in ("hop.head", "hop.whole", "begun", "made"):
            raise ValueError(f"{here}.on: {fault.what} needs a hop's event")
        if (fault.at is None) == (not fault.on):
            raise ValueError(f"{here}: needs either at or on")
        if fault.on and fault.on not in EVENTS:
            raise ValueError(f"{here}.on: {fault.on!r} is none of {', '.join(EVENTS)}")
        if fault.at is not None and not 0 <= fault.at <= scenario.length:
            raise ValueError(f"{here}.at: {fault.at} is outside the run")
        if fault.after < 0 or fault.span < 0 or fault.nth < 1:
            raise ValueError(f"{here}: after and span can't be negative, nth begins at 1")


# Drawn from a seed.

GRACE_EDGE = (-1, 0, 1)  # microseconds round the end of a drain's grace


def draw(seed: int, kinds: tuple[str, ...] = ()) -> Scenario:
    """A world with one to three faults. `kinds` restricts these."""
    chance = Random(f"scenario {seed}")
    pick, real = chance.choice, chance.random
    world = WorldSpec(
        balancers=2,
        upstreams=chance.randint(3, 6),
        behind=pick((0, 0, 0, 0, 0, 2)),
        zones=pick((1, 1, 2)),
        cores=pick((1, 2, 2)),
        slots=pick((4, 8)),
        queue=pick((2, 8)),
        work=Duration(pick((10, 40, 80)) * MS),
        cold=Duration(pick((1, 2)) * S),
        cold_share=pick((0.15, 0.4)),
        fall_multiple=pick((3.0, 4.0)),
        shared=real() < 0.25,
        sockets=pick((256, 256, 72)),
        conn_idle=Duration(pick((1, 2, 5)) * S),
        may_probe=real() < 0.8,
        may_cancel=real() < 0.9,
        advises=real() < 0.7,
        sending=pick((262_144, 262_144, 3_000)),
        window=pick((65_536, 65_536, 2_000)),
        piece=pick((0, 0, 0, 700)),
        idle_dies=Duration(pick((0, 0, 0, 700)) * MS),
        idle_resets=real() < 0.5,
        notice=Duration(pick((20, 80, 300)) * MS),
    )
    load = LoadSpec(
        requests=chance.randint(100, 130),
        burst=pick((0.0, 0.0, 0.3)),
        marked=pick((0.0, 0.2)),
        group=pick(("all", "zone", "cell")),
        retries=pick((0, 1, 2)),
        leave=pick((0.0, 0.05)),
        long_bodies=pick((0.0, 0.0, 0.05)),
        long_answers=pick((0.0, 0.0, 0.05)),
    )
    faults = [_fault(chance, world, kinds) for _ in range(pick((1, 1, 2, 2, 3)))]
    order = Random(f"order {seed}")  # apart: what else a seed draws stays as it was
    if order.random() < 0.25:
        world.order_pause = Duration(order.choice((20, 100)) * MS)
        load.keys, load.marked = order.choice((1, 3, 8)), 0.4
    made = Scenario(seed=seed, world=world, load=load, faults=[f for each in faults for f in each])
    _terms(Random(f"terms {seed}"), made, kinds)
    _sizes(Random(f"sizes {seed}"), made)
    check(made)
    return made


def _sizes(chance: Random, made: Scenario) -> None:
    """To some seeds other settings, or many balancers with a cold upstream under a burst; drawn apart too."""
    world, load, what = made.world, made.load, chance.random()
    if what < 0.15:
        world.limit, world.goal = Duration(700 * MS), Duration(300 * MS)
        world.repeat_window = Duration(chance.choice((150, 400)) * MS)
    elif what < 0.18 and not world.behind and not world.shared:
        world.balancers = chance.randint(20, 30)
        load.requests, load.burst = 3 * load.requests, 0.3
        at = Duration(chance.randrange(600, 1_400) * MS)
        made.faults.append(
            Fault("crash", whom=chance.randrange(world.upstreams), at=at, span=Duration(300 * MS))
        )


def _terms(chance: Random, made: Scenario, kinds: tuple[str, ...]) -> None:
    """To a third of the seeds, or where they are asked for, a fault that the stricter terms name."""
    possible = [what for what in TERMS if what in kinds] if kinds else TERMS
    if not possible or not kinds and chance.random() > 0.35:
        return
    world, load, what = made.world, made.load, chance.choice(possible)
    at = Duration(chance.randrange(300, 1_500) * MS + chance.randrange(1_000))
    most = {"upstream": world.upstreams, "discovery": world.balancers, "clients": 1}[GROUP_OF[what]]
    whom, size = chance.randrange(most), round(chance.uniform(0.3, 1), 3)
    made.faults.append(Fault(what, whom=whom, at=at, span=Duration(2 * S), size=size))
    if what == "slow-dial":
        world.dial, load.leave = Duration(chance.choice((75, 400, 900)) * MS), 0.4
        world.may_cancel = world.may_cancel and chance.random() < 0.5
        # Repeats, and windows that end while their connections come up.
        world.repeat_window, load.marked = Duration(chance.choice((150, 400, 1_200)) * MS), 0.4
        made.faults.append(
            Fault("fail", whom=chance.randrange(most), at=Duration(at), span=Duration(2 * S), size=0.5)
        )
        made.faults[-2].at = Duration(
            chance.randrange(200) * MS
        )  # most connections come up in the first seconds
        made.faults.append(Fault("reset", whom=whom, at=Duration(at + S // 2)))
    if what == "behind":  # the balancers end their connections meanwhile
        made.faults.append(Fault("term", whom=chance.randrange(world.balancers), at=Duration(at + S // 5)))
    if what == "away":  # a process that starts meanwhile goes by what it knew
        made.faults[-1].span = Duration(8 * S)
        made.faults.append(Fault("kill", whom=whom, at=Duration(at + S // 2), span=Duration(300 * MS)))
    if what in UNHEARD:
        soon = Duration(at + chance.randrange(50, 900) * MS)
        made.faults.append(Fault("withdraw", whom=chance.randrange(world.upstreams), at=soon))
        made.length, load.over, load.requests = Duration(12 * S), Duration(11 * S), 2 * load.requests


def _fault(chance: Random, world: WorldSpec, kinds: tuple[str, ...]) -> list[Fault]:
    possible = [what for what in kinds or GROUP_OF if _possible(what, world) and what not in TERMS]
    if not possible:
        return []
    what = chance.choice(possible)
    whom = GROUP_OF[what]
    count = {"upstream": world.upstreams + world.behind, "balancer": world.balancers,
             "discovery": world.balancers, "operator": world.balancers}  # fmt: skip
    made = Fault(
        what=what,
        whom=1 if what == "cut-zone" else chance.randrange(count.get(whom, 1)),
        at=Duration(chance.randrange(200, 2_500) * MS + chance.randrange(1_000)),
        span=Duration(chance.choice((100, 400, 900, 1_600)) * MS + chance.randrange(1_000)),
        size=round(chance.uniform(0.2, 1.0), 3),
    )
    if what == "exclude":  # what comes within the grace breaks nothing
        made.span = Duration(world.grace + chance.randrange(300, 1_500) * MS)
    if what == "crowd":
        made.size = round(2 * made.size, 3)
    if whom == "hop" or chance.random() < 0.2:
        made.at, made.nth = None, chance.randint(1, 60)
        made.on = chance.choice(("hop.head", "hop.whole", "begun", "made"))
        made.name = chance.choice(("query", "submit", ""))
        made.after = Duration(chance.choice((0, 0, 1, 300)))
    more = []
    if what == "kill" and (not kinds or "stall" in kinds) and chance.random() < 0.4:  # and starts slowly
        span = Duration(chance.randrange(60, 500) * MS)
        more.append(Fault("stall", whom=made.whom, on="listening", span=span))
    if what in ("drain", "restart") and chance.random() < 0.6:
        # Another one exactly as the grace of the drain's news ends.
        others = [k for k in ("stall", "hang", "crash", "reset", "end-watch") if not kinds or k in kinds]
        other = chance.choice(others or [what])
        more.append(
            Fault(
                what=other,
                whom=0 if GROUP_OF[other] in ("balancer", "discovery") else made.whom,
                on="told",
                after=Duration(world.grace + chance.choice(GRACE_EDGE)),
                span=Duration(200 * MS),
                size=1.0,
            )
        )
    return [made, *more]


def _possible(what: str, world: WorldSpec) -> bool:
    return not (what == "cut-zone" and world.zones < 2 or what == "upgrade" and not world.shared)
