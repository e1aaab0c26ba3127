"""All interleavings of three machines to a depth, and three planted defects that it finds."""

import pytest

from dahliabend.membership.codec import Standing
from dahliabend.membership.failure_detector import Machine, Terms
from dahliabend.simulation.cluster.search import agreed, begin, search, sound

QUICK = Terms(others=1, whole=5, least=1.0, longest=1.0)
DEPTH = 6


class Hearsay(Machine):
    """Buries whom another has buried."""

    def learn(self, now, rumour):
        member = self.members.get(rumour.name)
        if member is not None and rumour.standing is Standing.DEAD:
            return self.bury(now, member)
        super().learn(now, rumour)


class Unmoved(Machine):
    """Goes on after a pause as if nothing had been, and buries without another look."""

    def paused(self, now): ...

    def wake(self, now):
        for name in self.suspects:
            self.members[name].rung = True
        super().wake(now)


class Backwards(Machine):
    """Takes over what is older than what it knows."""

    def learn(self, now, rumour):
        member = self.members.get(rumour.name)
        if member is not None and rumour.incarnation < member.rumour.incarnation:
            return self.put(now, rumour, "")
        super().learn(now, rumour)


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
