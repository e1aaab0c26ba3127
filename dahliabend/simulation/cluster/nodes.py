"""Upstreams of a modelled fleet at work: cores, a queue, cold starts, and ways to fail. Work that was begun
is done, whether anybody still waits for it or not."""

from collections import deque
from dataclasses import dataclass
from heapq import heapify, heappop, heappush
from random import Random

from dahliabend.model import EndpointState, Outcome

MS, S = 1_000, 1_000_000


@dataclass(frozen=True, slots=True)
class Kind:
    """Times in microseconds of a core, or of the clock."""

    cores: int = 2
    work: int = 200 * MS  # of a core, in the mean; half of it always, half drawn
    depth: int = 6  # hops that it takes in at once, on a core; more are turned away unseen
    cold: int = 8 * S
    cold_share: float = 0.2
    fall_multiple: float = 4.0
    fall_window: int = 2 * S


class Node:
    """One process of an upstream. `index` is its own for good; a place in the list is its `name`."""

    def __init__(self, index: int, name: str, zone: str, kind: Kind, born: int, chance: Random) -> None:
        self.index, self.name, self.zone, self.kind = index, name, zone, kind
        self.born, self.chance = born, chance  # born 0: long ago, it is warm
        self.state = EndpointState.READY
        self.free = [0] * kind.cores  # when each core is free
        self.inside = 0
        self.failing, self.slower, self.hung, self.gone = 0.0, 1.0, False, False
        self.sent: deque[tuple[int, int]] = deque()  # while cold: when and how much work came
        self.pressure = 0
        self.fallen = self.silent = False  # silent: its machine is gone too, nothing says so
        self.deaf_to: set[int] = set()  # balancers that it does not hear

    def warmth(self, now: int) -> float:
        kind, age = self.kind, now - self.born
        if not self.born or age >= kind.cold:
            return 1.0
        return kind.cold_share + (1 - kind.cold_share) * age / kind.cold

    def press(self, now: int, work: int, warm: float) -> None:
        """Every bit of work that comes while it is cold counts, also what is turned away."""
        kind = self.kind
        self.sent.append((now, work))
        self.pressure += work
        while self.sent[0][0] <= now - kind.fall_window:
            self.pressure -= self.sent.popleft()[1]
        if self.pressure > kind.fall_multiple * warm * kind.cores * kind.fall_window:
            self.fallen = self.hung = True

    def arrived(self, now: int, source: int = -1) -> tuple[Outcome | None, int]:
        """How a hop that comes now ends, and when; None: nothing ever comes back."""
        if self.gone:
            return Outcome.UNREACHABLE, now
        if source in self.deaf_to:
            return None, now
        work = round(self.kind.work * (0.5 + 0.5 * self.chance.expovariate(1.0)))
        warm = self.warmth(now)
        if warm < 1.0:
            self.press(now, work, warm)
        if self.hung:
            return None, now
        if self.inside >= self.kind.depth * self.kind.cores:
            return Outcome.REJECTED, now
        if self.failing and self.chance.random() < self.failing:
            return Outcome.FAILED, now + self.kind.work // 50
        self.inside += 1
        end = max(now, heappop(self.free)) + round(work * self.slower / warm)
        heappush(self.free, end)
        return Outcome.SUCCEEDED, end

    def end(self, now: int) -> None:
        """Its process ends; whoever waits for it is reset by the player."""
        self.gone, self.inside = True, 0
        self.free = [now] * self.kind.cores
        heapify(self.free)
