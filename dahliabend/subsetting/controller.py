"""Control of one balancer's subset over time: it moves towards its target in bounded steps.

A doubtful view of the fleet does not shrink the subset: for some time the target is the union of the subsets
by this view and by the last trusted one. New upstreams are added at a bounded rate, and old ones are dropped
only once as many new ones have been in use for some time. Upstreams that are removed from the endpoint list
are dropped and replaced immediately. The module does no I/O.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field

from dahliabend.subsetting.flap_damping import FlapDamping
from dahliabend.subsetting.fleet_view import FleetView, MembershipInfo
from dahliabend.subsetting.selection import Participant
from dahliabend.subsetting.settings import SubsetControllerSettings, SubsetSource
from dahliabend.subsetting.target import TargetSubset, compute_target

# Fraction of the endpoint list: if as many upstreams disappear at once, the list was replaced, and their
# departures do not count for flap damping.
MAX_FLAPPING_FRACTION = 1 / 2
WEIGHT_TOLERANCE = 1 / 50  # fraction of a weight; smaller changes are not published by themselves
MIN_DIVISOR = 1e-9  # upstreams; avoids a division by 0
UNREACHABLE_STATE = "unreached"  # state of a member that most other members cannot reach


@dataclass(frozen=True, slots=True)
class ActiveSubset:
    """The subset in use.

    Attributes:
        weights: Weight of each upstream; they sum to the number of upstreams.
        added: Upstreams added by the last step.
        dropped: Upstreams dropped by the last step.
        source: Source of the data from which the target was computed.
        balancers: Number of balancers in the fleet.
        balancers_per_upstream: Average number of balancers that share an upstream, estimated from this
            balancer's share of the demand.
    """

    weights: dict[str, float] = field(default_factory=dict)
    added: list[str] = field(default_factory=list)
    dropped: list[str] = field(default_factory=list)
    source: SubsetSource = SubsetSource.NAME
    balancers: int = 1
    balancers_per_upstream: float = 1.0


class SubsetController:
    """Maintains one balancer's subset of a pool. Times are in microseconds.

    Attributes:
        balancer: This balancer.
        settings: Size of the subset and rate of its changes.
        listed: Upstreams of the endpoint list, by name.
        eligible: Those of the listed upstreams that flap damping does not suppress.
        flap_damping: Penalties of upstreams that repeatedly leave the list and return.
        view: Views of the fleet.
        active: Upstreams in use, with the time at which each was added.
        target: The subset to move to.
        extra_count: Number of upstreams used beyond the target while too few of the target are usable.
    """

    def __init__(self, balancer: Participant, settings: SubsetControllerSettings) -> None:
        self.balancer = balancer
        self.settings = settings
        self.listed: dict[str, Participant] = {}
        self.eligible: dict[str, Participant] = {}
        self.flap_damping = FlapDamping()
        self.view = FleetView()
        self.active: dict[str, int] = {}
        self.target = TargetSubset()
        self.extra_count = 0
        self._target_stale = True
        self._next_step_at = 0
        self._published: dict[str, float] = {}  # weights of the subset returned last

    # Input

    def update_view(self, now: int, balancers: Sequence[Participant], *, trusted: bool) -> None:
        """Set the view of the fleet.

        Args:
            now: Current time in microseconds.
            balancers: All balancers, this one among them.
            trusted: False if the view may be that of one side of a partition, or outdated.
        """
        if self.view.update(now, balancers, trusted=trusted):
            self._target_stale = True

    def update_membership(self, now: int, stable: MembershipInfo, latest: MembershipInfo) -> None:
        """Set the view of the fleet from the last stable view of the membership.

        Args:
            now: Current time in microseconds.
            stable: The last stable view.
            latest: The latest view; like the stable one it can make the view of the fleet doubtful.
        """
        balancers = [
            Participant(member.name, member.zone, member.weight)
            for member in stable.members
            if member.state != UNREACHABLE_STATE
        ]
        doubtful = stable.possibly_partitioned or latest.possibly_partitioned or latest.exclusion
        self.update_view(now, balancers, trusted=not doubtful)

    def update_upstreams(self, now: int, upstreams: Sequence[Participant]) -> None:
        """Set the upstreams of the endpoint list that can be used."""
        listed = {upstream.name: upstream for upstream in upstreams}
        if listed == self.listed:
            return
        departed = [name for name in self.listed if name not in listed]
        if len(departed) < len(self.listed) * MAX_FLAPPING_FRACTION:
            self.flap_damping.record_departures(now, departed)
        self.listed = listed
        self._apply_flap_damping(now)

    def adjust_width(self, usable: int) -> None:
        """Widen the subset while too few of its upstreams are usable, and narrow it again afterwards.

        Each balancer adds upstreams in the order of its own ranks, so that the balancers do not all add the
        same ones.

        Args:
            usable: Number of upstreams in use to which requests can be sent.
        """
        size = max(1, len(self.target.weights))
        max_extra = round(size * (self.settings.max_widening - 1))
        if usable < self.settings.widen_threshold * size and self.extra_count < max_extra:
            increase = max(1, round(size * self.settings.change_fraction))
            self.extra_count = min(max_extra, self.extra_count + increase)
        elif self.extra_count and usable >= size + self.extra_count - 1:
            self.extra_count -= 1

    # Output

    def step(self, now: int, pinned: frozenset[str] = frozenset()) -> ActiveSubset | None:
        """Move the subset towards its target.

        Args:
            now: Current time in microseconds.
            pinned: Names of upstreams that an operator has excluded from traffic; they stay in the subset.

        Returns:
            The subset if it has changed, else None.
        """
        self._refresh_target(now)
        desired = self._widened_target()
        lost = [name for name in self.active if name not in self.eligible]
        min_active = min(len(desired), self.settings.min_size)
        if not lost and now < self._next_step_at and len(self.active) >= min_active:
            return None
        self._next_step_at = now + self.settings.step_interval
        for name in lost:
            del self.active[name]
        max_changes = max(1, round(len(desired) * self.settings.change_fraction))
        missing = [name for name in desired if name not in self.active]
        added = self._add(now, desired, missing, max_changes)
        dropped: list[str] = []
        if not missing or len(self.active) > len(desired):
            dropped = self._drop(now, desired, pinned, max_changes)
        return self._publish(added, lost + dropped)

    def _apply_flap_damping(self, now: int) -> None:
        suppressed = self.flap_damping.suppress(now, self.listed)
        eligible = {name: upstream for name, upstream in self.listed.items() if name not in suppressed}
        if eligible != self.eligible:
            self.eligible = eligible
            self._target_stale = True

    def _refresh_target(self, now: int) -> None:
        if self.view.trust_doubtful_if_due(now, self.settings.hold_time):
            self._target_stale = True
        if self.flap_damping.suppressed:
            self._apply_flap_damping(now)
        if self._target_stale:
            self._target_stale = False
            views = self.view.views_containing(self.balancer.name)
            self.target = compute_target(self.balancer, self.settings, views, self.eligible)

    def _widened_target(self) -> list[str]:
        """Return the upstreams of the target, followed by the `extra_count` next ones of the ranking."""
        others = [name for name in self.target.ranking if name not in self.target.weights]
        return [*self.target.weights, *others[: self.extra_count]]

    def _add(self, now: int, desired: list[str], missing: list[str], max_changes: int) -> list[str]:
        """Add missing upstreams: `max_changes` of them, or more if the subset is smaller than desired."""
        missing_count = len(desired) - len(self.active)
        added = missing[: max(max_changes, missing_count)]
        self.active.update(dict.fromkeys(added, now))
        return added

    def _drop(self, now: int, desired: list[str], pinned: frozenset[str], max_changes: int) -> list[str]:
        """Drop unwanted upstreams: at most `max_changes`.

        The number of upstreams that have been in use for `settle_time` does not fall below the desired size
        less `max_changes`.
        """
        unwanted = [name for name in self.active if name not in desired and name not in pinned]
        recently_added = sum(now - since < self.settings.settle_time for since in self.active.values())
        min_remaining = len(desired) - max_changes
        max_dropped = max(0, min(max_changes, len(self.active) - recently_added - min_remaining))
        dropped = unwanted[:max_dropped]
        for name in dropped:
            del self.active[name]
        return dropped

    def _publish(self, added: list[str], dropped: list[str]) -> ActiveSubset | None:
        """Return the subset, or None if it differs from the last one only by small changes of weights."""
        weights = self._active_weights()
        previous = self._published
        if weights.keys() == previous.keys() and all(
            abs(weight - previous[name]) <= WEIGHT_TOLERANCE * weight for name, weight in weights.items()
        ):
            return None
        self._published = weights
        share_of_pool = self.target.demand_share * len(self.eligible)
        return ActiveSubset(
            weights=weights,
            added=added,
            dropped=dropped,
            source=self.target.source,
            balancers=self.target.balancers,
            balancers_per_upstream=len(weights) / max(MIN_DIVISOR, share_of_pool),
        )

    def _active_weights(self) -> dict[str, float]:
        """Return the weights of the upstreams in use, scaled so that their mean is 1."""
        target = self.target.weights
        mean = sum(target.values()) / max(1, len(target))
        weights = {name: target.get(name, mean) for name in self.active}
        scale = len(weights) / (sum(weights.values()) or 1.0)
        return {name: weight * scale for name, weight in weights.items()}
