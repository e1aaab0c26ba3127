"""Settings of one balancer's subset."""

from dataclasses import dataclass
from enum import StrEnum

from dahliabend.subsetting.selection import MIN_BALANCERS_PER_UPSTREAM, MIN_SUBSET_SIZE


class SubsetSource(StrEnum):
    """The data from which a subset is computed; the values are shown to operators."""

    MEMBERSHIP = "members"  # the view of membership
    INDEX = "index"  # the configured index of the balancer and number of balancers
    TWO_VIEWS = "both"  # the last trusted view and a doubtful one
    NAME = "name"  # the balancer's own name, without a view


@dataclass(frozen=True, slots=True)
class SubsetControllerSettings:
    """Size of a subset and rate of its changes. Times are in microseconds.

    Attributes:
        min_size: Minimum number of upstreams in the subset.
        degree: Average number of balancers per upstream.
        by_zone: Whether upstreams of the balancer's zone are preferred.
        source: Source of the view, `MEMBERSHIP` or `INDEX`.
        balancers: Number of balancers, used while there is no view.
        hold_time: Time for which a doubtful view does not shrink the subset.
        step_interval: Time between two steps.
        settle_time: Time for which new upstreams are in use before old ones are dropped.
        change_fraction: Fraction of the subset that may be added, and dropped, in one step.
        max_widening: Maximum size of a widened subset, as a multiple of its normal size.
        widen_threshold: Fraction of the subset; with fewer usable upstreams the subset is widened.
    """

    min_size: int = MIN_SUBSET_SIZE
    degree: int = MIN_BALANCERS_PER_UPSTREAM
    by_zone: bool = False
    source: SubsetSource = SubsetSource.MEMBERSHIP
    balancers: int = 1
    hold_time: int = 60_000_000
    step_interval: int = 1_000_000
    settle_time: int = 2_000_000
    change_fraction: float = 1 / 8
    max_widening: float = 2.0
    widen_threshold: float = 1 / 2
