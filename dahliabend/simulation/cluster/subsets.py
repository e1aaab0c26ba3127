"""What the subsets of a whole fleet add up to while troubles befall it: the machines on the modelled network,
a keeper for each, and the sum of what all of them use. No transactions: demand is told, load is what is sent.
"""

from dataclasses import dataclass, field

import numpy as np

from dahliabend.membership.failure_detector import SwimConfig
from dahliabend.simulation.cluster.model import Model
from dahliabend.simulation.cluster.script import Fleet, S
from dahliabend.subsetting.controller import SubsetController
from dahliabend.subsetting.selection import Participant
from dahliabend.subsetting.settings import SubsetSettings


@dataclass(slots=True)
class Seen:
    """One second of the fleet."""

    at: int
    running: int
    uneven: float  # the most loaded upstream over the mean
    least: int  # upstreams that a balancer uses
    moved: int  # pairs, over the fleet
    links: int  # the most balancers at one upstream


@dataclass(slots=True)
class Days:
    seconds: list[Seen] = field(default_factory=list)

    def worst(self, begin: int = 0, end: int = 1 << 62) -> tuple[float, int, int]:
        """Unevenness, least size, and pairs moved in all, between two times."""
        some = [second for second in self.seconds if begin <= second.at < end]
        return (max(each.uneven for each in some), min(each.least for each in some),
                sum(each.moved for each in some))  # fmt: skip


class Subsets(Model):
    """As the model, and every second all keepers step."""

    def __init__(
        self, fleet: Fleet, upstreams: int, subset: SubsetSettings, terms: SwimConfig | None = None
    ) -> None:
        super().__init__(fleet, terms)
        self.subset, self.days = subset, Days()
        self.pool = [Participant(f"u{n}") for n in range(upstreams)]
        self.keepers: dict[int, SubsetController] = {}
        self.using: dict[int, dict[str, float]] = {}
        self.born = upstreams

    def replace(self, count: int) -> None:
        """So many upstreams go, as many others come."""
        self.pool = self.pool[count:] + [Participant(f"u{self.born + n}") for n in range(count)]
        self.born += count

    def start(self, number: int, state: dict | None = None) -> None:
        super().start(number, state)
        self.keepers[number] = SubsetController(Participant(f"b{number}"), self.subset)
        self.using.pop(number, None)

    def run(self, span: int) -> None:
        end = self.now + span
        while self.now < end:
            super().run(min(S, end - self.now))
            self.step_all()

    def step_all(self) -> None:
        moved = 0
        for name in self.awake():
            number, machine = int(name[1:]), self.town.machines[name]
            keeper = self.keepers[number]
            settled = machine.last_stable_view(self.now)
            if settled is not None:
                keeper.follow_membership(self.now, settled, machine.view(self.now))
            keeper.update_upstreams(self.now, self.pool)
            made = keeper.step(self.now)
            if made is not None:
                before = self.using.get(number, {})
                moved += len(before.keys() ^ made.weights.keys())
                self.using[number] = made.weights
        self.look(moved)

    def look(self, moved: int) -> None:
        """All that run are asked the same; what one that is stopped uses gets nothing."""
        running = [int(name[1:]) for name in self.awake()]
        load = dict.fromkeys((party.name for party in self.pool), 0.0)
        count = dict.fromkeys(load, 0)
        sizes = []
        for number in running:
            weights = {name: w for name, w in self.using.get(number, {}).items() if name in load}
            total = sum(weights.values())
            sizes.append(len(weights))
            for name, weight in weights.items():
                load[name] += weight / total
                count[name] += 1
        links = max(count.values(), default=0)
        loads = np.array(list(load.values()))
        uneven = float(loads.max() / loads.mean()) if len(loads) and loads.sum() else 1.0
        self.days.seconds.append(Seen(self.now, len(running), uneven, min(sizes, default=0), moved, links))
