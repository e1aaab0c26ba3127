"""A fleet and what befalls it, as data: one script plays on the modelled network and between real processes.

Steps come one after another. A step does something, for its `span` where that ends by itself; then it waits
`wait`, and until its condition holds (`out`: those named are in nobody's view; `agree`: all that run see the
same, and each other; `even`: that, and what all say that they use adds up; upstreams rest from then on;
`believed`: somebody's decisions were told what others say). A condition that does not come within its time is
a broken rule.
"""

from random import Random
from typing import Literal

import msgspec

from dahliabend.config.operator_file.units import Duration
from dahliabend.simulation import script as scenarios
from dahliabend.simulation.script import Table, plain

MS, S = 1_000, 1_000_000
MOST = 5_000  # instances

What = Literal[
    "calm", "kill", "start", "restart", "stop", "block", "leave", "hand", "cut", "split", "lose", "delay",
    "double", "strangers", "mend", "bad",
]  # fmt: skip
NAMED = {"kill", "start", "restart", "stop", "block", "leave", "hand"}  # these name instances
WAYS = {"cut", "split", "lose", "delay", "double"}  # these change ways between them


class Step(Table):
    what: What = "calm"
    whom: list[int] = []  # empty for ways: all
    to: list[int] = []  # of a cut: only what goes from `whom` to these is lost; empty: to all. Of bad:
    # upstreams, between processes alone, of which nine hops in ten fail for the span
    parts: list[list[int]] = []  # of a split: no way between these
    size: float = 0.0  # of lose, double: the share of datagrams
    delay: Duration = Duration(0)  # at the most, drawn evenly: datagrams overtake each other
    span: Duration = Duration(0)  # 0: until `mend`, or for good
    wait: Duration = Duration(0)
    until: Literal["", "out", "agree", "even", "believed"] = ""
    within: Duration = Duration(0)  # for the condition; 0: what the terms allow


class Fleet(Table):
    seed: int = 0
    instances: int = 5
    period: Duration = Duration(S)
    seeds: list[int] = msgspec.field(
        default_factory=lambda: [0, 1]
    )  # instances that the others are told to ask
    zones: int = 1
    late: list[int] = []  # not started at first
    delay: Duration = Duration(MS)  # of a datagram, in the mean
    subset: int = 0  # between processes: the least, and the degree, of the pool's subsets; 0: none
    signals: bool = False  # between processes: they tell each other of upstreams
    probing: Duration = Duration(0)  # and probe each once in it, by turns
    limit: int = 0  # between processes: submits a second, of the whole fleet; 0: no limit
    steps: list[Step] = []
    why: str = ""


def encode(fleet: Fleet) -> bytes:
    return msgspec.json.format(msgspec.json.encode(plain(fleet))) + b"\n"


def decode(text: bytes, name: str = "fleet.json") -> Fleet:
    """ValueError says by path what is wrong."""
    made = scenarios.parse(Fleet, text, name)
    check(made)
    return made


def read(path: str) -> Fleet:
    return scenarios.read(path, decode)


def check(fleet: Fleet) -> None:
    def within(path: str, value: float, least: float, most: float) -> None:
        if not least <= value <= most:
            raise ValueError(f"$.{path}: {value} is not between {least} and {most}")

    within("instances", fleet.instances, 1, MOST)
    within("zones", fleet.zones, 1, 64)
    within("period", fleet.period, 20 * MS, 60 * S)
    within("delay", fleet.delay, 0, 10 * S)

    def instances(path: str, numbers: list[int]) -> None:
        for number in numbers:
            if not 0 <= number < fleet.instances:
                raise ValueError(f"$.{path}: there is no instance {number}")

    instances("seeds", fleet.seeds)
    instances("late", fleet.late)
    for number, step in enumerate(fleet.steps):
        here = f"steps[{number}]"
        instances(f"{here}.whom", step.whom)
        if step.what != "bad":
            instances(f"{here}.to", step.to)
        elif not step.to or step.span <= 0:
            raise ValueError(f"$.{here}.to: which upstreams, and for which span?")
        if step.until == "believed" and not fleet.signals:
            raise ValueError(f"$.{here}.until: believed says something only where the fleet has signals")
        for part in step.parts:
            instances(f"{here}.parts", part)
        if step.what in NAMED and not step.whom:
            raise ValueError(f"$.{here}.whom: {step.what} names nobody")
        if step.what == "split" and len(step.parts) < 2:
            raise ValueError(f"$.{here}.parts: a split has two parts at least")
        if step.what in ("lose", "double"):
            within(f"{here}.size", step.size, 0.0, 1.0)
        if step.what in ("stop", "block") and step.span <= 0:
            raise ValueError(f"$.{here}.span: for how long?")
        if step.until == "even" and not fleet.subset:
            raise ValueError(f"$.{here}.until: even says something only where the fleet has a subset")
        if step.until == "out" and not step.whom:
            raise ValueError(f"$.{here}.until: out names nobody")
        if min(step.span, step.wait, step.within, step.delay) < 0:
            raise ValueError(f"$.{here}: a span of time is below 0")


def draw(seed: int, instances: int = 5, period: int = S, minutes: float = 2.0) -> Fleet:
    """Troubles one after the other, some on top of each other, until so much time is over; then calm."""
    chance = Random(f"fleet {seed}")
    made = Fleet(seed=seed, instances=instances, period=Duration(period), zones=chance.choice((1, 2, 3)))
    made.steps.append(Step(until="agree"))
    spent = 0
    while spent < minutes * 60 * S:
        step = _step(chance, made)
        made.steps.append(step)
        spent += step.wait
    made.steps += [Step("mend"), Step(wait=Duration(period * 30), until="agree")]
    check(made)
    return made


def _step(chance: Random, fleet: Fleet) -> Step:
    period, everyone = fleet.period, list(range(fleet.instances))
    few = chance.sample(everyone, chance.randint(1, max(1, fleet.instances // 5)))
    one = few[:1]

    def periods(least: float, most: float) -> Duration:
        return Duration(round(period * chance.uniform(least, most)))

    what = chance.choice(
        ("kill", "restart", "stop", "stop", "block", "leave", "hand", "cut", "cut", "split", "lose", "delay",
         "double", "strangers")
    )  # fmt: skip
    step = Step(what, span=periods(1, 60), wait=periods(2, 60))
    if what == "split":
        chance.shuffle(everyone)
        at = chance.randint(1, fleet.instances - 1)
        step.parts = [sorted(everyone[:at]), sorted(everyone[at:])]
    elif what in ("lose", "double"):
        step.size = round(chance.uniform(0.05, 0.3), 2)
    elif what == "delay":
        step.delay = periods(0.02, 0.2)
    elif what == "cut":
        step.whom = one
        step.to = [n for n in few[1:] or [(one[0] + 1) % fleet.instances] if n != one[0]]
    elif what == "block":
        step.whom, step.span = one, periods(0.5, 4)
    elif what == "strangers":
        step.span = Duration(0)
    elif what in ("restart", "hand"):
        step.whom, step.span = one, Duration(0)
    else:
        step.whom = few
    return step
