"""A file read whole: its settings, unless it has faults of form, and all of its faults."""

import os
from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

import msgspec

from dahliabend.config.operator_file.decoder import decode_file
from dahliabend.config.operator_file.loader import load_source
from dahliabend.config.operator_file.schema import OperatorFile
from dahliabend.config.operator_file.source import Fault, Key, Place, Source, format_key, read_bytes
from dahliabend.config.operator_file.units import UNITS
from dahliabend.routing_rules.checks import check_file

DEFAULT_PLACE = "default"
LOG_SAMPLES: Key = ("log", "sample")  # shown as one setting


@dataclass(slots=True)
class LoadedFile:
    """What came of a file.

    Attributes:
        source: What it says, and where.
        file: Its settings; None if it has faults of form.
        faults: All of its faults, by place.
    """

    source: Source
    file: OperatorFile | None
    faults: list[Fault] = field(default_factory=list)

    @property
    def is_usable(self) -> bool:
        """Whether there are no faults."""
        return self.file is not None and not self.faults

    @property
    def usable_file(self) -> OperatorFile:
        """The settings.

        Raises:
            ValueError: There are faults of form.
        """
        if self.file is None:
            raise ValueError("; ".join(map(str, self.faults)))
        return self.file


class Setting(NamedTuple):
    """A setting in force."""

    value: object  # as the file writes it
    place: str  # "file:line", or "default"


def load_file(
    path: str, environment: Mapping[str, str] = os.environ, read: Callable[[str], bytes] = read_bytes
) -> LoadedFile:
    """Read a file and check it; nothing is raised for what is in it.

    Args:
        path: The top file.
        environment: Variables that it may name.
        read: How a file is read; it may raise OSError.
    """
    source = load_source(path, environment, read)
    file = decode_file(source)
    if file is not None:
        check_file(file, source)
    return LoadedFile(source, file, sorted(set(source.faults)))


def as_written(value: object) -> object:
    """A value as the file writes it, with its unit."""
    return str(value) if isinstance(value, UNITS) else value


def format_place(place: Place) -> str:
    """A place as editors and compilers write it."""
    return f"{place.file}:{place.line}"


def settings(loaded: LoadedFile) -> dict[str, Setting]:
    """Every setting in force of a file without faults, by its key as it is written."""
    found = {}
    for key, value in _leaves(loaded.file, ()):
        place = loaded.source.places.get(key)
        shown_place = format_place(place) if place else DEFAULT_PLACE
        found[format_key(key)] = Setting(as_written(value), shown_place)
    return found


def _leaves(value: object, key: Key) -> Iterator[tuple[Key, object]]:
    """All values below a key that are shown as one setting each; none for what is left out."""
    children = _children(value, key)
    if children is not None:
        for part, child in children:
            yield from _leaves(child, (*key, part))
    elif value is not None:
        yield key, value


def _children(value: object, key: Key) -> Iterable[tuple[str | int, object]] | None:
    """The parts of a table or of a list of tables; None for what is shown as one setting."""
    if isinstance(value, msgspec.Struct):
        return [(entry.encode_name, getattr(value, entry.name)) for entry in msgspec.structs.fields(value)]
    if isinstance(value, dict) and key != LOG_SAMPLES:
        return value.items()
    if isinstance(value, list) and value and isinstance(value[0], msgspec.Struct):
        return enumerate(value)
    return None
