"""The subset that one balancer is to have, by the views of the fleet and the endpoint list."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from dahliabend.subsetting.fleet_view import Balancers
from dahliabend.subsetting.rendezvous import pair_ranks
from dahliabend.subsetting.selection import Participant, assign_subsets
from dahliabend.subsetting.settings import SubsetControllerSettings, SubsetSource


@dataclass(frozen=True, slots=True)
class TargetSubset:
    """What a subset is to become.

    Attributes:
        weights: Weight of each upstream to be used, in any unit.
        ranking: All upstreams by this balancer's ranks, the highest first.
        source: What it was computed from.
        balancers: Number of balancers in the fleet.
        demand_share: This balancer's fraction of the demand of the fleet.
    """

    weights: dict[str, float] = field(default_factory=dict)
    ranking: list[str] = field(default_factory=list)
    source: SubsetSource = SubsetSource.NAME
    balancers: int = 1
    demand_share: float = 1.0


def compute_target(
    own: Participant,
    settings: SubsetControllerSettings,
    views: Sequence[Balancers],
    upstreams: Mapping[str, Participant],
) -> TargetSubset:
    """Compute a balancer's subset.

    Args:
        own: The balancer.
        settings: Its settings.
        views: Views of the fleet that have this balancer in them: none, one, or a trusted and a doubtful one.
        upstreams: Upstreams that may be used, by name.
    """
    ranking = _ranking(own.name, sorted(upstreams))
    pool = list(upstreams.values())
    if not views:
        return TargetSubset(
            weights=_weights_without_view(own, settings, pool, ranking),
            ranking=ranking,
            source=SubsetSource.NAME,
            balancers=settings.balancers,
            demand_share=1.0 / settings.balancers,
        )
    return TargetSubset(
        weights=_weights_by_views(own, settings, views, pool),
        ranking=ranking,
        source=settings.source if len(views) == 1 else SubsetSource.TWO_VIEWS,
        balancers=max(len(view) for view in views),
        # In doubt the smaller share: with the larger this balancer would admit what others may still send.
        demand_share=min(_demand_share(own.name, view) for view in views),
    )


def _ranking(name: str, upstreams: list[str]) -> list[str]:
    if not upstreams:
        return []
    ranks = pair_ranks([name], upstreams)[0]
    return [upstream for _, upstream in sorted(zip(ranks, upstreams, strict=True), reverse=True)]


def _demand_share(name: str, view: Balancers) -> float:
    own = sum(balancer.weight for balancer in view if balancer.name == name)
    return own / sum(balancer.weight for balancer in view)


def _weights_by_views(
    own: Participant, settings: SubsetControllerSettings, views: Sequence[Balancers], pool: list[Participant]
) -> dict[str, float]:
    """Return the weights of this balancer's upstreams by all views, averaged."""
    weights: dict[str, float] = {}
    for view in views:
        assignment = assign_subsets(view, pool, settings.min_size, settings.by_zone, settings.degree)
        for upstream, share in assignment.subset_of(own.name).items():
            weights[upstream] = weights.get(upstream, 0.0) + share / len(views)
    return weights


def _weights_without_view(
    own: Participant, settings: SubsetControllerSettings, pool: list[Participant], ranking: list[str]
) -> dict[str, float]:
    """Return weights by the own name and the configured number of balancers.

    The size is that of an assignment with so many balancers, but the weights cannot be fitted to theirs: over
    the fleet the load is as uneven as chance makes it.
    """
    others = [Participant(f"{own.name} {number}") for number in range(1, settings.balancers)]
    assignment = assign_subsets([own, *others], pool, settings.min_size, degree=settings.degree)
    size = len(assignment.subset_of(own.name))
    capacity = {upstream.name: upstream.weight for upstream in pool}
    chosen = ranking[:size]
    total = sum(capacity[name] for name in chosen) or 1.0
    return {name: capacity[name] / total for name in chosen}
