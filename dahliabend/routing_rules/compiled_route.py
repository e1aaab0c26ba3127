"""A route as it is decided by: its pools by weight and fallback, its limit, its times. Free of I/O."""

from collections.abc import Callable, Mapping

from dahliabend.config.operator_file.schema import OperatorFile, RouteSettings
from dahliabend.routing_rules.checks import EffectiveTreatment, target_pools
from dahliabend.routing_rules.limits import Limit
from dahliabend.routing_rules.weighted_split import WeightedSplit

DEEP = 8  # fallbacks of fallbacks that are followed


class CompiledRoute:
    """One route's. `ways` says where a transaction goes, asked with how much of each pool is ready."""

    __slots__ = (
        "fallbacks",
        "fallback_thresholds",
        "treatment",
        "limit",
        "fallback_chains",
        "mirror",
        "mirror_share",
        "name",
        "class_name",
        "reachable_pools",
        "split",
        "split_by",
        "total_timeout",
    )

    def __init__(self, file: OperatorFile, route: RouteSettings, number: int) -> None:
        made = self.treatment = EffectiveTreatment(file, route, number)
        self.name, self.class_name = route.name, route.class_.encode()
        weights = route.pools or {route.pool: 1.0}
        self.split = WeightedSplit(list(weights), list(weights.values()), route.name.encode())
        self.split_by = route.split_by.lower().encode() if route.split_by else b""
        self.limit = Limit(made.concurrency, made.rate, made.burst)
        self.total_timeout = min(made.total_time, file.classes[route.class_].hard_limit)
        self.mirror, self.mirror_share = route.mirror, route.mirror_share
        first = set(target_pools(route))
        self.fallbacks = {
            name: route.fallback if name in first and route.fallback else pool.fallback
            for name, pool in file.pools.items()
        }
        self.fallback_thresholds = {name: pool.fallback_below for name, pool in file.pools.items()}
        self.fallback_chains = {name: self.fallback_chain(name) for name in weights}
        self.reachable_pools = tuple(
            dict.fromkeys(each for fallback_chain in self.fallback_chains.values() for each in fallback_chain)
        )

    def fallback_chain(self, name: str) -> list[str]:
        """A pool, and those that it falls back to, in order."""
        found = [name]
        while len(found) < DEEP and (back := self.fallbacks.get(found[-1])) and back not in found:
            found.append(back)
        return found

    def candidate_pools(self, key: bytes, part_ready: Callable[[str], float]) -> list[str]:
        """The pools that a transaction is offered to, in order: its own by weight, then those it falls back
        to. Where one turns it away unseen, the next has it. One of which too little is ready is passed by; if
        all are, the first has it: its trouble is its own, and not the last one's."""
        fallback_chain = self.fallback_chains[self.split.pool_for_key(key) if key else self.split.next_pool()]
        return [
            name for name in fallback_chain if part_ready(name) > self.fallback_thresholds[name]
        ] or fallback_chain[:1]

    def inherit_state(self, before: "CompiledRoute") -> None:
        """After a reload: what is in hand still counts, and turns go on, so that a canary's part holds."""
        before.limit.update(self.limit)
        self.limit = before.limit
        credit = dict(zip(before.split.names, before.split.credits, strict=True))
        if credit.keys() == set(self.split.names):
            self.split.credits = [credit[name] for name in self.split.names]


def compile_routes(file: OperatorFile, before: Mapping[str, CompiledRoute]) -> list[CompiledRoute]:
    made = [CompiledRoute(file, route, number) for number, route in enumerate(file.routes)]
    for choice in made:
        if choice.name in before:
            choice.inherit_state(before[choice.name])
    return made
