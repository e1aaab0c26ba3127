"""Instances with a lease election each, on a simulated network that delays, drops and blocks messages."""

from random import Random
from typing import NamedTuple

from dahliabend.leases.candidate_order import Candidate
from dahliabend.leases.election import LeaseElection
from dahliabend.leases.lease import LeaseAnnouncement

MS = 1_000
SECOND = 1_000_000
PERIOD = 4 * SECOND
TICK = 250 * MS
TASKS = {f"probe u{n}": "" for n in range(12)}


class Run(NamedTuple):
    """A run of a task by an instance."""

    at: int
    instance: str
    task: str
    fencing_token: int


class Message(NamedTuple):
    """Announcements in transit."""

    arrives_at: int
    to: str
    announcements: list[LeaseAnnouncement]


class LeaseCluster:
    """Instances that tick every quarter of a second and send each other all their announcements."""

    def __init__(self, count: int, seed: int = 1) -> None:
        self.now = SECOND
        self.random = Random(seed)
        self.names = [f"b{n}" for n in range(count)]
        self.instances = {name: self.start(name) for name in self.names}
        self.views = {name: list(self.names) for name in self.names}
        self.messages: list[Message] = []
        self.paused: set[str] = set()
        self.blocked_links: set[tuple[str, str]] = set()  # sender and receiver
        self.loss = 0.0
        self.delay = 2 * TICK
        self.runs: list[Run] = []

    def start(self, name: str) -> LeaseElection:
        instance = LeaseElection(name, PERIOD)
        instance.update_tasks(self.now, TASKS)
        return instance

    def run(self, duration: int) -> "LeaseCluster":
        end = self.now + duration
        while self.now < end:
            self.now += TICK
            self.deliver()
            for name, instance in self.instances.items():
                if name not in self.paused:
                    self.tick(name, instance)
        return self

    def deliver(self) -> None:
        due = [message for message in self.messages if message.arrives_at <= self.now]
        self.messages = [message for message in self.messages if message.arrives_at > self.now]
        for message in due:
            if message.to in self.paused:
                self.messages.append(message._replace(arrives_at=message.arrives_at + TICK))
            elif message.to in self.instances:
                receiver = self.instances[message.to]
                for announcement in message.announcements:
                    receiver.apply_announcement(self.now, self.with_network_delay(announcement))

    def with_network_delay(self, announcement: LeaseAnnouncement) -> LeaseAnnouncement:
        return LeaseAnnouncement(
            task=announcement.task,
            fencing_token=announcement.fencing_token,
            holder=announcement.holder,
            completed_runs=announcement.completed_runs,
            age_ms=announcement.age_ms + self.delay // MS,
            result=1,
        )

    def tick(self, name: str, instance: LeaseElection) -> None:
        instance.update_members(
            self.now, [Candidate(member, zone="") for member in self.views[name]], settled=True
        )
        for due in instance.tick(self.now):
            self.runs.append(Run(self.now, name, due.task, due.fencing_token))
            instance.complete(self.now, due, 1)
        for receiver in self.instances:
            if (name, receiver) not in self.blocked_links and self.random.random() >= self.loss:
                message = Message(self.now + self.delay, receiver, instance.announcements(self.now))
                self.messages.append(message)

    def run_times(self, task: str, since: int = 0) -> list[int]:
        return [run.at for run in self.runs if run.task == task and run.at >= since]

    def workers(self, task: str, since: int) -> set[str]:
        return {run.instance for run in self.runs if run.task == task and run.at >= since}

    def gaps(self, task: str, since: int) -> list[int]:
        """The times between successive runs, before the first one and after the last one."""
        times = self.run_times(task, since)
        return [end - start for start, end in zip([since, *times], [*times, self.now], strict=True)]

    def assert_tasks_are_done(self, since: int, max_gap: float = 2.0) -> None:
        """Check for each task: at most two runs in a period, no long gap, one instance per fencing token."""
        for task in TASKS:
            times = self.run_times(task, since)
            assert all(sum(at <= t < at + PERIOD for t in times) <= 2 for at in times), task
            assert all(gap <= max_gap * PERIOD for gap in self.gaps(task, since)), (task, times)
        if not self.blocked_links and not self.loss:
            self.assert_tokens_are_unique()

    def assert_tokens_are_unique(self) -> None:
        by_token: dict[tuple[str, int], set[str]] = {}
        for run in self.runs:
            by_token.setdefault((run.task, run.fencing_token), set()).add(run.instance)
        assert all(len(instances) == 1 for instances in by_token.values())
