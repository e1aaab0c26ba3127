"""What has been observed of a run so far: requests, their attempts, processes, and violated invariants."""

from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

from dahliabend.simulation.connections import ConnectionEnd
from dahliabend.simulation.event_loop import CLOCK_START, Scheduler

TIME_TOLERANCE = 50_000  # microseconds: the tolerance of each limit of time in the operators' pages
RETENTION = 60_000_000  # microseconds for which a finished request is remembered
MAX_VIOLATIONS = 20  # kept of a run
MICROSECONDS_PER_SECOND = 1e6
NOT_EXCUSED = 0
EXCUSED_FOR_GOOD = -1

Interval = tuple[int, int]  # begin and end, microseconds


@dataclass(frozen=True, slots=True)
class RequestClassRules:
    """What a class of requests promises, in the terms of the settings on the wire. Times in microseconds."""

    name: str
    semantics: str  # idempotent, deduplicated, at_most_once
    group: str = "all"  # which upstreams deduplicate together: all, zone, cell
    deduplication_window: int = 0
    deadline: int = 0
    latency_objective: int = 0
    priority_weight: float = 1.0
    may_hedge: bool = False  # a second attempt may be sent beside a slow one

    @property
    def may_repeat_anywhere(self) -> bool:
        """Whether an attempt may be repeated at any upstream."""
        return self.semantics == "idempotent" or (self.semantics == "deduplicated" and self.group == "all")


@dataclass(slots=True)
class AttemptRecord:
    """One attempt of a request at an upstream."""

    upstream: str
    balancer: str
    connection: int
    started_at: int
    cell: int
    zone: str
    sent_at: int = 0  # when its last byte was taken from the balancer
    is_rejected: bool = False  # the upstream said that it was never executed
    is_answered: bool = False
    is_answer_sent: bool = False  # all of the answer was sent

    @property
    def may_have_executed(self) -> bool:
        """Whether the upstream may have executed it."""
        return bool(self.sent_at) and not self.is_rejected


@dataclass(slots=True)
class RequestRecord:
    """One request of a client."""

    trace_id: str
    request_class: RequestClassRules
    connection: int  # the one that it was sent on last
    timeout: int
    first_byte_at: int = 0
    written_at: int = 0
    answered_at: int = 0
    status: int = 0
    answer_began_at: int = 0
    disconnected_at: int = 0
    is_finished: bool = False
    key: str = ""  # requests of one key are executed in order
    attempts: list[AttemptRecord] = field(default_factory=list)

    @property
    def time_limit(self) -> int:
        """Microseconds from its last byte within which an answer is due."""
        return min(self.timeout, self.request_class.deadline)


@dataclass(frozen=True, slots=True)
class Violation:
    """An invariant that was violated. The field names appear in JSON output."""

    rule: str
    at: int  # microseconds since the start
    step: int  # of the scheduler
    what: str

    def __str__(self) -> str:
        return f"{self.at / MICROSECONDS_PER_SECOND:.6f} s, step {self.step}: {self.rule}: {self.what}"


class ProcessEnd(NamedTuple):
    """When and how a process ended."""

    at: int
    reason: str


class RejectionStreak(NamedTuple):
    """Requests that a process rejected in a row."""

    since: int
    length: int


@dataclass(slots=True)
class ClassTally:
    """Requests of one class, by result."""

    asked: int = 0
    in_time: int = 0
    late: int = 0


