"""The exponentially weighted moving average used by the policy."""

NEWEST_WEIGHT = 1 / 16  # weight of the newest sample
NEWEST_WEIGHT_SPARSE = 1 / 6  # weight of the newest sample where samples are few


def ewma(mean: float, sample: float, weight: float = NEWEST_WEIGHT) -> float:
    """Return the moving average after one more sample; a mean of 0 stands for no sample yet."""
    return mean + (sample - mean) * weight if mean else sample
