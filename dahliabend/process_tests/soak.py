"""Seeded runs of one balancer under its limits: signals in series, kills, upgrades, crowds of rude clients.

Sound clients use their connections for as long as these stay open. After SIGTERM the process is killed as
early as the platform does it.
"""

import asyncio
import signal
import socket
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from random import Random

from dahliabend.process_tests.platform_balancer import (
    MEGABYTE,
    PlatformBalancer,
    ProcessLimits,
    default_settings,
)
from dahliabend.process_tests.rude_clients import FORMS, start_group
from dahliabend.process_tests.rude_run import CLIENT_TIMEOUT, Environment, open_environment

MEMORY_LIMITS_MB = (32, 48, 64, 96, 192)
DESCRIPTORS = (256, 1024)
DEADLINES_MS = (1000.0, 2000.0, 3000.0)
KILL_MARGIN = 0.7  # seconds beyond the longest deadline after which SIGKILL follows SIGTERM
CONNECT_PERIOD = 0.3  # seconds after SIGTERM in which clients still connect
RESTART_PAUSE = 0.1  # seconds between the end of a process and the start of the next one
SERIES = (1, 4)  # least and most signals of a series
SERIES_PAUSE = (0.05, 0.5)  # seconds between two signals of a series
QUIET = (0.3, 1.5)  # seconds between two actions
GROUP_SHARE = 0.7  # of the runs that have a crowd
GROUP_SIZES = (1, 20, 200, 600)
MAX_GROUPS = 2
DEADLINE_SLACK = 0.15  # seconds that an attempt may tell its upstream beyond what is left
SETTLE_TIME = 0.5  # seconds before the first and after the last action

Action = Callable[[], Awaitable[None]]


@dataclass(slots=True)
class SoakResult:
    """What a run had and what broke a rule.

    Attributes:
        seed: The seed.
        limits: Limits of the process.
        deadline_ms: Longest deadline of the request classes.
        actions: The actions, in order.
        groups: The groups of rude clients, by form with their sizes.
        peak_mb: Largest resident memory of any process.
        summary: Requests of the sound clients in one line.
        violations: What broke a rule.
    """

    seed: int
    limits: ProcessLimits
    deadline_ms: float
    actions: list[str] = field(default_factory=list)
    groups: list[str] = field(default_factory=list)
    peak_mb: float = 0.0
    summary: str = ""
    violations: list[str] = field(default_factory=list)

    def line(self) -> str:
        """Return the result in one line."""
        verdict = "BROKEN" if self.violations else "held"
        return (
            f"seed {self.seed}: {verdict}; "
            f"{self.limits.memory_mb} MB, {self.limits.descriptors} descriptors, "
            f"deadline {self.deadline_ms:.0f} ms, peak {self.peak_mb:.1f} MB; {' '.join(self.actions)}; "
            f"crowds: {' '.join(self.groups) or 'none'}; {self.summary}"
        )


