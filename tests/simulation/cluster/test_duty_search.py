"""All interleavings of three instances and one duty; two planted defects are found."""

import pytest

from dahliabend.leases.duties import MS, Duties, Turn
from dahliabend.simulation.cluster.duty_search import search


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
def test_no_interleaving_has_two_under_one_number_or_three_in_a_period(depth, losses, stops, cuts, least):
    found = search(depth, losses, stops, cuts)
    assert found.broken == "" and found.depth == depth and found.states >= least


class Deaf(Duties):
    """Takes the newest word for the truest."""

    def heard(self, now, done):
        known = self.known[done.duty]
        if done.owner != self.me:
            known.fence, known.owner, known.count, known.told = done.fence, done.owner, done.count, now
            known.at = max(known.at, now - done.age * MS) if done.count else known.at
        return True


class Hasty(Duties):
    """Works in the moment in which it claims."""

    def wake(self, now):
        made = super().wake(now)
        claimed = [duty for duty, known in self.known.items()
                   if known.owner == self.me and not known.count and known.told == now]  # fmt: skip
        return [*made, *(Turn(duty, self.known[duty].fence) for duty in claimed)]


@pytest.mark.parametrize(("defect", "says"), [(Deaf, "a number went back"), (Hasty, "three times")])
def test_planted_defects_are_found_with_a_trace(defect, says):
    found = search(18, stops=1, make=defect)
    assert found.broken.startswith(says) and 0 < len(found.trace) <= 18