class ObservedRun:
    """The state that all invariants share."""

    def __init__(
        self, scheduler: Scheduler, classes: dict[str, RequestClassRules], drain_time: int, key_pause: int
    ) -> None:
        """Begin with nothing observed.

        Args:
            scheduler: of the run.
            classes: of requests, by name.
            drain_time: microseconds for which an endpoint may still be used after it drains.
            key_pause: microseconds between an attempt that may go on and the next request of its key.
        """
        self.scheduler = scheduler
        self.classes = classes
        self.drain_time = drain_time
        self.key_pause = key_pause
        self.requests: dict[str, RequestRecord] = {}
        self.open_requests: set[str] = set()
        self._finished: deque[tuple[int, str]] = deque()
        self.answers_made: dict[str, set[bytes]] = {}  # by trace id, the bodies that upstreams made
        self.rejection_streaks: dict[str, RejectionStreak] = {}  # by process, until it sends an attempt
        self.ended_processes: dict[str, ProcessEnd] = {}
        self.stalls: dict[str, list[Interval]] = {}  # by balancer: when it could not run
        self.upstream_locations: dict[str, tuple[int, str]] = {}  # cell and zone of each upstream
        self.connections: dict[int, ConnectionEnd] = {}  # by number, the end that dialled
        self.reset_connections: set[int] = set()  # those that their upstream reset
        self.process_by_address: dict[tuple[str, int], str] = {}  # by address: the process last started there
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
        """Record a violation, now."""
        if len(self.violations) < MAX_VIOLATIONS:
            at = self.now - CLOCK_START
            self.violations.append(Violation(rule, at, self.scheduler.steps, what))

    def finish(self, request: RequestRecord, result: str) -> None:
        """Count a request's result, once, and forget those that finished long ago."""
        if request.is_finished:
            return
        request.is_finished = True
        self.counts[result] += 1
        self.open_requests.discard(request.trace_id)
        self._finished.append((self.now, request.trace_id))
        while self._finished[0][0] < self.now - RETENTION:  # long runs are checked in bounded memory
            self._forget(self._finished.popleft()[1])

    def _forget(self, trace_id: str) -> None:
        request = self.requests.pop(trace_id, None)
        self.answers_made.pop(trace_id, None)
        for attempt in request.attempts if request is not None else ():
            end = self.connections.get(attempt.connection)
            if end is not None and end.is_closed and end.peer.is_closed:
                self.connections.pop(attempt.connection, None)

    def process_serving(self, request: RequestRecord) -> str:
        """The process that the request's connection leads to, or would once it is accepted."""
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
        """When the balancer of a process could not run."""
        return self.stalls.get(balancer_of(process), [])

    def excused_until(self, request: RequestRecord) -> int:
        """Why no answer is due yet.

        Returns:
            `NOT_EXCUSED`; or the time until when the request is excused; or `EXCUSED_FOR_GOOD`, because its
            process was killed.
        """
        process = self.process_serving(request)
        process_end = self.ended_processes.get(process)
        if process_end is not None:
            return EXCUSED_FOR_GOOD if process_end.reason != "returned" else NOT_EXCUSED
        until = 0
        for begin, end in self.stalls_of(process):
            if end > request.written_at and begin < self.now:
                # Unread bytes don't show their age: the request's time runs from when they are read.
                until = max(until, end + request.time_limit + TIME_TOLERANCE)
        return until if until > self.now else NOT_EXCUSED

    def arrived_during_stall(self, request: RequestRecord) -> bool:
        """Whether the process could not run while the request came, and cannot know for how long it lay."""
        stalls = self.stalls_of(self.process_serving(request))
        return any(end > request.written_at and begin < self.now for begin, end in stalls)

    def has_ended(self, attempt: AttemptRecord) -> bool:
        """Whether the balancer no longer waits for the attempt."""
        end = self.connections.get(attempt.connection)
        if end is None:  # forgotten: both ends were closed long ago
            return True
        is_over = end.closed_at or end.reset_received or end.fin_received
        return bool(is_over or attempt.balancer in self.ended_processes)

    def closed_at(self, attempt: AttemptRecord) -> int:
        """When the balancer closed the attempt's connection, 0 if it did not."""
        end = self.connections.get(attempt.connection)
        return end.closed_at if end is not None else 0


def balancer_of(process: str) -> str:
    """The balancer that a process belongs to: processes are named `balancer/number`."""
    return process.partition("/")[0]
