"""Timeouts, retries and limits in force for the requests of a route, and the key that sets each of them."""

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
)  # fields of `TreatmentSettings`, in the order in which they are printed
DEFAULT_ATTEMPTS = 3

_KEYS_BY_FIELD = {
    field.name: field.encode_name
    for table in (RouteSettings, ClassSettings, PoolSettings, SubsetSettings)
    for field in msgspec.structs.fields(table)
}


def key_of_field(name: str) -> str:
    """Return the key under which the file sets a field.

    >>> key_of_field("class_"), key_of_field("attempt_timeout")
    ('class', 'hop-time')
    """
    return _KEYS_BY_FIELD[name]


def target_pools(route: RouteSettings) -> Iterator[str]:
    """Yield the names of the pools that a route sends requests to, without fallbacks and mirrors."""
    if route.pool is not None:
        yield route.pool
    yield from route.pools or {}


def pool_weights(route: RouteSettings) -> dict[str, float]:
    """Return the weight of each pool that a route sends requests to; a single pool has weight 1."""
    return route.pools or dict.fromkeys(target_pools(route), 1.0)


class EffectiveTreatment:
    """The values in force for a route: its own, otherwise those of its class, otherwise the file's defaults.

    Times are in microseconds.

    Attributes:
        attempt_timeout: Timeout of a single attempt; None for the time left of the total.
        total_time: Timeout of all attempts together.
        attempts: Maximum number of attempts.
        replays: Maximum number of these that may follow an attempt that may have been executed.
        second_copy_after: Time from the start of an attempt until it is hedged; None for no hedging.
        retry_share: Retries after attempts that may have been executed, as a fraction of first attempts.
        concurrency: Maximum number of requests in flight; None for no limit.
        rate: Requests per second; None for no limit.
        burst: Requests that may arrive at once above the rate; None for the default.
        keys: The key that sets each value, by field name; the key of the route for a value that no key sets.
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
        """Determine the values in force.

        Args:
            file: The complete file.
            route: A route of the file, whose class is in the file.
            number: Position of the route in the file, from 0.
        """
        request_class = file.classes[route.class_]
        levels: tuple[tuple[TreatmentSettings, Key], ...] = (
            (route, ("routes", number)),
            (request_class, ("classes", route.class_)),
            (file.defaults, ("defaults",)),
        )
        self.keys: dict[str, Key] = {}
        for name in TREATMENT_FIELDS:
            self._resolve(name, levels)
        if self.attempts is None:
            self.attempts = DEFAULT_ATTEMPTS
        if self.total_time is None:
            self.total_time = request_class.hard_limit
            self.keys["total_time"] = ("classes", route.class_, "hard-limit")
        if self.replays is None:
            self.replays = 0 if request_class.effect == "non-idempotent" else self.attempts - 1

    def _resolve(self, name: str, levels: tuple[tuple[TreatmentSettings, Key], ...]) -> None:
        """Set a field from the first level that has a value, and record the key that sets it."""
        for settings, key in levels:
            value = getattr(settings, name)
            if value is not None:
                setattr(self, name, value)
                self.keys[name] = (*key, key_of_field(name))
                return
        setattr(self, name, None)
        self.keys[name] = levels[0][1]

    def value(self, name: str) -> object:
        """Return the value in force of a field, by its name; None if it is not set."""
        return getattr(self, name)
