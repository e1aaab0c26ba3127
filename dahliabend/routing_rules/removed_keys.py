"""Keys that a reloaded operator's file must not leave out, because their defaults would loosen a rule.

Without `group` a deduplicated class is repeated at any upstream. Without `balancers` or `cold` each balancer
sends more to a new upstream, and without `cell` or `zone` an upstream counts as one of another group.
"""

from collections.abc import Iterator, Mapping
from typing import Any

from dahliabend.config.operator_file.source import Fault, Key, Source

CLASS_KEYS = ("group",)
POOL_KEYS = ("balancers", "cold")
SLOW_START_KEYS = ("share", "time", "multiple")  # of a pool's `cold` table
MEMBER_KEYS = ("cell", "zone")  # of an entry in a pool's `members`

Table = Mapping[str, Any]


def removed_key_faults(in_force: Source, new: Source) -> list[Fault]:
    """Return a fault for each such key of the file in force that a new file has no longer.

    A class, a pool or an upstream may be removed as a whole.
    """
    keys = _removed_keys(in_force.tree, new.tree)
    return [new.fault(key, "is missing, but the file in force has it") for key in keys]


def _removed_keys(before: Table, after: Table) -> Iterator[Key]:
    for name, old, new in _in_both(before.get("classes", {}), after.get("classes", {})):
        yield from _missing(old, new, CLASS_KEYS, ("classes", name))
    for name, old, new in _in_both(before.get("pools", {}), after.get("pools", {})):
        pool_key: Key = ("pools", name)
        yield from _missing(old, new, POOL_KEYS, pool_key)
        if "cold" in new:
            yield from _missing(old.get("cold", {}), new["cold"], SLOW_START_KEYS, (*pool_key, "cold"))
        new_numbers = {member["id"]: number for number, member in enumerate(new.get("members", ()))}
        for member_id, old_member, new_member in _in_both(_members_by_id(old), _members_by_id(new)):
            member_key = (*pool_key, "members", new_numbers[member_id])
            yield from _missing(old_member, new_member, MEMBER_KEYS, member_key)


def _members_by_id(pool: Table) -> dict[str, Table]:
    return {member["id"]: member for member in pool.get("members", ())}


def _in_both(before: Mapping[str, Table], after: Mapping[str, Table]) -> Iterator[tuple[str, Table, Table]]:
    """Yield the name and both versions of each table that both files have."""
    for name, old in before.items():
        if name in after:
            yield name, old, after[name]


def _missing(old: Table, new: Table, names: tuple[str, ...], key: Key) -> Iterator[Key]:
    """Yield the keys with these names that only the old version of the table at `key` has."""
    return ((*key, name) for name in names if name in old and name not in new)
