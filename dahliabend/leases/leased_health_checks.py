"""Probing shared by turns: one instance probes an upstream, the others' decisions are told what came of it.

Free of I/O: `probe(duty, told)` has a duty's upstream probed, and `told(now, outcome)` called with what came
of it, later. Duties are named by whoever drives this.
"""

from collections.abc import Callable, Iterable, Mapping
from functools import partial

from dahliabend.leases.election import DueTask, LeaseAnnouncement, LeaseElection
from dahliabend.model import Outcome

MAX_WAIT_PERIODS = 2  # periods that a result is waited for: then this one probes itself
REPORTABLE_RESULTS = frozenset(
    int(outcome) for outcome in Outcome if outcome not in (Outcome.CANCELLED, Outcome.NOT_SENT)
)
ResultCallback = Callable[[int, Outcome], None]


class LeasedHealthChecks:
    def __init__(
        self, me: str, period: int, probe: Callable[[str, ResultCallback], None], log: Callable
    ) -> None:
        self.election, self.run_check, self.log = LeaseElection(me, period), probe, log
        self.pending: dict[str, tuple[int, ResultCallback]] = {}  # since when, and who is told
        self.bad: dict[str, str] = {}  # whose word it was by which an upstream stayed out last
        self.held_tokens: dict[str, int] = {}  # by duty, the number under which this one does it
        self.checks_run = 0

    def request_check(self, now: int, task: str, on_result: ResultCallback) -> bool:
        """The decisions want one probed. False: nobody shares it, and it is theirs to do."""
        if task not in self.election.leases or len(self.election.members) < 2:
            return False
        self.pending.setdefault(task, (now, on_result))
        return True

    def tick(
        self, now: int, members: Iterable[tuple[str, str]], settled: bool, tasks: Mapping[str, str]
    ) -> None:
        """`duties`: all that there are, with their zones; the rest as `Duties.follow` has it."""
        self.election.update_members(now, members, settled)
        self.election.update_tasks(now, tasks)
        for due in self.election.tick(now):
            self.check(due.task, partial(self.check_finished, due))
            if self.held_tokens.get(due.task) != due.fencing_token:
                self.held_tokens[due.task] = due.fencing_token
                self.log("duty", duty=due.task, fence=due.fencing_token, place=self.election.rank(due.task))
        self.deliver_results(now)
        for kept in (self.pending, self.bad, self.held_tokens):
            for task in [task for task in kept if task not in self.election.leases]:
                del kept[task]

    def check(self, task: str, on_result: ResultCallback) -> None:
        self.checks_run += 1
        self.run_check(task, on_result)

    def check_finished(self, due: DueTask, now: int, outcome: Outcome) -> None:
        self.election.complete(now, due, int(outcome))
        self.deliver_results(now)

    def apply_announcement(self, now: int, done: LeaseAnnouncement) -> None:
        if done.completed_runs and done.result not in REPORTABLE_RESULTS:
            self.election.rejected += 1
        else:
            self.election.apply_announcement(now, done)

    def deliver_results(self, now: int) -> None:
        """Tells the decisions what has come since they asked. One instance's word that an upstream is gone
        holds for one time: after that each looks itself, lest a broken one keep out what serves."""
        for task, (since, on_result) in list(self.pending.items()):
            known = self.election.leases.get(task)
            if known is None:
                del self.pending[task]
            elif known.completed_runs and known.last_run_at >= since:
                del self.pending[task]
                outcome, before = Outcome(known.result), self.bad.pop(task, None)
                failed = outcome is not Outcome.SUCCEEDED and known.holder != self.election.own_name
                if failed and before == known.holder:
                    self.check(task, on_result)
                    continue
                if failed:
                    self.bad[task] = known.holder
                on_result(now, outcome)
            elif now - since > MAX_WAIT_PERIODS * self.election.period:
                del self.pending[task]
                self.check(task, on_result)
