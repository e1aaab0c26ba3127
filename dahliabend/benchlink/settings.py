"""The settings as the wire words them, turned into the project's own."""

import msgspec

from dahliabend.model import Effect, Group, Profile, Settings


class _Wire(msgspec.Struct, rename="kebab"):
    """Unknown keys are skipped by msgspec; keys left out take these defaults."""


class _Profile(_Wire):
    service_goal: float
    hard_limit: float
    semantics: str
    revenue: float = 1.0
    tardy_revenue: float = 0.0
    group: str = "all"
    dedup_window: float = 0.0


class _Tenant(_Wire):
    allowance_per_s: float = 0.0


class _Caps(_Wire):
    most_hops: int
    may_cancel: bool = False
    probing: bool = False
    retry_after: bool = False
    max_retry_after: float = 0.0


class _Contract(_Wire):
    cold_share: float
    cold: float
    fall_multiple: float
    ask_within: float = 0.0


class _Goal(_Wire):
    whole: float = 1.0
    worst_class: float = 0.0


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


_EFFECTS = {
    "idempotent": Effect.IDEMPOTENT,
    "deduplicated": Effect.JOURNALLED,
    "at_most_once": Effect.NON_IDEMPOTENT,
}
_GROUPS = {"all": Group.ALL, "zone": Group.ZONE, "cell": Group.CELL}


def us(ms: float) -> int:
    return round(ms * 1000)


def read(text: bytes) -> Settings:
    """Settings from the wire's JSON; ValueError (of which msgspec's errors are a kind) if unreadable."""
    conf = msgspec.json.decode(text, type=_Conf)
    caps, contract = conf.caps, conf.contract
    if not conf.profiles:
        raise ValueError("no profiles")
    if not -1 <= conf.self_index < max(1, conf.balancers):
        raise ValueError(f"self-index {conf.self_index} is not one of {conf.balancers} balancers")
    profiles = []
    for p in conf.profiles:
        if p.semantics not in _EFFECTS or p.group not in _GROUPS:
            raise ValueError(f"unknown semantics or group: {p.semantics!r}, {p.group!r}")
        profiles.append(
            Profile(
                effect=_EFFECTS[p.semantics],
                group=_GROUPS[p.group],
                repeat_window=us(p.dedup_window),
                service_goal=us(p.service_goal),
                hard_limit=us(p.hard_limit),
                revenue=p.revenue,
                late_share=p.tardy_revenue,
            )
        )
    return Settings(
        balancers=max(1, conf.balancers),
        number=conf.self_index,
        tier=conf.tier,
        zone=conf.locality,
        profiles=tuple(profiles),
        allowances=tuple(t.allowance_per_s for t in conf.tenants),
        excess_share=conf.excess_revenue,
        whole_weight=conf.goal.whole,
        class_weight=conf.goal.worst_class,
        cross_zone_fee=conf.fees.cross_zone,
        most_hops=caps.most_hops,
        may_cancel=caps.may_cancel,
        may_probe=caps.probing,
        advises=caps.retry_after,
        longest_advice=us(caps.max_retry_after),
        ask_for_list=conf.discovery == "on_request",
        ask_within=us(contract.ask_within),
        cold_share=contract.cold_share,
        cold_time=us(contract.cold),
        cold_multiple=contract.fall_multiple,
    )
