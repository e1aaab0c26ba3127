"""The one place where configuration is read, checked and given defaults, for sockets and for the simulator.

A fault is a `ValueError` whose one line names the key.
"""

import os
from collections.abc import Mapping
from dataclasses import dataclass
from ipaddress import IPv4Address

import msgspec

from dahliabend.model import DeduplicationScope, Effect, RequestClass, Settings
from dahliabend.transport import host_info


class _Wire(msgspec.Struct, rename="kebab"):
    """Unknown keys are skipped by msgspec; keys left out take these defaults."""


class _Profile(_Wire):
    service_goal: float
    hard_limit: float
    semantics: str
    revenue: float = 1.0
    tardy_revenue: float = 0.0
    group: str = "all"
    name: str = ""
    stream: bool = False
    dedup_window: float = 0.0
    in_order: bool = False


class _Tenant(_Wire):
    name: str = ""
    allowance_per_s: float = 0.0


class _Caps(_Wire):
    most_hops: int
    may_cancel: bool = False
    probing: bool = False
    retry_after: bool = False
    max_retry_after: float = 0.0
    conn_idle: float = 15_000.0
    dial_timeout: float = 250.0
    most_held: int = 20_000
    max_streams: int = 1
    may_tell: bool = False


class _Report(_Wire):
    fields: list[str] = []
    source: str = "off"


class _Contract(_Wire):
    cold_share: float
    cold: float
    fall_multiple: float
    ask_within: float = 0.0
    answer_slack: float = 20.0
    order_pause: float = 0.0
    drain_binds_alone: bool = False


class _Goal(_Wire):
    whole: float = 1.0
    worst_class: float = 0.0
    nines_part: float = 0.0
    top_nines: float = 3.0


class _Fees(_Wire):
    cross_zone: float = 0.0


class _Conf(_Wire):
    balancers: int
    profiles: list[_Profile]
    caps: _Caps
    contract: _Contract
    discovery: str
    tier: int = 0
    locality: int = 0
    self_index: int = -1
    tenants: list[_Tenant] = []
    excess_revenue: float = 1.0
    goal: _Goal = msgspec.field(default_factory=_Goal)
    fees: _Fees = msgspec.field(default_factory=_Fees)
    localities: list[str] = []
    report: _Report = msgspec.field(default_factory=_Report)


class _Limits(msgspec.Struct):
    sockets: int = 1024


class _Node(msgspec.Struct):
    """The file that a balancer on sockets finds at PROXY_CONFIG."""

    settings: _Conf
    listen: str = ""
    discovery: str = ""
    admin: str = ""
    name: str = ""
    seed: str = ""
    limits: _Limits = msgspec.field(default_factory=_Limits)
    known: dict = {}
    log: str = "info"


@dataclass(frozen=True, slots=True)
class ServerSettings:
    """What a balancer on sockets goes by."""

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    admin: tuple[str, int] | None  # where operators call
    listener_descriptor: int | None  # the callers' listener, where the platform holds it
    shared_directory: str  # the folder of all processes that have it; empty: there is one only
    seed: int
    descriptor_limit: int
    known_endpoints: dict  # the list as this balancer last had it, in discovery's form
    verbose: bool
    settings: Settings
    class_indices: dict[bytes, int]
    tenant_indices: dict[bytes, int]
    zone_indices: dict[str, int]
    class_deadlines: tuple[int, ...]  # the hard limit, by profile
    deadline_slack: (
        int  # the caller's limit may be this much nearer than it looks: bytes wait for a busy machine
    )
    connect_timeout: int
    idle_reuse_time: int  # for how long an idle connection is used again
    health_check_timeout: int
    max_in_flight: int
    report_fields: tuple[str, ...]  # that probes bring
    unsupported_keys: tuple[str, ...]  # settings that allow what this program does not do
    named_keys: frozenset[str]  # that the file names
    monotonic_offset: int  # added to Unix time in microseconds it gives monotonic time

    @property
    def policy_inputs(self) -> tuple:
        """What the decisions and their port go by: where it differs, they are made anew."""
        return (
            self.settings,
            self.class_indices,
            self.tenant_indices,
            self.zone_indices,
            self.deadline_slack,
            self.connect_timeout,
            self.idle_reuse_time,
            self.report_fields,
        )


IDLE_REUSE_RATIO = 7 / 8  # of the settings' idle time, after which the other end may have closed


_EFFECTS = {
    "idempotent": Effect.IDEMPOTENT,
    "deduplicated": Effect.DEDUPLICATED,
    "at_most_once": Effect.NON_IDEMPOTENT,
}
_GROUPS = {"all": DeduplicationScope.ALL, "zone": DeduplicationScope.ZONE, "cell": DeduplicationScope.CELL}


def to_microseconds(ms: float) -> int:
    return round(ms * 1000)