class SoakRun:
    """One run, drawn from its seed."""

    def __init__(self, seed: int, actions: int) -> None:
        self.rng = Random(seed)
        rng = self.rng
        limits = ProcessLimits(rng.choice(MEMORY_LIMITS_MB), rng.choice(DESCRIPTORS))
        self.result = SoakResult(seed, limits, rng.choice(DEADLINES_MS))
        self.action_count = actions
        self.is_upgraded = rng.random() < 1 / 3  # the platform owns the listening socket
        self.listener: socket.socket | None = None
        self.environment: Environment
        self.tasks: list[asyncio.Task[None]] = []

    @property
    def client_timeout(self) -> float:
        """Seconds that a sound client waits."""
        return min(CLIENT_TIMEOUT, self.result.deadline_ms / 1000)

    async def run(self) -> SoakResult:
        """Run the actions and return the result."""
        settings = default_settings(self.result.deadline_ms)
        if self.is_upgraded:
            self.listener = socket.create_server(("127.0.0.1", 0), backlog=1024)
            self.listener.setblocking(False)
        try:
            async with open_environment(self.result.limits, settings, self.listener) as environment:
                self.environment = environment
                await self._run_actions()
        finally:
            if self.listener is not None:
                self.listener.close()
        return self.result

    async def _run_actions(self) -> None:
        environment = self.environment
        stop = asyncio.Event()
        sound = environment.sound_clients(stop, self.result.seed, self.client_timeout)
        groups = asyncio.create_task(self._run_groups(stop))
        await asyncio.sleep(SETTLE_TIME)
        actions = self._actions()
        for _ in range(self.action_count):
            name = self.rng.choice(tuple(actions))
            self.result.actions.append(name)
            await actions[name]()
            await asyncio.sleep(self.rng.uniform(*QUIET))
        await asyncio.sleep(SETTLE_TIME)
        stop.set()
        await asyncio.gather(*sound, groups)
        self._judge()

    def _actions(self) -> dict[str, Action]:
        actions: dict[str, Action] = {"reload": self._reload, "quiet": self._wait}
        if self.is_upgraded:
            return actions | {"upgrade": self._upgrade}
        return actions | {"restart": self._restart, "kill": self._kill}

    # Crowds

    async def _run_groups(self, stop: asyncio.Event) -> None:
        """Run one crowd after the other until the end."""
        if self.rng.random() >= GROUP_SHARE:
            return
        rng = Random(f"crowds {self.result.seed}")
        self.environment.has_group = True
        for _ in range(rng.randint(1, MAX_GROUPS)):
            if stop.is_set():
                return
            form, size = rng.choice(tuple(FORMS)), rng.choice(GROUP_SIZES)
            self.result.groups.append(f"{form}:{size}")
            seconds = rng.uniform(2.0, 5.0)
            seed = rng.randrange(1 << 30)
            group = await start_group(form, self.environment.balancer.address, size, seconds, seed)
            await group.wait()

    # Actions

    async def _wait(self) -> None:
        await asyncio.sleep(self.rng.uniform(*QUIET))

    async def _reload(self) -> None:
        """Send SIGHUP several times, each with a new configuration."""
        balancer = self.environment.balancer
        for _ in range(self.rng.randint(*SERIES)):
            objective = self.rng.uniform(0.2, 0.5) * self.result.deadline_ms
            for profile in balancer.settings["profiles"]:
                profile["service-goal"] = objective
            balancer.write_configuration()
            balancer.send_signal(signal.SIGHUP)
            await asyncio.sleep(self.rng.uniform(*SERIES_PAUSE))

    async def _restart(self) -> None:
        """Send SIGTERM, kill the process at the earliest moment, and start it again."""
        balancer = self.environment.balancer
        self.environment.stop_connecting_after(CONNECT_PERIOD)
        await self._terminate(balancer)
        await asyncio.sleep(RESTART_PAUSE)
        await balancer.start()
        self.environment.allow_connecting()

    async def _terminate(self, balancer: PlatformBalancer) -> None:
        """Send SIGTERM several times, and end the process at the earliest moment."""
        began_at = time.monotonic()
        kill_at = began_at + self.result.deadline_ms / 1000 + KILL_MARGIN
        self.environment.shutdowns.append((began_at, kill_at))
        for _ in range(self.rng.randint(*SERIES)):
            balancer.send_signal(signal.SIGTERM)
            await asyncio.sleep(self.rng.uniform(*SERIES_PAUSE))
        status = await balancer.wait_for_end(kill_at - time.monotonic())
        if status is None:
            await balancer.kill()
        elif status:
            self.result.violations.append(f"the process ended with status {status} after SIGTERM")
        self._note_peak(balancer)

    async def _kill(self) -> None:
        """Kill the process outright several times, each time soon after its start."""
        balancer = self.environment.balancer
        for _ in range(self.rng.randint(*SERIES)):
            self.environment.killed_at.append(time.monotonic())
            self.environment.stop_connecting_after(0.0)
            await balancer.kill()
            self._note_peak(balancer)
            await asyncio.sleep(RESTART_PAUSE)
            await balancer.start()
            self.environment.allow_connecting()
            await asyncio.sleep(self.rng.uniform(*SERIES_PAUSE))

    async def _upgrade(self) -> None:
        """Start a successor on the same listening socket, and end the predecessor."""
        environment = self.environment
        predecessor = environment.balancer
        await environment.start_successor(self.listener)
        await self._terminate(predecessor)
        await predecessor.kill()
        self._collect_errors(predecessor)

    # Result

    def _note_peak(self, balancer: PlatformBalancer) -> None:
        self.result.peak_mb = max(self.result.peak_mb, balancer.peak_bytes / MEGABYTE)

    def _collect_errors(self, balancer: PlatformBalancer) -> None:
        self.result.violations += balancer.errors
        if balancer.exceeded_memory:
            peak = balancer.peak_bytes / MEGABYTE
            self.result.violations.append(f"{peak:.1f} MB, over the limit of {self.result.limits.memory_mb}")

    def _judge(self) -> None:
        environment, result = self.environment, self.result
        balancer, clients = environment.balancer, environment.clients
        self._note_peak(balancer)
        self._collect_errors(balancer)
        if not balancer.is_alive:
            result.violations.append("the process has ended by itself")
        result.violations += clients.lost + clients.foreign
        result.violations += [f"{name} ran more than once" for name in environment.executed.repeated_unsafe()]
        result.violations += environment.executed.excessive_times_left(
            clients.sent_at, self.client_timeout, DEADLINE_SLACK
        )
        result.summary = (
            f"{dict(sorted(clients.statuses.items()))}, {len(clients.lost)} lost, {clients.late} late, "
            f"slowest {clients.slowest:.2f} s, {clients.resent} resent, {clients.excused} excused by kills, "
            f"{clients.shut_unread} shut unread"
        )


async def run_seeds(seeds: range, actions: int, jobs: int, report: Callable[[SoakResult], None]) -> int:
    """Run seeds, some at the same time; return how many broke a rule.

    Args:
        seeds: The seeds.
        actions: Number of actions of each run.
        jobs: Number of runs at the same time.
        report: Called with each result.
    """
    slots = asyncio.Semaphore(jobs)
    broken = 0

    async def run_one(seed: int) -> None:
        nonlocal broken
        async with slots:
            result = await SoakRun(seed, actions).run()
        broken += bool(result.violations)
        report(result)

    await asyncio.gather(*(run_one(seed) for seed in seeds))
    return broken
