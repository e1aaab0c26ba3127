"""Run of a cluster script on the simulated network.

`ScriptRun` is the base class of this run and of the one in `dahliabend.process_tests`: it holds the
schedule, the actual history and the membership changes that the instances reported.
"""

from random import Random

from dahliabend.membership import codec
from dahliabend.membership.codec import encode_update
from dahliabend.membership.messages import Ping
from dahliabend.membership.protocol import MembershipProtocol
from dahliabend.membership.snapshot import MembershipSnapshot
from dahliabend.membership.swim_config import SwimConfig
from dahliabend.simulation.cluster.actual_history import ActualHistory, Link
from dahliabend.simulation.cluster.invariants import (
    Bounds,
    MembershipChange,
    Outcome,
    check_membership_changes,
)
from dahliabend.simulation.cluster.script import LINK_FAULTS, ClusterScript, S, Step
from dahliabend.simulation.cluster.simulated_cluster import DEFAULT_DELAY, SimulatedCluster

CHECKS_PER_PERIOD = 4  # checks of a condition that is being waited for, in each protocol period
FOREVER = 10**15  # microseconds; longer than any run
MAX_LOG_LINES = 100_000
MAX_VIEWS_TEXT = 400  # characters of a violation that lists views
RANDOM_DATAGRAMS = 20  # sent to each instance by one `strangers` step
RANDOM_SIZES = (0, 1, 40, 1_400, 9_000)  # bytes of a random datagram


def instance_number(name: str) -> int:
    """Return the number of an instance by its name, -1 for a name without one."""
    return int(name[1:]) if name[1:].isdigit() else -1


class ScriptRun:
    """The schedule of a script, the actual history of the cluster, and what the instances reported."""

    def __init__(self, script: ClusterScript, config: SwimConfig) -> None:
        self.script = script
        self.config = config
        self.actual_history = ActualHistory(script.instances)
        self.membership_changes: list[MembershipChange] = []
        self.outcome = Outcome()
        self.link_faults: list[Step] = []  # steps whose link faults are in force
        self.pending_reversals: list[tuple[int, Step]] = []  # (time, step to revert), sorted by time

    def blocked_links(self) -> set[Link]:
        """Return the links that lose every datagram now."""
        all_instances = range(self.script.instances)
        blocked: set[Link] = set()
        for step in self.link_faults:
            if step.what == "cut":
                blocked |= {(a, b) for a in step.whom for b in step.to or all_instances if a != b}
            elif step.what == "split":
                part_of = {number: index for index, numbers in enumerate(step.parts) for number in numbers}
                blocked |= {(a, b) for a in part_of for b in part_of if part_of[a] != part_of[b]}
        return blocked

    def strongest_fault(self, what: str) -> Step | None:
        """Return the strongest link fault of the type `what` that is in force, None if there is none."""
        steps = [step for step in self.link_faults if step.what == what]
        return max(steps, key=lambda step: (step.size, step.delay), default=None)

    def log(self, now: int, text: str) -> None:
        """Add a line to the run's time line."""
        if len(self.outcome.lines) < MAX_LOG_LINES:
            self.outcome.lines.append(f"{now / S:12.3f}  {text}")

    def log_step(self, now: int, step: Step) -> None:
        """Add a step to the run's time line."""
        self.log(now, f"STEP {step.what} {step.whom or step.parts or ''}")

    def schedule_reversal(self, now: int, step: Step) -> None:
        """Schedule the reversal of a step for the end of its span, if it has one."""
        if step.span and step.what not in ("calm", "mend"):
            self.pending_reversals.append((now + step.span, step))
            self.pending_reversals.sort(key=lambda entry: entry[0])

    def condition_bound(self, step: Step) -> int:
        """Return the time in microseconds within which the step's condition has to hold."""
        if step.within:
            return step.within
        bounds = Bounds(self.config, self.script.instances, self.script.instances)
        return bounds.detection if step.until == "out" else bounds.agreement


