"""Subsets of all balancers of a cluster while faults are injected: `python experiments/subset_days.py OUT [--seeds 5]`.

Writes OUT/subset-days.md. The cluster has 60 balancers and 40 upstreams (200 and 100 for the split 150/50), period 1 s,
degree 12, minimum 12, `hold` 60 s. Each second the load of all subsets is summed up. Measured are the load of the most
loaded upstream over the mean, the smallest subset, and the pairs of a balancer and an upstream that changed: before the
fault, during it (until 30 s after its end), and in the last 30 s.
"""

import sys
from collections.abc import Callable, Iterable
from pathlib import Path
from random import Random
from typing import Any, NamedTuple

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from dahliabend.config.operator_file.units import Duration
from dahliabend.simulation.cluster.script import ClusterScript, S, Step, StepAction
from dahliabend.simulation.cluster.subset_model import SubsetModel, WorstSample
from dahliabend.subsetting.settings import SubsetControllerSettings

WARMUP_SECONDS, SETTLE_SECONDS, LAST_SECONDS, BEFORE_SECONDS = 40, 60, 30, 20
BALANCERS, UPSTREAMS = 60, 40
LARGE_BALANCERS, LARGE_UPSTREAMS = 200, 100  # one seed only
DEFAULT_SEEDS = 5
MESSAGE_DELAY = Duration(2_000)

Action = Callable[[SubsetModel, Random], None]


class Scenario(NamedTuple):
    """A fault, and the size of the cluster in which it is injected."""

    act: Action
    balancers: int = BALANCERS
    upstreams: int = UPSTREAMS


class Measurement(NamedTuple):
    """The worst seconds of each phase of one run."""

    before: WorstSample
    during: WorstSample
    after: WorstSample
    subset_size: int  # size of the subset of balancer 0 at the end


