"""Scripts of a cluster and its faults, as data.

One file runs on the simulated network and between real processes. Steps follow each other: a step does
something, for its `span` where that ends by itself; then it waits `wait`, and until its condition holds. A
condition that does not hold within its time is a violation.

The keys of the files are published; these are the terms of the code for them:

| key or value | meaning |
| --- | --- |
| `whom` | the instances that a step acts on |
| `strangers` | datagrams from outside of the cluster |
| `hand` | a restart that hands over the protocol's state |
| `block` | a short stop, as of a blocked event loop |
| `lose`, `double` | datagram loss, datagram duplication |
| `mend` | all faults in force are undone |
| `bad` | upstreams that fail nine attempts in ten |
| `out` | those named are in nobody's view |
| `agree` | all that run have the same view, and each other in it |
| `even` | that, and the shares of all subsets add up; upstreams are not disturbed from then on |
| `believed` | a balancer acted on the health reports of others |
"""

from random import Random
from typing import Literal

import msgspec

from dahliabend.config.operator_file.units import Duration
from dahliabend.simulation.file_format import FileFormat, Table

MS = 1_000  # microseconds in a millisecond
S = 1_000_000  # microseconds in a second

MAX_INSTANCES = 5_000
MAX_ZONES = 64
MIN_PERIOD = 20 * MS
MAX_PERIOD = 60 * S
MAX_DELAY = 10 * S
MIN_SPLIT_PARTS = 2
SETTLE_PERIODS = 30  # at the end of a drawn script

What = Literal[
    "calm", "kill", "start", "restart", "stop", "block", "leave", "hand", "cut", "split", "lose", "delay",
    "double", "strangers", "mend", "bad",
]  # fmt: skip
INSTANCE_FAULTS = {"kill", "start", "restart", "stop", "block", "leave", "hand"}  # these name instances
LINK_FAULTS = {"cut", "split", "lose", "delay", "double"}  # these change links between instances
DRAWN_FAULTS: tuple[What, ...] = (
    "kill", "restart", "stop", "stop", "block", "leave", "hand", "cut", "cut", "split", "lose", "delay",
    "double", "strangers",
)  # fmt: skip


class Step(Table):
    """One step of a script; all times are microseconds."""

    what: What = "calm"
    whom: list[int] = msgspec.field(default_factory=list)  # empty for link faults: all
    # Of a cut: only what goes from `whom` to these is lost; empty: to all. Of bad: upstreams.
    to: list[int] = msgspec.field(default_factory=list)
    # Of a split: no link between these.
    parts: list[list[int]] = msgspec.field(default_factory=list)
    size: float = 0.0  # of lose, double: the share of datagrams
    delay: Duration = Duration(0)  # at the most, drawn evenly: datagrams overtake each other
    span: Duration = Duration(0)  # 0: until `mend`, or for good
    wait: Duration = Duration(0)
    until: Literal["", "out", "agree", "even", "believed"] = ""
    within: Duration = Duration(0)  # for the condition; 0: what the settings imply


class ClusterScript(Table):
    """A cluster and its script; all times are microseconds."""

    seed: int = 0
    instances: int = 5
    period: Duration = Duration(S)
    seeds: list[int] = msgspec.field(
        default_factory=lambda: [0, 1]
    )  # instances that the others contact first
    zones: int = 1
    late: list[int] = msgspec.field(default_factory=list)  # not started at first
    delay: Duration = Duration(MS)  # of a datagram, in the mean
    subset: int = 0  # between processes: minimum and degree of the pool's subsets; 0: none
    signals: bool = False  # between processes: health gossip
    probing: Duration = Duration(
        0
    )  # between processes: leased health checks, each upstream once in this time
    limit: int = 0  # between processes: submits a second, of the whole cluster; 0: no limit
    steps: list[Step] = msgspec.field(default_factory=list)
    why: str = ""


def check(script: ClusterScript) -> None:
    """Check what the types cannot.

    Raises:
        ValueError: with the path of what is wrong.
    """
    _check_range("instances", script.instances, 1, MAX_INSTANCES)
    _check_range("zones", script.zones, 1, MAX_ZONES)
    _check_range("period", script.period, MIN_PERIOD, MAX_PERIOD)
    _check_range("delay", script.delay, 0, MAX_DELAY)
    _check_instances(script, "seeds", script.seeds)
    _check_instances(script, "late", script.late)
    for number, step in enumerate(script.steps):
        path = f"steps[{number}]"
        _check_targets(script, step, path)
        _check_amounts(step, path)
        _check_condition(script, step, path)
        if min(step.span, step.wait, step.within, step.delay) < 0:
            raise ValueError(f"$.{path}: a span of time is below 0")


