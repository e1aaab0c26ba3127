"""Search over the lease election: the invariants hold, and two planted defects are found."""

import pytest

from dahliabend.leases.election import LeaseElection
from dahliabend.leases.lease import MICROSECONDS_PER_MS as MS
from dahliabend.leases.lease import DueTask
from dahliabend.simulation.cluster.lease_search import search


@pytest.mark.parametrize(
    ("depth", "losses", "stops", "cuts", "min_states"),
    [
        (24, 0, 0, 0, 200),
        (20, 0, 1, 0, 5_000),
        (14, 1, 1, 0, 5_000),
        (24, 0, 0, 1, 1_000),
        (18, 1, 0, 1, 1_500),
    ],
)
def test_no_interleaving_has_two_holders_of_a_token_or_three_runs_in_a_period(
    depth, losses, stops, cuts, min_states
):
    result = search(depth, losses, stops, cuts)
    assert result.violation == ""
    assert result.deepest == depth
    assert result.states >= min_states


class LastAnnouncementWins(LeaseElection):
    """Applies each announcement it receives, whatever its fencing token."""

    def apply_announcement(self, now, announcement):
        lease = self.leases[announcement.task]
        if announcement.holder != self.own_name:
            lease.fencing_token, lease.holder, lease.completed_runs, lease.heard_at = (
                announcement.fencing_token,
                announcement.holder,
                announcement.completed_runs,
                now,
            )
            lease.last_run_at = (
                max(lease.last_run_at, now - announcement.age_ms * MS)
                if announcement.completed_runs
                else lease.last_run_at
            )
        return True


class RunsAtClaim(LeaseElection):
    """Runs the task at the moment of claiming the lease, without waiting for other claims."""

    def tick(self, now):
        due = super().tick(now)
        claimed = [
            task
            for task, lease in self.leases.items()
            if lease.holder == self.own_name and not lease.completed_runs and lease.heard_at == now
        ]
        return [*due, *(DueTask(task, self.leases[task].fencing_token) for task in claimed)]


@pytest.mark.parametrize(
    ("defect", "expected"),
    [(LastAnnouncementWins, "a fencing token decreased"), (RunsAtClaim, "three runs within a period")],
)
def test_planted_defect_is_found_with_a_trace(defect, expected):
    result = search(18, stops=1, election_factory=defect)
    assert result.violation.startswith(expected)
    assert 0 < len(result.trace) <= 18
