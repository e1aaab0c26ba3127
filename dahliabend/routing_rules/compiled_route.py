"""A route prepared for dispatching requests: its pools by weight and fallback, its limit and timeout."""

from collections.abc import Callable, Mapping

from dahliabend.config.operator_file.schema import OperatorFile, RouteSettings
from dahliabend.routing_rules.limits import Limit
from dahliabend.routing_rules.treatment import EffectiveTreatment, pool_weights, target_pools
from dahliabend.routing_rules.weighted_split import WeightedSplit

MAX_FALLBACK_CHAIN = 8  # number of pools, including the first


class CompiledRoute:
    """A route of an operator's file, compiled for dispatching requests; free of I/O.

    Attributes:
        name: Name of the route.
        class_name: Name of the request class, as on the wire.
        treatment: Timeouts, retries and limits in force for the route's requests.
        limit: Limit on the requests that are admitted.
        total_timeout: Timeout of all attempts together, in microseconds.
        split: Splits requests among the route's own pools by weight.
        split_by: Lower-case name of the header by whose value requests are split; empty for round robin.
        mirror: Name of the pool that receives mirrored requests; None for no mirroring.
        mirror_share: Fraction of requests that are mirrored.
        reachable_pools: Names of all pools that the route's requests may go to, including fallbacks.
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
        """Compile a route of a file without faults.

        Args:
            file: The complete file.
            route: The route.
            number: Position of the route in the file, from 0.
        """
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
        """Return a pool and the pools that it falls back to, in order."""
        chain = [name]
        while len(chain) < MAX_FALLBACK_CHAIN:
            fallback = self._fallbacks.get(chain[-1])
            if not fallback or fallback in chain:
                break
            chain.append(fallback)
        return chain

    def candidate_pools(self, key: bytes, ready_fraction: Callable[[str], float]) -> list[str]:
        """Return the pools that a request is offered to, in order: if one rejects it, the next is tried.

        A pool with too small a fraction of ready endpoints is left out. If this applies to all pools, the
        first one is used, so that its failure is reported and not that of the last fallback.

        Args:
            key: Value of the header by which requests are split; empty for round robin.
            ready_fraction: Returns the fraction of a pool's endpoints that are ready, by the pool's name.
        """
        first = self.split.pool_for_key(key) if key else self.split.next_pool()
        chain = self._fallback_chains[first]
        thresholds = self._fallback_thresholds
        return [name for name in chain if ready_fraction(name) > thresholds[name]] or chain[:1]

    def inherit_state(self, previous: "CompiledRoute") -> None:
        """Take over the state of the previous route of the same name, after a reload.

        Requests in flight still count against the limit, and the round robin continues, so that a canary
        keeps its share.
        """
        previous.limit.update(self.limit)
        self.limit = previous.limit
        self.split.inherit_credits(previous.split)


def compile_routes(file: OperatorFile, previous: Mapping[str, CompiledRoute]) -> list[CompiledRoute]:
    """Compile all routes of a file without faults, in the order of the file.

    Args:
        file: The complete file.
        previous: The routes before the reload, by name; a new route of the same name takes over their state.
    """
    routes = [CompiledRoute(file, route, number) for number, route in enumerate(file.routes)]
    for route in routes:
        if route.name in previous:
            route.inherit_state(previous[route.name])
    return routes