def _check_range(path: str, value: float, minimum: float, maximum: float) -> None:
    if not minimum <= value <= maximum:
        raise ValueError(f"$.{path}: {value} is not between {minimum} and {maximum}")


def _check_instances(script: ClusterScript, path: str, numbers: list[int]) -> None:
    for number in numbers:
        if not 0 <= number < script.instances:
            raise ValueError(f"$.{path}: there is no instance {number}")


def _check_targets(script: ClusterScript, step: Step, path: str) -> None:
    _check_instances(script, f"{path}.whom", step.whom)
    if step.what != "bad":
        _check_instances(script, f"{path}.to", step.to)
    elif not step.to or step.span <= 0:
        raise ValueError(f"$.{path}.to: which upstreams, and for which span?")
    for part in step.parts:
        _check_instances(script, f"{path}.parts", part)
    if step.what in INSTANCE_FAULTS and not step.whom:
        raise ValueError(f"$.{path}.whom: {step.what} names nobody")
    if step.what == "split" and len(step.parts) < MIN_SPLIT_PARTS:
        raise ValueError(f"$.{path}.parts: a split has two parts at least")


def _check_amounts(step: Step, path: str) -> None:
    if step.what in ("lose", "double"):
        _check_range(f"{path}.size", step.size, 0.0, 1.0)
    if step.what in ("stop", "block") and step.span <= 0:
        raise ValueError(f"$.{path}.span: for how long?")


def _check_condition(script: ClusterScript, step: Step, path: str) -> None:
    if step.until == "believed" and not script.signals:
        raise ValueError(f"$.{path}.until: believed says something only where the fleet has signals")
    if step.until == "even" and not script.subset:
        raise ValueError(f"$.{path}.until: even says something only where the fleet has a subset")
    if step.until == "out" and not step.whom:
        raise ValueError(f"$.{path}.until: out names nobody")


SCRIPT_FILES = FileFormat(ClusterScript, check)


def draw(seed: int, instances: int = 5, period: int = S, minutes: float = 2.0) -> ClusterScript:
    """Draw a script: faults one after the other, some at the same time, for so many minutes; then calm."""
    rng = Random(f"fleet {seed}")
    script = ClusterScript(
        seed=seed, instances=instances, period=Duration(period), zones=rng.choice((1, 2, 3))
    )
    script.steps.append(Step(until="agree"))
    spent = 0
    while spent < minutes * 60 * S:
        step = _draw_step(rng, script)
        script.steps.append(step)
        spent += step.wait
    script.steps += [Step("mend"), Step(wait=Duration(period * SETTLE_PERIODS), until="agree")]
    check(script)
    return script


def _draw_step(rng: Random, script: ClusterScript) -> Step:
    everyone = list(range(script.instances))
    few = rng.sample(everyone, rng.randint(1, max(1, script.instances // 5)))
    one = few[:1]

    def periods(minimum: float, maximum: float) -> Duration:
        """Draw a number of periods."""
        return Duration(round(script.period * rng.uniform(minimum, maximum)))

    what = rng.choice(DRAWN_FAULTS)
    step = Step(what, span=periods(1, 60), wait=periods(2, 60))
    match what:
        case "split":
            rng.shuffle(everyone)
            at = rng.randint(1, script.instances - 1)
            step.parts = [sorted(everyone[:at]), sorted(everyone[at:])]
        case "lose" | "double":
            step.size = round(rng.uniform(0.05, 0.3), 2)
        case "delay":
            step.delay = periods(0.02, 0.2)
        case "cut":
            step.whom = one
            step.to = [n for n in few[1:] or [(one[0] + 1) % script.instances] if n != one[0]]
        case "block":
            step.whom = one
            step.span = periods(0.5, 4)
        case "strangers":
            step.span = Duration(0)
        case "restart" | "hand":
            step.whom = one
            step.span = Duration(0)
        case _:
            step.whom = few
    return step
