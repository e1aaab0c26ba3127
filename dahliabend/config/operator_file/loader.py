"""Reads the operator's file with all that it includes and puts the environment in. No meaning of keys yet."""

import os
import re
import tomllib
from collections.abc import Callable, Mapping
from typing import Any

from dahliabend.config.operator_file.key_lines import key_lines
from dahliabend.config.operator_file.source import Fault, Key, Place, Source, format_key, read_bytes

MAX_FILES = 64
MAX_FILE_BYTES = 16 << 20

_VARIABLE = re.compile(r"\$\{([A-Za-z_][A-Za-z0-9_]*)(?::-([^}]*))?\}")
_TOML_ERROR_LINE = re.compile(r"line (\d+)")


def load_source(
    path: str, environment: Mapping[str, str] = os.environ, read: Callable[[str], bytes] = read_bytes
) -> Source:
    """Read a file and all that it includes.

    Files are merged in order, included ones before the file that includes them: a later value replaces an
    earlier one, lists are joined.

    Args:
        path: The top file.
        environment: Variables for `${NAME}` and `${NAME:-default}` in texts.
        read: How a file is read; it may raise OSError.

    Returns:
        The merged tree. Nothing is raised for what is in the files: the faults are in the source.
    """
    loader = _Loader(Source(top=path, read_file=read), environment, read)
    loader.include(path, (), Place(path, 1))
    return loader.source


class _Loader:
    """Merges files into one source."""

    def __init__(self, source: Source, environment: Mapping[str, str], read: Callable[[str], bytes]) -> None:
        self.source = source
        self._environment = environment
        self._read = read

    def include(self, path: str, including: tuple[str, ...], place: Place) -> None:
        """Merge one file, after those that it includes.

        Args:
            path: Of the file.
            including: Normalized paths of the files through which it was included, from the top one.
            place: Of the key that includes it.
        """
        normalized = os.path.normpath(path)
        if normalized in including:
            cycle = " -> ".join((*including[including.index(normalized) :], normalized))
            self._fault(place, "include", f"goes round: {cycle}")
            return
        if len(self.source.files) >= MAX_FILES:
            self._fault(place, "include", f"more than {MAX_FILES} files")
            return
        self.source.files.append(path)
        raw = self._read_file(path, place, "include" if including else "")
        if raw is None:
            return
        tree = self._parse(path, raw)
        if tree is None:
            return
        places = {key: Place(path, line) for key, line in key_lines(raw).items()}
        tree = _Substitution(self.source, path, places, self._environment).apply(tree)
        self._include_all(tree.get("include", []), path, places, (*including, normalized))
        _merge(self.source, tree, places)

    def _include_all(
        self, names: object, path: str, places: dict[Key, Place], including: tuple[str, ...]
    ) -> None:
        if not isinstance(names, list):
            return
        for number, name in enumerate(names):
            if isinstance(name, str):
                place = places.get(("include", number), places.get(("include",), Place(path, 1)))
                self.include(os.path.join(os.path.dirname(path), name), including, place)

    def _read_file(self, path: str, place: Place, key: str) -> bytes | None:
        try:
            raw = self._read(path)
        except OSError as error:
            self._fault(place, key, f"{path} can't be read: {error.strerror or error}")
            return None
        try:
            raw.decode()
        except UnicodeDecodeError as error:
            self._fault(Place(path, raw[: error.start].count(b"\n") + 1), "", "is no UTF-8")
            return None
        if len(raw) > MAX_FILE_BYTES:
            self._fault(Place(path, 1), "", f"longer than {MAX_FILE_BYTES >> 20} MiB")
            return None
        return raw

    def _parse(self, path: str, raw: bytes) -> dict[str, Any] | None:
        text = raw.decode()
        try:
            return tomllib.loads(text)
        except tomllib.TOMLDecodeError as error:
            found = _TOML_ERROR_LINE.search(str(error))
            line = int(found[1]) if found else text.count("\n") + 1
            self._fault(Place(path, line), "", f"is no TOML: {error}")
            return None

    def _fault(self, place: Place, key: str, reason: str) -> None:
        self.source.faults.append(Fault(place.file, place.line, key, reason))


class _Substitution:
    """Puts variables of the environment into the texts of one file."""

    def __init__(
        self, source: Source, path: str, places: dict[Key, Place], environment: Mapping[str, str]
    ) -> None:
        self._source = source
        self._path = path
        self._places = places
        self._environment = environment

    def apply(self, tree: dict[str, Any]) -> dict[str, Any]:
        """A copy of the file's tree with `${NAME}` and `${NAME:-default}` replaced in each text."""
        return {name: self._value(value, (name,)) for name, value in tree.items()}

    def _value(self, value: object, key: Key) -> object:
        if isinstance(value, dict):
            return {name: self._value(each, (*key, name)) for name, each in value.items()}
        if isinstance(value, list):
            return [self._value(each, (*key, number)) for number, each in enumerate(value)]
        if isinstance(value, str):
            return _VARIABLE.sub(lambda found: self._variable(found, key), value)
        return value

    def _variable(self, found: re.Match[str], key: Key) -> str:
        name: str = found[1]
        default: str | None = found[2]
        if name in self._environment:
            return self._environment[name]
        if default is not None:
            return default
        reason = f"{name} is not set, and has no default"
        self._source.faults.append(Fault(self._path, self._line(key), format_key(key), reason))
        return ""

    def _line(self, key: Key) -> int:
        while key and key not in self._places:
            key = key[:-1]
        return self._places[key].line if key in self._places else 1


def _merge(source: Source, tree: dict[str, Any], places: dict[Key, Place]) -> None:
    """Merge a file's tree into that of the files before it."""
    list_lengths: dict[str | int, int] = {
        name: len(source.tree.get(name, [])) for name, value in tree.items() if isinstance(value, list)
    }
    for key, place in places.items():
        source.places[_shifted(key, list_lengths)] = place
    _merge_table(source.tree, tree)


def _shifted(key: Key, list_lengths: Mapping[str | int, int]) -> Key:
    """The key of an item once its top-level list is appended to one of a length."""
    if len(key) > 1 and isinstance(key[1], int):
        return (key[0], key[1] + list_lengths.get(key[0], 0), *key[2:])
    return key


def _merge_table(below: dict[str, Any], above: dict[str, Any]) -> None:
    for name, value in above.items():
        before = below.get(name)
        if isinstance(before, dict) and isinstance(value, dict):
            _merge_table(before, value)
        elif isinstance(before, list) and isinstance(value, list):
            before.extend(value)
        else:
            below[name] = value
