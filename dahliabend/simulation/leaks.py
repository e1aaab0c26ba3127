"""Checks that a run leaves nothing behind: descriptors, request slots, timers, tasks and buffered bytes.

This is the only module of the package that reads internals of the balancer's program. It reads which
resources the program holds, never how it decided.
"""

import asyncio
import gc
from collections import deque
from collections.abc import Iterator, Sequence
from typing import Any, Protocol

from dahliabend.simulation.event_loop import Process
from dahliabend.simulation.invariants import InvariantChecker
from dahliabend.simulation.observed_run import balancer_of

LEAK_TOLERANCE = 6  # by which timers, tasks and connections of an idle program may exceed what is expected
LEAK_RULE = "left behind"
# Packages whose objects must not grow in number with uptime.
PROGRAM_PACKAGES = tuple(
    f"dahliabend.{name}" for name in ("transport", "http", "discovery", "proxy", "server", "policy")
)

Program = Any  # a balancer's program, whose internals are read


class ObservedBalancer(Protocol):
    """What the leak checker needs of a balancer."""

    process: Process | None
    program: Program | None

    @property
    def is_alive(self) -> bool:
        """Whether the balancer's newest process runs."""


class ObservedSimulation(Protocol):
    """What the leak checker needs of a simulation."""

    invariants: InvariantChecker

    @property
    def all_balancers(self) -> Sequence[ObservedBalancer]:
        """The balancers of all tiers."""


