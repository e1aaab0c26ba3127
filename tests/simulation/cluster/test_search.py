"""All interleavings of three machines to a depth, and three planted defects that it finds."""

import pytest

from dahliabend.membership.messages import MemberStatus
from dahliabend.membership.protocol import MembershipProtocol
from dahliabend.membership.swim_config import SwimConfig
from dahliabend.simulation.cluster.search import agreed, begin, search, sound

QUICK = SwimConfig(indirect_probes=1, sync_interval=5, suspicion_multiplier=1.0, max_suspicion_factor=1.0)
DEPTH = 6


class Hearsay(MembershipProtocol):
    """Buries whom another has buried."""

    def apply_update(self, now, update):
        member = self.members.get(update.name)
        if member is not None and update.status is MemberStatus.DEAD:
            return self.declare_dead(now, member)
        super().apply_update(now, update)


class Unmoved(MembershipProtocol):
    """Goes on after a pause as if nothing had been, and buries without another look."""

    def recover_from_pause(self, now): ...

    def timer_fired(self, now):
        for name in self.suspects:
            self.members[name].expired_once = True
        super().timer_fired(now)


class Backwards(MembershipProtocol):
    """Takes over what is older than what it knows."""

    def apply_update(self, now, update):
        member = self.members.get(update.name)
        if member is not None and update.incarnation < member.update.incarnation:
            return self.store_update(now, update, "")
        super().apply_update(now, update)


@pytest.mark.parametrize("suspected", [False, True])
def test_no_order_of_events_breaks_an_invariant(suspected):
    found = search(begin(QUICK, suspected=suspected), DEPTH, sound, rests=40)
    assert not found.violation and found.deepest == DEPTH and found.states > 500
    assert all(found.moves[kind] for kind in ("comes", "lost", "wakes", "stopped"))


@pytest.mark.parametrize(
    ("defect", "says"),
    [(Hearsay, "which it had not suspected"), (Unmoved, "as it woke"), (Backwards, "went back")],
)
def test_each_planted_defect_is_found_with_a_shortest_trace(defect, says):
    found = search(begin(QUICK, make=defect, suspected=True, losses=0), 12, sound)
    assert says in found.violation and 0 < len(found.trace) <= 12
    sound_one = search(begin(QUICK, suspected=True), min(DEPTH, len(found.trace)), sound)
    assert not sound_one.violation


def test_a_fleet_left_alone_comes_to_rest():
    assert agreed(begin(QUICK, suspected=True)) == ""
