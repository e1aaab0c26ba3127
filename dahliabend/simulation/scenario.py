"""Scenarios as data: the balancers, upstreams and network of a run ("world"), its load and its faults.

Scenario files are TOML or JSON, decoded by msgspec. A duration is text with its unit: "250ms", "1.5s", "1us".
Unknown keys, unknown faults and faults that are impossible in the scenario are rejected with their path.

The keys and values of the files are stored and published, so they must not change. Those that do not explain
themselves mean:

| key or value | meaning |
| --- | --- |
| `whom` | the index of the fault's target |
| `on`, `nth` | a fault begins at the `nth` recorded event of the kind `on` |
| `behind` (world) | upstreams of a second tier |
| `cold`, `cold-share`, `fall-multiple` | warm-up time, initial capacity, overload multiple of an upstream |
| `may-probe`, `advises` | upstreams answer health checks; rejections carry Retry-After |
| `sending`, `window`, `piece` | send buffer, receive window, largest segment of the network |
| `notice` | the mean delay of discovery |
| `marked` | the share of deduplicated requests |
| `leave`, `trickle`, `fresh` | shares of clients that disconnect, send in pieces, open a new connection |
| `honours` | the share of clients that wait as Retry-After says |
| `mute`, `vanish` | connects time out; the host is unreachable |
| `twice`, `garble` | responses are sent twice; responses are invalid |
| `deaf`, `silent`, `away` | a watch is muted; the discovery agent is silent, for a long time |
| `whole`, `anew` | discovery sends full lists only; restarts its versions |
| `wrong`, `move` | discovery sends invalid updates; changes its address |
| `crowd`, `flood`, `rude` | a burst of requests; pipelined requests; clients that send malformed requests |
| `behind` (fault) | clients that send a request after the server's half-close |
"""

from typing import Literal

import msgspec

from dahliabend.config.operator_file.units import Duration
from dahliabend.simulation.file_format import FileFormat, Table, stored_keys

MS = 1_000  # microseconds in a millisecond
S = 1_000_000  # microseconds in a second
MAX_REQUESTS = 1_000_000
MAX_LENGTH = 24 * 3600 * S

FaultKind = Literal[
    "hang", "slow", "fail", "crash", "restart", "drain", "refuse", "mute", "vanish", "limit", "reset",
    "garble", "flap", "cut-zone", "reset-hop", "lose-hop", "kill", "term", "stall", "reload", "drop-class",
    "broken-file", "upgrade", "late", "silent", "end-watch", "wrong", "move", "exclude", "evacuate",
    "half-call", "crowd", "rude", "twice", "slow-dial", "withdraw", "deaf", "whole", "anew", "flood",
    "behind", "leave", "away", "slow-read",
]  # fmt: skip
FAULTS_BY_TARGET: dict[str, tuple[FaultKind, ...]] = {
    "upstream": ("hang", "slow", "fail", "crash", "restart", "drain", "refuse", "mute", "vanish", "limit",
                 "reset", "garble", "flap", "twice", "slow-dial", "withdraw",
                 "slow-read"),
    "zone": ("cut-zone",),
    "hop": ("reset-hop", "lose-hop"),
    "balancer": ("kill", "term", "stall", "reload", "drop-class", "broken-file", "upgrade"),
    "discovery": ("late", "silent", "end-watch", "wrong", "move", "deaf", "whole", "anew", "away"),
    "operator": ("exclude", "evacuate", "half-call"),
    "clients": ("crowd", "rude", "flood", "behind", "leave"),
}  # fmt: skip
# What each fault affects, and what its `whom` is an index of.
GROUP_OF: dict[str, str] = {what: group for group, kinds in FAULTS_BY_TARGET.items() for what in kinds}
ATTEMPT_EVENTS = ("hop.head", "hop.whole", "begun", "made")
TRIGGER_EVENTS = {
    "hop.head": "an attempt's first byte is written",
    "hop.whole": "an attempt's last byte is written",
    "begun": "an attempt's last byte has come to its upstream",
    "made": "an upstream is about to answer",
    "answer": "a client has received its response",
    "told": "a balancer is notified that an upstream drains or goes",
    "yes": "an operator's call was successful",
    "listening": "a process has just begun to accept clients",
    "ended": "a process has ended",
    "fault": "another fault begins",
}
COUNT_RANGES = (
    ("balancers", 1, 32), ("upstreams", 1, 64), ("second_tier_upstreams", 0, 32), ("zones", 1, 4),
    ("cores", 1, 64), ("slots", 1, 256), ("queue", 0, 1024), ("max_attempts", 1, 16),
    ("max_descriptors", 64, 65536),
)  # fmt: skip
MIN_ZONES_TO_CUT = 2
RESET_THRESHOLD = 0.5  # a fault that cuts a network path resets connections at its end if its size is larger

