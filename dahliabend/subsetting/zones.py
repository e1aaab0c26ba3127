"""Division of the demand of each zone among the zones of the upstreams."""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

import numpy as np

from dahliabend.subsetting.rendezvous import FloatArray

# Load of a zone, as a multiple of its part of the capacity, up to which its demand stays within the zone. The
# value is a little above 1: otherwise one balancer that joins or leaves would open or close flows between all
# zones.
HOME_OVERLOAD = 11 / 10
NEGLIGIBLE_FLOW = 1e-12


class ZonePair(NamedTuple):
    """The zones of a flow: that of the balancers and that of the upstreams."""

    source: str
    target: str


def zone_flows(demand: Mapping[str, float], capacity: Mapping[str, float]) -> dict[ZonePair, float]:
    """Divide the demand of each zone: first within the zone, and the rest among zones with free capacity.

    Args:
        demand: Demand of the balancers in each zone; sums to 1.
        capacity: Capacity of the upstreams in each zone; sums to 1.

    >>> flows = zone_flows({"a": 0.52, "b": 0.48}, {"a": 0.5, "b": 0.5})
    >>> {tuple(pair): flow for pair, flow in flows.items()}
    {('a', 'a'): 0.52, ('b', 'b'): 0.48}
    """
    flows = {
        ZonePair(zone, zone): min(demand[zone], HOME_OVERLOAD * capacity.get(zone, 0.0)) for zone in demand
    }
    remaining = {zone: demand[zone] - flows[ZonePair(zone, zone)] for zone in demand}
    free = {zone: max(0.0, capacity[zone] - flows.get(ZonePair(zone, zone), 0.0)) for zone in capacity}
    total_free = sum(free.values())
    for source, remaining_demand in remaining.items():
        for target, available in free.items():
            if remaining_demand > NEGLIGIBLE_FLOW and available > NEGLIGIBLE_FLOW and source != target:
                flows[ZonePair(source, target)] = remaining_demand * available / total_free
    return {pair: flow for pair, flow in flows.items() if flow > NEGLIGIBLE_FLOW}


def sum_by_zone(zones: Iterable[str], weights: FloatArray) -> dict[str, float]:
    """Return the sum of the weights of each zone, given the zone of each weight."""
    sums: dict[str, float] = {}
    for zone, weight in zip(zones, weights, strict=True):
        sums[zone] = sums.get(zone, 0.0) + float(weight)
    return sums


def zone_indices(zones: list[str], zone: str) -> np.ndarray[tuple[int], np.dtype[np.int_]]:
    """Return the indices at which a zone occurs in a list of zones."""
    return np.array([index for index, name in enumerate(zones) if name == zone])