def read_policy_settings(text: bytes) -> Settings:
    """Settings from the wire's JSON; ValueError (of which msgspec's errors are a kind) if unreadable."""
    return _settings(msgspec.json.decode(text, type=_Conf))


def _keys(raw: dict) -> frozenset[str]:
    """Which a file names, of itself and of the tables in its settings.

    >>> sorted(_keys({"listen": "", "settings": {"caps": {"most-hops": 1}, "fees": {}}}))
    ['listen', 'settings', 'settings.caps', 'settings.caps.most-hops', 'settings.fees']
    """
    settings = raw.get("settings") or {}
    tables = {"": raw, "settings.": settings}
    tables |= {f"settings.{name}.": value for name, value in settings.items() if isinstance(value, dict)}
    return frozenset(above + name for above, table in tables.items() for name in table)


def read_server_settings(
    environment: Mapping[str, str], needed: frozenset[str] = frozenset()
) -> ServerSettings:
    """The configuration of a balancer on sockets: the file, with the variables before it. It has to name the
    keys that are `needed`."""
    path = environment.get("PROXY_CONFIG", "")
    if not path:
        raise ValueError("PROXY_CONFIG: not set; it names the configuration file")
    try:
        raw = host_info.read_file(path)
    except OSError as error:
        raise ValueError(f"PROXY_CONFIG: {path}: {error.strerror}") from None
    try:
        return _read(raw, environment, needed)
    except ValueError as error:  # msgspec's errors are a kind of it
        raise ValueError(f"{path}: {error}") from None


def _read(raw: bytes, environment: Mapping[str, str], needed: frozenset[str]) -> ServerSettings:
    tree = msgspec.json.decode(raw)
    node = msgspec.convert(tree, _Node)
    keys = _keys(tree)
    if missing := sorted(needed - keys):
        raise ValueError(f"{missing[0]}: missing")
    conf = node.settings
    settings = _settings(conf, "settings.")
    _within("limits.sockets", node.limits.sockets, 64, 1 << 20)
    _within("settings.caps.conn-idle", conf.caps.conn_idle, 1, 1e9)
    _within("settings.caps.dial-timeout", conf.caps.dial_timeout, 1, 1e9)
    _within("settings.caps.most-held", conf.caps.most_held, 1, 1e9)
    names = [p.name for p in conf.profiles]
    for number, name in enumerate(names):
        if not name or name in names[:number]:
            raise ValueError(f"settings.profiles[{number}].name: {name!r} is empty or used before")
        if conf.profiles[number].stream:
            raise ValueError(f"settings.profiles[{number}].stream: no streams on sockets")
    if node.known and not isinstance(node.known.get("version"), int):
        raise ValueError("known.version: missing, or no whole number")
    if not isinstance(node.known.get("servers", []), list):
        raise ValueError("known.servers: no list")
    if node.log not in ("info", "debug"):
        raise ValueError(f"log: {node.log!r} is neither info nor debug")
    try:
        seed = int(node.seed or "0", 16)
    except ValueError:
        raise ValueError(f"seed: {node.seed!r} is no hexadecimal number") from None
    admin = environment.get("PROXY_ADMIN") or node.admin
    given = environment.get("PROXY_FD", "")
    if given and not (given.isascii() and given.isdigit() and len(given) < 10):
        raise ValueError(f"PROXY_FD: {given!r} is no descriptor's number")
    inherited = int(given) if given else None
    shared = os.path.join(environment.get("TMPDIR") or "/tmp", "dahliabend")
    unmet = {"caps.max-streams": conf.caps.max_streams > 1, "caps.may-tell": conf.caps.may_tell}
    return ServerSettings(
        name=environment.get("PROXY_NAME") or node.name or "dahliabend",
        listen=_address("listen", environment.get("PROXY_LISTEN") or node.listen),
        discovery=_address("discovery", environment.get("PROXY_DISCOVERY") or node.discovery),
        admin=_address("admin", admin) if admin else None,
        listener_descriptor=inherited,
        shared_directory=shared if given else "",
        seed=seed,
        descriptor_limit=node.limits.sockets,
        known_endpoints=node.known,
        verbose=node.log == "debug",
        settings=settings,
        class_indices={name.encode(): index for index, name in enumerate(names)},
        tenant_indices={t.name.encode(): index for index, t in enumerate(conf.tenants)},
        zone_indices={name: index for index, name in enumerate(conf.localities)},
        class_deadlines=tuple(p.deadline for p in settings.request_classes),
        deadline_slack=to_microseconds(conf.contract.answer_slack),
        connect_timeout=to_microseconds(conf.caps.dial_timeout),
        idle_reuse_time=round(to_microseconds(conf.caps.conn_idle) * IDLE_REUSE_RATIO),
        health_check_timeout=2 * to_microseconds(conf.caps.dial_timeout),
        max_in_flight=conf.caps.most_held,
        report_fields=tuple(conf.report.fields) if conf.report.source == "on_probe" else (),
        unsupported_keys=tuple(key for key, asked in unmet.items() if asked),
        named_keys=keys,
        monotonic_offset=host_info.monotonic_ns() // 1000 - host_info.time_ns() // 1000,
    )


