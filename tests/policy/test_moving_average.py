"""The exponentially weighted moving average."""

from dahliabend.policy.moving_average import NEWEST_WEIGHT, ewma


def test_ewma_starts_with_the_first_sample_and_weights_later_ones():
    assert ewma(0.0, 8) == 8
    assert ewma(8, 24) == 8 + 16 * NEWEST_WEIGHT
    assert ewma(8, 24, 0.5) == 16
