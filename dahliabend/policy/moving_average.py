"""The exponentially weighted moving average by which the decisions remember."""

NEWEST_WEIGHT = 1 / 16  # of the newest sample
NEWEST_WEIGHT_SPARSE = 1 / 6  # of the newest sample, where samples are few


def ewma(mean: float, sample: float, weight: float = NEWEST_WEIGHT) -> float:
    """Return a mean after one more sample; a mean of 0 has none yet, and the first stands for itself."""
    return mean + (sample - mean) * weight if mean else sample
