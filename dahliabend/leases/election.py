"""Election of the lease holder of each periodic task: one member runs the task about once per period.

The holder announces each completed run with its fencing token, which renews the lease; a higher token
overrides a lower one. If the holder's announcements stop, the next candidate claims the lease with a new
token some time before the task is due, and runs the task only if no other member has overridden the claim by
then. A holder that has stopped is replaced within one period. After a pause, and while its member table is
not settled, a balancer claims and runs nothing, so that it first receives what the others have announced.
"""

from collections.abc import Iterable, Mapping

from dahliabend.leases.candidate_order import Candidate, rank_candidates
from dahliabend.leases.fencing import next_fencing_token
from dahliabend.leases.lease import MICROSECONDS_PER_MS, DueTask, Lease, LeaseAnnouncement

# The delays and times below are in task periods.

# Delay from the last run until the task is due for the first candidate, the second, and so on. Between the
# run of one candidate and the claim of the next an announcement has time to arrive; otherwise the claim would
# override the run.
RUN_DELAYS = (1.0, 1.5, 1.9, 2.3)
CLAIM_LEAD = 1 / 5  # time from the claim of a lease until the task is due
# Time for which another member's claim is not overridden. Without it, if the task were overdue for all
# candidates, two of them would override each other forever and neither would run the task.
CLAIM_TIMEOUT = 1 / 2
QUIET_TIME = 3 / 10  # after a pause; longer than the delay of an announcement
PAUSE_THRESHOLD = 1 / 4  # a longer gap between two ticks counts as a pause of this balancer
MAX_TASKS = 4_096
NOT_A_CANDIDATE = -1


