"""A lease of a periodic task, and the announcement by which its holder renews it."""

from dataclasses import dataclass

import msgspec

NO_HOLDER = ""
MICROSECONDS_PER_MS = 1_000
MAX_TASK_LENGTH = 160  # characters
MAX_HOLDER_LENGTH = 64  # characters
INTEGER_LIMIT = 1 << 53  # JSON readers that use floating point lose digits from here on


class LeaseAnnouncement(msgspec.Struct, array_like=True, frozen=True):
    """The state of a lease as its holder announces it to the other members.

    Encoded as an array of the fields in this order; their names are not on the wire.

    Attributes:
        task: Name of the leased task.
        fencing_token: Fencing token of the holder.
        holder: Name of the member that holds or claims the lease.
        completed_runs: Number of runs under this token so far; 0 for a claim.
        age_ms: Milliseconds from the last run until the announcement was sent.
        result: Result of the last run, as the task defines it.
    """

    task: str
    fencing_token: int
    holder: str
    completed_runs: int
    age_ms: int
    result: int = 0

    @property
    def is_valid(self) -> bool:
        """Whether all fields are within their bounds."""
        return (
            min(self.fencing_token, self.completed_runs, self.age_ms) >= 0
            and max(self.fencing_token, self.completed_runs, self.age_ms, abs(self.result)) < INTEGER_LIMIT
            and 0 < len(self.task) <= MAX_TASK_LENGTH
            and 0 < len(self.holder) <= MAX_HOLDER_LENGTH
        )


@dataclass(slots=True)
class Lease:
    """One lease as this balancer knows it. Times are in microseconds of this balancer's clock.

    Attributes:
        fencing_token: Fencing token of the holder.
        holder: Name of the member that holds or claims the lease; empty if no member does.
        completed_runs: Number of runs by the holder under this token; 0 while it only claims the lease.
        last_run_at: Time of the last run by any member; before the first, the time at which this balancer
            learned of the task.
        result: Result of the last run, as the task defines it.
        heard_at: Time at which this balancer received the last claim or announcement, or claimed the lease.
    """

    fencing_token: int
    holder: str
    completed_runs: int
    last_run_at: int
    result: int = 0
    heard_at: int = 0

    def is_older_than(self, announcement: LeaseAnnouncement) -> bool:
        """Whether an announcement is news: a higher token, or more runs of the same holder and token.

        Of two holders with the same token the one whose name sorts last wins, so that all balancers agree.
        """
        if announcement.fencing_token != self.fencing_token:
            return announcement.fencing_token > self.fencing_token
        if announcement.holder != self.holder:
            return announcement.holder > self.holder
        return announcement.completed_runs > self.completed_runs

    def apply(self, now: int, announcement: LeaseAnnouncement) -> None:
        """Apply an announcement of another member.

        Only ages are compared between balancers, never clocks. The time of the last run is never in the
        future and never goes back.

        Args:
            now: Current time in microseconds.
            announcement: An announcement for which `is_older_than` is true.
        """
        self.fencing_token = announcement.fencing_token
        self.holder = announcement.holder
        self.completed_runs = announcement.completed_runs
        self.heard_at = now
        if announcement.completed_runs:
            run_at = now - announcement.age_ms * MICROSECONDS_PER_MS
            self.last_run_at = max(self.last_run_at, run_at)
            self.result = announcement.result

    def claim(self, now: int, holder: str, fencing_token: int) -> None:
        """Record that a member claims the lease with a new token, under which it has completed no run yet."""
        self.fencing_token = fencing_token
        self.holder = holder
        self.completed_runs = 0
        self.heard_at = now

    def release(self) -> None:
        """Remove the holder."""
        self.holder = NO_HOLDER

    def record_run(self, now: int, result: int) -> None:
        """Record a completed run of the holder."""
        self.completed_runs += 1
        self.last_run_at = now
        self.result = result


@dataclass(frozen=True, slots=True)
class DueTask:
    """A task that the holder of its lease has to run now.

    Attributes:
        task: Name of the leased task.
        fencing_token: Fencing token under which the task is run.
    """

    task: str
    fencing_token: int
