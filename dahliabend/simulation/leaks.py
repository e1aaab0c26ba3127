"""What is to be left of a run: nothing. Descriptors, slots, deadlines, tasks, buffers, from outside.

The one place in this package that looks into the program. It asks what its owners hold, never how they
decided.
"""

import asyncio
import gc
from collections import deque

SPARE = 6  # deadlines and tasks that a program at rest may have more than at the run's start


# Packages whose objects must not grow with uptime.
OWN_PACKAGES = tuple(
    f"dahliabend.{name}" for name in ("transport", "http", "discovery", "proxy", "server", "policy")
)


class Remains:
    def __init__(self, world) -> None:
        self.world = world
        self.deadlines: dict[str, int] = {}
        self.tasks: dict[str, int] = {}

    def running(self):
        for balancer in (*self.world.balancers, *self.world.sidecars):
            if balancer.alive and balancer.program is not None:
                yield balancer.process, balancer.program

    def begin(self) -> None:
        """Before the first request: what a program at rest has."""
        for process, program in self.running():
            name = process.name.partition("/")[0]
            self.deadlines[name] = live(program)
            self.tasks[name] = len(asyncio.all_tasks(process.loop))

    def check(self) -> None:
        """At rest again, all callers gone and all upstreams well."""
        for process, program in self.running():
            self.look(process, program)

    def look(self, process, program) -> None:
        name, router, broken = process.name, program.router, self.world.rules.broken

        def want(fine: bool, what: str) -> None:
            if not fine:
                broken("left behind", f"{name}: {what}")

        want(not len(router.requests), f"{len(router.requests)} transactions that nobody waits for")
        want(not router.trace_ids, f"{len(router.trace_ids)} ids of ended transactions")
        want(len(router.policies) == 1, f"{len(router.policies)} sets of decisions")
        want(
            all(not policy.open_requests for policy in router.policies),
            "a set of decisions holds a transaction",
        )
        want(
            program.metrics.open_requests == 0,
            f"{program.metrics.open_requests} open requests in the figures",
        )
        held = sum(len(u.in_flight) for u in router.balancer.selection.endpoints.values())
        want(not held, f"{held} hops held by the decisions")
        want(
            router.balancer.concurrency.in_flight == 0,
            f"{router.balancer.concurrency.in_flight} hops in flight by the decisions' count",
        )
        tables = [*program.descriptors.connections, *program.admin_descriptors.connections]
        listening = sum(listener.sock is not None for listener in (program.listener, program.admin_listener))
        want(
            len(process.sockets) == len(tables) + listening,
            f"{len(process.sockets)} sockets, {len(tables)} connections in the tables",
        )
        watches = sum(type(connection).__name__ == "WatchConnection" for connection in tables)
        want(watches == 1, f"{watches} watches of the list")
        closed = sum(connection.closed for connection in tables)
        want(not closed, f"{closed} closed connections keep their slots")
        bytes_left = sum(c.unsent_bytes + c.receive_buffer.count for c in tables)
        want(not bytes_left, f"{bytes_left} bytes in buffers of connections at rest")
        resting = sum(len(u.idle_connections) for u in router.table.endpoints.values())
        links = sum(len(u.connections) for u in router.table.endpoints.values())
        want(links <= resting + SPARE, f"{links} connections to upstreams, {resting} at rest")
        for listener in (program.listener, program.admin_listener):
            want(not listener.accept_tasks, f"{len(listener.accept_tasks)} connections that never came up")
        base = name.partition("/")[0]
        now, before = live(program), self.deadlines.get(base, 0) + len(tables) + SPARE
        want(now <= before, f"{now} deadlines, {self.deadlines.get(base, 0)} at the start")
        tasks, before = len(asyncio.all_tasks(process.loop)), self.tasks.get(base, 1) + SPARE
        want(tasks <= before, f"{tasks} tasks, {self.tasks.get(base, 1)} at the start")

    def ended(self) -> None:
        """After SIGTERM to all."""
        for balancer in (*self.world.balancers, *self.world.sidecars):
            if balancer.alive:
                self.world.rules.broken("left behind", f"{balancer.process.name} did not end on SIGTERM")
        for trace in sorted(self.world.rules.open):
            request = self.world.rules.requests[trace]
            if request.written and not self.world.rules.excused(request):
                self.world.rules.broken("one answer", f"{trace}: never answered")


def live(program) -> int:
    """Deadlines that are to come."""
    return sum(entry[2] is not None for entry in program.timers.heap)


def weigh(program) -> dict[str, int]:
    """What a program holds, by kind: its objects, and what lies in their containers. For long runs, in which
    none of it may grow with time."""
    kinds: dict[str, int] = {}
    seen: set[int] = set()
    waiting = [program]
    while waiting:
        item = waiting.pop()
        if id(item) in seen:
            continue
        seen.add(id(item))
        kind = type(item)
        own = kind.__module__.startswith(OWN_PACKAGES)
        if own or isinstance(item, dict | list | tuple | set | deque):
            name = kind.__qualname__
            kinds[name] = kinds.get(name, 0) + 1
            waiting.extend(gc.get_referents(item))
        elif hasattr(item, "__self__"):  # a bound method keeps its owner
            waiting.append(item.__self__)
    return kinds
