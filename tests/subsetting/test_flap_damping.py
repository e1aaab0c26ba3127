"""Upstreams that flap are suppressed at each return, and none for good."""

from participants import SECOND, participants

from dahliabend.subsetting.controller import SubsetController
from dahliabend.subsetting.flap_damping import FlapDamping
from dahliabend.subsetting.selection import Participant
from dahliabend.subsetting.settings import SubsetControllerSettings

NAMES = [f"u{n}" for n in range(16)]


def test_flapping_upstream_is_suppressed_and_used_again_once_it_has_stayed():
    damping = FlapDamping()
    for flap in range(20):
        damping.record_departures(SECOND + 3 * flap * SECOND, ["u3"])
        suppressed = damping.suppress(SECOND + (3 * flap + 1) * SECOND, NAMES)
        assert suppressed == (set() if flap < 2 else {"u3"})
    assert damping.suppress(58 * SECOND + 30 * SECOND, NAMES) == {"u3"}
    assert damping.suppress(58 * SECOND + 45 * SECOND, NAMES) == set()


def test_restarts_far_apart_are_not_suppressed_and_of_a_pool_only_a_fraction_is():
    damping = FlapDamping()
    for restart in range(4):
        damping.record_departures(SECOND + 60 * restart * SECOND, NAMES)
        assert damping.suppress(2 * SECOND + 60 * restart * SECOND, NAMES) == set()
    for flap in range(6):
        damping.record_departures(400 * SECOND + 2 * flap * SECOND, NAMES)
    assert len(damping.suppress(412 * SECOND, NAMES)) == 2
    assert damping.suppress(600 * SECOND, NAMES) == set()
    assert not damping.penalties


def test_flapping_upstream_moves_little_over_a_minute():
    """Twenty flaps would otherwise move some forty fair shares of pairs over the fleet."""
    settings = SubsetControllerSettings(min_size=8, degree=8)
    controllers = [SubsetController(Participant(f"b{n}"), settings) for n in range(20)]
    pool = participants("u", range(40))
    for controller in controllers:
        controller.update_view(SECOND, participants("b", range(20)), trusted=True)
        controller.update_upstreams(SECOND, pool)
        controller.step(SECOND)
    fair_share = sum("u5" in controller.active for controller in controllers)
    moved = 0
    for quarter in range(240):
        now = 2 * SECOND + quarter * SECOND // 4
        listed = [upstream for upstream in pool if upstream.name != "u5" or quarter % 12 >= 4]
        for controller in controllers:
            controller.update_upstreams(now, listed)
            subset = controller.step(now)
            moved += len(subset.added) + len(subset.dropped) if subset else 0
    assert fair_share
    assert moved <= 3 * 4 * fair_share + 20


def test_list_that_loses_half_at_once_counts_as_no_departures():
    controller = SubsetController(Participant("b0"), SubsetControllerSettings())
    for change in range(6):
        controller.update_upstreams((1 + change) * SECOND, participants("u", range(20 if change % 2 else 40)))
    assert not controller.flap_damping.penalties
    assert not controller.flap_damping.suppressed
