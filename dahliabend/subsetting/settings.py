"""Settings of one balancer's subset."""

from dataclasses import dataclass
from enum import StrEnum

from dahliabend.subsetting.selection import MIN_BALANCERS_PER_UPSTREAM, MIN_SUBSET_SIZE


class SubsetSource(StrEnum):
    """Where a subset comes from; operators see the word."""

    MEMBERSHIP = "members"  # the view of membership
    INDEX = "index"  # the configured numbers
    TWO_VIEWS = "both"  # the last trusted view and a doubtful one
    NAME = "name"  # the balancer's own name, without a view


@dataclass(frozen=True, slots=True)
class SubsetControllerSettings:
    """How large a subset is and how fast it changes. Times are microseconds.

    Attributes:
        min_size: Least number of upstreams.
        degree: Balancers of an upstream, on average.
        by_zone: Whether upstreams of the own zone come first.
        source: What gives the view, `MEMBERSHIP` or `INDEX`.
        balancers: Number of balancers while there is no view.
        hold_time: How long a doubtful view does not narrow the subset.
        step_interval: Time between two steps.
        settle_time: How long new upstreams are in use before old ones are dropped.
        move_fraction: Fraction of the subset that may be added, and dropped, in a step.
        max_widening: The most that a subset is widened to, as a multiple of its size.
        widen_threshold: Fraction of the subset; with fewer usable upstreams it is widened.
    """

    min_size: int = MIN_SUBSET_SIZE
    degree: int = MIN_BALANCERS_PER_UPSTREAM
    by_zone: bool = False
    source: SubsetSource = SubsetSource.MEMBERSHIP
    balancers: int = 1
    hold_time: int = 60_000_000
    step_interval: int = 1_000_000
    settle_time: int = 2_000_000
    move_fraction: float = 1 / 8
    max_widening: float = 2.0
    widen_threshold: float = 1 / 2
