"""How the requests of a route are treated: the values in force, and the key that sets each."""

from collections.abc import Iterator

import msgspec

from dahliabend.config.operator_file.schema import (
    ClassSettings,
    OperatorFile,
    PoolSettings,
    RouteSettings,
    SubsetSettings,
    TreatmentSettings,
)
from dahliabend.config.operator_file.source import Key
from dahliabend.config.operator_file.units import Duration, Fraction, Rate

TREATMENT_FIELDS = (
    "attempt_timeout",
    "total_time",
    "attempts",
    "replays",
    "second_copy_after",
    "retry_share",
    "concurrency",
    "rate",
    "burst",
)  # of `TreatmentSettings`, in the order in which they are shown
DEFAULT_ATTEMPTS = 3

_KEYS_BY_FIELD = {
    field.name: field.encode_name
    for table in (RouteSettings, ClassSettings, PoolSettings, SubsetSettings)
    for field in msgspec.structs.fields(table)
}


def key_of_field(name: str) -> str:
    """A field's name as the file writes it.

    >>> key_of_field("class_"), key_of_field("attempt_timeout")
    ('class', 'hop-time')
    """
    return _KEYS_BY_FIELD[name]


def target_pools(route: RouteSettings) -> Iterator[str]:
    """The pools that a route names for its own requests, without fallbacks and mirrors."""
    if route.pool is not None:
        yield route.pool
    yield from route.pools or {}


def pool_weights(route: RouteSettings) -> dict[str, float]:
    """The weight of each pool that a route names; one pool has all."""
    return route.pools or dict.fromkeys(target_pools(route), 1.0)


class EffectiveTreatment:
    """The values in force for one route: its own, else its class's, else the file's defaults.

    Times are microseconds.

    Attributes:
        attempt_timeout: That one attempt may take; None: what is left of the total.
        total_time: That all attempts may take together.
        attempts: At the most.
        replays: Of these, after one that may have run.
        second_copy_after: From an attempt's start until a hedged one; None: never.
        retry_share: Of first attempts, what may be spent on retries after ones that may have run.
        concurrency: Requests in flight at once.
        rate: Requests a second.
        burst: Requests that may come at once above the rate.
        keys: The key that sets each value, by the field's name; for a default, the route's.
    """

    attempt_timeout: Duration | None
    total_time: Duration
    attempts: int
    replays: int
    second_copy_after: Duration | None
    retry_share: Fraction | None
    concurrency: int | None
    rate: Rate | None
    burst: int | None

    def __init__(self, file: OperatorFile, route: RouteSettings, number: int) -> None:
        """Find the values in force.

        Args:
            file: The complete file.
            route: One of its routes, whose class is in the file.
            number: The route's, from 0.
        """
        request_class = file.classes[route.class_]
        levels: tuple[tuple[TreatmentSettings, Key], ...] = (
            (route, ("routes", number)),
            (request_class, ("classes", route.class_)),
            (file.defaults, ("defaults",)),
        )
        self.keys: dict[str, Key] = {}
        for name in TREATMENT_FIELDS:
            self._find(name, levels)
        if self.attempts is None:
            self.attempts = DEFAULT_ATTEMPTS
        if self.total_time is None:
            self.total_time = request_class.hard_limit
            self.keys["total_time"] = ("classes", route.class_, "hard-limit")
        if self.replays is None:
            self.replays = 0 if request_class.effect == "non-idempotent" else self.attempts - 1

    def _find(self, name: str, levels: tuple[tuple[TreatmentSettings, Key], ...]) -> None:
        for settings, key in levels:
            value = getattr(settings, name)
            if value is not None:
                setattr(self, name, value)
                self.keys[name] = (*key, key_of_field(name))
                return
        setattr(self, name, None)
        self.keys[name] = levels[0][1]

    def value(self, name: str) -> object:
        """The value in force of a field, by its name; None if it is not set."""
        return getattr(self, name)