# The stored keys of fields that have another name in the code, by field.
WORLD_KEYS = {
    "second_tier_upstreams": "behind",
    "second_tier_calls": "calls",
    "second_tier_work": "work-behind",
    "contention_share": "choke-at",
    "mean_work": "work",
    "warmup_time": "cold",
    "initial_capacity": "cold-share",
    "overload_multiple": "fall-multiple",
    "drain_time": "grace",
    "latency_objective": "goal",
    "deadline": "limit",
    "max_attempts": "hops",
    "answers_health_checks": "may-probe",
    "sends_retry_after": "advises",
    "max_descriptors": "sockets",
    "idle_timeout": "conn-idle",
    "connect_timeout": "dial",
    "deduplication_window": "repeat-window",
    "shares_listener": "shared",
    "cross_zone_delay": "cross",
    "send_buffer": "sending",
    "receive_window": "window",
    "max_segment": "piece",
    "path_idle_timeout": "idle-dies",
    "resets_after_idle": "idle-resets",
    "discovery_delay": "notice",
}
LOAD_KEYS = {
    "send_time": "over",
    "burst_share": "burst",
    "submit_share": "submits",
    "deduplicated_share": "marked",
    "deduplication_scope": "group",
    "retry_after_share": "honours",
    "disconnect_share": "leave",
    "chunked_share": "trickle",
    "new_connection_share": "fresh",
    "ordering_keys": "keys",
}


class WorldSpec(Table, rename=stored_keys(WORLD_KEYS)):
    """The balancers, upstreams, network and settings of a run. Durations are in microseconds."""

    balancers: int = 2
    upstreams: int = 4
    second_tier_upstreams: int = 0  # which the upstreams of the first tier call
    second_tier_calls: float = 1.0  # mean number for each request of the first tier, made one after the other
    second_tier_work: Duration = Duration(0)  # mean work of a request there; 0: as in the first tier
    zones: int = 1
    cores: int = 2  # per upstream
    slots: int = 8  # concurrent requests per core
    queue: int = 8  # waiting requests per core
    contention_share: float = 1.0  # the share of its slots from which an upstream slows down
    mean_work: Duration = Duration(8 * MS)  # of a query; the mean work of a submit is 1.5 times as much
    warmup_time: Duration = Duration(2 * S)
    initial_capacity: float = 0.4  # share of the full capacity at the start of the warm-up
    overload_multiple: float = 4.0
    drain_time: Duration = Duration(1_500 * MS)
    latency_objective: Duration = Duration(500 * MS)
    deadline: Duration = Duration(1_500 * MS)
    max_attempts: int = 4  # per request
    answers_health_checks: bool = True
    may_cancel: bool = True
    sends_retry_after: bool = True
    max_descriptors: int = 256  # per balancer
    idle_timeout: Duration = Duration(2 * S)
    connect_timeout: Duration = Duration(75 * MS)  # for a connection to an upstream
    deduplication_window: Duration = Duration(1_200 * MS)
    order_pause: Duration = Duration(0)  # pause of an ordering key after an attempt that may still run
    shares_listener: bool = False  # processes of a balancer share a listener and a runtime directory
    admin: bool = True
    delay: Duration = Duration(250)
    cross_zone_delay: Duration = Duration(3 * MS)
    jitter: float = 0.3
    send_buffer: int = 262_144
    receive_window: int = 65_536
    max_segment: int = 0
    path_idle_timeout: Duration = Duration(0)
    resets_after_idle: bool = False
    discovery_delay: Duration = Duration(50 * MS)


class LoadSpec(Table, rename=stored_keys(LOAD_KEYS)):
    """The clients' requests. Durations are in microseconds."""

    requests: int = 110
    send_time: Duration = Duration(4 * S)
    burst_share: float = 0.0  # the share of requests sent within a tenth of the time
    submit_share: float = 0.4
    deduplicated_share: float = 0.1
    deduplication_scope: Literal["all", "zone", "cell"] = "cell"
    retries: int = 1
    retry_after_share: float = 0.8
    disconnect_share: float = 0.02
    chunked_share: float = 0.03
    new_connection_share: float = 0.1
    long_bodies: float = 0.0
    long_answers: float = 0.0
    ordering_keys: int = 0  # number of keys among deduplicated requests; 0: requests have no key
    long_body_size: int = 120_000  # bytes


