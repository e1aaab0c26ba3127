"""Health checks that one balancer performs for all; the results are announced with the leases.

The module does no I/O: its owner starts each check, reports the outcome later, and chooses the task names.
"""

from collections.abc import Callable, Iterable, Mapping
from functools import partial
from typing import NamedTuple

from dahliabend.leases.candidate_order import Candidate
from dahliabend.leases.election import LeaseElection
from dahliabend.leases.lease import DueTask, LeaseAnnouncement
from dahliabend.model import Outcome

MAX_WAIT_PERIODS = 2  # time to wait for another balancer's result before this balancer runs the check itself
MIN_MEMBERS = 2  # with fewer members there is no other balancer to share checks with
REPORTABLE_RESULTS = frozenset(
    int(outcome) for outcome in Outcome if outcome not in (Outcome.CANCELLED, Outcome.NOT_SENT)
)

ResultCallback = Callable[[int, Outcome], None]  # time in microseconds, outcome of the check
StartCheck = Callable[[str, ResultCallback], None]  # name of the task, callback for its result


class PendingCheck(NamedTuple):
    """A health check whose result the balancing policy of the pool waits for."""

    requested_at: int  # microseconds
    on_result: ResultCallback


class LeasedHealthChecks:
    """Health checks that one balancer shares with the others by leases. Times are in microseconds.

    Attributes:
        election: The leases of the tasks.
        pending: Checks whose results the balancing policies of the pools wait for, by task.
        last_failure_reporter: By task, the member whose failed check was last delivered to the policy.
        last_tokens: Fencing token under which this balancer last ran the check, by task.
        checks_run: Number of checks started by this balancer.
        log: Writes a structured event.
    """

    def __init__(self, own_name: str, period: int, run_check: StartCheck, log: Callable[..., None]) -> None:
        """Create the checks of one balancer.

        Args:
            own_name: Name of this balancer among the members.
            period: Time in which each task is run once, in microseconds.
            run_check: Starts the health check of a task.
            log: Writes a structured event.
        """
        self.election = LeaseElection(own_name, period)
        self.pending: dict[str, PendingCheck] = {}
        self.last_failure_reporter: dict[str, str] = {}
        self.last_tokens: dict[str, int] = {}
        self.checks_run = 0
        self._run_check = run_check
        self.log = log

    def request_check(self, now: int, task: str, on_result: ResultCallback) -> bool:
        """Request the next result of a task.

        Returns:
            False if the check is not shared with another balancer; the caller then has to run it itself.
        """
        if task not in self.election.leases or len(self.election.members) < MIN_MEMBERS:
            return False
        self.pending.setdefault(task, PendingCheck(now, on_result))
        return True

    def tick(
        self, now: int, members: Iterable[Candidate], settled: bool, task_zones: Mapping[str, str]
    ) -> None:
        """Start the checks that are due at this balancer, and deliver the results that have arrived.

        Args:
            now: Current time in microseconds.
            members: All members.
            settled: Whether the members are known and the member table is settled, as for
                `LeaseElection.update_members`.
            task_zones: All tasks, each with its zone.
        """
        self.election.update_members(now, members, settled)
        self.election.update_tasks(now, task_zones)
        for due in self.election.tick(now):
            self._start_check(due.task, partial(self._check_finished, due))
            if self.last_tokens.get(due.task) != due.fencing_token:
                self.last_tokens[due.task] = due.fencing_token
                rank = self.election.rank(due.task)
                self.log("lease.acquired", task=due.task, fencing_token=due.fencing_token, rank=rank)
        self.deliver_results(now)
        self._forget_removed_tasks()

    def apply_announcement(self, now: int, announcement: LeaseAnnouncement) -> None:
        """Apply an announcement of another member; a result that no health check can have is rejected."""
        if announcement.completed_runs and announcement.result not in REPORTABLE_RESULTS:
            self.election.rejected += 1
        else:
            self.election.apply_announcement(now, announcement)

    def deliver_results(self, now: int) -> None:
        """Deliver results to the pending checks whose tasks have been run since they were requested.

        A check that has been pending for longer than `MAX_WAIT_PERIODS` is run by this balancer.
        """
        for task, check in list(self.pending.items()):
            lease = self.election.leases.get(task)
            if lease is None:
                del self.pending[task]
            elif lease.completed_runs and lease.last_run_at >= check.requested_at:
                del self.pending[task]
                self._deliver(now, task, check.on_result, Outcome(lease.result), lease.holder)
            elif now - check.requested_at > MAX_WAIT_PERIODS * self.election.period:
                del self.pending[task]
                self._start_check(task, check.on_result)

    def _deliver(
        self, now: int, task: str, on_result: ResultCallback, outcome: Outcome, reporter: str
    ) -> None:
        """Deliver a result, but repeat the check here at the second failure in a row from the same member.

        Otherwise a member that cannot reach an upstream would keep it out of use for all balancers.
        """
        previous_reporter = self.last_failure_reporter.pop(task, None)
        if outcome is not Outcome.SUCCEEDED and reporter != self.election.own_name:
            if reporter == previous_reporter:
                self._start_check(task, on_result)
                return
            self.last_failure_reporter[task] = reporter
        on_result(now, outcome)

    def _start_check(self, task: str, on_result: ResultCallback) -> None:
        self.checks_run += 1
        self._run_check(task, on_result)

    def _check_finished(self, due: DueTask, now: int, outcome: Outcome) -> None:
        self.election.complete(now, due, int(outcome))
        self.deliver_results(now)

    def _forget_removed_tasks(self) -> None:
        by_task: tuple[dict[str, PendingCheck] | dict[str, str] | dict[str, int], ...] = (
            self.pending,
            self.last_failure_reporter,
            self.last_tokens,
        )
        for entries in by_task:
            for task in [task for task in entries if task not in self.election.leases]:
                del entries[task]
