"""Passes events to the invariants at chosen times, as a simulation's recorder does."""

from types import SimpleNamespace

from dahliabend.simulation.event_loop import Scheduler
from dahliabend.simulation.invariants import InvariantChecker
from dahliabend.simulation.observed_run import RequestClassSpec
from dahliabend.simulation.recorder import Recorder

S = 1_000_000
CLASSES = {
    "query": RequestClassSpec("query", "idempotent", "all", 0, S),
    "submit": RequestClassSpec("submit", "at_most_once", "all", 0, S),
    "mark": RequestClassSpec("mark", "deduplicated", "cell", S // 2, S),
}
DRAIN_TIME = 1_500_000


class RunUnderTest:
    """Invariants on a virtual clock, and the events that they receive. Connections 1 to 9 are open."""

    def __init__(self):
        self.scheduler = Scheduler()
        self.recorder = Recorder(self.scheduler)
        self.invariants = InvariantChecker(self.scheduler, self.recorder, CLASSES, DRAIN_TIME)
        self.invariants.upstream_locations = {"s-0": (0, "a"), "s-1": (1, "a"), "s-2": (0, "b")}
        process = SimpleNamespace(name="b0/1")
        balancer_end = SimpleNamespace(
            sock=SimpleNamespace(process=process),
            local=("b", 1),
            reset_received=False,
            closed_at=0,
            peer_closed_at=0,
        )
        for number in range(1, 10):
            self.invariants.connections[number] = SimpleNamespace(
                peer=balancer_end, closed_at=0, reset_received=False, fin_received=False, is_closed=False
            )

    def __call__(self, event_kind, *values):
        self.recorder(event_kind, *values)
        return self

    def advance(self, duration):
        self.scheduler.run_until(self.scheduler.now + duration)
        return self

    def request(self, name="query", expires=S):
        return self("asked", "t", name, 1, expires)("written", "t")

    def attempt(self, upstream="s-0", connection=2, is_complete=True):
        self("hop.head", "t", "b0/1", upstream, connection, self.scheduler.now)
        return self("hop.whole", "t", "b0/1", upstream, connection) if is_complete else self

    def close_connection(self, connection=2):
        self.invariants.connections[connection].closed_at = self.scheduler.now
        return self

    @property
    def violated_rules(self):
        return [violation.rule for violation in self.invariants.violations]
