"""Invariants on endpoints and processes.

Drains and exclusions are heeded; processes start in time, do not crash and stay within their limits.
"""

from collections.abc import Callable

from dahliabend.simulation.observed_run import TIME_TOLERANCE, ObservedRun, ProcessEnd, balancer_of
from dahliabend.simulation.recorder import Recorder

MAX_DISCOVERY_DELAY = 6_000_000  # microseconds after which a change that discovery knows counts as announced
READY_TIME = 6_000_000  # microseconds within which a process that has started takes requests
MICROSECONDS_PER_SECOND = 1_000_000

EndpointUse = tuple[str, str]  # a process or balancer, and an upstream


class EndpointInvariants:
    """Follows discovery, operators and the balancers' processes."""

    def __init__(self, run: ObservedRun, recorder: Recorder) -> None:
        self.run = run
        # Since when a process was told not to use an upstream, and since when discovery knows it.
        self._barred_since: dict[EndpointUse, int] = {}
        self._known_since: dict[EndpointUse, int] = {}
        self._excluded_since: dict[EndpointUse, int] = {}  # by operators, per balancer
        self.ready_processes: set[str] = set()  # those that were ready once
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
        """Check that an attempt goes to an endpoint that may be used."""
        run = self.run
        allowed = run.drain_time + TIME_TOLERANCE
        balancer = balancer_of(process)
        sent = f"{trace_id}: sent to {upstream}"
        since = self._barred_since.get((process, upstream))
        if since is not None and started_at > since + allowed:
            run.report("drain", f"{sent} {started_at - since - run.drain_time} us past the grace")
        since = self._known_since.get((balancer, upstream))
        if since is not None and started_at > since + MAX_DISCOVERY_DELAY + allowed:
            run.report("told in time", f"{sent} {started_at - since} us after it was known")
        since = self._excluded_since.get((balancer, upstream))
        if since is not None and started_at > since + allowed:
            run.report("exclusion", f"{sent}, which an operator took out")

    def change_announced(self, process: str, upstream: str, state: str) -> None:
        """Discovery has announced an endpoint's state to a process."""
        self._record_state(self._barred_since, (process, upstream), state)

    def change_known(self, balancer: str, upstream: str, state: str) -> None:
        """A balancer's discovery agent knows an endpoint's state."""
        self._record_state(self._known_since, (balancer, upstream), state)

    def _record_state(self, unusable_since: dict[EndpointUse, int], use: EndpointUse, state: str) -> None:
        if state == "up":
            unusable_since.pop(use, None)
        else:
            unusable_since.setdefault(use, self.run.now)

    def operator_call_succeeded(self, balancer: str, call: str, target: str) -> None:
        """An operator's call was successful."""
        if call == "exclude":
            self._excluded_since.setdefault((balancer, target), self.run.now)
        elif call == "include":
            self._excluded_since.pop((balancer, target), None)

    def forget_exclusions(self, balancer: str) -> None:
        """A balancer restarts without a predecessor's state: by design it knows no exclusions."""
        for use in [use for use in self._excluded_since if use[0] == balancer]:
            del self._excluded_since[use]

    def process_ended(self, process: str, reason: str) -> None:
        """A process has ended."""
        self.run.ended_processes[process] = ProcessEnd(self.run.now, reason)

    def process_stalled(self, process: str, duration: int) -> None:
        """A process cannot run for so many microseconds."""
        stalls = self.run.stalls.setdefault(balancer_of(process), [])
        stalls.append((self.run.now, self.run.now + duration))

    def process_started(self, process: str, address: tuple[str, int]) -> None:
        """A process has started; connections may have waited for it since another one ended there."""
        run = self.run
        previous_end = run.ended_processes.get(run.process_by_address.get(address, ""))
        if previous_end is not None:
            run.stalls.setdefault(balancer_of(process), []).append((previous_end.at, run.now))
        run.process_by_address[address] = process
        run.scheduler.call_at(run.now + READY_TIME, None, self.check_ready, process)

    def check_ready(self, process: str) -> None:
        """A process's time to become ready is over."""
        run = self.run
        if balancer_of(process) not in self.polled_balancers or process in run.ended_processes:
            return
        # Only the last process started at an address is polled, and only while there are clients.
        is_polled = run.now < self.polled_until and process in run.process_by_address.values()
        was_stalled = any(end > run.now - READY_TIME for _, end in run.stalls_of(process))
        if is_polled and not was_stalled and process not in self.ready_processes:
            seconds = READY_TIME // MICROSECONDS_PER_SECOND
            run.report("ready", f"{process} did not say that it is within {seconds} s")

    def process_crashed(self, process: str, reason: str) -> None:
        """A process has ended with an error."""
        self.run.report("crash", f"{process}: {reason}")

    def descriptors_exhausted(self, process: str, max_descriptors: int) -> None:
        """A process wanted more descriptors than it may have."""
        self.run.report("descriptors", f"{process} wanted more than the {max_descriptors} that it may hold")

    def request_unreadable(self, upstream: str, balancer: str, reason: str) -> None:
        """What a balancer wrote to an upstream cannot be parsed."""
        self.run.report("bytes", f"{balancer} wrote to {upstream} what can't be read: {reason}")

    def upstream_overloaded(self, upstream: str, overload_factor: float) -> None:
        """An upstream failed because it got too much work while warming up."""
        text = f"{upstream} was sent {overload_factor:.1f} times what it bears while cold, and fell over"
        self.run.report("cold", text)
