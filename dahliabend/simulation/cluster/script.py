"""Cluster scripts: a cluster and the faults injected into it, as data.

The same file runs on the simulated network and with real processes. Steps run one after the other: a step
applies a fault or an action, which is reverted after its `span` if it has one; the script then waits for
`wait`, and until the step's condition holds. A condition that does not hold within its time limit is a
violation.

The keys of the files are published. Their meaning in the terms of the code:

| key or value | meaning |
| --- | --- |
| `whom` | the instances that a step acts on |
| `strangers` | datagrams that do not come from a member: noise and replays |
| `hand` | a restart that passes the membership state to the new process |
| `block` | a short stop, like that of a blocked event loop |
| `lose`, `double` | datagram loss, datagram duplication |
| `mend` | all faults in force are reverted |
| `bad` | upstreams that fail nine attempts in ten |
| `out` | condition: no other instance has those of `whom` in its view |
| `agree` | condition: each instance that is not stopped has a stable view with exactly the running ones |
| `even` | condition: `agree`, and all subsets together load each upstream alike; upstream faults end |
| `believed` | condition: a balancer has acted on the health reports of others |
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
SETTLE_PERIODS = 30  # without faults at the end of a generated script

StepAction = Literal[
    "calm", "kill", "start", "restart", "stop", "block", "leave", "hand", "cut", "split", "lose", "delay",
    "double", "strangers", "mend", "bad",
]  # fmt: skip
INSTANCE_FAULTS = {"kill", "start", "restart", "stop", "block", "leave", "hand"}  # act on instances
LINK_FAULTS = {"cut", "split", "lose", "delay", "double"}  # act on links between instances
DRAWN_FAULTS: tuple[StepAction, ...] = (
    "kill", "restart", "stop", "stop", "block", "leave", "hand", "cut", "cut", "split", "lose", "delay",
    "double", "strangers",
)  # fmt: skip


class Step(Table):
    """One step of a script. All times are in microseconds."""

    what: StepAction = "calm"
    # Instances that the step acts on; of `cut`: the senders; unused by the other link faults.
    whom: list[int] = msgspec.field(default_factory=list)
    # Of `cut`: only datagrams from `whom` to these are lost; empty means to all. Of `bad`: the upstreams.
    to: list[int] = msgspec.field(default_factory=list)
    # Of `split`: groups of instances without links between the groups.
    parts: list[list[int]] = msgspec.field(default_factory=list)
    size: float = 0.0  # of `lose`, `double`: the share of datagrams
    delay: Duration = Duration(0)  # maximum, drawn uniformly: reorders datagrams
    span: Duration = Duration(0)  # 0: until `mend`, or to the end
    wait: Duration = Duration(0)
    until: Literal["", "out", "agree", "even", "believed"] = ""
    within: Duration = Duration(0)  # time limit of the condition; 0: the bound that the settings imply


class ClusterScript(Table):
    """A cluster and the steps to run on it. All times are in microseconds."""

    seed: int = 0
    instances: int = 5
    period: Duration = Duration(S)
    # Instances that a starting instance contacts first.
    seeds: list[int] = msgspec.field(default_factory=lambda: [0, 1])
    zones: int = 1
    late: list[int] = msgspec.field(default_factory=list)  # instances not started at the beginning
    delay: Duration = Duration(MS)  # mean delay of a datagram
    subset: int = 0  # real processes only: minimum size and degree of subsets; 0: none
    signals: bool = False  # real processes only: health gossip
    # Real processes only: the period in which leased health checks check each upstream once; 0: none.
    probing: Duration = Duration(0)
    limit: int = 0  # real processes only: submits per second, of the whole cluster; 0: no limit
    steps: list[Step] = msgspec.field(default_factory=list)
    why: str = ""


def check(script: ClusterScript) -> None:
    """Check a script for values that the field types cannot exclude.

    Raises:
        ValueError: A value is invalid; the message starts with its path.
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
    """Generate a script: `minutes` of random faults, some of which overlap, and then time to settle."""
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
    all_instances = list(range(script.instances))
    some_instances = rng.sample(all_instances, rng.randint(1, max(1, script.instances // 5)))
    one_instance = some_instances[:1]

    def periods(minimum: float, maximum: float) -> Duration:
        """Return a random time between two numbers of periods."""
        return Duration(round(script.period * rng.uniform(minimum, maximum)))

    what = rng.choice(DRAWN_FAULTS)
    step = Step(what, span=periods(1, 60), wait=periods(2, 60))
    match what:
        case "split":
            rng.shuffle(all_instances)
            split_at = rng.randint(1, script.instances - 1)
            step.parts = [sorted(all_instances[:split_at]), sorted(all_instances[split_at:])]
        case "lose" | "double":
            step.size = round(rng.uniform(0.05, 0.3), 2)
        case "delay":
            step.delay = periods(0.02, 0.2)
        case "cut":
            step.whom = one_instance
            next_instance = (one_instance[0] + 1) % script.instances
            step.to = [n for n in some_instances[1:] or [next_instance] if n != one_instance[0]]
        case "block":
            step.whom = one_instance
            step.span = periods(0.5, 4)
        case "strangers":
            step.span = Duration(0)
        case "restart" | "hand":
            step.whom = one_instance
            step.span = Duration(0)
        case _:
            step.whom = some_instances
    return step
