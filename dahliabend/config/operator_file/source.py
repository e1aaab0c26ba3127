"""The operator's file as a tree of TOML values, with the place of each key and the faults found so far."""

import os
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

Key = tuple[str | int, ...]  # the path of a value: names in tables and indices in lists, from the root


@dataclass(frozen=True, slots=True)
class Place:
    """A line of a file; lines are numbered from 1."""

    file: str
    line: int


@dataclass(frozen=True, slots=True, order=True)
class Fault:
    """A mistake in the configuration, with its place in a file. Faults sort by file and line."""

    file: str
    line: int
    key: str  # formatted by `format_key`; empty if the fault concerns the whole file
    reason: str

    def __str__(self) -> str:
        place = f"{self.file}:{self.line}"
        return f"{place}: {self.key}: {self.reason}" if self.key else f"{place}: {self.reason}"


def format_key(key: Key) -> str:
    """Format a key as a dotted path.

    >>> format_key(("routes", 2, "headers", "x-a"))
    'routes[2].headers.x-a'
    """
    text = ""
    for part in key:
        if isinstance(part, int):
            text += f"[{part}]"
        elif text:
            text += f".{part}"
        else:
            text = part
    return text


def read_bytes(path: str) -> bytes:
    """Read a file from disk."""
    return Path(path).read_bytes()


@dataclass(slots=True)
class Source:
    """The merged tree of a file and the files that it includes.

    Attributes:
        tree: The merged tree.
        places: The place of each key of the tree.
        faults: The faults, in the order in which they were found.
        files: The paths of all files that were read.
        top: The path of the file that includes the others.
        read_file: Reads a file.
    """

    tree: dict[str, Any] = field(default_factory=dict)
    places: dict[Key, Place] = field(default_factory=dict)
    faults: list[Fault] = field(default_factory=list)
    files: list[str] = field(default_factory=list)
    top: str = ""
    read_file: Callable[[str], bytes] = read_bytes

    def place(self, key: Key) -> Place:
        """Return the place of a key; if it is not in a file, that of its nearest ancestor."""
        while key and key not in self.places:
            key = key[:-1]
        return self.places.get(key, Place(self.top, 1))

    def resolve_path(self, name: str) -> str:
        """Return the path of a file that the settings name relative to the top file."""
        return os.path.join(os.path.dirname(self.top), name)

    def fault(self, key: Key, reason: str) -> Fault:
        """Return a fault at the place of a key."""
        place = self.place(key)
        return Fault(place.file, place.line, format_key(key), reason)

    def add_fault(self, key: Key, reason: str) -> None:
        """Add a fault at the place of a key."""
        self.faults.append(self.fault(key, reason))
