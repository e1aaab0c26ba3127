"""Invariants on endpoints and on the balancers' processes.

Balancers respect drains and exclusions; their processes become ready in time, do not crash and stay within
their descriptor limits.
"""

from collections.abc import Callable

from dahliabend.simulation.observed_run import TIME_TOLERANCE, ObservedRun, ProcessEnd, balancer_of
from dahliabend.simulation.recorder import Recorder

MAX_DISCOVERY_DELAY = 6_000_000  # microseconds within which an agent has to announce a change that it knows
READY_TIME = 6_000_000  # microseconds from a process's start until it has to be ready
MICROSECONDS_PER_SECOND = 1_000_000

EndpointUse = tuple[str, str]  # a process or balancer, and an upstream


class EndpointInvariants:
    """Checks discovery, operators' exclusions and the balancers' processes."""

    def __init__(self, run: ObservedRun, recorder: Recorder) -> None:
        self.run = run
        # When a process was notified not to use an upstream, and when its balancer's agent knew it.
        self._unusable_since: dict[EndpointUse, int] = {}
        self._known_since: dict[EndpointUse, int] = {}
        self._excluded_since: dict[EndpointUse, int] = {}  # by an operator, per balancer
        self.ready_processes: set[str] = set()  # those that have been ready at least once
        self.polled_balancers: set[str] = set()  # those whose readiness is polled
        self.polled_until = 0
        handlers: dict[str, Callable[..., None]] = {
            "told": self.change_announced,
            "had": self.change_known,
            "yes": self.operator_call_succeeded,
            "starts": self.process_started,
            "ready": self.ready_processes.add,
            "ended": self.process_ended,
            "stalled": self.process_stalled,
            "crashed": self.process_crashed,
            "exhausted": self.descriptors_exhausted,
            "unreadable": self.request_unreadable,
            "toppled": self.upstream_overloaded,
        }
        for kind, handler in handlers.items():
            recorder.subscribe(kind, handler)

    def check_attempt(self, trace_id: str, process: str, upstream: str, started_at: int) -> None:
        """Report an attempt to an endpoint that has drained or been excluded for longer than allowed."""
        run = self.run
        allowed = run.drain_time + TIME_TOLERANCE
        balancer = balancer_of(process)
        sent = f"{trace_id}: sent to {upstream}"
        since = self._unusable_since.get((process, upstream))
        if since is not None and started_at > since + allowed:
            run.report("drain", f"{sent} {started_at - since - run.drain_time} us past the grace")
        since = self._known_since.get((balancer, upstream))
        if since is not None and started_at > since + MAX_DISCOVERY_DELAY + allowed:
            run.report("told in time", f"{sent} {started_at - since} us after it was known")
        since = self._excluded_since.get((balancer, upstream))
        if since is not None and started_at > since + allowed:
            run.report("exclusion", f"{sent}, which an operator took out")

    def change_announced(self, process: str, upstream: str, state: str) -> None:
        """Record that discovery has announced an endpoint's state to a process."""
        self._record_state(self._unusable_since, (process, upstream), state)

    def change_known(self, balancer: str, upstream: str, state: str) -> None:
        """Record that a balancer's discovery agent knows an endpoint's state."""
        self._record_state(self._known_since, (balancer, upstream), state)

    def _record_state(self, unusable_since: dict[EndpointUse, int], use: EndpointUse, state: str) -> None:
        if state == "up":
            unusable_since.pop(use, None)
        else:
            unusable_since.setdefault(use, self.run.now)

    def operator_call_succeeded(self, balancer: str, call: str, target: str) -> None:
        """Record an exclusion that an operator has successfully made or revoked."""
        if call == "exclude":
            self._excluded_since.setdefault((balancer, target), self.run.now)
        elif call == "include":
            self._excluded_since.pop((balancer, target), None)

    def forget_exclusions(self, balancer: str) -> None:
        """Forget a balancer's exclusions, since it restarts without the state of the previous process.

        By design, exclusions survive only an upgrade on a shared listener.
        """
        for use in [use for use in self._excluded_since if use[0] == balancer]:
            del self._excluded_since[use]

    def process_ended(self, process: str, reason: str) -> None:
        """Record that a process has ended."""
        self.run.ended_processes[process] = ProcessEnd(self.run.now, reason)

    def process_stalled(self, process: str, duration: int) -> None:
        """Record that a process cannot run for so many microseconds."""
        stalls = self.run.stalls.setdefault(balancer_of(process), [])
        stalls.append((self.run.now, self.run.now + duration))

    def process_started(self, process: str, address: tuple[str, int]) -> None:
        """Record a start, and schedule the check that the process becomes ready.

        Connections may have waited since the previous process at this address ended: that time counts as a
        stall.
        """
        run = self.run
        previous_end = run.ended_processes.get(run.process_by_address.get(address, ""))
        if previous_end is not None:
            run.stalls.setdefault(balancer_of(process), []).append((previous_end.at, run.now))
        run.process_by_address[address] = process
        run.scheduler.call_at(run.now + READY_TIME, None, self.check_ready, process)

    def check_ready(self, process: str) -> None:
        """Report a process that has not become ready within its time."""
        run = self.run
        if balancer_of(process) not in self.polled_balancers or process in run.ended_processes:
            return
        # Only the newest process at an address is polled, and only while the load lasts.
        is_polled = run.now < self.polled_until and process in run.process_by_address.values()
        was_stalled = any(end > run.now - READY_TIME for _, end in run.stalls_of(process))
        if is_polled and not was_stalled and process not in self.ready_processes:
            seconds = READY_TIME // MICROSECONDS_PER_SECOND
            run.report("ready", f"{process} did not say that it is within {seconds} s")

    def process_crashed(self, process: str, reason: str) -> None:
        """Report a process that has ended with an error."""
        self.run.report("crash", f"{process}: {reason}")

    def descriptors_exhausted(self, process: str, max_descriptors: int) -> None:
        """Report a process that tried to open more descriptors than its limit."""
        self.run.report("descriptors", f"{process} wanted more than the {max_descriptors} that it may hold")

    def request_unreadable(self, upstream: str, balancer: str, reason: str) -> None:
        """Report a request to an upstream that cannot be parsed."""
        self.run.report("bytes", f"{balancer} wrote to {upstream} what can't be read: {reason}")

    def upstream_overloaded(self, upstream: str, overload_factor: float) -> None:
        """Report an upstream that hangs for good because it got too much work while warming up."""
        text = f"{upstream} was sent {overload_factor:.1f} times what it bears while cold, and fell over"
        self.run.report("cold", text)
