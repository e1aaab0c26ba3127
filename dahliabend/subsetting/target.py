"""The target subset of one balancer, computed from the views of the fleet and the endpoint list."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from dahliabend.subsetting.fleet_view import Balancers
from dahliabend.subsetting.rendezvous import pair_ranks
from dahliabend.subsetting.selection import Participant, assign_subsets
from dahliabend.subsetting.settings import SubsetControllerSettings, SubsetSource


@dataclass(frozen=True, slots=True)
class TargetSubset:
    """The subset that a balancer moves to.

    Attributes:
        weights: Weight of each upstream in the subset, in any unit.
        ranking: All upstreams by this balancer's ranks, the highest first.
        source: Source of the data from which the target was computed.
        balancers: Number of balancers in the fleet.
        demand_share: This balancer's fraction of the demand of the fleet.
    """

    weights: dict[str, float] = field(default_factory=dict)
    ranking: list[str] = field(default_factory=list)
    source: SubsetSource = SubsetSource.NAME
    balancers: int = 1
    demand_share: float = 1.0


def compute_target(
    balancer: Participant,
    settings: SubsetControllerSettings,
    views: Sequence[Balancers],
    upstreams: Mapping[str, Participant],
) -> TargetSubset:
    """Compute the target subset of a balancer.

    Args:
        balancer: The balancer.
        settings: Settings of its subset.
        views: Views of the fleet that contain the balancer: none, one, or a trusted and a doubtful one.
        upstreams: Upstreams that may be used, by name.
    """
    ranking = _ranking(balancer.name, sorted(upstreams))
    pool = list(upstreams.values())
    if not views:
        return TargetSubset(
            weights=_weights_without_view(balancer, settings, pool, ranking),
            ranking=ranking,
            source=SubsetSource.NAME,
            balancers=settings.balancers,
            demand_share=1.0 / settings.balancers,
        )
    return TargetSubset(
        weights=_weights_by_views(balancer, settings, views, pool),
        ranking=ranking,
        source=settings.source if len(views) == 1 else SubsetSource.TWO_VIEWS,
        balancers=max(len(view) for view in views),
        # The smaller share of two views: with the larger one this balancer could admit requests on capacity
        # that others still use.
        demand_share=min(_demand_share(balancer.name, view) for view in views),
    )


def _ranking(name: str, upstreams: list[str]) -> list[str]:
    if not upstreams:
        return []
    ranks = pair_ranks([name], upstreams)[0]
    return [upstream for _, upstream in sorted(zip(ranks, upstreams, strict=True), reverse=True)]


def _demand_share(name: str, view: Balancers) -> float:
    own_weight = sum(balancer.weight for balancer in view if balancer.name == name)
    return own_weight / sum(balancer.weight for balancer in view)


def _weights_by_views(
    balancer: Participant,
    settings: SubsetControllerSettings,
    views: Sequence[Balancers],
    pool: list[Participant],
) -> dict[str, float]:
    """Return the weights of the balancer's upstreams, averaged over all views."""
    weights: dict[str, float] = {}
    for view in views:
        assignment = assign_subsets(view, pool, settings.min_size, settings.by_zone, settings.degree)
        for upstream, share in assignment.subset_of(balancer.name).items():
            weights[upstream] = weights.get(upstream, 0.0) + share / len(views)
    return weights


def _weights_without_view(
    balancer: Participant, settings: SubsetControllerSettings, pool: list[Participant], ranking: list[str]
) -> dict[str, float]:
    """Return weights computed from the balancer's name and the configured number of balancers.

    The subset is as large as in an assignment with that many balancers. But the names of the others are
    unknown, so that the weights cannot be fitted to theirs and the load over the fleet varies randomly.
    """
    others = [Participant(f"{balancer.name} {number}") for number in range(1, settings.balancers)]
    assignment = assign_subsets([balancer, *others], pool, settings.min_size, degree=settings.degree)
    size = len(assignment.subset_of(balancer.name))
    capacity = {upstream.name: upstream.weight for upstream in pool}
    chosen = ranking[:size]
    total = sum(capacity[name] for name in chosen) or 1.0
    return {name: capacity[name] / total for name in chosen}
