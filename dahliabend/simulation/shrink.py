"""Reduces a scenario to the fewest faults and the smallest run that still violate an invariant."""

from collections.abc import Callable, Iterator

import msgspec

from dahliabend.config.operator_file.units import Duration
from dahliabend.simulation.scenario import MS, Fault, LoadSpec, Scenario, WorldSpec, check
from dahliabend.simulation.world import run_scenario

MAX_RUNS = 400
MIN_LENGTH = 500 * MS  # runs that are not longer are not halved
LOAD_DIVISORS = (8, 4, 2)  # half the requests are tried with each: n * (divisor // 2) // divisor
COUNTS_REDUCED = ("balancers", "upstreams", "second_tier_upstreams", "zones", "cores")
WORLD_DEFAULTS_TRIED = (
    "shares_listener", "max_descriptors", "idle_timeout", "send_buffer", "receive_window", "max_segment",
    "path_idle_timeout", "discovery_delay", "mean_work", "slots", "queue", "answers_health_checks",
    "sends_retry_after", "may_cancel",
)  # fmt: skip
LOAD_VALUES_TRIED: tuple[tuple[str, object], ...] = (
    ("burst_share", 0.0), ("deduplicated_share", 0.0), ("retries", 0), ("disconnect_share", 0.0),
    ("chunked_share", 0.0), ("new_connection_share", 0.0), ("long_bodies", 0.0), ("long_answers", 0.0),
    ("deduplication_scope", LoadSpec().deduplication_scope),
)  # fmt: skip

_replace = msgspec.structs.replace


def violates(scenario: Scenario, rule: str) -> bool:
    """Return whether a run of the scenario violates the rule."""
    return rule in run_scenario(scenario).rules


def shrink(
    scenario: Scenario,
    rule: str,
    violates: Callable[[Scenario, str], bool] = violates,
    max_runs: int = MAX_RUNS,
) -> tuple[Scenario, int]:
    """Return the smallest scenario found that violates the rule, and the number of runs that this took.

    Raises:
        ValueError: the given scenario does not violate the rule.
    """
    if not violates(scenario, rule):
        raise ValueError(f"this run does not break the rule {rule!r}")
    runs = 1
    best = scenario
    has_progressed = True
    while has_progressed and runs < max_runs:
        has_progressed = False
        for smaller in candidates(best):
            if runs >= max_runs:
                break
            if not _is_valid(smaller):
                continue
            runs += 1
            if violates(smaller, rule):
                best = smaller
                has_progressed = True
                break
    return _replace(best, breaks=rule), runs


def _is_valid(scenario: Scenario) -> bool:
    """Return whether the scenario passes `check`."""
    try:
        check(scenario)
    except ValueError:
        return False
    return True


def candidates(scenario: Scenario) -> Iterator[Scenario]:
    """Yield smaller scenarios: fewer faults, less load, a shorter run, a smaller world, a plainer load."""
    faults = scenario.faults
    for number in range(len(faults)):
        yield _replace(scenario, faults=faults[:number] + faults[number + 1 :])
    yield from _with_less_load(scenario)
    if scenario.length > MIN_LENGTH:
        yield _half_as_long(scenario)
    yield from _with_smaller_world(scenario)
    yield from _with_plain_load(scenario)


def _with_less_load(scenario: Scenario) -> Iterator[Scenario]:
    """Yield the scenario with half the requests, computed with each divisor, and with a tenth less.

    The halves are equal up to rounding; a divisor is left out if there are fewer than twice as many requests.
    """
    load = scenario.load
    for divisor in LOAD_DIVISORS:
        if load.requests >= 2 * divisor:
            requests = load.requests * (divisor // 2) // divisor
            yield _replace(scenario, load=_replace(load, requests=requests))
    if load.requests > 1:
        requests = load.requests - max(1, load.requests // 10)
        yield _replace(scenario, load=_replace(load, requests=requests))


def _half_as_long(scenario: Scenario) -> Scenario:
    """Return the scenario with half its length, without the faults that begin later."""
    half = Duration(scenario.length // 2)

    def is_early(fault: Fault) -> bool:
        """Return whether a fault begins in the first half, or at an event."""
        return fault.at is None or fault.at <= half

    load = _replace(scenario.load, send_time=Duration(min(scenario.load.send_time, half)))
    return _replace(scenario, length=half, faults=list(filter(is_early, scenario.faults)), load=load)


def _with_smaller_world(scenario: Scenario) -> Iterator[Scenario]:
    """Yield the scenario with one component less, and with one property of the world at its default."""
    world = scenario.world
    plain = WorldSpec()
    for name in COUNTS_REDUCED:
        minimum = 0 if name == "second_tier_upstreams" else 1
        if getattr(world, name) > minimum:
            yield _replace(scenario, world=_replace(world, **{name: getattr(world, name) - 1}))
    for name in WORLD_DEFAULTS_TRIED:
        if getattr(world, name) != getattr(plain, name):
            yield _replace(scenario, world=_replace(world, **{name: getattr(plain, name)}))


def _with_plain_load(scenario: Scenario) -> Iterator[Scenario]:
    """Yield the scenario with one property of the load at its plainest value."""
    load = scenario.load
    for name, value in LOAD_VALUES_TRIED:
        if getattr(load, name) != value:
            yield _replace(scenario, load=_replace(load, **{name: value}))