def measure(seed: int, scenario: Scenario) -> Measurement:
    """Run a scenario with one seed."""
    cluster_script = ClusterScript(seed=seed, instances=scenario.balancers, delay=MESSAGE_DELAY)
    model = SubsetModel(cluster_script, scenario.upstreams, SubsetControllerSettings())
    for number in range(scenario.balancers):
        model.start_instance(number)
    model.assume_full_membership()
    model.run(WARMUP_SECONDS * S)
    begin = model.now
    scenario.act(model, Random(seed))
    end = model.now
    model.run(SETTLE_SECONDS * S)
    model.run(LAST_SECONDS * S)
    worst = model.history.worst
    return Measurement(
        worst(begin - BEFORE_SECONDS * S, begin),
        worst(begin, end + SETTLE_SECONDS * S // 2),
        worst(model.now - LAST_SECONDS * S),
        len(model.weights[0]),
    )


def apply_step(
    model: SubsetModel, what: StepAction, whom: Iterable[int] = (), span: int = 0, wait: int = 0, **more: Any
) -> None:
    """Apply a fault of the cluster, for `span` seconds, and let `wait` seconds pass."""
    model.apply_step(Step(what, whom=list(whom), span=Duration(span * S), **more))
    model.run(wait * S)


def kill_third_of_balancers(model: SubsetModel, rng: Random) -> None:
    """Kill a third of the balancers at once, and start them again."""
    third = rng.sample(range(60), 20)
    apply_step(model, "kill", third, wait=45)
    apply_step(model, "start", third, wait=15)


def restart_all_balancers(model: SubsetModel, _rng: Random) -> None:
    """Restart all balancers in turn, and replace half of the upstreams meanwhile."""
    for number in range(60):
        apply_step(model, "restart", [number], wait=1)
        if number % 3 == 0:
            model.replace_upstreams(1)


def replace_most_upstreams(model: SubsetModel, rng: Random) -> None:
    """Replace six in ten upstreams within 7 s."""
    for _ in range(7):
        model.replace_upstreams(3 + rng.randrange(2))
        model.run(S)


def split_membership(model: SubsetModel, _rng: Random) -> None:
    """Partition the membership into 150 and 50 balancers for 90 s."""
    apply_step(model, "split", parts=[list(range(150)), list(range(150, 200))], span=90, wait=95)


def split_membership_briefly(model: SubsetModel, _rng: Random) -> None:
    """Partition the membership into 45 and 15 balancers for 40 s."""
    apply_step(model, "split", parts=[list(range(45)), list(range(45, 60))], span=40, wait=45)


def pause_balancer(model: SubsetModel, rng: Random) -> None:
    """Stop one balancer for a minute, and replace a quarter of the upstreams meanwhile."""
    apply_step(model, "stop", [rng.randrange(60)], span=60, wait=10)
    model.replace_upstreams(10)
    model.run(55 * S)


def flap_balancer(model: SubsetModel, _rng: Random) -> None:
    """Kill and start one balancer repeatedly, 2 s down in every 4 s."""
    for _ in range(15):
        apply_step(model, "kill", [7], span=2, wait=4)


def flap_upstreams(model: SubsetModel, rng: Random) -> None:
    """Remove one upstream after the other from the endpoint list for a second."""
    for _ in range(20):
        removed = model.pool.pop(rng.randrange(len(model.pool)))
        model.run(S)
        model.pool.append(removed)
        model.run(2 * S)


def lose_datagrams(model: SubsetModel, _rng: Random) -> None:
    """Drop three in ten datagrams for a minute."""
    apply_step(model, "lose", size=0.3, span=60, wait=65)


SCENARIOS = {
    "a third dies at once and returns": Scenario(kill_third_of_balancers),
    "all restarted in turn, half of the pool replaced": Scenario(restart_all_balancers),
    "six in ten upstreams replaced in 7 s": Scenario(replace_most_upstreams),
    "parts of 150 and 50, 90 s": Scenario(split_membership, LARGE_BALANCERS, LARGE_UPSTREAMS),
    "parts of 45 and 15, 40 s": Scenario(split_membership_briefly),
    "one stopped for a minute, a quarter replaced meanwhile": Scenario(pause_balancer),
    "one flaps, 2 s down in 4": Scenario(flap_balancer),
    "upstreams flap, one out in turn": Scenario(flap_upstreams),
    "three in ten datagrams lost": Scenario(lose_datagrams),
}


def table_row(name: str, scenario: Scenario, seeds: int) -> str:
    """Run a scenario with its seeds; return the worst values as a row of the table."""
    seed_count = 1 if scenario.balancers == LARGE_BALANCERS else seeds
    measurements = [measure(seed, scenario) for seed in range(seed_count)]
    phases = [
        [measurement.before for measurement in measurements],
        [measurement.during for measurement in measurements],
        [measurement.after for measurement in measurements],
    ]
    imbalance = ", ".join(f"{max(sample.imbalance for sample in phase):.2f}" for phase in phases)
    smallest = ", ".join(str(min(sample.min_subset for sample in phase)) for phase in phases)
    moved = max(measurement.during.moved / measurement.subset_size for measurement in measurements)
    return f"| {name} | {len(measurements)} | {imbalance} | {smallest} | {moved:.0f} |"


def main() -> None:
    """Run the command line."""
    directory = Path(sys.argv[1])
    seeds = int(sys.argv[3]) if "--seeds" in sys.argv else DEFAULT_SEEDS
    out = [
        "# Subsets over a fleet's days",
        "",
        "Made by `experiments/subset_days.py`, simulated; worst of its seeds. `moved`: pairs, over the fleet, in fair "
        "shares of one balancer.",
        "",
        "| what | seeds | uneven before, during, after | least subset before, during, after | moved during |",
        "| --- | --- | --- | --- | --- |",
    ]
    for name, scenario in SCENARIOS.items():
        out.append(table_row(name, scenario, seeds))
        print(out[-1], flush=True)
    directory.mkdir(parents=True, exist_ok=True)
    (directory / "subset-days.md").write_text("\n".join(out) + "\n")


if __name__ == "__main__":
    main()
