"""What a reload from one file to another would change, and what becomes of each change."""

from enum import StrEnum
from typing import TypedDict

from dahliabend.routing_rules.loaded_file import LoadedFile, settings

RESTART_TABLES = ("listeners", "members")  # a reload does not put their changes in force,
RELOADED_MEMBER_KEYS = {"zone", "weight", "seeds", "seeds-file", "seeds-discovery", "key-files"}  # but these


class ChangeKind(StrEnum):
    """How a setting differs; shown by its word."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


class Change(TypedDict):
    """One setting that differs, as it is shown."""

    key: str  # of the setting; a route is identified by its name
    how: ChangeKind
    old: object  # None where it was added
    new: object  # None where it was removed
    effect: str  # what becomes of it, in words


def diff(old: LoadedFile, new: LoadedFile) -> list[Change]:
    """Compare two files without faults, by the keys of their settings in order."""
    before = _settings_by_name(old)
    after = _settings_by_name(new)
    changes = []
    for key in sorted(before.keys() | after.keys()):
        old_value = before.get(key)
        new_value = after.get(key)
        if old_value != new_value:
            kind = _kind_of_change(old_value, new_value)
            effect = _effect(key, kind, new)
            changes.append(Change(key=key, how=kind, old=old_value, new=new_value, effect=effect))
    return changes


def needs_restart(key: str) -> bool:
    """Whether a change of this key waits for a restart."""
    table, _, rest = key.partition(".")
    is_reloaded = table == "members" and rest.partition("[")[0] in RELOADED_MEMBER_KEYS
    return table in RESTART_TABLES and not is_reloaded


def _settings_by_name(loaded: LoadedFile) -> dict[str, object]:
    """Values of settings by keys that hold when routes change their order."""
    names = [route.name for route in loaded.usable_file.routes]
    values = {}
    for key, setting in settings(loaded).items():
        if key.startswith("routes["):
            number, _, rest = key.removeprefix("routes[").partition("]")
            key = f"routes.{names[int(number)]}{rest}"
        values[key] = setting.value
    return values


def _kind_of_change(old: object, new: object) -> ChangeKind:
    if old is None:
        return ChangeKind.ADDED
    return ChangeKind.REMOVED if new is None else ChangeKind.CHANGED


def _effect(key: str, kind: ChangeKind, new: LoadedFile) -> str:
    table, _, rest = key.partition(".")
    name = rest.partition(".")[0]
    file = new.usable_file
    if needs_restart(key):
        return "wants a restart; a reload passes it over"
    if table == "pools" and kind is ChangeKind.REMOVED and name not in file.pools:
        return "the pool goes once what is open there has ended"
    if table == "routes" and kind is ChangeKind.REMOVED and name not in [route.name for route in file.routes]:
        return "the route takes nothing new; what is open ends as it was taken"
    return "from the reload on, for what is taken then"