class LeakChecker:
    """Compares what idle programs hold after the load with what they held before the first request."""

    def __init__(self, simulation: ObservedSimulation) -> None:
        self.simulation = simulation
        self.initial_timers: dict[str, int] = {}  # by balancer
        self.initial_tasks: dict[str, int] = {}

    def running_programs(self) -> Iterator[tuple[Process, Program]]:
        """Yield the running programs with their processes."""
        for balancer in self.simulation.all_balancers:
            if balancer.is_alive and balancer.process is not None and balancer.program is not None:
                yield balancer.process, balancer.program

    def record_baseline(self) -> None:
        """Count each program's timers and tasks before the first request."""
        for process, program in self.running_programs():
            balancer = balancer_of(process.name)
            self.initial_timers[balancer] = count_timers(program)
            self.initial_tasks[balancer] = len(asyncio.all_tasks(process.loop))

    def check(self) -> None:
        """Check the programs after the load, with no clients and all upstreams healthy."""
        for process, program in self.running_programs():
            self._check_requests(process, program)
            self._check_connections(process, program)
            self._check_timers_and_tasks(process, program)

    def _report_unless(self, condition: bool, process: Process, problem: str) -> None:
        """Report a violation if the condition does not hold."""
        if not condition:
            self.simulation.invariants.report(LEAK_RULE, f"{process.name}: {problem}")

    def _check_requests(self, process: Process, program: Program) -> None:
        """Check that no request, attempt or outdated policy is held."""
        router = program.router
        open_requests = program.metrics.open_requests
        reserved = sum(len(endpoint.in_flight) for endpoint in router.balancer.selection.endpoints.values())
        in_flight = router.balancer.concurrency.in_flight
        is_idle = all(not policy.open_requests for policy in router.policies)
        self._report_unless(
            not len(router.requests), process, f"{len(router.requests)} transactions that nobody waits for"
        )
        self._report_unless(
            not router.trace_ids, process, f"{len(router.trace_ids)} ids of ended transactions"
        )
        self._report_unless(len(router.policies) == 1, process, f"{len(router.policies)} sets of decisions")
        self._report_unless(is_idle, process, "a set of decisions holds a transaction")
        self._report_unless(open_requests == 0, process, f"{open_requests} open requests in the figures")
        self._report_unless(not reserved, process, f"{reserved} hops held by the decisions")
        self._report_unless(in_flight == 0, process, f"{in_flight} hops in flight by the decisions' count")

    def _check_connections(self, process: Process, program: Program) -> None:
        """Check that sockets match the connection tables, and that connections are idle with no data."""
        tables = _connections(program)
        listeners = (program.listener, program.admin_listener)
        listening = sum(listener.sock is not None for listener in listeners)
        sockets = len(process.sockets)
        watches = sum(type(connection).__name__ == "WatchConnection" for connection in tables)
        closed = sum(connection.closed for connection in tables)
        buffered = sum(connection.unsent_bytes + len(connection.unprocessed) for connection in tables)
        endpoints = program.router.table.endpoints.values()
        idle = sum(len(endpoint.idle_connections) for endpoint in endpoints)
        to_upstreams = sum(len(endpoint.connections) for endpoint in endpoints)
        self._report_unless(
            sockets == len(tables) + listening,
            process,
            f"{sockets} sockets, {len(tables)} connections in the tables",
        )
        self._report_unless(watches == 1, process, f"{watches} watches of the list")
        self._report_unless(not closed, process, f"{closed} closed connections keep their slots")
        self._report_unless(not buffered, process, f"{buffered} bytes in buffers of connections at rest")
        self._report_unless(
            to_upstreams <= idle + LEAK_TOLERANCE,
            process,
            f"{to_upstreams} connections to upstreams, {idle} at rest",
        )
        for listener in listeners:
            pending = len(listener.accept_tasks)
            self._report_unless(not pending, process, f"{pending} connections that never came up")

    def _check_timers_and_tasks(self, process: Process, program: Program) -> None:
        """Check that there are at most `LEAK_TOLERANCE` more timers and tasks than at the start."""
        balancer = balancer_of(process.name)
        timers = count_timers(program)
        tasks = len(asyncio.all_tasks(process.loop))
        initial_timers = self.initial_timers.get(balancer, 0)
        initial_tasks = self.initial_tasks.get(balancer, 1)
        max_timers = initial_timers + len(_connections(program)) + LEAK_TOLERANCE
        self._report_unless(
            timers <= max_timers, process, f"{timers} deadlines, {initial_timers} at the start"
        )
        self._report_unless(
            tasks <= initial_tasks + LEAK_TOLERANCE, process, f"{tasks} tasks, {initial_tasks} at the start"
        )

    def check_shutdown(self) -> None:
        """Check that all processes have ended after SIGTERM and that all requests were answered."""
        invariants = self.simulation.invariants
        for balancer in self.simulation.all_balancers:
            if balancer.is_alive and balancer.process is not None:
                invariants.report(LEAK_RULE, f"{balancer.process.name} did not end on SIGTERM")
        for trace_id in sorted(invariants.open_requests):
            request = invariants.requests[trace_id]
            if request.written_at and not invariants.excused_until(request):
                invariants.report("one answer", f"{trace_id}: never answered")


def _connections(program: Program) -> list[Any]:
    return [*program.descriptors.connections, *program.admin_descriptors.connections]


def count_timers(program: Program) -> int:
    """Return the number of a program's timers that have not fired."""
    return sum(entry[2] is not None for entry in program.timers.heap)


def count_objects(program: Program) -> dict[str, int]:
    """Count the objects that a program holds, directly or in containers, by type.

    None of these counts may grow with time in a long run.
    """
    counts_by_type: dict[str, int] = {}
    seen: set[int] = set()
    pending: list[Any] = [program]
    while pending:
        item = pending.pop()
        if id(item) in seen:
            continue
        seen.add(id(item))
        item_type = type(item)
        is_program_object = item_type.__module__.startswith(PROGRAM_PACKAGES)
        if is_program_object or isinstance(item, dict | list | tuple | set | deque):
            name = item_type.__qualname__
            counts_by_type[name] = counts_by_type.get(name, 0) + 1
            pending.extend(gc.get_referents(item))
        elif hasattr(item, "__self__"):  # a bound method keeps its object alive
            pending.append(item.__self__)
    return counts_by_type
