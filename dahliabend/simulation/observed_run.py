"""The observed state of a run: requests, their attempts, processes, and violations of invariants."""

from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

from dahliabend.simulation.connections import ConnectionEnd
from dahliabend.simulation.event_loop import CLOCK_START, Scheduler

TIME_TOLERANCE = 50_000  # microseconds added to each documented time limit before a violation is reported
RETENTION = 60_000_000  # microseconds for which a finished request is kept
MAX_VIOLATIONS = 20  # that are kept for a run
MICROSECONDS_PER_SECOND = 1e6
NOT_EXCUSED = 0
EXCUSED_FOR_GOOD = -1

Interval = tuple[int, int]  # begin and end, in microseconds of the virtual clock


@dataclass(frozen=True, slots=True)
class RequestClassSpec:
    """The guarantees of a request class. Times in microseconds.

    `semantics` and `deduplication_scope` have the values that they have in the platform's settings.
    """

    name: str
    semantics: str  # idempotent, deduplicated, at_most_once
    deduplication_scope: str = "all"  # the upstreams that share deduplication: all, zone, cell
    deduplication_window: int = 0
    deadline: int = 0
    latency_objective: int = 0
    priority_weight: float = 1.0
    may_hedge: bool = False  # a second attempt may be sent while a slow one is open

    @property
    def may_repeat_anywhere(self) -> bool:
        """Whether an attempt may be repeated at any upstream."""
        return self.semantics == "idempotent" or (
            self.semantics == "deduplicated" and self.deduplication_scope == "all"
        )


@dataclass(slots=True)
class AttemptRecord:
    """One attempt of a request at an upstream."""

    upstream: str
    process: str  # the balancer's process
    connection: int
    started_at: int
    cell: int
    zone: str
    sent_at: int = 0  # when the balancer wrote its last byte; 0: not yet
    is_rejected: bool = False  # the upstream rejected it without executing it
    is_answered: bool = False
    is_response_sent: bool = False  # the upstream has sent the whole response

    @property
    def may_have_executed(self) -> bool:
        """Whether the upstream may have executed the request."""
        return bool(self.sent_at) and not self.is_rejected


@dataclass(slots=True)
class RequestRecord:
    """One request of a client."""

    trace_id: str
    request_class: RequestClassSpec
    connection: int  # the connection that it was last sent on
    timeout: int
    first_byte_at: int = 0
    written_at: int = 0
    response_received_at: int = 0
    status: int = 0
    response_began_at: int = 0
    disconnected_at: int = 0
    is_finished: bool = False
    key: str = ""  # ordering key: requests with the same key are executed in order
    attempts: list[AttemptRecord] = field(default_factory=list)

    @property
    def time_limit(self) -> int:
        """Microseconds from the request's last byte within which a response is due."""
        return min(self.timeout, self.request_class.deadline)


@dataclass(frozen=True, slots=True)
class Violation:
    """A violation of an invariant. The field names appear in JSON output."""

    rule: str
    at: int  # microseconds since the start
    step: int  # of the scheduler, counted from the start
    what: str

    def __str__(self) -> str:
        return f"{self.at / MICROSECONDS_PER_SECOND:.6f} s, step {self.step}: {self.rule}: {self.what}"


class ProcessEnd(NamedTuple):
    """The time and the reason of a process's end."""

    at: int
    reason: str


class RejectionStreak(NamedTuple):
    """A number of requests that a process rejected in a row, and when the first of them was."""

    since: int
    length: int


@dataclass(slots=True)
class ClassTally:
    """Counts of the requests of one class, by result."""

    asked: int = 0
    in_time: int = 0
    late: int = 0


