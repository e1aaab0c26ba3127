"""Conversion of the platform's JSON settings to the policy's: values are checked and units converted."""

import math

import msgspec

from dahliabend.config.platform_schema import PolicySection, ProfileSection
from dahliabend.errors import ConfigurationError
from dahliabend.model import DeduplicationScope, Idempotency, PolicySettings, RequestClass

MAX_COUNT = 1 << 16  # of attempts or streams
MAX_INSTANCES = 1 << 20
MAX_MILLISECONDS = 1e9
MIN_MILLISECONDS = 0.001  # one microsecond
MAX_WEIGHT = 1e6

DEDUPLICATED = "deduplicated"
EFFECTS = {
    "idempotent": Idempotency.IDEMPOTENT,
    DEDUPLICATED: Idempotency.DEDUPLICATED,
    "at_most_once": Idempotency.NON_IDEMPOTENT,
}
DEDUPLICATION_SCOPES = {
    "all": DeduplicationScope.ALL,
    "zone": DeduplicationScope.ZONE,
    "cell": DeduplicationScope.CELL,
}
POLLED_DISCOVERY = "on_request"


def to_microseconds(milliseconds: float) -> int:
    """Convert a time in milliseconds, as in files and messages, to microseconds, rounded."""
    return round(milliseconds * 1000)


def check_range(key: str, value: float, minimum: float, maximum: float) -> None:
    """Check that a number lies within inclusive bounds.

    Raises:
        ConfigurationError: The number is out of bounds.
    """
    if not minimum <= value <= maximum:
        raise ConfigurationError(key, f"{value} is not between {minimum:g} and {maximum:g}")


def read_policy_settings(text: bytes) -> PolicySettings:
    """Read the policy's settings from the simulator's JSON message.

    Raises:
        ValueError: The text is not valid JSON, or a type does not match (the base class of msgspec's errors).
        ConfigurationError: A value is invalid.
    """
    return make_policy_settings(msgspec.json.decode(text, type=PolicySection))


def make_policy_settings(section: PolicySection, prefix: str = "") -> PolicySettings:
    """Check decoded settings and convert them to the policy's units.

    Args:
        section: The decoded settings.
        prefix: The prefix of the section's dotted keys in error messages.

    Raises:
        ConfigurationError: A value is invalid.
    """
    _check_numbers(section, prefix)
    request_classes = tuple(
        _make_request_class(profile, f"{prefix}profiles[{number}]")
        for number, profile in enumerate(section.profiles)
    )
    capabilities = section.capabilities
    contract = section.contract
    return PolicySettings(
        instance_count=max(1, section.instance_count),
        instance_index=section.instance_index,
        tier=section.tier,
        zone=section.zone,
        request_classes=request_classes,
        tenant_quotas=tuple(tenant.quota for tenant in section.tenants),
        over_quota_weight=section.over_quota_weight,
        overall_weight=section.objective.overall_weight,
        worst_class_weight=section.objective.worst_class_weight,
        cross_zone_cost=section.costs.cross_zone,
        max_attempts=capabilities.max_attempts,
        can_cancel=capabilities.can_cancel,
        can_health_check=capabilities.can_health_check,
        sends_retry_after=capabilities.sends_retry_after,
        max_retry_after=to_microseconds(capabilities.max_retry_after),
        polls_endpoints=section.discovery_mode == POLLED_DISCOVERY,
        poll_deadline=to_microseconds(contract.poll_deadline),
        initial_capacity=contract.initial_capacity,
        warmup_time=to_microseconds(contract.warmup_time),
        warmup_multiple=contract.warmup_multiple,
        key_pause=to_microseconds(contract.key_pause),
        can_use_removed_endpoints=contract.can_use_removed_endpoints,
    )


def _check_numbers(section: PolicySection, prefix: str) -> None:
    if not section.profiles:
        raise ConfigurationError(f"{prefix}profiles", "there are none")
    if not -1 <= section.instance_index < max(1, section.instance_count):
        reason = f"{section.instance_index} is not one of {section.instance_count} balancers"
        raise ConfigurationError(f"{prefix}self-index", reason)
    capabilities = section.capabilities
    objective = section.objective
    check_range(f"{prefix}caps.most-hops", capabilities.max_attempts, 1, MAX_COUNT)
    check_range(f"{prefix}caps.max-streams", capabilities.max_streams, 1, MAX_COUNT)
    check_range(f"{prefix}fees.cross-zone", section.costs.cross_zone, 0, MAX_WEIGHT)
    check_range(f"{prefix}balancers", section.instance_count, 0, MAX_INSTANCES)
    check_range(f"{prefix}contract.order-pause", section.contract.key_pause, 0, MAX_MILLISECONDS)
    check_range(f"{prefix}goal.nines-part", objective.nines_weight, 0, MAX_WEIGHT)
    check_range(f"{prefix}goal.top-nines", objective.max_nines, 0.001, MAX_WEIGHT)


def _make_request_class(profile: ProfileSection, key: str) -> RequestClass:
    if profile.effect not in EFFECTS:
        raise ConfigurationError(f"{key}.semantics", f"{profile.effect!r} is unknown")
    if profile.is_ordered and profile.is_stream:
        raise ConfigurationError(f"{key}.in-order", "not together with stream")
    if profile.deduplication_scope not in DEDUPLICATION_SCOPES:
        raise ConfigurationError(f"{key}.group", f"{profile.deduplication_scope!r} is unknown")
    check_range(f"{key}.service-goal", profile.latency_objective, MIN_MILLISECONDS, MAX_MILLISECONDS)
    check_range(f"{key}.hard-limit", profile.deadline, MIN_MILLISECONDS, MAX_MILLISECONDS)
    check_range(f"{key}.dedup-window", profile.deduplication_window, 0, math.inf)
    return RequestClass(
        effect=EFFECTS[profile.effect],
        deduplication_scope=DEDUPLICATION_SCOPES[profile.deduplication_scope],
        deduplication_window=to_microseconds(profile.deduplication_window),
        latency_objective=to_microseconds(profile.latency_objective),
        deadline=to_microseconds(profile.deadline),
        priority_weight=profile.priority_weight,
        late_weight=profile.late_weight,
        is_ordered=profile.is_ordered,
    )
