"""Draws random scenarios from seeds.

A seed must draw the same scenario for ever, so additions to the generator use random generators of their own
and leave the earlier draws as they were.
"""

from collections.abc import Sequence
from random import Random

from dahliabend.config.operator_file.units import Duration
from dahliabend.simulation.scenario import (
    ATTEMPT_EVENTS,
    FAULTS_BY_TARGET,
    GROUP_OF,
    MIN_ZONES_TO_CUT,
    MS,
    Fault,
    FaultKind,
    LoadSpec,
    S,
    Scenario,
    WorldSpec,
    check,
)

# Faults added to the generator later, which are drawn with a separate random generator.
SEPARATELY_DRAWN_FAULTS: tuple[FaultKind, ...] = (
    "twice", "slow-dial", "withdraw", "deaf", "whole", "anew", "flood", "behind", "leave", "away",
)  # fmt: skip
SLOW_READ: FaultKind = "slow-read"  # drawn with a random generator of its own, after all others
# Faults of discovery during which an upstream is withdrawn, in a longer run.
DISCOVERY_SILENCES = ("deaf", "whole", "anew", "away")
ALL_FAULTS: tuple[FaultKind, ...] = tuple(kind for kinds in FAULTS_BY_TARGET.values() for kind in kinds)
KINDS_BY_NAME: dict[str, FaultKind] = {kind: kind for kind in ALL_FAULTS}
DRAIN_END_FAULTS: tuple[FaultKind, ...] = ("stall", "hang", "crash", "reset", "end-watch")
DRAIN_END_OFFSETS = (-1, 0, 1)  # microseconds relative to the end of an endpoint's drain time
ORDERED_SHARE = 0.25  # share of the seeds whose requests have ordering keys
SEPARATE_FAULT_SHARE = 0.35  # share of the seeds
SLOW_READER_SHARE = 0.05  # share of the seeds
SLOW_READER_BODY_SIZES = (450_000, 700_000, 1_500_000)  # bytes; more than the buffers on the way hold
SHORT_DEADLINE_SHARE = 0.15  # share of the seeds
MANY_BALANCERS_THRESHOLD = 0.18  # draws from SHORT_DEADLINE_SHARE to this give many balancers
EVENT_TRIGGER_SHARE = 0.2  # share of the faults that begin at an event
SLOW_START_SHARE = 0.4  # share of the kills after which the new process stalls
DRAIN_END_FAULT_SHARE = 0.6  # share of the drains and planned restarts with a fault at the drain's end


def draw(seed: int, kinds: tuple[str, ...] = ()) -> Scenario:
    """Draw a scenario with up to three independent faults, and the further faults that belong to them.

    Args:
        seed: of all random generators.
        kinds: the faults to draw from; empty: all.
    """
    rng = Random(f"scenario {seed}")
    world = _draw_world(rng)
    load = _draw_load(rng)
    groups = [_draw_fault(rng, world, kinds) for _ in range(rng.choice((1, 1, 2, 2, 3)))]
    order_rng = Random(f"order {seed}")
    if order_rng.random() < ORDERED_SHARE:
        world.order_pause = Duration(order_rng.choice((20, 100)) * MS)
        load.ordering_keys = order_rng.choice((1, 3, 8))
        load.deduplicated_share = 0.4
    scenario = Scenario(
        seed=seed, world=world, load=load, faults=[fault for group in groups for fault in group]
    )
    _add_separate_fault(Random(f"terms {seed}"), scenario, kinds)
    _vary_deadline_or_balancers(Random(f"sizes {seed}"), scenario)
    _add_slow_reader(Random(f"slow reader {seed}"), scenario, kinds)
    check(scenario)
    return scenario


def _happens(rng: Random, probability: float) -> bool:
    return rng.random() < probability


def _draw_world(rng: Random) -> WorldSpec:
    pick = rng.choice
    return WorldSpec(
        balancers=2,
        upstreams=rng.randint(3, 6),
        second_tier_upstreams=pick((0, 0, 0, 0, 0, 2)),
        zones=pick((1, 1, 2)),
        cores=pick((1, 2, 2)),
        slots=pick((4, 8)),
        queue=pick((2, 8)),
        mean_work=Duration(pick((10, 40, 80)) * MS),
        warmup_time=Duration(pick((1, 2)) * S),
        initial_capacity=pick((0.15, 0.4)),
        overload_multiple=pick((3.0, 4.0)),
        shares_listener=_happens(rng, 0.25),
        max_descriptors=pick((256, 256, 72)),
        idle_timeout=Duration(pick((1, 2, 5)) * S),
        answers_health_checks=_happens(rng, 0.8),
        may_cancel=_happens(rng, 0.9),
        sends_retry_after=_happens(rng, 0.7),
        send_buffer=pick((262_144, 262_144, 3_000)),
        receive_window=pick((65_536, 65_536, 2_000)),
        max_segment=pick((0, 0, 0, 700)),
        path_idle_timeout=Duration(pick((0, 0, 0, 700)) * MS),
        resets_after_idle=_happens(rng, 0.5),
        discovery_delay=Duration(pick((20, 80, 300)) * MS),
    )