class LeaseElection:
    """The leases as one balancer sees them. Times are in microseconds.

    Attributes:
        own_name: Name of this balancer among the members.
        period: Time in which each task is run once.
        task_zones: Zone of each task.
        leases: Lease of each task.
        members: All members, sorted.
        ranks: Cache of this balancer's rank among the candidates of each task.
        view_settled: Whether the members are known and the member table of this balancer is settled.
        last_tick_at: Time of the last tick; 0 before the first one.
        quiet_until: Time before which this balancer claims no lease and runs no task.
        rejected: Number of invalid announcements received.
    """

    def __init__(self, own_name: str, period: int) -> None:
        self.own_name = own_name
        self.period = period
        self.task_zones: dict[str, str] = {}
        self.leases: dict[str, Lease] = {}
        self.members: tuple[Candidate, ...] = ()
        self.ranks: dict[str, int] = {}
        self.view_settled = False
        self.last_tick_at = 0
        self.quiet_until = 0
        self.rejected = 0
        self._run_delays = tuple(round(delay * period) for delay in RUN_DELAYS)
        self._claim_lead = CLAIM_LEAD * period

    # Input

    def update_members(self, now: int, members: Iterable[Candidate], settled: bool) -> None:
        """Set the members from the last stable view.

        Args:
            now: Current time in microseconds.
            members: All members.
            settled: Whether the members are known and the member table of this balancer is settled: up to
                date since the balancer started or was paused.
        """
        view = tuple(sorted(members))
        if view != self.members:
            self.members = view
            self.ranks.clear()
        if settled and not self.view_settled:
            self.enter_quiet_period(now)
        self.view_settled = settled

    def update_tasks(self, now: int, task_zones: Mapping[str, str]) -> None:
        """Set the tasks, each with its zone; leases of other tasks are removed."""
        if task_zones == self.task_zones:
            return
        self.task_zones = dict(task_zones)
        self.ranks.clear()
        for task in [task for task in self.leases if task not in task_zones]:
            del self.leases[task]
        for task in task_zones:
            if task not in self.leases and len(self.leases) < MAX_TASKS:
                self.leases[task] = Lease(fencing_token=0, holder="", completed_runs=0, last_run_at=now)

    def apply_announcement(self, now: int, announcement: LeaseAnnouncement) -> bool:
        """Apply the announcement of another member; ignored if the task is unknown to this balancer.

        Returns:
            Whether the announcement changed the lease.
        """
        if not announcement.is_valid:
            self.rejected += 1
            return False
        lease = self.leases.get(announcement.task)
        if lease is None or announcement.holder == self.own_name:
            return False
        if not lease.is_older_than(announcement):
            return False
        lease.apply(now, announcement)
        return True

    def enter_quiet_period(self, now: int) -> None:
        """Release this balancer's leases, and neither claim leases nor run tasks for `QUIET_TIME`.

        While this balancer was paused another one may have taken a lease, and its announcement may not have
        been read yet. This balancer then has to claim the leases again, like any other candidate.
        """
        self.quiet_until = max(self.quiet_until, now + round(QUIET_TIME * self.period))
        for lease in self.leases.values():
            if lease.holder == self.own_name:
                lease.release()

    # Output

    def rank(self, task: str) -> int:
        """Return this balancer's rank among the candidates of a task.

        Returns:
            0 for the first candidate; `NOT_A_CANDIDATE` if this balancer is not in the view.
        """
        if task not in self.ranks:
            names = rank_candidates(task, self.members, self.task_zones.get(task, ""))
            self.ranks[task] = names.index(self.own_name) if self.own_name in names else NOT_A_CANDIDATE
        return self.ranks[task]

    def tick(self, now: int) -> list[DueTask]:
        """Claim leases and return the tasks to run now; the caller calls `complete` after each run.

        To be called several times per period: a gap of more than `PAUSE_THRESHOLD` counts as a pause of this
        balancer.
        """
        if self.last_tick_at and now - self.last_tick_at > PAUSE_THRESHOLD * self.period:
            self.enter_quiet_period(now)
        self.last_tick_at = now
        if not self.view_settled or now < self.quiet_until:
            return []
        due_tasks = []
        for task, lease in self.leases.items():
            rank = self.rank(task)
            if rank == NOT_A_CANDIDATE:
                continue
            due_at = lease.last_run_at + self._run_delays[min(rank, len(self._run_delays) - 1)]
            if lease.holder != self.own_name:
                # The task is run only by a later tick, once the claim has had time to reach the others.
                if self._can_claim(now, lease, due_at):
                    lease.claim(now, self.own_name, next_fencing_token(lease.fencing_token, self.own_name))
            elif self._can_run(now, lease, due_at):
                due_tasks.append(DueTask(task, lease.fencing_token))
        return due_tasks

    def complete(self, now: int, due: DueTask, result: int) -> bool:
        """Record a completed run of a due task.

        Args:
            now: Current time in microseconds.
            due: The task, as `tick` returned it.
            result: Result of the run, as the task defines it.

        Returns:
            Whether the run counts; it does not if the lease has changed its holder meanwhile.
        """
        lease = self.leases.get(due.task)
        if lease is None or lease.fencing_token != due.fencing_token or lease.holder != self.own_name:
            return False
        lease.record_run(now, result)
        return True

    def announcements(self, now: int) -> list[LeaseAnnouncement]:
        """Return an announcement of each lease that this balancer holds or claims, the latest run first."""
        own_leases = [(task, lease) for task, lease in self.leases.items() if lease.holder == self.own_name]
        own_leases.sort(key=lambda item: (-item[1].last_run_at, item[0]))
        return [
            LeaseAnnouncement(
                task=task,
                fencing_token=lease.fencing_token,
                holder=lease.holder,
                completed_runs=lease.completed_runs,
                age_ms=max(0, now - lease.last_run_at) // MICROSECONDS_PER_MS,
                result=lease.result,
            )
            for task, lease in own_leases
        ]

    def _can_claim(self, now: int, lease: Lease, due_at: int) -> bool:
        if now < due_at - self._claim_lead:
            return False
        is_claim = bool(lease.holder) and not lease.completed_runs
        return not is_claim or now - lease.heard_at >= CLAIM_TIMEOUT * self.period

    def _can_run(self, now: int, lease: Lease, due_at: int) -> bool:
        if now < due_at:
            return False
        return lease.completed_runs > 0 or now - lease.heard_at >= self._claim_lead / 2
