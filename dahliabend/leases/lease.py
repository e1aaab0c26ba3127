"""A lease on a periodic task, and the announcement by which its holder renews it."""

from dataclasses import dataclass

import msgspec

NO_HOLDER = ""
MICROSECONDS_PER_MS = 1_000
MAX_TASK_LENGTH = 160  # characters
MAX_HOLDER_LENGTH = 64  # characters
INTEGER_LIMIT = 1 << 53  # beyond it JSON readers lose digits


class LeaseAnnouncement(msgspec.Struct, array_like=True, frozen=True):
    """What the holder of a lease tells the others about it.

    Encoded as an array of the fields in this order; their names are not on the wire.

    Attributes:
        task: Name of the leased task.
        fencing_token: Number under which the holder works.
        holder: Name of the member that holds or claims the lease.
        completed_runs: Runs under this token so far; 0 for a claim.
        age_ms: Milliseconds since the last run, when this was sent.
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
    """One lease as this instance knows it. Times are microseconds of its own clock.

    Attributes:
        fencing_token: Number under which the holder works.
        holder: Name of the member that holds or claims the lease; empty if nobody does.
        completed_runs: Runs of the holder under this token; 0 while it only claims the lease.
        last_run_at: When the task was last done by any member, or when it became known here.
        result: Result of the last run, as the task defines it.
        heard_at: When the last change of holder, token or runs came to be known here.
    """

    fencing_token: int
    holder: str
    completed_runs: int
    last_run_at: int
    result: int = 0
    heard_at: int = 0

    def is_older_than(self, announcement: LeaseAnnouncement) -> bool:
        """Whether an announcement is news: a later token, or more runs of the same holder under this one.

        Of two holders of one token the one whose name sorts last counts, so that all come to the same one.
        """
        if announcement.fencing_token != self.fencing_token:
            return announcement.fencing_token > self.fencing_token
        if announcement.holder != self.holder:
            return announcement.holder > self.holder
        return announcement.completed_runs > self.completed_runs

    def apply(self, now: int, announcement: LeaseAnnouncement) -> None:
        """Take over what another member announced.

        Args:
            now: Microseconds.
            announcement: News by `is_older_than`. Clocks are not compared between instances, only ages; the
                time of the last run is never in the future and never goes back.
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
        """Make a member claim the lease under a new token; it has not worked under it yet."""
        self.fencing_token = fencing_token
        self.holder = holder
        self.completed_runs = 0
        self.heard_at = now

    def release(self) -> None:
        """Forget the holder."""
        self.holder = NO_HOLDER

    def run_completed(self, now: int, result: int) -> None:
        """Count one more run of the holder."""
        self.completed_runs += 1
        self.last_run_at = now
        self.result = result


@dataclass(frozen=True, slots=True)
class DueTask:
    """A task that the holder of its lease has to do now.

    Attributes:
        task: Name of the leased task.
        fencing_token: Number under which it is done.
    """

    task: str
    fencing_token: int
