"""All interleavings of three machines to a depth, and three planted defects that it finds."""

import pytest

from dahliabend.membership.messages import MemberStatus
from dahliabend.membership.protocol import MembershipProtocol
from dahliabend.membership.swim_config import SwimConfig
from dahliabend.simulation.cluster.membership_search import (
    find_unsafe_change,
    find_unsettled,
    initial_state,
    search,
)

QUICK = SwimConfig(indirect_probes=1, sync_interval=5, suspicion_multiplier=1.0, max_suspicion_factor=1.0)
DEPTH = 6


class Hearsay(MembershipProtocol):
    """Declares dead whom another has declared dead."""

    def apply_update(self, now, update):
        member = self.members.get(update.name)
        if member is not None and update.status is MemberStatus.DEAD:
            self.declare_dead(now, member)
            return
        super().apply_update(now, update)


class IgnoresPauses(MembershipProtocol):
    """Goes on after a pause as if nothing had been, and declares dead without another look."""

    def recover_from_pause(self, now): ...

    def timer_fired(self, now):
        for name in self.suspects:
            self.members[name].expired_once = True
        super().timer_fired(now)


class AcceptsOldUpdates(MembershipProtocol):
    """Takes over what is older than what it knows."""

    def apply_update(self, now, update):
        member = self.members.get(update.name)
        if member is not None and update.incarnation < member.update.incarnation:
            self.store_update(now, update, "")
            return
        super().apply_update(now, update)


@pytest.mark.parametrize("suspected", [False, True])
def test_no_order_of_events_violates_an_invariant(suspected):
    result = search(initial_state(QUICK, is_suspected=suspected), DEPTH, find_unsafe_change, settle_every=40)
    assert not result.violation
    assert result.deepest == DEPTH
    assert result.states > 500
    assert all(result.moves[kind] for kind in ("comes", "lost", "wakes", "stopped"))


@pytest.mark.parametrize(
    ("defect", "expected"),
    [
        (Hearsay, "which it had not suspected"),
        (IgnoresPauses, "as it woke"),
        (AcceptsOldUpdates, "went back"),
    ],
)
def test_each_planted_defect_is_found_with_a_shortest_trace(defect, expected):
    result = search(initial_state(QUICK, make=defect, is_suspected=True, losses=0), 12, find_unsafe_change)
    assert expected in result.violation
    assert 0 < len(result.trace) <= 12
    correct = search(
        initial_state(QUICK, is_suspected=True), min(DEPTH, len(result.trace)), find_unsafe_change
    )
    assert not correct.violation


def test_a_cluster_left_alone_settles():
    assert find_unsettled(initial_state(QUICK, is_suspected=True)) == ""
