"""Assignment of upstreams to balancers with weights: a pure function of fleet view and endpoint list.

Every balancer computes the assignment of the whole fleet; balancers with the same view of the fleet and the
same endpoint list compute the same one. Pairs are chosen by rendezvous hashing. Their weights are then
fitted, so that every upstream gets a part of the whole demand in proportion to its capacity.
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

MIN_SUBSET_SIZE = 12  # upstreams per balancer, if there are as many
MIN_BALANCERS_PER_UPSTREAM = 12  # average number of balancers per upstream, if there are as many


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
        balancers: Names of the balancers, one for each row.
        upstreams: Names of the upstreams, one for each column.
        shares: Demand that each balancer sends to each upstream, as a fraction of the whole demand; the
            matrix sums to 1.
    """

    balancers: tuple[str, ...]
    upstreams: tuple[str, ...]
    shares: FloatArray

    def subset_of(self, balancer: str) -> dict[str, float]:
        """Return the upstreams of a balancer, with the fraction of the balancer's demand that each gets."""
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
class _SortedParticipants:
    """The balancers or the upstreams, sorted by name, with their fractions of the whole weight."""

    names: tuple[str, ...]
    zones: list[str]
    weights: FloatArray

    @classmethod
    def from_participants(cls, participants: Sequence[Participant]) -> "_SortedParticipants":
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
    """Assign upstreams to all balancers; the order of the balancers and of the upstreams does not matter.

    Args:
        balancers: All balancers.
        upstreams: All upstreams; if there is any, every balancer gets at least one.
        min_size: Minimum number of upstreams per balancer.
        zones: Whether a balancer uses upstreams of its own zone, and those of other zones only for demand
            that exceeds the capacity of its zone.
        degree: Average number of balancers per upstream.
    """
    rows = _SortedParticipants.from_participants(balancers)
    columns = _SortedParticipants.from_participants(upstreams)
    if not rows.names or not columns.names:
        shares = np.zeros((len(rows.names), len(columns.names)))
    elif zones:
        shares = _assign_by_zone(rows, columns, min_size, degree)
    else:
        shares = _assign_block(rows, columns, min_size, degree)
    return Assignment(rows.names, columns.names, shares)


def normalized_weights(participants: Sequence[Participant]) -> FloatArray:
    """Return each participant's fraction of the total weight; a weight that is not positive counts as 1."""
    weights = np.array(
        [participant.weight if participant.weight > 0 else 1.0 for participant in participants], dtype=float
    )
    normalized: FloatArray = weights / weights.sum()
    return normalized


def _assign_block(
    rows: _SortedParticipants, columns: _SortedParticipants, min_size: int, degree: int
) -> FloatArray:
    """Return the shares of all pairs without regard to zones."""
    ranks = pair_ranks(rows.names, columns.names)
    sizes = subset_sizes(rows.names, rows.weights, len(columns.names), min_size, degree)
    used_rows, used_columns = np.nonzero(top_ranked(ranks, sizes) | guaranteed_pairs(ranks))
    start = rows.weights[used_rows] * columns.weights[used_columns]
    shares = np.zeros(ranks.shape)
    shares[used_rows, used_columns] = fit_pair_shares(
        used_rows, used_columns, start, rows.weights, columns.weights
    )
    return shares


def _assign_by_zone(
    rows: _SortedParticipants, columns: _SortedParticipants, min_size: int, degree: int
) -> FloatArray:
    """Return the shares of all pairs, computed in blocks of one zone of balancers and one of upstreams."""
    zone_demand = sum_by_zone(rows.zones, rows.weights)
    zone_capacity = sum_by_zone(columns.zones, columns.weights)
    flows = zone_flows(zone_demand, zone_capacity)
    shares = np.zeros((len(rows.names), len(columns.names)))
    for pair, flow in flows.items():
        row_indices = zone_indices(rows.zones, pair.source)
        column_indices = zone_indices(columns.zones, pair.target)
        # Demand sent to another zone is a fraction of each balancer's demand, and needs that fraction of the
        # connections.
        fraction = 1.0 if pair.source == pair.target else flow / zone_demand[pair.source]
        block = _assign_block(
            _restrict(rows, row_indices),
            _restrict(columns, column_indices),
            max(1, round(min_size * fraction)),
            max(GUARANTEED_BALANCERS, round(degree * fraction)),
        )
        shares[np.ix_(row_indices, column_indices)] += flow * block
    # The shares are fitted once more over all zones: demand from other zones arrives unevenly, as it uses few
    # pairs, and the pairs within a zone compensate for it.
    targets = _column_targets(columns, flows, zone_capacity)
    used = targets > 0
    shares[:, used] = fit_shares(shares[:, used], rows.weights, targets[used])
    return shares


def _restrict(
    participants: _SortedParticipants, indices: np.ndarray[tuple[int], np.dtype[np.int_]]
) -> _SortedParticipants:
    """Return the participants at these indices, with their weights normalized again."""
    weights = participants.weights[indices]
    return _SortedParticipants(
        names=tuple(participants.names[index] for index in indices),
        zones=[participants.zones[index] for index in indices],
        weights=weights / weights.sum(),
    )


def _column_targets(
    columns: _SortedParticipants, flows: dict[ZonePair, float], zone_capacity: dict[str, float]
) -> FloatArray:
    """Return the demand that each upstream has to get: its part of the flows into its zone."""
    inflow = dict.fromkeys(columns.zones, 0.0)
    for pair, flow in flows.items():
        inflow[pair.target] += flow
    return np.array(
        [
            inflow[zone] * weight / zone_capacity[zone]
            for zone, weight in zip(columns.zones, columns.weights, strict=True)
        ]
    )
