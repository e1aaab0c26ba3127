"""Loading of an operator's file: its settings, with the place of each, and all of its faults."""

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
LOG_SAMPLE_KEY: Key = ("log", "sample")  # a table that is shown as a single setting


@dataclass(slots=True)
class LoadedFile:
    """The result of loading a file.

    Attributes:
        source: The merged tree of the file and those it includes, with the place of each key.
        file: The settings; None if the file could not be decoded because of faults.
        faults: All faults of the file, sorted by place.
    """

    source: Source
    file: OperatorFile | None
    faults: list[Fault] = field(default_factory=list)

    @property
    def has_no_faults(self) -> bool:
        """Whether the file has no faults."""
        return self.file is not None and not self.faults

    @property
    def decoded_file(self) -> OperatorFile:
        """The settings of a file that could be decoded.

        Raises:
            ValueError: The file could not be decoded.
        """
        if self.file is None:
            raise ValueError("; ".join(map(str, self.faults)))
        return self.file


class Setting(NamedTuple):
    """A setting in force."""

    value: object  # in the notation of the file
    place: str  # "file:line", or "default"


def load_file(
    path: str, environment: Mapping[str, str] = os.environ, read: Callable[[str], bytes] = read_bytes
) -> LoadedFile:
    """Load and check a file; faults in its content are returned, not raised.

    Args:
        path: Path of the top-level file.
        environment: Environment variables that the file may refer to.
        read: Returns the content of a file; may raise OSError.
    """
    source = load_source(path, environment, read)
    file = decode_file(source)
    if file is not None:
        check_file(file, source)
    return LoadedFile(source, file, sorted(set(source.faults)))


def format_value(value: object) -> object:
    """Return a value in the notation of the file, with its unit."""
    return str(value) if isinstance(value, UNITS) else value


def format_place(place: Place) -> str:
    """Return a place in the "file:line" notation of editors and compilers."""
    return f"{place.file}:{place.line}"


def collect_settings(loaded: LoadedFile) -> dict[str, Setting]:
    """Return every setting in force of a file without faults, by its key in the notation of the file."""
    settings_by_key = {}
    for key, value in _leaves(loaded.file, ()):
        place = loaded.source.places.get(key)
        shown_place = format_place(place) if place else DEFAULT_PLACE
        settings_by_key[format_key(key)] = Setting(format_value(value), shown_place)
    return settings_by_key


def _leaves(value: object, key: Key) -> Iterator[tuple[Key, object]]:
    """Yield all values below a key that are shown as one setting each; settings that are None are omitted."""
    children = _children(value, key)
    if children is not None:
        for child_key, child in children:
            yield from _leaves(child, (*key, child_key))
    elif value is not None:
        yield key, value


def _children(value: object, key: Key) -> Iterable[tuple[str | int, object]] | None:
    """Return the entries of a table or a list of tables; None for a value that is shown as one setting."""
    if isinstance(value, msgspec.Struct):
        return [(entry.encode_name, getattr(value, entry.name)) for entry in msgspec.structs.fields(value)]
    if isinstance(value, dict) and key != LOG_SAMPLE_KEY:
        return value.items()
    if isinstance(value, list) and value and isinstance(value[0], msgspec.Struct):
        return enumerate(value)
    return None
