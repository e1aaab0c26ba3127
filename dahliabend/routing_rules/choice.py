"""A route as it is decided by: its pools by weight and fallback, its limit, its times. Free of I/O."""

from collections.abc import Callable, Mapping

from dahliabend.config.operator_file.schema import OperatorFile, RouteSettings
from dahliabend.routing_rules.checks import Effective, targets
from dahliabend.routing_rules.limits import Limit
from dahliabend.routing_rules.split import Split

DEEP = 8  # fallbacks of fallbacks that are followed


class Choice:
    """One route's. `ways` says where a transaction goes, asked with how much of each pool is ready."""

    __slots__ = (
        "backs", "below", "effective", "limit", "lines", "mirror", "mirror_share", "name", "profile", "reach",
        "split", "split_by", "total",
    )  # fmt: skip

    def __init__(self, file: OperatorFile, route: RouteSettings, number: int) -> None:
        made = self.effective = Effective(file, route, number)
        self.name, self.profile = route.name, route.class_.encode()
        weights = route.pools or {route.pool: 1.0}
        self.split = Split(list(weights), list(weights.values()), route.name.encode())
        self.split_by = route.split_by.lower().encode() if route.split_by else b""
        self.limit = Limit(made.concurrency, made.rate, made.burst)
        self.total = min(made.total_time, file.classes[route.class_].hard_limit)
        self.mirror, self.mirror_share = route.mirror, route.mirror_share
        first = set(targets(route))
        self.backs = {
            name: route.fallback if name in first and route.fallback else pool.fallback
            for name, pool in file.pools.items()
        }
        self.below = {name: pool.fallback_below for name, pool in file.pools.items()}
        self.lines = {name: self.line(name) for name in weights}
        self.reach = tuple(dict.fromkeys(each for line in self.lines.values() for each in line))

    def line(self, name: str) -> list[str]:
        """A pool, and those that it falls back to, in order."""
        found = [name]
        while len(found) < DEEP and (back := self.backs.get(found[-1])) and back not in found:
            found.append(back)
        return found

    def ways(self, key: bytes, part_ready: Callable[[str], float]) -> list[str]:
        """The pools that a transaction is offered to, in order: its own by weight, then those it falls back
        to. Where one turns it away unseen, the next has it. One of which too little is ready is passed by; if
        all are, the first has it: its trouble is its own, and not the last one's."""
        line = self.lines[self.split.of(key) if key else self.split.turn()]
        return [name for name in line if part_ready(name) > self.below[name]] or line[:1]

    def goes_on_from(self, before: "Choice") -> None:
        """After a reload: what is in hand still counts, and turns go on, so that a canary's part holds."""
        before.limit.become(self.limit)
        self.limit = before.limit
        credit = dict(zip(before.split.names, before.split.credit, strict=True))
        if credit.keys() == set(self.split.names):
            self.split.credit = [credit[name] for name in self.split.names]


def choices(file: OperatorFile, before: Mapping[str, Choice]) -> list[Choice]:
    made = [Choice(file, route, number) for number, route in enumerate(file.routes)]
    for choice in made:
        if choice.name in before:
            choice.goes_on_from(before[choice.name])
    return made