def reread_server_settings(environment: Mapping[str, str], keys: frozenset[str]) -> ServerSettings:
    """The file once more, while running. What it says goes before what the program was started with: the
    variable still names the list service of the start. A key that the file in force has may not be missing:
    cut by mistake, its default would take over unseen."""
    return read_server_settings({**environment, "PROXY_DISCOVERY": ""}, keys)


def parse_address(text: str) -> tuple[str, int]:
    """Host and port; there are no names to resolve here.

    >>> parse_address("10.0.0.4:8080")
    ('10.0.0.4', 8080)
    """
    host, _, port = text.rpartition(":")
    try:
        IPv4Address(host)
        if port.isascii() and port.isdigit() and 0 < int(port) < 65536:
            return host, int(port)
    except ValueError:
        pass
    raise ValueError(f"{text!r} is not an IPv4 address and port")


def _address(key: str, text: str) -> tuple[str, int]:
    try:
        return parse_address(text)
    except ValueError as error:
        raise ValueError(f"{key}: {error}") from None


def _within(key: str, value: float, least: float, most: float) -> None:
    if not least <= value <= most:
        raise ValueError(f"{key}: {value} is not between {least:g} and {most:g}")


def _settings(conf: _Conf, above: str = "") -> Settings:
    caps, contract = conf.caps, conf.contract
    if not conf.profiles:
        raise ValueError(f"{above}profiles: there are none")
    if not -1 <= conf.self_index < max(1, conf.balancers):
        raise ValueError(f"{above}self-index: {conf.self_index} is not one of {conf.balancers} balancers")
    _within(f"{above}caps.most-hops", caps.most_hops, 1, 1 << 16)
    _within(f"{above}caps.max-streams", caps.max_streams, 1, 1 << 16)
    _within(f"{above}fees.cross-zone", conf.fees.cross_zone, 0, 1e6)
    _within(f"{above}balancers", conf.balancers, 0, 1 << 20)
    _within(f"{above}contract.order-pause", contract.order_pause, 0, 1e9)
    _within(f"{above}goal.nines-part", conf.goal.nines_part, 0, 1e6)
    _within(f"{above}goal.top-nines", conf.goal.top_nines, 0.001, 1e6)
    profiles = []
    for number, p in enumerate(conf.profiles):
        if p.semantics not in _EFFECTS:
            raise ValueError(f"{above}profiles[{number}].semantics: {p.semantics!r} is unknown")
        if p.in_order and p.stream:
            raise ValueError(f"{above}profiles[{number}].in-order: not together with stream")
        if p.group not in _GROUPS:
            raise ValueError(f"{above}profiles[{number}].group: {p.group!r} is unknown")
        _within(f"{above}profiles[{number}].service-goal", p.service_goal, 0.001, 1e9)
        _within(f"{above}profiles[{number}].hard-limit", p.hard_limit, 0.001, 1e9)
        profiles.append(
            RequestClass(
                effect=_EFFECTS[p.semantics],
                deduplication_scope=_GROUPS[p.group],
                deduplication_window=to_microseconds(p.dedup_window),
                latency_objective=to_microseconds(p.service_goal),
                deadline=to_microseconds(p.hard_limit),
                priority_weight=p.revenue,
                late_weight=p.tardy_revenue,
                is_ordered=p.in_order,
            )
        )
    return Settings(
        instance_count=max(1, conf.balancers),
        instance_index=conf.self_index,
        tier=conf.tier,
        zone=conf.locality,
        request_classes=tuple(profiles),
        tenant_quotas=tuple(t.allowance_per_s for t in conf.tenants),
        over_quota_weight=conf.excess_revenue,
        overall_weight=conf.goal.whole,
        worst_class_weight=conf.goal.worst_class,
        cross_zone_cost=conf.fees.cross_zone,
        max_attempts=caps.most_hops,
        can_cancel=caps.may_cancel,
        can_health_check=caps.probing,
        sends_retry_after=caps.retry_after,
        max_retry_after=to_microseconds(caps.max_retry_after),
        polls_endpoints=conf.discovery == "on_request",
        poll_deadline=to_microseconds(contract.ask_within),
        initial_capacity=contract.cold_share,
        warmup_time=to_microseconds(contract.cold),
        warmup_multiple=contract.fall_multiple,
        key_rest=to_microseconds(contract.order_pause),
        only_draining_binds=contract.drain_binds_alone,
    )
