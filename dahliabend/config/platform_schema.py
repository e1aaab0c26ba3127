"""The schema of the platform's JSON file, as msgspec structs that map its keys to the code's names.

Unknown keys are ignored; missing keys take the defaults given here. Times are in milliseconds. Only types are
checked here; `platform` and `policy_settings` check the values.
"""

from typing import Any

from msgspec import Struct, field


class ProfileSection(Struct):
    """A request class."""

    latency_objective: float = field(name="service-goal")
    deadline: float = field(name="hard-limit")
    effect: str = field(name="semantics")
    priority_weight: float = field(name="revenue", default=1.0)
    late_weight: float = field(name="tardy-revenue", default=0.0)
    deduplication_scope: str = field(name="group", default="all")
    name: str = ""
    is_stream: bool = field(name="stream", default=False)
    deduplication_window: float = field(name="dedup-window", default=0.0)
    is_ordered: bool = field(name="in-order", default=False)


class TenantSection(Struct):
    """A tenant and its quota."""

    name: str = ""
    quota: float = field(name="allowance-per-s", default=0.0)  # requests per second


class CapabilitySection(Struct):
    """The features that a balancer may use, and their limits."""

    max_attempts: int = field(name="most-hops")
    can_cancel: bool = field(name="may-cancel", default=False)
    can_health_check: bool = field(name="probing", default=False)
    sends_retry_after: bool = field(name="retry-after", default=False)
    max_retry_after: float = field(name="max-retry-after", default=0.0)
    idle_timeout: float = field(name="conn-idle", default=15_000.0)
    connect_timeout: float = field(name="dial-timeout", default=250.0)
    max_in_flight: int = field(name="most-held", default=20_000)
    max_streams: int = field(name="max-streams", default=1)
    sends_to_peers: bool = field(name="may-tell", default=False)


class LoadReportSection(Struct):
    """The load reports of upstreams: their fields and how they are obtained."""

    fields: list[str] = []
    source: str = "off"


class ContractSection(Struct):
    """The guarantees of upstreams and the discovery service."""

    initial_capacity: float = field(name="cold-share")
    warmup_time: float = field(name="cold")
    warmup_multiple: float = field(name="fall-multiple")
    poll_deadline: float = field(name="ask-within", default=0.0)
    deadline_slack: float = field(name="answer-slack", default=20.0)
    key_pause: float = field(name="order-pause", default=0.0)
    can_use_removed_endpoints: bool = field(name="drain-binds-alone", default=False)


class ObjectiveSection(Struct):
    """The weights of the operators' goal, which the policy pursues and simulation runs are scored by."""

    overall_weight: float = field(name="whole", default=1.0)
    worst_class_weight: float = field(name="worst-class", default=0.0)
    nines_weight: float = field(name="nines-part", default=0.0)
    max_nines: float = field(name="top-nines", default=3.0)


class CostSection(Struct):
    """The costs of requests."""

    cross_zone: float = field(name="cross-zone", default=0.0)


class PolicySection(Struct):
    """The settings of the policy: `settings` in the platform's file, or the whole JSON of the simulator."""

    instance_count: int = field(name="balancers")
    profiles: list[ProfileSection]
    capabilities: CapabilitySection = field(name="caps")
    contract: ContractSection
    discovery_mode: str = field(name="discovery")
    tier: int = 0
    zone: int = field(name="locality", default=0)
    instance_index: int = field(name="self-index", default=-1)
    tenants: list[TenantSection] = []
    over_quota_weight: float = field(name="excess-revenue", default=1.0)
    objective: ObjectiveSection = field(name="goal", default_factory=ObjectiveSection)
    costs: CostSection = field(name="fees", default_factory=CostSection)
    zones: list[str] = field(name="localities", default_factory=list)
    load_report: LoadReportSection = field(name="report", default_factory=LoadReportSection)


DEFAULT_MEMORY_MB = 192.0


class LimitSection(Struct):
    """The resource limits of the process."""

    descriptors: int = field(name="sockets", default=1024)
    memory_mb: float = DEFAULT_MEMORY_MB


class PlatformFile(Struct):
    """The platform's file at PROXY_CONFIG."""

    settings: PolicySection
    listen: str = ""
    discovery: str = ""
    admin: str = ""
    name: str = ""
    seed: str = ""
    limits: LimitSection = field(default_factory=LimitSection)
    known_endpoints: dict[Any, Any] = field(name="known", default_factory=dict)
    log_level: str = field(name="log", default="info")