def _draw_load(rng: Random) -> LoadSpec:
    pick = rng.choice
    return LoadSpec(
        requests=rng.randint(100, 130),
        burst_share=pick((0.0, 0.0, 0.3)),
        deduplicated_share=pick((0.0, 0.2)),
        deduplication_scope=pick(("all", "zone", "cell")),
        retries=pick((0, 1, 2)),
        disconnect_share=pick((0.0, 0.05)),
        long_bodies=pick((0.0, 0.0, 0.05)),
        long_answers=pick((0.0, 0.0, 0.05)),
    )


def _vary_deadline_or_balancers(rng: Random, scenario: Scenario) -> None:
    """Give some seeds short deadlines, others many balancers and a burst while an upstream warms up."""
    world = scenario.world
    load = scenario.load
    drawn = rng.random()
    if drawn < SHORT_DEADLINE_SHARE:
        world.deadline = Duration(700 * MS)
        world.latency_objective = Duration(300 * MS)
        world.deduplication_window = Duration(rng.choice((150, 400)) * MS)
    elif drawn < MANY_BALANCERS_THRESHOLD and not world.second_tier_upstreams and not world.shares_listener:
        world.balancers = rng.randint(20, 30)
        load.requests *= 3
        load.burst_share = 0.3
        at = Duration(rng.randrange(600, 1_400) * MS)
        upstream = rng.randrange(world.upstreams)
        scenario.faults.append(Fault("crash", whom=upstream, at=at, span=Duration(300 * MS)))


