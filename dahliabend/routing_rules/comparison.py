"""Comparison of two operator's files: the settings that a reload would change, and what each change does."""

from enum import StrEnum
from typing import TypedDict

from dahliabend.routing_rules.loaded_file import LoadedFile, collect_settings

RESTART_TABLES = ("listeners", "members")  # a reload does not apply changes in these tables,
# except for these keys of `[members]`.
RELOADABLE_MEMBER_KEYS = {"zone", "weight", "seeds", "seeds-file", "seeds-discovery", "key-files"}


class ChangeKind(StrEnum):
    """How a setting differs; printed by its value."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


class Change(TypedDict):
    """A setting that differs, as it is printed."""

    key: str  # key of the setting; routes are identified by name
    how: ChangeKind
    old: object  # None if the setting was added
    new: object  # None if the setting was removed
    effect: str  # when and how a reload applies the change, in words


def diff(old: LoadedFile, new: LoadedFile) -> list[Change]:
    """Return the settings that differ between two files without faults, sorted by key."""
    old_values = _values_by_stable_key(old)
    new_values = _values_by_stable_key(new)
    changes = []
    for key in sorted(old_values.keys() | new_values.keys()):
        old_value = old_values.get(key)
        new_value = new_values.get(key)
        if old_value != new_value:
            change_kind = _change_kind(old_value, new_value)
            effect = _effect(key, change_kind, new)
            changes.append(Change(key=key, how=change_kind, old=old_value, new=new_value, effect=effect))
    return changes


def needs_restart(key: str) -> bool:
    """Return whether a change of a setting, given by its key, takes effect only after a restart."""
    table, _, rest = key.partition(".")
    is_reloadable = table == "members" and rest.partition("[")[0] in RELOADABLE_MEMBER_KEYS
    return table in RESTART_TABLES and not is_reloadable


def _values_by_stable_key(loaded: LoadedFile) -> dict[str, object]:
    """Return the values of settings by keys that do not depend on the order of routes."""
    names = [route.name for route in loaded.decoded_file.routes]
    values = {}
    for key, setting in collect_settings(loaded).items():
        if key.startswith("routes["):
            number, _, rest = key.removeprefix("routes[").partition("]")
            key = f"routes.{names[int(number)]}{rest}"
        values[key] = setting.value
    return values


def _change_kind(old: object, new: object) -> ChangeKind:
    if old is None:
        return ChangeKind.ADDED
    return ChangeKind.REMOVED if new is None else ChangeKind.CHANGED


def _effect(key: str, change_kind: ChangeKind, new: LoadedFile) -> str:
    table, _, rest = key.partition(".")
    name = rest.partition(".")[0]
    file = new.decoded_file
    if needs_restart(key):
        return "wants a restart; a reload passes it over"
    is_removed = change_kind is ChangeKind.REMOVED
    if table == "pools" and is_removed and name not in file.pools:
        return "the pool goes once what is open there has ended"
    if table == "routes" and is_removed and name not in [route.name for route in file.routes]:
        return "the route takes nothing new; what is open ends as it was taken"
    return "from the reload on, for what is taken then"
