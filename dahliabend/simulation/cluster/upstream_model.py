"""A simulated upstream with cores, a limit of concurrent requests, a warm-up and faults.

A request that was accepted is executed to its end, even if nobody waits for the response any more.
"""

from collections import deque
from dataclasses import dataclass
from heapq import heapify, heappop, heappush
from random import Random
from typing import NamedTuple

from dahliabend.model import EndpointState, Outcome

MS = 1_000  # microseconds in a millisecond
S = 1_000_000  # microseconds in a second
FAILURE_TIME_DIVISOR = 50  # a failed request takes the mean work divided by this


@dataclass(frozen=True, slots=True)
class UpstreamProfile:
    """The capacity and warm-up of an upstream. Times are in microseconds, of a core or of the clock."""

    cores: int = 2
    work: int = 200 * MS  # mean core time of a request; half of it is constant, half exponential
    depth: int = 6  # concurrent requests accepted for each core; more are rejected
    warmup_time: int = 8 * S
    initial_capacity: float = 0.2  # share of the full capacity at the start of the warm-up
    # While warming up, an upstream hangs forever once the work that arrives in a window exceeds this multiple
    # of its capacity.
    overload_multiple: float = 4.0
    overload_window: int = 2 * S


class Arrival(NamedTuple):
    """Work that arrived during an upstream's warm-up."""

    at: int  # microseconds
    work: int  # microseconds of a core


class AttemptResult(NamedTuple):
    """How and when an attempt ends. `outcome` is None if the upstream never responds."""

    outcome: Outcome | None
    at: int


class SimulatedUpstream:
    """One process of an upstream. Its `index` is never reused; a later process may have the same `name`."""

    def __init__(
        self, index: int, name: str, zone: str, profile: UpstreamProfile, started_at: int, rng: Random
    ) -> None:
        """Create a process; `started_at` is in microseconds, 0 for one that is already warm."""
        self.index = index
        self.name = name
        self.zone = zone
        self.profile = profile
        self.started_at = started_at
        self.rng = rng
        self.state = EndpointState.READY
        self.core_free_at = [0] * profile.cores  # a heap
        self.in_flight = 0
        # Faults
        self.failure_share = 0.0  # share of requests that fail
        self.work_factor = 1.0  # factor by which work takes longer
        self.is_hung = False  # accepts requests and never responds
        self.unreachable_from: set[int] = set()  # balancers whose requests do not arrive
        self.has_ended = False
        self.is_silent = False  # its host is gone too, so that connections time out instead of being refused
        # Warm-up
        self.recent_arrivals: deque[Arrival] = deque()
        self.recent_work = 0  # the sum over `recent_arrivals`
        self.is_overloaded = False

    def warmup_factor(self, now: int) -> float:
        """Return the share of the full capacity that is available at a time."""
        profile = self.profile
        age = now - self.started_at
        if not self.started_at or age >= profile.warmup_time:
            return 1.0
        return profile.initial_capacity + (1 - profile.initial_capacity) * age / profile.warmup_time

    def record_work(self, now: int, work: int, warmup_factor: float) -> None:
        """Count work that arrives during the warm-up, also if rejected; on overload the process hangs."""
        profile = self.profile
        self.recent_arrivals.append(Arrival(now, work))
        self.recent_work += work
        while self.recent_arrivals[0].at <= now - profile.overload_window:
            self.recent_work -= self.recent_arrivals.popleft().work
        capacity = warmup_factor * profile.cores * profile.overload_window
        if self.recent_work > profile.overload_multiple * capacity:
            self.is_overloaded = True
            self.is_hung = True

    def request_arrived(self, now: int, source: int = -1) -> AttemptResult:
        """Process a request from the balancer `source`, and return how and when the attempt ends."""
        if self.has_ended:
            return AttemptResult(Outcome.UNREACHABLE, now)
        if source in self.unreachable_from:
            return AttemptResult(None, now)
        work = round(self.profile.work * (0.5 + 0.5 * self.rng.expovariate(1.0)))
        warmup_factor = self.warmup_factor(now)
        if warmup_factor < 1.0:
            self.record_work(now, work, warmup_factor)
        if self.is_hung:
            return AttemptResult(None, now)
        if self.in_flight >= self.profile.depth * self.profile.cores:
            return AttemptResult(Outcome.REJECTED, now)
        if self.failure_share and self.rng.random() < self.failure_share:
            return AttemptResult(Outcome.FAILED, now + self.profile.work // FAILURE_TIME_DIVISOR)
        self.in_flight += 1
        end = max(now, heappop(self.core_free_at)) + round(work * self.work_factor / warmup_factor)
        heappush(self.core_free_at, end)
        return AttemptResult(Outcome.SUCCEEDED, end)

    def end(self, now: int) -> None:
        """End the process; the caller has to reset the attempts in flight."""
        self.has_ended = True
        self.in_flight = 0
        self.core_free_at = [now] * self.profile.cores
        heapify(self.core_free_at)
