"""The balancers of the fleet: the last view that was trusted, and beside it one that may be wrong.

A view is doubtful while it may be that of one side of a network partition, or while the others do not count
this balancer as a member. For some time both are used.
"""

from collections.abc import Sequence
from dataclasses import replace
from typing import Protocol

from dahliabend.subsetting.demand import UNKNOWN_DEMAND_WEIGHT
from dahliabend.subsetting.selection import Participant

DEFAULT_DEMAND = 1.0  # of all, if none has announced any

Balancers = tuple[Participant, ...]


class Member(Protocol):
    """What is read of a member of the fleet."""

    @property
    def name(self) -> str:
        """Its name."""

    @property
    def zone(self) -> str:
        """Its zone."""

    @property
    def weight(self) -> float:
        """Its demand, as announced."""

    @property
    def state(self) -> str:
        """Its state; `unreached` if most others cannot reach it."""


class Membership(Protocol):
    """What is read of a view of membership."""

    @property
    def members(self) -> Sequence[Member]:
        """All members."""

    @property
    def possibly_partitioned(self) -> bool:
        """Whether so many were lost at once that this side may be cut off."""

    @property
    def exclusion(self) -> str:
        """Why others may not count this balancer as a member; empty if they do."""


def fill_unknown_demand(balancers: Sequence[Participant]) -> Sequence[Participant]:
    """Give balancers that have not announced their demand yet the mean of the others.

    While the fleet or a balancer starts, those that announce first would otherwise be taken for the only ones
    with clients.
    """
    known = [balancer.weight for balancer in balancers if balancer.weight > UNKNOWN_DEMAND_WEIGHT]
    if len(known) == len(balancers):
        return balancers
    mean = sum(known) / len(known) if known else DEFAULT_DEMAND
    return [
        balancer if balancer.weight > UNKNOWN_DEMAND_WEIGHT else replace(balancer, weight=mean)
        for balancer in balancers
    ]


class FleetView:
    """The views that one balancer goes by.

    Attributes:
        trusted: Balancers of the last trusted view, sorted by name; empty before the first.
        doubtful: Balancers of the doubtful view; empty while the last view is trusted.
        doubtful_since: When views began to be doubtful, in microseconds.
    """

    def __init__(self) -> None:
        self.trusted: Balancers = ()
        self.doubtful: Balancers = ()
        self.doubtful_since = 0

    def update(self, now: int, balancers: Sequence[Participant], *, trusted: bool) -> bool:
        """Take a settled view.

        Returns:
            Whether the views have changed.
        """
        view = tuple(sorted(fill_unknown_demand(balancers), key=lambda balancer: balancer.name))
        if trusted:
            return self._trust(view)
        return self._distrust(now, view)

    def trust_after(self, now: int, hold: int) -> bool:
        """Trust a doubtful view once views have been doubtful for `hold` microseconds.

        Returns:
            Whether the views have changed.
        """
        if not self.doubtful or now < self.doubtful_since + hold:
            return False
        self.trusted = self.doubtful
        self.doubtful = ()
        return True

    def containing(self, name: str) -> list[Balancers]:
        """Return the views that have a balancer of that name: none, one or two."""
        views = (self.trusted, self.doubtful)
        return [view for view in views if any(balancer.name == name for balancer in view)]

    def _trust(self, view: Balancers) -> bool:
        changed = view != self.trusted or bool(self.doubtful)
        self.trusted = view
        self.doubtful = ()
        return changed

    def _distrust(self, now: int, view: Balancers) -> bool:
        if view == self.doubtful:
            return False
        if not self.doubtful:
            self.doubtful_since = now
        self.doubtful = view
        return True
