"""One balancer's subset over time: it moves towards its target in bounded steps. Free of I/O.

A doubtful view of the fleet narrows nothing: for a while the target is the union by it and the last trusted
view. New upstreams are added at a bounded rate, and old ones dropped only once as many new ones have been in
use for a while. Those that the endpoint list has lost are dropped and replaced at once.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field

from dahliabend.subsetting.flap_damping import FlapDamping
from dahliabend.subsetting.fleet_view import FleetView, Membership
from dahliabend.subsetting.selection import Participant
from dahliabend.subsetting.settings import SubsetControllerSettings, SubsetSource
from dahliabend.subsetting.target import TargetSubset, compute_target

MAX_FLAPPING_FRACTION = 1 / 2  # of the list: if more go at once, the list has changed and nobody flaps
WEIGHT_TOLERANCE = 1 / 50  # of a weight: a smaller change alone is not published
SMALLEST_SHARE = 1e-9  # in place of 0 as a divisor
UNREACHED = "unreached"  # state of a member that most others cannot reach


@dataclass(frozen=True, slots=True)
class ActiveSubset:
    """The subset in use.

    Attributes:
        weights: Weight of each upstream; they sum to the number of upstreams.
        added: Upstreams added by the last step.
        dropped: Upstreams dropped by the last step.
        source: What the target was computed from.
        balancers: Number of balancers in the fleet.
        balancers_per_upstream: Balancers that share each upstream, on average, by this one's part of demand.
    """

    weights: dict[str, float] = field(default_factory=dict)
    added: list[str] = field(default_factory=list)
    dropped: list[str] = field(default_factory=list)
    source: SubsetSource = SubsetSource.NAME
    balancers: int = 1
    balancers_per_upstream: float = 1.0


class SubsetController:
    """Keeps one balancer's subset of a pool. Times are microseconds.

    Attributes:
        own: This balancer.
        settings: Size and pace.
        listed: Upstreams of the endpoint list, by name.
        eligible: Those of them that flap damping does not suppress.
        flap_damping: Penalties of upstreams that come and go.
        view: Views of the fleet.
        active: Upstreams in use, with the time since when.
        target: What the subset is to become.
        extra: Upstreams used beyond the target, while too few of it are usable.
    """

    def __init__(self, own: Participant, settings: SubsetControllerSettings) -> None:
        self.own = own
        self.settings = settings
        self.listed: dict[str, Participant] = {}
        self.eligible: dict[str, Participant] = {}
        self.flap_damping = FlapDamping()
        self.view = FleetView()
        self.active: dict[str, int] = {}
        self.target = TargetSubset()
        self.extra = 0
        self._target_stale = True
        self._next_step_at = 0
        self._published: dict[str, float] = {}  # weights

    # Input.

    def update_view(self, now: int, balancers: Sequence[Participant], *, trusted: bool) -> None:
        """Take the settled view of the fleet.

        Args:
            now: Microseconds.
            balancers: All balancers, this one among them.
            trusted: False if the view may be that of one side of a partition, or outdated.
        """
        if self.view.update(now, balancers, trusted=trusted):
            self._target_stale = True

    def update_membership(self, now: int, settled: Membership, latest: Membership) -> None:
        """Take the settled view of membership; the latest one tells whether it is to be doubted."""
        balancers = [
            Participant(member.name, member.zone, member.weight)
            for member in settled.members
            if member.state != UNREACHED
        ]
        doubtful = settled.possibly_partitioned or latest.possibly_partitioned or latest.exclusion
        self.update_view(now, balancers, trusted=not doubtful)

    def update_upstreams(self, now: int, upstreams: Sequence[Participant]) -> None:
        """Take all upstreams of the endpoint list that can be used."""
        listed = {upstream.name: upstream for upstream in upstreams}
        if listed == self.listed:
            return
        gone = [name for name in self.listed if name not in listed]
        if len(gone) < len(self.listed) * MAX_FLAPPING_FRACTION:
            self.flap_damping.record_departures(now, gone)
        self.listed = listed
        self._apply_flap_damping(now)

    def adjust_width(self, usable: int) -> None:
        """Widen the subset while too few of its upstreams are usable, and narrow it again afterwards.

        Each balancer widens along its own ranks, so that not all use the same few.

        Args:
            usable: Upstreams in use that requests can be sent to.
        """
        size = max(1, len(self.target.weights))
        max_extra = round(size * (self.settings.max_widening - 1))
        if usable < self.settings.widen_threshold * size and self.extra < max_extra:
            increase = max(1, round(size * self.settings.move_fraction))
            self.extra = min(max_extra, self.extra + increase)
        elif self.extra and usable >= size + self.extra - 1:
            self.extra -= 1

    # Output.

    def step(self, now: int, pinned: frozenset[str] = frozenset()) -> ActiveSubset | None:
        """Move the subset towards its target.

        Args:
            now: Microseconds.
            pinned: Upstreams that are not dropped, as an operator has excluded them from traffic.

        Returns:
            The subset if it has changed, None otherwise.
        """
        self._refresh_target(now)
        wanted = self._widened_target()
        lost = [name for name in self.active if name not in self.eligible]
        enough = min(len(wanted), self.settings.min_size)
        if not lost and now < self._next_step_at and len(self.active) >= enough:
            return None
        self._next_step_at = now + self.settings.step_interval
        for name in lost:
            del self.active[name]
        bound = max(1, round(len(wanted) * self.settings.move_fraction))
        missing = [name for name in wanted if name not in self.active]
        added = self._add(now, wanted, missing, bound)
        dropped: list[str] = []
        if not missing or len(self.active) > len(wanted):
            dropped = self._drop(now, wanted, pinned, bound)
        return self._publish(added, lost + dropped)

    def _apply_flap_damping(self, now: int) -> None:
        suppressed = self.flap_damping.suppress(now, self.listed)
        eligible = {name: upstream for name, upstream in self.listed.items() if name not in suppressed}
        if eligible != self.eligible:
            self.eligible = eligible
            self._target_stale = True

    def _refresh_target(self, now: int) -> None:
        if self.view.trust_after(now, self.settings.hold_time):
            self._target_stale = True
        if self.flap_damping.suppressed:
            self._apply_flap_damping(now)
        if self._target_stale:
            self._target_stale = False
            views = self.view.containing(self.own.name)
            self.target = compute_target(self.own, self.settings, views, self.eligible)

    def _widened_target(self) -> list[str]:
        """Return the target's upstreams, and the next ones by this balancer's ranks."""
        others = [name for name in self.target.ranking if name not in self.target.weights]
        return [*self.target.weights, *others[: self.extra]]

    def _add(self, now: int, wanted: list[str], missing: list[str], bound: int) -> list[str]:
        """Put missing upstreams to use: `bound` of them, or as many as the subset lacks in size."""
        lacking = len(wanted) - len(self.active)
        added = missing[: max(bound, lacking)]
        self.active.update(dict.fromkeys(added, now))
        return added

    def _drop(self, now: int, wanted: list[str], pinned: frozenset[str], bound: int) -> list[str]:
        """Drop unwanted upstreams: at most `bound`, and as many as settled ones replace."""
        leaving = [name for name in self.active if name not in wanted and name not in pinned]
        unsettled = sum(now - since < self.settings.settle_time for since in self.active.values())
        least = len(wanted) - bound
        spare = max(0, min(bound, len(self.active) - unsettled - least))
        dropped = leaving[:spare]
        for name in dropped:
            del self.active[name]
        return dropped

    def _publish(self, added: list[str], dropped: list[str]) -> ActiveSubset | None:
        """Return the subset, unless it differs from the last one by small changes of weights alone."""
        weights = self._active_weights()
        before = self._published
        if weights.keys() == before.keys() and all(
            abs(weight - before[name]) <= WEIGHT_TOLERANCE * weight for name, weight in weights.items()
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
            balancers_per_upstream=len(weights) / max(SMALLEST_SHARE, share_of_pool),
        )

    def _active_weights(self) -> dict[str, float]:
        """Return the weights of the upstreams in use, scaled so that their mean is 1."""
        target = self.target.weights
        mean = sum(target.values()) / max(1, len(target))
        weights = {name: target.get(name, mean) for name in self.active}
        scale = len(weights) / (sum(weights.values()) or 1.0)
        return {name: weight * scale for name, weight in weights.items()}
