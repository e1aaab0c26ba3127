"""Run of a cluster script with real processes, whose reports are checked like those of the simulation.

Pauses of this process are part of the actual history: while it could not run, the fault proxy forwarded
nothing, so that no link between the instances worked.
"""

import asyncio
import secrets
import signal
import tempfile
from collections.abc import Callable
from pathlib import Path
from random import Random

from dahliabend.membership.swim_config import SwimConfig
from dahliabend.process_tests.admin_responses import MembershipView, PoolSubset, ReportUse, SubsetResponse
from dahliabend.process_tests.checks import (
    are_out_of_views,
    are_subsets_even,
    check_health_checks,
    check_rate_limit,
    do_views_agree,
)
from dahliabend.process_tests.fault_proxy import FaultProxy
from dahliabend.process_tests.foreign_datagrams import KEY_BYTES, foreign_datagrams
from dahliabend.process_tests.load import LoadEnvironment, pools_text
from dahliabend.process_tests.load_observer import LoadObserver
from dahliabend.process_tests.processes import Instance, LogRecord, free_ports
from dahliabend.simulation.cluster.invariants import (
    MembershipChange,
    Outcome,
    check_membership_changes,
)
from dahliabend.simulation.cluster.model import CHECKS_PER_PERIOD, ScriptRun, instance_number
from dahliabend.simulation.cluster.script import LINK_FAULTS, ClusterScript, S, Step

CLOCK_CHECK_INTERVAL = 20_000  # microseconds between two checks for pauses of this process
MAX_CLOCK_DELAY = 150_000  # microseconds by which such a check may be late
BOUND_FACTOR = 4  # a condition's time limit is its bound times this, as real processes have random delays
MAX_PARALLEL_CALLS = 6  # to admin interfaces
MAX_REPLAYED = 64  # datagrams kept for replay
FAILING_SHARE = 0.9  # share of requests that fail at a failing upstream
MIN_RATE = 0.01  # requests per second
PORTS_PER_INSTANCE = 3  # for clients, the admin interface, and datagrams


