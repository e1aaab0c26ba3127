"""The keys that a JSON file contains: a reload compares them with those of the file in force."""

import re
from collections.abc import Iterator
from typing import Any

import msgspec

STATE_KEYS = frozenset(("known",))  # tables that hold state: their contents change from file to file
ENTRY_NAME_KEY = "name"  # the key that identifies an entry in a list of tables
_BARE_KEY = re.compile(r"[A-Za-z0-9_-]+")


def present_keys(tree: dict[str, Any]) -> frozenset[str]:
    """Return the dotted keys of all tables in a file, also of the tables in lists.

    An entry in a list is identified by its name, because its position may change. Entries without a name are
    left out.

    >>> sorted(present_keys({"limits": {"sockets": 64}, "profiles": [{"name": "query", "group": "all"}]}))
    ['limits', 'limits.sockets', 'profiles', 'profiles["query"]', 'profiles["query"].group', \
'profiles["query"].name']
    """
    return frozenset(_table_keys(tree, ""))


def entry_key(list_key: str, name: str) -> str:
    """Return the key of the entry with this name in a list of tables.

    >>> entry_key("settings.profiles", "query")
    'settings.profiles["query"]'
    """
    return f"{list_key}[{_quoted(name)}]"


def missing_keys(required: frozenset[str], present: frozenset[str]) -> list[str]:
    """Return the required keys that are not present, sorted.

    An entry may be removed from a list as a whole, with all its keys.

    >>> before = present_keys({"classes": [{"name": "a", "group": "cell"}, {"name": "b", "group": "cell"}]})
    >>> missing_keys(before, present_keys({"classes": [{"name": "a"}]}))
    ['classes["a"].group']
    """
    missing = required - present
    removed_entries = tuple(f"{key}." for key in missing if _is_entry(key))
    return sorted(key for key in missing if not _is_entry(key) and not key.startswith(removed_entries))


def _table_keys(table: dict[str, Any], prefix: str) -> Iterator[str]:
    for name, value in table.items():
        key = prefix + (name if _BARE_KEY.fullmatch(name) else _quoted(name))
        yield key
        if not prefix and name in STATE_KEYS:
            continue
        if isinstance(value, dict):
            yield from _table_keys(value, f"{key}.")
        elif isinstance(value, list):
            yield from _entry_keys(value, key)


def _entry_keys(entries: list[Any], list_key: str) -> Iterator[str]:
    for entry in entries:
        name = entry.get(ENTRY_NAME_KEY) if isinstance(entry, dict) else None
        if isinstance(name, str):
            key = entry_key(list_key, name)
            yield key
            yield from _table_keys(entry, f"{key}.")


def _is_entry(key: str) -> bool:
    """Return whether a key names an entry of a list; a bare or quoted key never ends like that."""
    return key.endswith("]")


def _quoted(text: str) -> str:
    """Return a text in quotation marks, with those inside it escaped."""
    return msgspec.json.encode(text).decode()
