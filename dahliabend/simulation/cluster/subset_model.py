"""Model of the subsets of a whole cluster while faults are injected.

Membership runs on the simulated network, with a subset controller for each instance. There are no requests:
all instances have the same demand, and the load of an upstream is the sum of its weights in their subsets.
"""

from dataclasses import dataclass, field
from typing import NamedTuple

import numpy as np

from dahliabend.membership.snapshot import MembershipSnapshot
from dahliabend.membership.swim_config import SwimConfig
from dahliabend.simulation.cluster.model import ClusterModel
from dahliabend.simulation.cluster.script import ClusterScript, S
from dahliabend.subsetting.controller import SubsetController
from dahliabend.subsetting.selection import Participant
from dahliabend.subsetting.settings import SubsetControllerSettings

END_OF_TIME = 1 << 62  # microseconds


@dataclass(frozen=True, slots=True)
class ClusterSample:
    """The state of the subsets at one second of a run."""

    at: int  # microseconds
    awake: int  # running instances that are not stopped
    imbalance: float  # load of the most loaded upstream, divided by the mean
    min_subset: int  # size of the smallest subset
    moved: int  # pairs of instance and upstream added or dropped since the last sample
    max_connections: int  # maximum number of instances that use the same upstream


class WorstSample(NamedTuple):
    """The worst values within a time range."""

    imbalance: float
    min_subset: int
    moved: int  # sum over the range


@dataclass(slots=True)
class SubsetHistory:
    """The samples of a run, one for each second."""

    samples: list[ClusterSample] = field(default_factory=list)

    def worst(self, begin: int = 0, end: int = END_OF_TIME) -> WorstSample:
        """Return the worst imbalance and subset size and the sum of moved pairs, from `begin` to `end`."""
        selected = [sample for sample in self.samples if begin <= sample.at < end]
        return WorstSample(
            max(sample.imbalance for sample in selected),
            min(sample.min_subset for sample in selected),
            sum(sample.moved for sample in selected),
        )


class SubsetModel(ClusterModel):
    """A cluster model with a subset controller for each instance, stepped once a second."""

    def __init__(
        self,
        script: ClusterScript,
        upstreams: int,
        subset_settings: SubsetControllerSettings,
        config: SwimConfig | None = None,
    ) -> None:
        """Create a run with the given number of upstreams."""
        super().__init__(script, config)
        self.subset_settings = subset_settings
        self.history = SubsetHistory()
        self.pool = [Participant(f"u{n}") for n in range(upstreams)]
        self.controllers: dict[int, SubsetController] = {}
        self.weights: dict[int, dict[str, float]] = {}  # by instance: of the upstreams in its subset
        self.upstreams_created = upstreams

    def replace_upstreams(self, count: int) -> None:
        """Replace the `count` oldest upstreams by new ones."""
        new = [Participant(f"u{self.upstreams_created + n}") for n in range(count)]
        self.pool = self.pool[count:] + new
        self.upstreams_created += count

    def start_instance(self, number: int, state: MembershipSnapshot | None = None) -> None:
        """Start an instance with an empty subset."""
        super().start_instance(number, state)
        self.controllers[number] = SubsetController(Participant(f"b{number}"), self.subset_settings)
        self.weights.pop(number, None)

    def run(self, span: int) -> None:
        """Run for `span` microseconds, with a step of all controllers after each second."""
        end = self.now + span
        while self.now < end:
            super().run(min(S, end - self.now))
            self.step_controllers()

    def step_controllers(self) -> None:
        """Step the controllers of all awake instances, and take a sample."""
        moved = 0
        for name in self.awake_names():
            number = int(name[1:])
            machine = self.cluster.machines[name]
            controller = self.controllers[number]
            settled = machine.last_stable_view(self.now)
            if settled is not None:
                controller.update_membership(self.now, settled, machine.view(self.now))
            controller.update_upstreams(self.now, self.pool)
            subset = controller.step(self.now)
            if subset is not None:
                before = self.weights.get(number, {})
                moved += len(before.keys() ^ subset.weights.keys())
                self.weights[number] = subset.weights
        self._take_sample(moved)

    def _take_sample(self, moved: int) -> None:
        """Take a sample; all awake instances have the same demand, and one that is stopped sends nothing."""
        awake = [int(name[1:]) for name in self.awake_names()]
        load = dict.fromkeys((upstream.name for upstream in self.pool), 0.0)
        connections = dict.fromkeys(load, 0)
        sizes = []
        for number in awake:
            weights = {name: weight for name, weight in self.weights.get(number, {}).items() if name in load}
            total = sum(weights.values())
            sizes.append(len(weights))
            for name, weight in weights.items():
                load[name] += weight / total
                connections[name] += 1
        loads = np.array(list(load.values()))
        imbalance = float(loads.max() / loads.mean()) if len(loads) and loads.sum() else 1.0
        max_connections = max(connections.values(), default=0)
        min_subset = min(sizes, default=0)
        self.history.samples.append(
            ClusterSample(self.now, len(awake), imbalance, min_subset, moved, max_connections)
        )
