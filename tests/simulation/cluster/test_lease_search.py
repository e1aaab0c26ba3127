"""All interleavings of three instances and one duty; two planted defects are result."""

import pytest

from dahliabend.leases.election import LeaseElection
from dahliabend.leases.lease import MICROSECONDS_PER_MS as MS
from dahliabend.leases.lease import DueTask
from dahliabend.simulation.cluster.lease_search import search


@pytest.mark.parametrize(
    ("depth", "losses", "stops", "cuts", "least"),
    [
        (24, 0, 0, 0, 200),
        (20, 0, 1, 0, 5_000),
        (14, 1, 1, 0, 5_000),
        (24, 0, 0, 1, 1_000),
        (18, 1, 0, 1, 1_500),
    ],
)
def test_no_interleaving_has_two_holders_of_one_token_or_three_runs_in_a_period(
    depth, losses, stops, cuts, least
):
    result = search(depth, losses, stops, cuts)
    assert result.violation == ""
    assert result.depth == depth
    assert result.states >= least


class NewestWins(LeaseElection):
    """Takes the newest announcement for the right one."""

    def apply_announcement(self, now, done):
        known = self.leases[done.task]
        if done.holder != self.own_name:
            known.fencing_token, known.holder, known.completed_runs, known.heard_at = (
                done.fencing_token,
                done.holder,
                done.completed_runs,
                now,
            )
            known.last_run_at = (
                max(known.last_run_at, now - done.age_ms * MS) if done.completed_runs else known.last_run_at
            )
        return True


class RunsAtClaim(LeaseElection):
    """Runs the task in the moment in which it claims the lease."""

    def tick(self, now):
        made = super().tick(now)
        claimed = [
            task
            for task, known in self.leases.items()
            if known.holder == self.own_name and not known.completed_runs and known.heard_at == now
        ]
        return [*made, *(DueTask(task, self.leases[task].fencing_token) for task in claimed)]


@pytest.mark.parametrize(
    ("defect", "expected"), [(NewestWins, "a number went back"), (RunsAtClaim, "three times")]
)
def test_planted_defects_are_found_with_a_trace(defect, expected):
    result = search(18, stops=1, make=defect)
    assert result.violation.startswith(expected)
    assert 0 < len(result.trace) <= 18
