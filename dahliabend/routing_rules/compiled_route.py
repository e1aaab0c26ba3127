"""A route as it is decided by: its pools by weight and fallback, its limit, its times. Free of I/O."""

from collections.abc import Callable, Mapping

from dahliabend.config.operator_file.schema import OperatorFile, RouteSettings
from dahliabend.routing_rules.limits import Limit
from dahliabend.routing_rules.treatment import EffectiveTreatment, pool_weights, target_pools
from dahliabend.routing_rules.weighted_split import WeightedSplit

MAX_FALLBACK_CHAIN = 8  # pools, the first included


class CompiledRoute:
    """One route.

    Attributes:
        name: Of the route.
        class_name: Of its requests' class, as it stands on the wire.
        treatment: How its requests are treated.
        limit: How many are admitted.
        total_timeout: Of all attempts together, in microseconds.
        split: Its own pools, by weight.
        split_by: Name of the header by which requests are split; empty: in turn.
        mirror: The pool that gets copies; None: none does.
        mirror_share: Of requests, that are copied.
        reachable_pools: All pools that its requests may go to.
    """

    __slots__ = (
        "_fallback_chains",
        "_fallback_thresholds",
        "_fallbacks",
        "class_name",
        "limit",
        "mirror",
        "mirror_share",
        "name",
        "reachable_pools",
        "split",
        "split_by",
        "total_timeout",
        "treatment",
    )

    def __init__(self, file: OperatorFile, route: RouteSettings, number: int) -> None:
        """Compile one route of a file without faults, by its number from 0."""
        treatment = EffectiveTreatment(file, route, number)
        weights = pool_weights(route)
        self.name = route.name
        self.class_name = route.class_.encode()
        self.treatment = treatment
        self.limit = Limit(treatment.concurrency, treatment.rate, treatment.burst)
        self.total_timeout = min(treatment.total_time, file.classes[route.class_].hard_limit)
        self.split = WeightedSplit(list(weights), list(weights.values()), route.name.encode())
        self.split_by = route.split_by.lower().encode() if route.split_by else b""
        self.mirror = route.mirror
        self.mirror_share = route.mirror_share
        own_pools = set(target_pools(route))
        self._fallbacks = {
            name: route.fallback if name in own_pools and route.fallback else pool.fallback
            for name, pool in file.pools.items()
        }
        self._fallback_thresholds = {name: pool.fallback_below for name, pool in file.pools.items()}
        self._fallback_chains = {name: self._fallback_chain(name) for name in weights}
        all_chains = self._fallback_chains.values()
        self.reachable_pools = tuple(dict.fromkeys(name for chain in all_chains for name in chain))

    def _fallback_chain(self, name: str) -> list[str]:
        """A pool, and those that it falls back to, in order."""
        chain = [name]
        while len(chain) < MAX_FALLBACK_CHAIN:
            fallback = self._fallbacks.get(chain[-1])
            if not fallback or fallback in chain:
                break
            chain.append(fallback)
        return chain

    def candidate_pools(self, key: bytes, ready_share: Callable[[str], float]) -> list[str]:
        """The pools that a request is offered to, in order; where one rejects it unseen, the next has it.

        A pool of which too little is ready is left out. If all are, the first has the request: its fault is
        its own, and not the last one's.

        Args:
            key: The header's value by which requests are split; empty: in turn.
            ready_share: Which part of a pool is ready, by its name.
        """
        first = self.split.pool_for_key(key) if key else self.split.next_pool()
        chain = self._fallback_chains[first]
        thresholds = self._fallback_thresholds
        return [name for name in chain if ready_share(name) > thresholds[name]] or chain[:1]

    def inherit_state(self, before: "CompiledRoute") -> None:
        """Go on after a reload with the state of the route so far.

        Requests in flight still count, and turns go on, so that a canary's part holds.
        """
        before.limit.update(self.limit)
        self.limit = before.limit
        self.split.inherit_credits(before.split)


def compile_routes(file: OperatorFile, before: Mapping[str, CompiledRoute]) -> list[CompiledRoute]:
    """Compile all routes of a file without faults, in its order.

    Args:
        file: The whole file.
        before: The routes so far, by name; those of the same name go on with their state.
    """
    routes = [CompiledRoute(file, route, number) for number, route in enumerate(file.routes)]
    for route in routes:
        if route.name in before:
            route.inherit_state(before[route.name])
    return routes
