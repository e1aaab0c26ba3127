"""Takes a violation down to the fewest faults and the least run that still shows it."""

from collections.abc import Callable, Iterator

import msgspec

from dahliabend.config.operator_file.units import Duration
from dahliabend.simulation.script import MS, LoadSpec, Scenario, WorldSpec, check
from dahliabend.simulation.world import play

MOST = 400  # runs that a shrinking takes at the most


def breaks(scenario: Scenario, rule: str) -> bool:
    return rule in play(scenario).rules


def shrink(
    scenario: Scenario, rule: str, breaks: Callable[[Scenario, str], bool] = breaks, most: int = MOST
) -> tuple[Scenario, int]:
    """The least found, and how many runs it took. ValueError where the scenario does not break that rule."""
    if not breaks(scenario, rule):
        raise ValueError(f"this run does not break the rule {rule!r}")
    runs, best, again = 1, scenario, True
    while again and runs < most:
        again = False
        for smaller in candidates(best):
            if runs >= most:
                break
            try:
                check(smaller)
            except ValueError:
                continue
            runs += 1
            if breaks(smaller, rule):
                best, again = smaller, True
                break
    return msgspec.structs.replace(best, breaks=rule), runs


def candidates(scenario: Scenario) -> Iterator[Scenario]:
    """Smaller ones, the boldest first."""
    replace = msgspec.structs.replace
    faults, load, world = scenario.faults, scenario.load, scenario.world
    for number in range(len(faults)):
        yield replace(scenario, faults=faults[:number] + faults[number + 1 :])
    for part in (8, 4, 2):
        if load.requests >= 2 * part:
            yield replace(scenario, load=replace(load, requests=load.requests * (part // 2) // part))
    if load.requests > 1:
        yield replace(scenario, load=replace(load, requests=load.requests - max(1, load.requests // 10)))
    if scenario.length > 500 * MS:
        half = Duration(scenario.length // 2)
        fewer = [fault for fault in faults if fault.at is None or fault.at <= half]
        shorter = replace(load, over=Duration(min(load.over, half)))
        yield replace(scenario, length=half, faults=fewer, load=shorter)
    for name in ("balancers", "upstreams", "behind", "zones", "cores"):
        least = 0 if name == "behind" else 1
        if getattr(world, name) > least:
            yield replace(scenario, world=replace(world, **{name: getattr(world, name) - 1}))
    plain_world, plain_load = WorldSpec(), LoadSpec()
    for name in ("shared", "sockets", "conn_idle", "sending", "window", "piece", "idle_dies", "notice",
                 "work", "slots", "queue", "may_probe", "advises", "may_cancel"):  # fmt: skip
        if getattr(world, name) != getattr(plain_world, name):
            yield replace(scenario, world=replace(world, **{name: getattr(plain_world, name)}))
    for name, plain in (("burst", 0.0), ("marked", 0.0), ("retries", 0), ("leave", 0.0), ("trickle", 0.0),
                        ("fresh", 0.0), ("long_bodies", 0.0), ("long_answers", 0.0),
                        ("group", plain_load.group)):  # fmt: skip
        if getattr(load, name) != plain:
            yield replace(scenario, load=replace(load, **{name: plain}))
