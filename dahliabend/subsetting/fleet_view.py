"""The views of the balancer fleet: the last trusted one, and a doubtful one if there is one.

A view is doubtful while it may be that of one side of a network partition, or while the other members do not
count this balancer as present. For some time both views are used.
"""

from collections.abc import Sequence
from dataclasses import replace
from typing import Protocol

from dahliabend.subsetting.demand import UNKNOWN_DEMAND_WEIGHT
from dahliabend.subsetting.selection import Participant

DEFAULT_DEMAND = 1.0  # demand of every balancer if none has announced any

Balancers = tuple[Participant, ...]


class MemberInfo(Protocol):
    """The attributes of a fleet member that subsetting reads."""

    @property
    def name(self) -> str:
        """Name of the member."""

    @property
    def zone(self) -> str:
        """Zone of the member."""

    @property
    def weight(self) -> float:
        """Announced demand of the member."""

    @property
    def state(self) -> str:
        """State of the member; `unreached` if most other members cannot reach it."""


class MembershipInfo(Protocol):
    """The attributes of a membership view that subsetting reads."""

    @property
    def members(self) -> Sequence[MemberInfo]:
        """All members."""

    @property
    def possibly_partitioned(self) -> bool:
        """Whether this balancer may be cut off from the others."""

    @property
    def exclusion(self) -> str:
        """Why the other members might not count this balancer as present; empty if nothing suggests so."""


def fill_unknown_demand(balancers: Sequence[Participant]) -> Sequence[Participant]:
    """Return the balancers, with the mean demand for those that have not announced theirs yet.

    Otherwise, while the fleet or a balancer starts, those that announce first would appear to have all the
    demand.
    """
    known_weights = [balancer.weight for balancer in balancers if balancer.weight > UNKNOWN_DEMAND_WEIGHT]
    if len(known_weights) == len(balancers):
        return balancers
    mean = sum(known_weights) / len(known_weights) if known_weights else DEFAULT_DEMAND
    return [
        balancer if balancer.weight > UNKNOWN_DEMAND_WEIGHT else replace(balancer, weight=mean)
        for balancer in balancers
    ]


class FleetView:
    """The views of the fleet that one balancer uses.

    Attributes:
        trusted: Balancers of the last trusted view, sorted by name; empty before the first one.
        doubtful: Balancers of the doubtful view; empty while the last view is trusted.
        doubtful_since: Time in microseconds since which views have been doubtful.
    """

    def __init__(self) -> None:
        self.trusted: Balancers = ()
        self.doubtful: Balancers = ()
        self.doubtful_since = 0

    def update(self, now: int, balancers: Sequence[Participant], *, trusted: bool) -> bool:
        """Set the trusted or the doubtful view from the last stable view of the membership.

        Returns:
            Whether the views have changed.
        """
        view = tuple(sorted(fill_unknown_demand(balancers), key=lambda balancer: balancer.name))
        if trusted:
            return self._set_trusted(view)
        return self._set_doubtful(now, view)

    def trust_doubtful_if_due(self, now: int, hold_time: int) -> bool:
        """Trust the doubtful view once views have been doubtful for `hold_time` microseconds.

        Returns:
            Whether the views have changed.
        """
        if not self.doubtful or now < self.doubtful_since + hold_time:
            return False
        self.trusted = self.doubtful
        self.doubtful = ()
        return True

    def views_containing(self, name: str) -> list[Balancers]:
        """Return the views, of the trusted and the doubtful one, that contain a balancer of this name."""
        views = (self.trusted, self.doubtful)
        return [view for view in views if any(balancer.name == name for balancer in view)]

    def _set_trusted(self, view: Balancers) -> bool:
        changed = view != self.trusted or bool(self.doubtful)
        self.trusted = view
        self.doubtful = ()
        return changed

    def _set_doubtful(self, now: int, view: Balancers) -> bool:
        if view == self.doubtful:
            return False
        if not self.doubtful:
            self.doubtful_since = now
        self.doubtful = view
        return True
