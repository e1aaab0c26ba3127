"""Who holds the lease of each periodic task: every task is done about once a period by one member.

A completed run is announced with its fencing token, and the announcement renews the lease: a later token
overrides an earlier one. If the holder falls silent, the next candidate claims the lease under a new token
some time before the task is due, and works only if nobody has overridden the claim by then. A silent holder
is followed within one period. After a pause, and while the view is not settled, an instance does nothing: it
first hears what the others did meanwhile.
"""

from collections.abc import Iterable, Mapping

from dahliabend.leases.candidate_order import Candidate, rank_candidates
from dahliabend.leases.fencing import next_fencing_token
from dahliabend.leases.lease import MICROSECONDS_PER_MS, DueTask, Lease, LeaseAnnouncement

# Delays and times below are in periods.

# After the last run the task is due for the first candidate, the second, and so on. Between the run of one
# and the claim of the next there is time for an announcement to arrive, or the claim would override it.
RUN_DELAYS = (1.0, 1.5, 1.9, 2.3)
CLAIM_LEAD = 1 / 5  # how long before the task is due a lease is claimed
# How long another's claim is left alone. If all candidates are overdue at once, two would otherwise override
# each other for ever, and nobody would work.
CLAIM_TIMEOUT = 1 / 2
LISTEN_TIME = 3 / 10  # how long to hear the others after a pause: longer than an announcement travels
PAUSE_THRESHOLD = 1 / 4  # a tick that comes later than that follows a pause
MAX_TASKS = 4_096
NOT_A_CANDIDATE = -1


class LeaseElection:
    """Leases as one instance sees them. Times are microseconds.

    Attributes:
        own_name: Name of this instance among the members.
        period: Time in which each task is done once.
        task_zones: Zone of each task.
        leases: Lease of each task.
        members: All members, sorted.
        ranks: This instance's place among the candidates of a task, as far as computed.
        view_settled: Whether the members are known and this instance has heard from them.
        last_tick_at: Time of the last tick; 0 before the first.
        quiet_until: Nothing is claimed or done before.
        rejected: Announcements that were not valid.
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

    # Input.

    def update_members(self, now: int, members: Iterable[Candidate], settled: bool) -> None:
        """Take the last settled view of the fleet.

        Args:
            now: Microseconds.
            members: All members.
            settled: Whether the view holds; not before this instance has heard from anybody since it started
                or paused.
        """
        view = tuple(sorted(members))
        if view != self.members:
            self.members = view
            self.ranks.clear()
        if settled and not self.view_settled:
            self.enter_quiet_period(now)
        self.view_settled = settled

    def update_tasks(self, now: int, task_zones: Mapping[str, str]) -> None:
        """Take the names of all tasks, with the zone of each; others are forgotten."""
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
        """Take what another member announced; of a task that is unknown here nothing is kept.

        Returns:
            Whether it was news.
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
        """Give up all leases and do nothing for a while.

        While this instance was stopped another may have taken a lease, with the announcement still on its
        way or unread. It claims its leases anew, like any other candidate.
        """
        self.quiet_until = max(self.quiet_until, now + round(LISTEN_TIME * self.period))
        for lease in self.leases.values():
            if lease.holder == self.own_name:
                lease.release()

    # Output.

    def rank(self, task: str) -> int:
        """Return this instance's place among the candidates of a task.

        Returns:
            0 for the first candidate; `NOT_A_CANDIDATE` if this instance is not in the view.
        """
        if task not in self.ranks:
            names = rank_candidates(task, self.members, self.task_zones.get(task, ""))
            self.ranks[task] = names.index(self.own_name) if self.own_name in names else NOT_A_CANDIDATE
        return self.ranks[task]

    def tick(self, now: int) -> list[DueTask]:
        """Claim leases, and return the tasks to be done now; `complete` is to be called for each.

        Call it several times a period: a gap is taken for a pause of this instance.
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
                # A new claim has to be known to the others for a while before it is worked under.
                if self._may_claim(now, lease, due_at):
                    lease.claim(now, self.own_name, next_fencing_token(lease.fencing_token, self.own_name))
            elif self._may_run(now, lease, due_at):
                due_tasks.append(DueTask(task, lease.fencing_token))
        return due_tasks

    def complete(self, now: int, due: DueTask, result: int) -> bool:
        """Count a run of a due task.

        Args:
            now: Microseconds.
            due: The task, as `tick` returned it.
            result: What came of it, as the task defines it.

        Returns:
            Whether it counts; not if the lease has changed hands meanwhile.
        """
        lease = self.leases.get(due.task)
        if lease is None or lease.fencing_token != due.fencing_token or lease.holder != self.own_name:
            return False
        lease.run_completed(now, result)
        return True

    def announcements(self, now: int) -> list[LeaseAnnouncement]:
        """Return an announcement of each lease that this instance holds or claims, the last run first."""
        own = [(task, lease) for task, lease in self.leases.items() if lease.holder == self.own_name]
        own.sort(key=lambda item: (-item[1].last_run_at, item[0]))
        return [
            LeaseAnnouncement(
                task=task,
                fencing_token=lease.fencing_token,
                holder=lease.holder,
                completed_runs=lease.completed_runs,
                age_ms=max(0, now - lease.last_run_at) // MICROSECONDS_PER_MS,
                result=lease.result,
            )
            for task, lease in own
        ]

    def _may_claim(self, now: int, lease: Lease, due_at: int) -> bool:
        if now < due_at - self._claim_lead:
            return False
        is_claim = bool(lease.holder) and not lease.completed_runs
        return not is_claim or now - lease.heard_at >= CLAIM_TIMEOUT * self.period

    def _may_run(self, now: int, lease: Lease, due_at: int) -> bool:
        if now < due_at:
            return False
        return lease.completed_runs > 0 or now - lease.heard_at >= self._claim_lead / 2