class ProcessTestRunner(ScriptRun):
    """The script's instances as real processes, with a fault proxy between them."""

    def __init__(
        self,
        script: ClusterScript,
        request_rate: float = 0.0,
        upstreams: int = 4,
        on_log: Callable[[str], None] | None = None,
    ) -> None:
        """Create a run.

        Args:
            script: The cluster and its steps.
            request_rate: Requests per second; 0: none.
            upstreams: Number of upstreams.
            on_log: Called with each line of the time line.
        """
        super().__init__(script, SwimConfig(period=script.period))
        self.on_log = on_log or (lambda _: None)
        self.rng = Random(f"rig {script.seed}")
        self.proxy = FaultProxy(Random(f"relay {script.seed}"))
        self.proxy.tap = self._keep_for_replay
        self.instances: list[Instance] = []
        self.request_rate = request_rate
        self.upstream_count = upstreams
        self.upstream_names: list[str] = []
        self.load: LoadEnvironment | None = None
        self.first_agreement: float | None = None  # when all views first agreed, seconds of the loop's clock
        self.subsets: dict[str, PoolSubset] = {}  # by instance name: its last response
        self._replayed: list[bytes] = []
        self._key = secrets.token_hex(KEY_BYTES)
        self._pause_detector: asyncio.Task[None] | None = None
        self._started_at = 0.0

    @property
    def now(self) -> int:
        """The time of the run's clock, in microseconds."""
        return round((asyncio.get_running_loop().time() - self._started_at) * S) + S

    # Observations

    def record_log(self, instance: Instance, record: LogRecord) -> None:
        """Process a record of an instance's log: membership changes and uses of health reports."""
        event = record.get("event")
        if event == "upstream.suspected":
            self.outcome.counts["believed"] += 1
            text = f"{instance.name}: {record['upstream']} is bad, {record['origins']} say"
            self.log(self.now, text)
        elif event == "member.changed":
            subject = record["member"]
            kind = record["change"]
            reported_by = record["reported_by"]
            change = MembershipChange(self.now, instance.number, kind, instance_number(subject), reported_by)
            self.membership_changes.append(change)
            self.log(self.now, f"{instance.name}: {subject} {kind}, by {reported_by}")

    def log(self, now: int, text: str) -> None:
        """Add a line to the time line."""
        super().log(now, text)
        self.on_log(self.outcome.lines[-1])

    def _keep_for_replay(self, _sender: int, _receiver: int, payload: bytes) -> None:
        if len(self._replayed) < MAX_REPLAYED:
            self._replayed.append(payload)

    async def _detect_pauses(self) -> None:
        """Record pauses of this process as blocked links: the fault proxy forwards nothing meanwhile."""
        loop = asyncio.get_running_loop()
        all_instances = range(self.script.instances)
        checked_at = loop.time()
        while True:
            await asyncio.sleep(CLOCK_CHECK_INTERVAL / S)
            delay = (loop.time() - checked_at) * S - CLOCK_CHECK_INTERVAL
            checked_at = loop.time()
            if delay > MAX_CLOCK_DELAY:
                self.outcome.counts["rig late"] += 1
                all_links = {(a, b) for a in all_instances for b in all_instances if a != b}
                since = max(self.actual_history.last_change(), self.now - round(delay))
                self.actual_history.set_blocked_links(since, all_links)
                self.actual_history.set_blocked_links(self.now, self.blocked_links())
                self.log(self.now, f"RIG late by {delay / S:.2f} s")

    # Run

    async def run_script(self) -> Outcome:
        """Run all steps, then check all reports against the actual history."""
        self._started_at = asyncio.get_running_loop().time()
        with tempfile.TemporaryDirectory(prefix="dahliabend-rig-") as directory:
            try:
                await self._build(Path(directory))
                await self._run_steps()
                end = self.now
                self._check_load(end)
                if self.load is not None:
                    await self.load.end()
            finally:
                await self._close()
        check_membership_changes(self.actual_history, self.membership_changes, self.config, end, self.outcome)
        self._collect_results(end)
        return self.outcome

    async def _run_steps(self) -> None:
        self._pause_detector = asyncio.get_running_loop().create_task(self._detect_pauses())
        await self.start([n for n in range(self.script.instances) if n not in self.script.late])
        if self.load is not None:
            self.load.begin(self.is_available)
            if self.script.probing:
                await self.load.end_faults()  # on a fault the policy would request health checks of its own
        for step in self.script.steps:
            await self.apply_step(step)
            await self.run(step.wait)
            await self.wait_for_condition(step)

    def _collect_results(self, end: int) -> None:
        self.outcome.counts.update(passed=self.proxy.forwarded, dropped=self.proxy.dropped)
        for instance in self.instances:
            for error in instance.errors:
                self.outcome.report("process", end, error)
        if self.load is not None:
            observer = self.load.observer
            self.outcome.counts.update({f"tx {name}": n for name, n in observer.counts.items()})
            for violation in observer.violations:
                self.outcome.report("rule", end, violation)

    async def _build(self, directory: Path) -> None:
        """Write the instances' configuration files, and start the proxy, the upstreams and discovery."""
        script = self.script
        self.proxy.mean_delay = script.delay
        addresses = await self.proxy.open(script.instances)
        (directory / "key").write_text(self._key + "\n")
        instance_port_count = PORTS_PER_INSTANCE * script.instances
        ports = free_ports(instance_port_count + self.upstream_count + 1)
        load_rng = Random(f"traffic {script.seed}")
        load = LoadEnvironment(
            load_rng, max(self.request_rate, MIN_RATE), self.upstream_count, ports[instance_port_count:]
        )
        await load.open()
        self.upstream_names = [spec.name for spec in load.specs]
        pools = pools_text(script, load.discovery_address)
        for number in range(script.instances):
            instance_ports = ports[PORTS_PER_INSTANCE * number : PORTS_PER_INSTANCE * (number + 1)]
            instance = Instance(number, directory, instance_ports, self.record_log)
            instance.write_config(script, addresses, pools)
            self.proxy.set_target(number, instance.datagram_address)
            self.instances.append(instance)
            if self.request_rate:
                load.add_clients(number, instance.client_address)
        if self.request_rate:
            self.load = load

    async def _close(self) -> None:
        if self._pause_detector is not None:
            self._pause_detector.cancel()
        await asyncio.gather(*(instance.end() for instance in self.instances if instance.is_alive))
        for instance in self.instances:
            if instance.reader is not None:
                instance.reader.cancel()
        self.proxy.close()

    def is_available(self, number: int) -> bool:
        """Return whether clients may send requests to an instance."""
        instance = self.instances[number]
        return instance.is_awake and instance.opened.done()

    # Steps

    async def start(self, numbers: list[int]) -> None:
        """Start instances at the same time, and wait until they have opened their sockets."""
        for number in numbers:
            await self.instances[number].start()
        for number in numbers:
            await self.instances[number].wait_until_open()
            self.actual_history.start(self.now, number)  # only now, as no other instance can know it before

    async def end(self, number: int, signal_number: int) -> None:
        """Record the end of an instance and end it by a signal."""
        self.actual_history.end(self.now, number)
        self._record_interruption(number)
        await self.instances[number].end(signal_number)

    def _record_interruption(self, number: int) -> None:
        if self.load is not None:
            self.load.observer.record_interruption(number)

    async def apply_step(self, step: Step) -> None:
        """Apply a step's fault or action, and schedule its reversal."""
        self.log_step(self.now, step)
        if step.what == "mend":
            await self._revert_all()
        elif step.what in LINK_FAULTS:
            self.link_faults.append(step)
            self.apply_link_faults()
        elif step.what == "strangers":
            self.inject_foreign_datagrams()
        elif step.what == "bad":
            self._set_failing(step, FAILING_SHARE)
        starting: list[int] = []
        for number in step.whom if step.what not in LINK_FAULTS else ():
            if self.instances[number].is_alive:
                if await self._apply_to_running(step.what, number):
                    starting.append(number)
            elif step.what == "start":
                starting.append(number)
        await self.start(starting)
        self.schedule_reversal(self.now, step)

    async def _apply_to_running(self, what: str, number: int) -> bool:
        """Apply a step to a running instance, and return whether it has to be started afterwards."""
        if what in ("kill", "restart"):
            await self.end(number, signal.SIGKILL)
        elif what in ("stop", "block"):
            self.instances[number].stop()
            self.actual_history.stop(self.now, number)
            self._record_interruption(number)
        elif what == "leave":
            await self.end(number, signal.SIGTERM)
        elif what == "hand":
            await self.end(number, signal.SIGUSR2)
        return what in ("restart", "hand")

    async def _revert_all(self) -> None:
        reversals = self.pending_reversals
        self.pending_reversals = []
        for _, step in reversals:
            await self.revert_step(step)
        self.link_faults.clear()
        self.apply_link_faults()

    async def revert_step(self, step: Step) -> None:
        """Revert a step: end its faults, resume or start again the instances that it stopped or ended."""
        if step in self.link_faults:
            self.link_faults.remove(step)
            self.apply_link_faults()
        if step.what == "bad":
            self._set_failing(step, 0.0)
        starting: list[int] = []
        for number in step.whom if step.what not in LINK_FAULTS else ():
            instance = self.instances[number]
            if step.what in ("stop", "block") and instance.is_stopped and instance.is_alive:
                instance.resume()
                self.actual_history.resume(self.now, number)
                self._record_interruption(number)
            elif step.what in ("kill", "leave") and not instance.is_alive:
                starting.append(number)
        await self.start(starting)

    def _set_failing(self, step: Step, share: float) -> None:
        for upstream in self.load.upstreams if self.load is not None else ():
            if upstream.spec.cell in step.to:
                upstream.failing = share

    def apply_link_faults(self) -> None:
        """Configure the proxy with the link faults in force."""
        blocked = self.blocked_links()
        self.proxy.blocked_links = blocked
        if blocked != self.actual_history.blocked_links:
            self.actual_history.set_blocked_links(self.now, blocked)
        loss = self.strongest_fault("lose")
        delay = self.strongest_fault("delay")
        duplication = self.strongest_fault("double")
        self.proxy.loss = loss.size if loss else 0.0
        self.proxy.duplication = duplication.size if duplication else 0.0
        self.proxy.max_extra_delay = delay.delay if delay else 0

    def inject_foreign_datagrams(self) -> None:
        """Send each instance datagrams that no member sent, and replays of others."""
        for number in range(self.script.instances):
            for payload in foreign_datagrams(self.rng, self._key, self._replayed):
                self.proxy.inject(number, payload)

    async def run(self, span: int) -> None:
        """Wait for `span` microseconds, and revert the steps whose spans end."""
        end = self.now + span
        while self.pending_reversals and self.pending_reversals[0][0] <= end:
            at, step = self.pending_reversals.pop(0)
            await asyncio.sleep(max(0, at - self.now) / S)
            await self.revert_step(step)
        await asyncio.sleep(max(0, end - self.now) / S)

    # Conditions and checks

    async def wait_for_condition(self, step: Step) -> None:
        """Wait until the step's condition holds; report a violation if it does not within its time limit."""
        if not step.until:
            return
        if step.until == "even" and self.load is not None:
            await self.load.end_faults()  # upstream faults change the subsets
        limit = self.now + BOUND_FACTOR * self.condition_bound(step)
        while not await self.condition_holds(step):
            if self.now >= limit:
                self.outcome.report(step.until, self.now, f"not within {BOUND_FACTOR} times its bound")
                return
            await self.run(self.config.period // CHECKS_PER_PERIOD)
        if step.until == "agree" and self.first_agreement is None:
            self.first_agreement = asyncio.get_running_loop().time()

    async def condition_holds(self, step: Step) -> bool:
        """Return whether the step's condition holds now."""
        if step.until == "believed":
            return await self._are_reports_used()
        views = await self._views()
        if views is None:
            return False
        if step.until == "out":
            return are_out_of_views(views, {f"b{number}" for number in step.whom})
        members = {instance.name for instance in self.instances if instance.is_alive}
        return do_views_agree(views, members) and (step.until != "even" or await self._are_subsets_even())

    async def _views(self) -> dict[str, MembershipView] | None:
        """Return the views of all awake instances, None if one does not respond."""
        running = [instance for instance in self.instances if instance.is_awake and instance.opened.done()]
        views: dict[str, MembershipView] = {}
        for begin in range(0, len(running), MAX_PARALLEL_CALLS):
            batch = running[begin : begin + MAX_PARALLEL_CALLS]
            responses = await asyncio.gather(
                *(instance.call_admin("/api/members", MembershipView) for instance in batch)
            )
            for instance, view in zip(batch, responses, strict=True):
                if view is None:
                    return None
                views[instance.name] = view
        return views

    async def _are_reports_used(self) -> bool:
        """Return whether the policy of any instance has used the health reports of others."""
        responses = [
            await instance.call_admin("/api/signals", ReportUse)
            for instance in self.instances
            if instance.is_awake
        ]
        return None not in responses and any(
            response.used_reports for response in responses if response is not None
        )

    async def _are_subsets_even(self) -> bool:
        """Return whether the subsets together load each upstream alike."""
        self.subsets = {}
        for instance in self.instances:
            if instance.is_awake:
                response = await instance.call_admin("/api/subsets", SubsetResponse)
                if response is None:
                    return False
                self.subsets[instance.name] = response.pools["main"]
        return are_subsets_even(self.upstream_names, self.subsets)

    def _check_load(self, end: int) -> None:
        """Check health checks and rate limits by what the upstreams recorded."""
        observer = self.load.observer if self.load is not None else LoadObserver()
        if self.load is not None and self.script.probing and self.first_agreement is not None:
            times = {name: observer.health_check_times.get(name, []) for name in self.upstream_names}
            check_health_checks(times, self.script.probing, self.first_agreement, end, self.outcome)
        if self.script.limit:
            check_rate_limit(observer.submit_times, self.script.limit, len(self.instances), end, self.outcome)
