"""Own outcomes at upstreams: only the latest ones count, and only within the window."""

from dahliabend.health_gossip.local_observations import MAX_SAMPLES, LocalObservations
from dahliabend.model import Outcome

SECOND = 1_000_000
WINDOW = 3 * SECOND


def test_samples_are_bounded_and_expire_and_rejections_are_not_counted():
    observations = LocalObservations(WINDOW)
    for n in range(1000):
        observations.record_outcome(SECOND + n, "u1", Outcome.FAILED if n % 2 else Outcome.SUCCEEDED)
        observations.record_outcome(SECOND + n, "u2", Outcome.REJECTED)
    assert observations.counts(SECOND + 1000) == {"u1": (MAX_SAMPLES, MAX_SAMPLES // 2)}
    assert observations.counts(SECOND + 2 * WINDOW) == {}
    assert not observations.samples