class ClusterModel(ScriptRun):
    """The script's instances as protocol state machines on a simulated network."""

    def __init__(
        self,
        script: ClusterScript,
        config: SwimConfig | None = None,
        starts_with_full_membership: bool = False,
    ) -> None:
        """Create a run; `starts_with_full_membership`: all instances know each other from the start."""
        super().__init__(script, config or SwimConfig(period=script.period))
        self.cluster = SimulatedCluster(0, script.seed, config=self.config, start_instances=False)
        if script.delay:
            self.cluster.delay = (max(1, script.delay // 2), max(2, script.delay * 3 // 2))
        else:
            self.cluster.delay = DEFAULT_DELAY
        self.cluster.on_events = self.record_events
        self.base_delay = self.cluster.delay
        self.generations = [0] * script.instances
        self.starts_with_full_membership = starts_with_full_membership

    @property
    def now(self) -> int:
        """The time of the virtual clock, in microseconds."""
        return self.cluster.now

    def record_events(self, name: str, machine: MembershipProtocol) -> None:
        """Move an instance's membership events to the list of reported changes."""
        observer = int(name[1:])
        for event in machine.take_events():
            subject = instance_number(event.name)
            change = MembershipChange(self.now, observer, event.kind.value, subject, event.reported_by)
            self.membership_changes.append(change)
            self.log(self.now, f"{name}: {event.name} {event.kind}, by {event.reported_by}")

    def run_script(self) -> Outcome:
        """Run all steps, then check the reported membership changes against the actual history."""
        for number in range(self.script.instances):
            if number not in self.script.late:
                self.start_instance(number)
        if self.starts_with_full_membership:
            self.assume_full_membership()
        for step in self.script.steps:
            self.apply_step(step)
            self.run(step.wait)
            self.wait_for_condition(step)
        check_membership_changes(
            self.actual_history, self.membership_changes, self.config, self.now, self.outcome
        )
        return self.outcome

    def assume_full_membership(self) -> None:
        """Give every instance the full view, with no updates left to disseminate, as in a settled cluster."""
        machines = list(self.cluster.machines.values())
        updates = [machine.self_update for machine in machines]
        encoded = {update.name: encode_update(update) for update in updates}
        for machine in machines:
            machine.assume_members(self.now, updates, encoded)
        self.cluster.in_transit.clear()

    def start_instance(self, number: int, state: MembershipSnapshot | None = None) -> None:
        """Start the next generation of an instance, from a snapshot if one is given."""
        self.generations[number] += 1
        self.actual_history.start(self.now, number)
        seeds = [f"b{seed}" for seed in self.script.seeds]
        zone = f"z{number % self.script.zones}"
        self.cluster.start_instance(f"b{number}", self.generations[number], seeds, state, zone)

    def end_instance(self, number: int) -> MembershipProtocol | None:
        """End an instance at once, without a leave message; None if it does not run."""
        self.actual_history.end(self.now, number)
        return self.cluster.end_instance(f"b{number}")

    def apply_step(self, step: Step) -> None:
        """Apply a step's fault or action, and schedule its reversal."""
        self.log_step(self.now, step)
        if step.what == "mend":
            self._revert_all()
        elif step.what in LINK_FAULTS:
            self.link_faults.append(step)
            self.apply_link_faults()
        elif step.what == "strangers":
            self.inject_foreign_datagrams()
        for number in step.whom if step.what not in LINK_FAULTS else ():
            if f"b{number}" in self.cluster.machines:
                self._apply_to_running(step.what, number)
            elif step.what == "start":
                self.start_instance(number)
        self.schedule_reversal(self.now, step)

    def _apply_to_running(self, what: str, number: int) -> None:
        name = f"b{number}"
        if what == "kill":
            self.end_instance(number)
        elif what == "restart":
            self.end_instance(number)
            self.start_instance(number)
        elif what in ("stop", "block"):
            self.actual_history.stop(self.now, number)
            self.cluster.pause(name, FOREVER)
        elif what == "leave":
            self.cluster.machines[name].leave(self.now)
            self.cluster.transmit(name)
            self.end_instance(number)
        elif what == "hand":
            snapshot = self.cluster.machines[name].snapshot()
            self.end_instance(number)
            self.generations[number] -= 1
            self.start_instance(number, snapshot)

    def _revert_all(self) -> None:
        for _, step in self.pending_reversals:
            self.revert_step(step)
        self.pending_reversals.clear()
        self.link_faults.clear()
        self.apply_link_faults()

    def revert_step(self, step: Step) -> None:
        """Revert a step: end its link fault, resume or start again the instances that it stopped or ended."""
        if step in self.link_faults:
            self.link_faults.remove(step)
            self.apply_link_faults()
        for number in step.whom if step.what not in LINK_FAULTS else ():
            name = f"b{number}"
            if step.what in ("stop", "block") and self.cluster.paused_until.get(name, 0) > self.now:
                self.cluster.paused_until[name] = self.now
                self.cluster.machines[name].timer_fired(self.now)
                self.cluster.transmit(name)
                self.actual_history.resume(self.now, number)
            elif step.what in ("kill", "leave") and name not in self.cluster.machines:
                self.start_instance(number)

    def apply_link_faults(self) -> None:
        """Configure the simulated network with the link faults in force."""
        blocked = self.blocked_links()
        self.cluster.blocked_links = {(f"b{a}", f"b{b}") for a, b in blocked}
        if blocked != self.actual_history.blocked_links:
            self.actual_history.set_blocked_links(self.now, blocked)
        loss = self.strongest_fault("lose")
        delay = self.strongest_fault("delay")
        duplication = self.strongest_fault("double")
        self.cluster.loss = loss.size if loss else 0.0
        self.cluster.duplication = duplication.size if duplication else 0.0
        shortest, longest = self.base_delay
        self.cluster.delay = (shortest, longest + (delay.delay if delay else 0))

    def inject_foreign_datagrams(self) -> None:
        """Send each instance random datagrams, and an old one of the member b0 as a replay."""
        rng = Random(f"strangers {self.script.seed} {self.now}")
        for name, machine in list(self.cluster.machines.items()):
            for _ in range(RANDOM_DATAGRAMS):
                payload = rng.randbytes(rng.choice(RANDOM_SIZES))
                machine.receive_datagram(self.now, payload, "b0")
            replay, _ = codec.encode_packet("b0", 1, 1, Ping(1, name), [])
            machine.receive_datagram(self.now, replay, "b0")
            self.cluster.transmit(name)

    def run(self, span: int) -> None:
        """Run for `span` microseconds, and revert the steps whose spans end."""
        end = self.now + span
        while self.pending_reversals and self.pending_reversals[0][0] <= end:
            at, step = self.pending_reversals.pop(0)
            self.cluster.run(max(0, at - self.now))
            self.revert_step(step)
        self.cluster.run(max(0, end - self.now))

    def wait_for_condition(self, step: Step) -> None:
        """Run until the step's condition holds; report a violation if it does not within its time limit."""
        if not step.until:
            return
        limit = self.now + self.condition_bound(step)
        while not self.condition_holds(step):
            if self.now >= limit:
                views = {name: sorted(self.cluster.view_of(name)) for name in self.awake_names()}
                text = f"not within its time: {views}"[:MAX_VIEWS_TEXT]
                self.outcome.report(step.until, self.now, text)
                return
            self.run(self.config.period // CHECKS_PER_PERIOD)

    def awake_names(self) -> list[str]:
        """Return the names of the running instances that are not stopped."""
        return [name for name in self.cluster.machines if self.cluster.paused_until.get(name, 0) <= self.now]

    def condition_holds(self, step: Step) -> bool:
        """Return whether the step's condition holds now."""
        if step.until == "believed":
            return True  # this model has no upstreams, so no health reports
        awake_names = self.awake_names()
        if step.until == "out":
            absent = {f"b{number}" for number in step.whom}
            return all(not absent & self.cluster.view_of(name) for name in awake_names if name not in absent)
        views = [self.cluster.machines[name].view(self.now) for name in awake_names]
        expected = set(self.cluster.machines)
        are_complete = all(view.stable and view.names() == expected for view in views)
        return are_complete and len({view.checksum for view in views}) <= 1


def run_script(
    script: ClusterScript, config: SwimConfig | None = None, starts_with_full_membership: bool = False
) -> Outcome:
    """Run a script on the simulated network and return what was reported and found."""
    return ClusterModel(script, config, starts_with_full_membership).run_script()
