"""Checks of `[pools]`."""

from dahliabend.config.operator_file.schema import EndpointSettings, OperatorFile, PoolSettings
from dahliabend.config.operator_file.source import Key, Source
from dahliabend.routing_rules.checks.common import check_address, check_positive, is_known

MEMBER_SOURCES = ("discovery", "members", "file")  # a pool has exactly one of them


def check_pools(file: OperatorFile, source: Source) -> None:
    """Every pool."""
    own_addresses = {listener.address for listener in file.listeners.values()}
    for name, pool in file.pools.items():
        key = ("pools", name)
        _check_member_source(pool, key, source)
        if pool.members is not None:
            _check_members(pool.members, own_addresses, key, source)
        _check_fallback(file, name, source)
        _check_subset(file, pool, key, source)
        if pool.balancers < 1:
            source.add_fault((*key, "balancers"), f"{pool.balancers} is not above 0")
        if pool.slow_start.multiple <= 1:
            source.add_fault((*key, "cold", "multiple"), f"{pool.slow_start.multiple:g} is not above 1")
        check_positive(pool, ("idle", "dial_time", "drain_notice_time"), key, source)


def _check_member_source(pool: PoolSettings, key: Key, source: Source) -> None:
    given = [name for name in MEMBER_SOURCES if getattr(pool, name) is not None]
    if not given:
        source.add_fault(key, "has no members: discovery, members or file is missing")
    elif len(given) > 1:
        source.add_fault((*key, given[1]), f"{given[0]} says already who its members are")
    if pool.discovery is not None:
        check_address(pool.discovery, (*key, "discovery"), source)
    if pool.file is not None and not pool.file:
        source.add_fault((*key, "file"), "names no file")


def _check_members(
    members: list[EndpointSettings], own_addresses: set[str], pool_key: Key, source: Source
) -> None:
    if not members:
        source.add_fault((*pool_key, "members"), "is empty")
    ids: set[str] = set()
    for number, member in enumerate(members):
        key = (*pool_key, "members", number)
        check_address(member.address, (*key, "address"), source)
        if member.address in own_addresses:
            source.add_fault(
                (*key, "address"), f"{member.address} is this balancer's own: it would ask itself"
            )
        if member.id in ids:
            source.add_fault((*key, "id"), f"{member.id!r} is there twice")
        ids.add(member.id)
        if member.weight <= 0:
            source.add_fault((*key, "weight"), f"{member.weight:g} is not above 0")


def _check_fallback(file: OperatorFile, name: str, source: Source) -> None:
    fallback = file.pools[name].fallback
    key = ("pools", name, "fallback")
    if fallback is None or not is_known(fallback, file.pools, "pool", key, source):
        return
    cycle = _fallback_cycle(file, name)
    if cycle:
        source.add_fault(key, f"goes round: {' -> '.join(cycle)}")


def _fallback_cycle(file: OperatorFile, name: str) -> list[str]:
    """The pools from this one to itself by their fallbacks; empty where these don't come back to it."""
    seen = [name]
    fallback = file.pools[name].fallback
    while fallback in file.pools and fallback not in seen:
        seen.append(fallback)
        fallback = file.pools[fallback].fallback
    return [*seen, name] if fallback == name else []


def _check_subset(file: OperatorFile, pool: PoolSettings, pool_key: Key, source: Source) -> None:
    subset = pool.subset
    if subset is None:
        return
    key = (*pool_key, "subset")
    check_positive(subset, ("least", "degree", "hold"), key, source)
    index = subset.self_index
    if index is None:
        return
    if not 0 <= index < pool.balancers:
        reason = f"{index} is not between 0 and {pool.balancers - 1}: see balancers"
        source.add_fault((*key, "self-index"), reason)
    elif file.members is not None:
        source.add_fault((*key, "self-index"), "[members] says already who balances")
