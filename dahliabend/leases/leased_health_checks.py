"""Health checks done by one instance for all: the results are announced with the leases.

Free of I/O: the driver starts a check when asked to, and reports its outcome later. It also names the tasks.
"""

from collections.abc import Callable, Iterable, Mapping
from functools import partial
from typing import NamedTuple

from dahliabend.leases.candidate_order import Candidate
from dahliabend.leases.election import LeaseElection
from dahliabend.leases.lease import DueTask, LeaseAnnouncement
from dahliabend.model import Outcome

MAX_WAIT_PERIODS = 2  # how long to wait for another's result before this instance checks itself
MIN_MEMBERS = 2  # with fewer there is nobody to share checks with
REPORTABLE_RESULTS = frozenset(
    int(outcome) for outcome in Outcome if outcome not in (Outcome.CANCELLED, Outcome.NOT_SENT)
)

ResultCallback = Callable[[int, Outcome], None]  # time in microseconds, and how the check ended
StartCheck = Callable[[str, ResultCallback], None]  # task, and whom to call with its result


class PendingRequest(NamedTuple):
    """A health check that the policy waits for."""

    requested_at: int  # microseconds
    on_result: ResultCallback


class LeasedHealthChecks:
    """Health checks of one instance, shared with the others by leases. Times are microseconds.

    Attributes:
        election: Leases of the tasks.
        pending: Checks by task that the policy waits for.
        last_failure_reporter: By task, the member whose failed check was last delivered to the policy.
        last_tokens: By task, the fencing token under which this instance last worked.
        checks_run: Checks started by this instance.
        log: Writes a structured event.
    """

    def __init__(self, own_name: str, period: int, run_check: StartCheck, log: Callable[..., None]) -> None:
        """Create the checks of one instance.

        Args:
            own_name: Name of this instance among the members.
            period: Time in which each task is done once, in microseconds.
            run_check: Starts the check of a task.
            log: Writes a structured event.
        """
        self.election = LeaseElection(own_name, period)
        self.pending: dict[str, PendingRequest] = {}
        self.last_failure_reporter: dict[str, str] = {}
        self.last_tokens: dict[str, int] = {}
        self.checks_run = 0
        self._run_check = run_check
        self.log = log

    def request_check(self, now: int, task: str, on_result: ResultCallback) -> bool:
        """Ask for the next result of a task.

        Returns:
            False if the check is not shared with anybody: the caller has to check by itself.
        """
        if task not in self.election.leases or len(self.election.members) < MIN_MEMBERS:
            return False
        self.pending.setdefault(task, PendingRequest(now, on_result))
        return True

    def tick(
        self, now: int, members: Iterable[Candidate], settled: bool, task_zones: Mapping[str, str]
    ) -> None:
        """Start the checks that are due here and deliver the results that have come.

        Args:
            now: Microseconds.
            members: All members.
            settled: Whether the view holds, as for `LeaseElection.update_members`.
            task_zones: All tasks, with the zone of each.
        """
        self.election.update_members(now, members, settled)
        self.election.update_tasks(now, task_zones)
        for due in self.election.tick(now):
            self._start_check(due.task, partial(self._check_finished, due))
            if self.last_tokens.get(due.task) != due.fencing_token:
                self.last_tokens[due.task] = due.fencing_token
                self.log("duty", duty=due.task, fence=due.fencing_token, place=self.election.rank(due.task))
        self.deliver_results(now)
        self._forget_removed_tasks()

    def apply_announcement(self, now: int, announcement: LeaseAnnouncement) -> None:
        """Take what another member announced; a result that no health check has is rejected."""
        if announcement.completed_runs and announcement.result not in REPORTABLE_RESULTS:
            self.election.rejected += 1
        else:
            self.election.apply_announcement(now, announcement)

    def deliver_results(self, now: int) -> None:
        """Answer the pending requests whose result has come since they were made.

        Without a result for too long this instance checks by itself.
        """
        for task, request in list(self.pending.items()):
            lease = self.election.leases.get(task)
            if lease is None:
                del self.pending[task]
            elif lease.completed_runs and lease.last_run_at >= request.requested_at:
                del self.pending[task]
                self._deliver(now, task, request.on_result, Outcome(lease.result), lease.holder)
            elif now - request.requested_at > MAX_WAIT_PERIODS * self.election.period:
                del self.pending[task]
                self._start_check(task, request.on_result)

    def _deliver(
        self, now: int, task: str, on_result: ResultCallback, outcome: Outcome, reporter: str
    ) -> None:
        """Answer a request; but a second failure in a row from the same member is checked here.

        A member that cannot reach an upstream would otherwise keep it out of use everywhere.
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
        by_task: tuple[dict[str, PendingRequest] | dict[str, str] | dict[str, int], ...] = (
            self.pending,
            self.last_failure_reporter,
            self.last_tokens,
        )
        for entries in by_task:
            for task in [task for task in entries if task not in self.election.leases]:
                del entries[task]