def _add_separate_fault(rng: Random, scenario: Scenario, kinds: tuple[str, ...]) -> None:
    """Add one of the separately drawn faults, to a third of the seeds or, if `kinds` asks for any, to all."""
    possible = (
        [fault_kind for fault_kind in SEPARATELY_DRAWN_FAULTS if fault_kind in kinds]
        if kinds
        else SEPARATELY_DRAWN_FAULTS
    )
    if not possible or (not kinds and rng.random() > SEPARATE_FAULT_SHARE):
        return
    world = scenario.world
    faults = scenario.faults
    fault_kind = rng.choice(possible)
    at = Duration(rng.randrange(300, 1_500) * MS + rng.randrange(1_000))
    counts = {"upstream": world.upstreams, "discovery": world.balancers, "clients": 1}
    count = counts[GROUP_OF[fault_kind]]
    target = rng.randrange(count)
    size = round(rng.uniform(0.3, 1), 3)
    fault = Fault(fault_kind, whom=target, at=at, span=Duration(2 * S), size=size)
    faults.append(fault)
    if fault_kind == "slow-dial":
        _vary_slow_connects(rng, scenario, fault, count)
    if fault_kind == "behind":  # a balancer shuts down meanwhile, which closes its connections
        balancer = rng.randrange(world.balancers)
        faults.append(Fault("term", whom=balancer, at=Duration(at + S // 5)))
    if fault_kind == "away":  # a process that starts meanwhile has to use the stored endpoint list
        fault.span = Duration(8 * S)
        faults.append(Fault("kill", whom=target, at=Duration(at + S // 2), span=Duration(300 * MS)))
    if fault_kind in DISCOVERY_SILENCES:
        withdraw_at = Duration(at + rng.randrange(50, 900) * MS)
        faults.append(Fault("withdraw", whom=rng.randrange(world.upstreams), at=withdraw_at))
        scenario.length = Duration(12 * S)
        scenario.load.send_time = Duration(11 * S)
        scenario.load.requests *= 2


def _add_slow_reader(rng: Random, scenario: Scenario, kinds: tuple[str, ...]) -> None:
    """Add an upstream that reads slowly, and long bodies, to some seeds or, if `kinds` has it, to all."""
    is_drawn = SLOW_READ in kinds if kinds else rng.random() < SLOW_READER_SHARE
    if not is_drawn:
        return
    world = scenario.world
    world.send_buffer = 262_144
    world.receive_window = 65_536
    scenario.load.long_bodies = 0.2
    scenario.load.long_body_size = rng.choice(SLOW_READER_BODY_SIZES)
    fault = Fault(
        SLOW_READ,
        whom=rng.randrange(world.upstreams),
        at=Duration(rng.randrange(500) * MS),
        span=Duration(4 * S),
        size=round(rng.uniform(0.2, 1), 3),
    )
    scenario.faults.append(fault)


def _vary_slow_connects(rng: Random, scenario: Scenario, fault: Fault, count: int) -> None:
    """Vary what happens while connections come up slowly.

    Clients disconnect, attempts are repeated, and deduplication windows end.
    """
    world = scenario.world
    load = scenario.load
    begins_at = fault.at or Duration(0)
    world.connect_timeout = Duration(rng.choice((75, 400, 900)) * MS)
    load.disconnect_share = 0.4
    world.may_cancel = world.may_cancel and _happens(rng, 0.5)
    world.deduplication_window = Duration(rng.choice((150, 400, 1_200)) * MS)
    load.deduplicated_share = 0.4
    upstream = rng.randrange(count)
    scenario.faults.append(Fault("fail", whom=upstream, at=begins_at, span=Duration(2 * S), size=0.5))
    fault.at = Duration(rng.randrange(200) * MS)  # most connections are opened in the first seconds
    scenario.faults.append(Fault("reset", whom=fault.whom, at=Duration(begins_at + S // 2)))


def _draw_fault(rng: Random, world: WorldSpec, kinds: Sequence[str]) -> list[Fault]:
    """Draw a fault, sometimes with a second one that begins at the most critical moment of the first.

    Return no fault if none of the kinds is possible in that world.
    """
    requested = [KINDS_BY_NAME[name] for name in kinds] or ALL_FAULTS
    possible = [
        kind
        for kind in requested
        if _is_possible(kind, world) and kind not in (*SEPARATELY_DRAWN_FAULTS, SLOW_READ)
    ]
    if not possible:
        return []
    fault_kind = rng.choice(possible)
    target = GROUP_OF[fault_kind]
    counts = {
        "upstream": world.upstreams + world.second_tier_upstreams,
        "balancer": world.balancers,
        "discovery": world.balancers,
        "operator": world.balancers,
    }
    fault = Fault(
        what=fault_kind,
        whom=1 if fault_kind == "cut-zone" else rng.randrange(counts.get(target, 1)),
        at=Duration(rng.randrange(200, 2_500) * MS + rng.randrange(1_000)),
        span=Duration(rng.choice((100, 400, 900, 1_600)) * MS + rng.randrange(1_000)),
        size=round(rng.uniform(0.2, 1.0), 3),
    )
    if fault_kind == "exclude":  # longer than the drain time, within which nothing is a violation
        fault.span = Duration(world.drain_time + rng.randrange(300, 1_500) * MS)
    if fault_kind == "crowd":
        fault.size = round(2 * fault.size, 3)
    if target == "hop" or rng.random() < EVENT_TRIGGER_SHARE:
        fault.at = None
        fault.nth = rng.randint(1, 60)
        fault.on = rng.choice(ATTEMPT_EVENTS)
        fault.name = rng.choice(("query", "submit", ""))
        fault.after = Duration(rng.choice((0, 0, 1, 300)))
    return [fault, *_draw_accompanying_fault(rng, world, fault, kinds)]


def _draw_accompanying_fault(
    rng: Random, world: WorldSpec, fault: Fault, kinds: Sequence[str]
) -> list[Fault]:
    """Draw a second fault: a slow start after a kill, or a fault at a drain's end."""
    fault_kind = fault.what
    if fault_kind == "kill" and (not kinds or "stall" in kinds) and rng.random() < SLOW_START_SHARE:
        span = Duration(rng.randrange(60, 500) * MS)
        return [Fault("stall", whom=fault.whom, on="listening", span=span)]
    if fault_kind in ("drain", "restart") and rng.random() < DRAIN_END_FAULT_SHARE:
        possible = [kind for kind in DRAIN_END_FAULTS if not kinds or kind in kinds]
        drain_end_kind = rng.choice(possible or [fault_kind])
        drain_end_fault = Fault(
            what=drain_end_kind,
            whom=0 if GROUP_OF[drain_end_kind] in ("balancer", "discovery") else fault.whom,
            on="told",
            after=Duration(world.drain_time + rng.choice(DRAIN_END_OFFSETS)),
            span=Duration(200 * MS),
            size=1.0,
        )
        return [drain_end_fault]
    return []


def _is_possible(fault_kind: str, world: WorldSpec) -> bool:
    if fault_kind == "cut-zone":
        return world.zones >= MIN_ZONES_TO_CUT
    return fault_kind != "upgrade" or world.shares_listener