class Fault(Table):
    """A fault that begins at a time or at an event of the run.

    `at` counts from the start of the load. With `on`, the fault begins `after` microseconds after the `nth`
    event of that kind; for events of requests, `name` restricts these to one request class.
    """

    what: FaultKind
    whom: int = 0
    at: Duration | None = None
    on: str = ""
    nth: int = 1
    name: str = ""  # a request class
    after: Duration = Duration(0)
    span: Duration = Duration(500 * MS)
    size: float = 0.0


class Scenario(Table):
    """The complete description of a run."""

    seed: int = 0
    length: Duration = Duration(5 * S)
    world: WorldSpec = msgspec.field(default_factory=WorldSpec)
    load: LoadSpec = msgspec.field(default_factory=LoadSpec)
    faults: list[Fault] = msgspec.field(default_factory=list)
    why: str = ""  # a remark for readers of the file
    breaks: str = ""  # the rule that a regression file once violated


def check(scenario: Scenario) -> None:
    """Check what the types cannot: ranges of numbers, and whether the faults are possible in the scenario.

    Raises:
        ValueError: a value is invalid; the message has its path.
    """
    keys = {field.name: field.encode_name for field in msgspec.structs.fields(WorldSpec)}
    for name, minimum, maximum in COUNT_RANGES:
        value = getattr(scenario.world, name)
        if not minimum <= value <= maximum:
            raise ValueError(f"$.world.{keys[name]}: {value} is not between {minimum} and {maximum}")
    requests = scenario.load.requests
    if not 1 <= requests <= MAX_REQUESTS:
        raise ValueError(f"$.load.requests: {requests} is not between 1 and {MAX_REQUESTS}")
    if scenario.load.send_time > scenario.length:
        raise ValueError("$.load.over: longer than the run")
    if scenario.length > MAX_LENGTH:
        raise ValueError("$.length: longer than a day")
    for number, fault in enumerate(scenario.faults):
        path = f"$.faults[{number}]"
        _check_target(scenario.world, fault, path)
        _check_requirements(scenario.world, fault, path)
        _check_trigger(scenario, fault, path)


def _check_target(world: WorldSpec, fault: Fault, path: str) -> None:
    target = GROUP_OF[fault.what]
    counts = {
        "upstream": world.upstreams + world.second_tier_upstreams,
        "balancer": world.balancers,
        "discovery": world.balancers,
        "operator": world.balancers,
        "zone": world.zones,
    }
    if target in counts and not 0 <= fault.whom < counts[target]:
        raise ValueError(f"{path}.whom: there is no {target} {fault.whom}")


def _check_requirements(world: WorldSpec, fault: Fault, path: str) -> None:
    target = GROUP_OF[fault.what]
    if fault.what == "cut-zone" and (world.zones < MIN_ZONES_TO_CUT or fault.whom == 0):
        raise ValueError(f"{path}.what: the callers' own zone, or the only one, can't be cut off")
    if fault.what == "upgrade" and not world.shares_listener:
        raise ValueError(f"{path}.what: an upgrade wants world.shared")
    if target == "operator" and not world.admin:
        raise ValueError(f"{path}.what: there is no operators' door, world.admin is off")
    if target == "hop" and fault.on not in ATTEMPT_EVENTS:
        raise ValueError(f"{path}.on: {fault.what} needs a hop's event")


def _check_trigger(scenario: Scenario, fault: Fault, path: str) -> None:
    if (fault.at is None) == (not fault.on):
        raise ValueError(f"{path}: needs either at or on")
    if fault.on and fault.on not in TRIGGER_EVENTS:
        raise ValueError(f"{path}.on: {fault.on!r} is none of {', '.join(TRIGGER_EVENTS)}")
    if fault.at is not None and not 0 <= fault.at <= scenario.length:
        raise ValueError(f"{path}.at: {fault.at} is outside the run")
    if fault.after < 0 or fault.span < 0 or fault.nth < 1:
        raise ValueError(f"{path}: after and span can't be negative, nth begins at 1")


SCENARIO_FILES = FileFormat(Scenario, check)
