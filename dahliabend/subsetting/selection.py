"""Which balancer uses which upstreams, and with which weight: a pure function of the view and the list.

Every balancer computes the whole assignment; those with the same view of the fleet and the same endpoint list
come to the same one. Pairs are chosen by rendezvous hashing. Their weights are then fitted, so that every
upstream gets its part of the whole demand.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import NamedTuple

import numpy as np

from dahliabend.subsetting.fitting import fit_pair_shares, fit_shares
from dahliabend.subsetting.rendezvous import (
    GUARANTEED_BALANCERS,
    FloatArray,
    guaranteed_pairs,
    pair_ranks,
    subset_sizes,
    top_ranked,
)
from dahliabend.subsetting.zones import ZonePair, sum_by_zone, zone_flows, zone_indices

MIN_SUBSET_SIZE = 12  # upstreams of a balancer, if there are as many
MIN_BALANCERS_PER_UPSTREAM = 12  # on average, if there are as many


@dataclass(frozen=True, slots=True)
class Participant:
    """A balancer or an upstream.

    Attributes:
        name: Unique among the balancers or the upstreams.
        zone: Name of its zone.
        weight: A balancer's demand or an upstream's capacity, in any unit.
    """

    name: str
    zone: str = ""
    weight: float = 1.0


class Pair(NamedTuple):
    """A balancer and an upstream that it uses, by name."""

    balancer: str
    upstream: str


@dataclass(frozen=True, slots=True)
class Assignment:
    """The upstreams of all balancers.

    Attributes:
        balancers: Names of the rows.
        upstreams: Names of the columns.
        shares: What each balancer sends to each upstream, as a fraction of all demand; sums to 1.
    """

    balancers: tuple[str, ...]
    upstreams: tuple[str, ...]
    shares: FloatArray

    def subset_of(self, balancer: str) -> dict[str, float]:
        """Return the upstreams of a balancer, with the fraction of its own demand that each gets."""
        row = self.shares[self.balancers.index(balancer)]
        total = row.sum() or 1.0
        return {
            name: float(share / total) for name, share in zip(self.upstreams, row, strict=True) if share > 0
        }

    def pairs(self) -> set[Pair]:
        """Return all pairs in use."""
        rows, columns = np.nonzero(self.shares)
        return {
            Pair(self.balancers[row], self.upstreams[column])
            for row, column in zip(rows, columns, strict=True)
        }


@dataclass(frozen=True, slots=True)
class _Side:
    """The balancers or the upstreams, sorted by name, with their fractions of the whole weight."""

    names: tuple[str, ...]
    zones: list[str]
    weights: FloatArray

    @classmethod
    def from_participants(cls, participants: Sequence[Participant]) -> "_Side":
        """Sort the participants and normalize their weights."""
        ordered = sorted(participants, key=lambda participant: participant.name)
        return cls(
            names=tuple(participant.name for participant in ordered),
            zones=[participant.zone for participant in ordered],
            weights=normalized_weights(ordered) if ordered else np.zeros(0),
        )


def assign_subsets(
    balancers: Sequence[Participant],
    upstreams: Sequence[Participant],
    min_size: int = MIN_SUBSET_SIZE,
    zones: bool = False,
    degree: int = MIN_BALANCERS_PER_UPSTREAM,
) -> Assignment:
    """Assign upstreams to all balancers; the order of either side does not matter.

    Args:
        balancers: All balancers.
        upstreams: All upstreams; if there is any, no balancer is left without.
        min_size: Least number of upstreams of a balancer.
        zones: Whether a balancer uses upstreams of its own zone, and others only for what these cannot bear.
        degree: Balancers of an upstream, on average.
    """
    rows = _Side.from_participants(balancers)
    columns = _Side.from_participants(upstreams)
    if not rows.names or not columns.names:
        shares = np.zeros((len(rows.names), len(columns.names)))
    elif zones:
        shares = _assign_by_zone(rows, columns, min_size, degree)
    else:
        shares = _assign_block(rows, columns, min_size, degree)
    return Assignment(rows.names, columns.names, shares)


def normalized_weights(participants: Sequence[Participant]) -> FloatArray:
    """Return each participant's fraction of the whole weight; one without a positive weight counts as 1."""
    weights = np.array(
        [participant.weight if participant.weight > 0 else 1.0 for participant in participants], dtype=float
    )
    normalized: FloatArray = weights / weights.sum()
    return normalized


def _assign_block(rows: _Side, columns: _Side, min_size: int, degree: int) -> FloatArray:
    """Return the shares of pairs without regard to zones."""
    ranks = pair_ranks(rows.names, columns.names)
    sizes = subset_sizes(rows.names, rows.weights, len(columns.names), min_size, degree)
    used_rows, used_columns = np.nonzero(top_ranked(ranks, sizes) | guaranteed_pairs(ranks))
    start = rows.weights[used_rows] * columns.weights[used_columns]
    shares = np.zeros(ranks.shape)
    shares[used_rows, used_columns] = fit_pair_shares(
        used_rows, used_columns, start, rows.weights, columns.weights
    )
    return shares


def _assign_by_zone(rows: _Side, columns: _Side, min_size: int, degree: int) -> FloatArray:
    """Return the shares of pairs, in blocks of a zone of balancers and a zone of upstreams."""
    zone_demand = sum_by_zone(rows.zones, rows.weights)
    zone_capacity = sum_by_zone(columns.zones, columns.weights)
    flows = zone_flows(zone_demand, zone_capacity)
    shares = np.zeros((len(rows.names), len(columns.names)))
    for pair, flow in flows.items():
        row_indices = zone_indices(rows.zones, pair.source)
        column_indices = zone_indices(columns.zones, pair.target)
        # What crosses zones is a fraction of each balancer's demand, and needs that fraction of connections.
        fraction = 1.0 if pair.source == pair.target else flow / zone_demand[pair.source]
        block = _assign_block(
            _restrict(rows, row_indices),
            _restrict(columns, column_indices),
            max(1, round(min_size * fraction)),
            max(GUARANTEED_BALANCERS, round(degree * fraction)),
        )
        shares[np.ix_(row_indices, column_indices)] += flow * block
    # Fitted once more over all zones: what comes from elsewhere, by few pairs, is evened out at home.
    targets = _column_targets(columns, flows, zone_capacity)
    used = targets > 0
    shares[:, used] = fit_shares(shares[:, used], rows.weights, targets[used])
    return shares


def _restrict(side: _Side, indices: np.ndarray[tuple[int], np.dtype[np.int_]]) -> _Side:
    """Return a part of one side, its weights normalized anew."""
    weights = side.weights[indices]
    return _Side(
        names=tuple(side.names[index] for index in indices),
        zones=[side.zones[index] for index in indices],
        weights=weights / weights.sum(),
    )


def _column_targets(
    columns: _Side, flows: dict[ZonePair, float], zone_capacity: dict[str, float]
) -> FloatArray:
    """Return what each upstream has to get: its part of what flows into its zone."""
    inflow = dict.fromkeys(columns.zones, 0.0)
    for pair, flow in flows.items():
        inflow[pair.target] += flow
    return np.array(
        [
            inflow[zone] * weight / zone_capacity[zone]
            for zone, weight in zip(columns.zones, columns.weights, strict=True)
        ]
    )
