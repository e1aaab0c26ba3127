"""The operator's file as a tree of plain values, with the place of every key and what is wrong so far."""

import os
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

Key = tuple[str | int, ...]  # names of tables and numbers of items, from the top of the tree


@dataclass(frozen=True, slots=True)
class Place:
    """A line of a file, from 1."""

    file: str
    line: int


@dataclass(frozen=True, slots=True, order=True)
class Fault:
    """What is wrong, and where. Faults are sorted by their place."""

    file: str
    line: int
    key: str  # as it is written; empty for what concerns the file
    reason: str

    def __str__(self) -> str:
        place = f"{self.file}:{self.line}"
        return f"{place}: {self.key}: {self.reason}" if self.key else f"{place}: {self.reason}"


def format_key(key: Key) -> str:
    """Write a key as the file does.

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
    """Read a file of the machine."""
    return Path(path).read_bytes()


@dataclass(slots=True)
class Source:
    """One tree of the file and all that it includes.

    Attributes:
        tree: What the files say, merged.
        places: Where each key of the tree stands.
        faults: What is wrong, as it is found.
        files: Paths of all files that were read.
        top: Path of the file that includes the others.
        read_file: How files are read.
    """

    tree: dict[str, Any] = field(default_factory=dict)
    places: dict[Key, Place] = field(default_factory=dict)
    faults: list[Fault] = field(default_factory=list)
    files: list[str] = field(default_factory=list)
    top: str = ""
    read_file: Callable[[str], bytes] = read_bytes

    def place(self, key: Key) -> Place:
        """Where a key stands, or else the nearest key above it."""
        while key and key not in self.places:
            key = key[:-1]
        return self.places.get(key, Place(self.top, 1))

    def resolve_path(self, name: str) -> str:
        """The path of a file that the settings name, relative to the top one."""
        return os.path.join(os.path.dirname(self.top), name)

    def add_fault(self, key: Key, reason: str) -> None:
        """Add a fault at the place of a key."""
        place = self.place(key)
        self.faults.append(Fault(place.file, place.line, format_key(key), reason))