class ObservedRun:
    """The observations of a run that all invariants share, and the violations found."""

    def __init__(
        self, scheduler: Scheduler, classes: dict[str, RequestClassSpec], drain_time: int, order_pause: int
    ) -> None:
        """Create an empty record.

        Args:
            scheduler: the scheduler of the run.
            classes: the request classes, by name.
            drain_time: microseconds for which a draining endpoint may still be used.
            order_pause: the pause of an ordering key, in microseconds, between an attempt that may still run
                at its upstream and the next request of that key.
        """
        self.scheduler = scheduler
        self.classes = classes
        self.drain_time = drain_time
        self.order_pause = order_pause
        self.requests: dict[str, RequestRecord] = {}
        self.open_requests: set[str] = set()
        self._finished: deque[tuple[int, str]] = deque()
        self.response_bodies: dict[str, set[bytes]] = {}  # the bodies that upstreams made, by trace id
        self.rejection_streaks: dict[str, RejectionStreak] = {}  # by process; an attempt ends the streak
        self.ended_processes: dict[str, ProcessEnd] = {}
        self.stalls: dict[str, list[Interval]] = {}  # by balancer: the intervals in which it could not run
        self.upstream_locations: dict[str, tuple[int, str]] = {}  # cell and zone of each upstream
        self.connections: dict[int, ConnectionEnd] = {}  # by connection number: the end that connected
        self.reset_connections: set[int] = set()  # numbers of those that the upstream reset
        self.process_by_address: dict[tuple[str, int], str] = {}  # the process last started at each address
        self.violations: list[Violation] = []
        self.tally = {name: ClassTally() for name in classes}
        self.counts = dict.fromkeys(
            ("asked", "served", "refused", "failed", "left", "lost", "nobody", "hops"), 0
        )

    @property
    def now(self) -> int:
        """Microseconds of the virtual clock."""
        return self.scheduler.now

    def report(self, rule: str, what: str) -> None:
        """Record a violation at the current time, up to `MAX_VIOLATIONS`."""
        if len(self.violations) < MAX_VIOLATIONS:
            at = self.now - CLOCK_START
            self.violations.append(Violation(rule, at, self.scheduler.steps, what))

    def finish(self, request: RequestRecord, result: str) -> None:
        """Count a request's result, once, and forget the requests that finished before the retention time."""
        if request.is_finished:
            return
        request.is_finished = True
        self.counts[result] += 1
        self.open_requests.discard(request.trace_id)
        self._finished.append((self.now, request.trace_id))
        while self._finished[0][0] < self.now - RETENTION:  # keeps memory bounded in long runs
            self._forget(self._finished.popleft()[1])

    def _forget(self, trace_id: str) -> None:
        request = self.requests.pop(trace_id, None)
        self.response_bodies.pop(trace_id, None)
        for attempt in request.attempts if request is not None else ():
            end = self.connections.get(attempt.connection)
            if end is not None and end.is_closed and end.peer.is_closed:
                self.connections.pop(attempt.connection, None)

    def process_serving(self, request: RequestRecord) -> str:
        """Return the process that accepted or would accept the request's connection, "" if there is none."""
        client_end = self.connections.get(request.connection)
        if client_end is None:
            return ""
        balancer_end = client_end.peer
        return (
            balancer_end.sock.process.name
            if balancer_end.sock is not None
            else self.process_by_address.get(balancer_end.local, "")
        )

    def stalls_of(self, process: str) -> list[Interval]:
        """Return the intervals in which the balancer of a process could not run."""
        return self.stalls.get(balancer_of(process), [])

    def excused_until(self, request: RequestRecord) -> int:
        """Return until when a request may stay without a response beyond its time limit.

        Returns:
            `NOT_EXCUSED` if a response is due; the time at which the excuse ends if the balancer was stalled;
            or `EXCUSED_FOR_GOOD` if the process was killed or crashed.
        """
        process = self.process_serving(request)
        process_end = self.ended_processes.get(process)
        if process_end is not None:
            return EXCUSED_FOR_GOOD if process_end.reason != "returned" else NOT_EXCUSED
        until = 0
        for begin, end in self.stalls_of(process):
            if end > request.written_at and begin < self.now:
                # A balancer cannot tell how old unread bytes are: it counts the time from when it reads them.
                until = max(until, end + request.time_limit + TIME_TOLERANCE)
        return until if until > self.now else NOT_EXCUSED

    def was_stalled_since_written(self, request: RequestRecord) -> bool:
        """Return whether the balancer was stalled at any time since the request was written.

        Its process then cannot know for how long the request lay unread.
        """
        stalls = self.stalls_of(self.process_serving(request))
        return any(end > request.written_at and begin < self.now for begin, end in stalls)

    def has_ended(self, attempt: AttemptRecord) -> bool:
        """Return whether the balancer no longer waits for the attempt."""
        end = self.connections.get(attempt.connection)
        if end is None:  # forgotten: both ends were closed long ago
            return True
        is_over = end.closed_at or end.reset_received or end.fin_received
        return bool(is_over or attempt.process in self.ended_processes)

    def closed_at(self, attempt: AttemptRecord) -> int:
        """Return when the balancer closed the attempt's connection, 0 if it did not."""
        end = self.connections.get(attempt.connection)
        return end.closed_at if end is not None else 0


def balancer_of(process: str) -> str:
    """Return the balancer that a process belongs to: processes are named `balancer/number`."""
    return process.partition("/")[0]
