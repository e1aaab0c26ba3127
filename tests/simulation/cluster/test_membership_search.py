"""Search over the membership protocol: the invariants hold, and three planted defects are found."""

import pytest

from dahliabend.membership.messages import MemberStatus
from dahliabend.membership.protocol import MembershipProtocol
from dahliabend.membership.swim_config import SwimConfig
from dahliabend.simulation.cluster.membership_search import (
    find_liveness_violation,
    find_safety_violation,
    initial_state,
    search,
)

QUICK = SwimConfig(indirect_probes=1, sync_interval=5, suspicion_multiplier=1.0, max_suspicion_factor=1.0)
DEPTH = 6


class DeclaresDeadByHearsay(MembershipProtocol):
    """Declares a member dead because another member declared it dead, without a suspicion."""

    def apply_update(self, now, update):
        member = self.members.get(update.name)
        if member is not None and update.status is MemberStatus.DEAD:
            self.declare_dead(now, member)
            return
        super().apply_update(now, update)


class IgnoresPauses(MembershipProtocol):
    """Ignores that it was stopped, and declares suspects dead without probing them again."""

    def recover_from_pause(self, now): ...

    def timer_fired(self, now):
        for name in self.suspects:
            self.members[name].expired_once = True
        super().timer_fired(now)


class AcceptsOldUpdates(MembershipProtocol):
    """Applies updates with an older incarnation than the known one."""

    def apply_update(self, now, update):
        member = self.members.get(update.name)
        if member is not None and update.incarnation < member.update.incarnation:
            self.store_update(now, update, "")
            return
        super().apply_update(now, update)


@pytest.mark.parametrize("suspected", [False, True])
def test_no_interleaving_violates_an_invariant(suspected):
    result = search(
        initial_state(QUICK, is_suspected=suspected), DEPTH, find_safety_violation, settle_check_interval=40
    )
    assert not result.violation
    assert result.deepest == DEPTH
    assert result.states > 500
    assert all(result.moves[move] for move in ("delivered", "lost", "fires", "stopped"))


@pytest.mark.parametrize(
    ("defect", "expected"),
    [
        (DeclaresDeadByHearsay, "dead without a suspicion"),
        (IgnoresPauses, "dead as it resumed"),
        (AcceptsOldUpdates, "decreased"),
    ],
)
def test_planted_defect_is_found_with_a_shortest_trace(defect, expected):
    result = search(
        initial_state(QUICK, protocol_factory=defect, is_suspected=True, losses=0), 12, find_safety_violation
    )
    assert expected in result.violation
    assert 0 < len(result.trace) <= 12
    correct = search(
        initial_state(QUICK, is_suspected=True), min(DEPTH, len(result.trace)), find_safety_violation
    )
    assert not correct.violation


def test_cluster_without_further_faults_settles():
    assert find_liveness_violation(initial_state(QUICK, is_suspected=True)) == ""
