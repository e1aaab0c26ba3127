"""The operator's file as text: includes, environment, and the place of every key. No meaning yet."""

import os
import re
import tomllib
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from pathlib import Path

import tree_sitter
import tree_sitter_toml

_VARIABLE = re.compile(r"\$\{([A-Za-z_][A-Za-z0-9_]*)(?::-([^}]*))?\}")
_GRAMMAR = tree_sitter.Language(tree_sitter_toml.language())
MOST_FILES, MOST_BYTES = 64, 16 << 20

Key = tuple[str | int, ...]


@dataclass(frozen=True, slots=True)
class Place:
    file: str
    line: int


@dataclass(frozen=True, slots=True, order=True)
class Fault:
    """What is wrong, and where."""

    file: str
    line: int
    key: str
    reason: str

    def __str__(self) -> str:
        return (
            f"{self.file}:{self.line}: {self.key}: {self.reason}"
            if self.key
            else f"{self.file}:{self.line}: {self.reason}"
        )


def format_key(key: Key) -> str:
    """A key as it is written.

    >>> format_key(("routes", 2, "headers", "x-a"))
    'routes[2].headers.x-a'
    """
    text = ""
    for part in key:
        text += f"[{part}]" if isinstance(part, int) else f".{part}" if text else part
    return text


@dataclass(slots=True)
class Source:
    """One tree of all files, with the place of each key in it."""

    tree: dict = field(default_factory=dict)
    places: dict[Key, Place] = field(default_factory=dict)
    faults: list[Fault] = field(default_factory=list)
    files: list[str] = field(default_factory=list)
    top: str = ""
    reads: Callable[[str], bytes] = field(default=lambda path: _read(path))

    def place(self, key: Key) -> Place:
        """Of the key, or of the nearest above it."""
        while key and key not in self.places:
            key = key[:-1]
        return self.places.get(key, Place(self.top, 1))

    def beside(self, name: str) -> str:
        """The path of a file that the settings name."""
        return os.path.join(os.path.dirname(self.top), name)

    def fault(self, key: Key, reason: str) -> None:
        at = self.place(key)
        self.faults.append(Fault(at.file, at.line, format_key(key), reason))


def _read(path: str) -> bytes:
    return Path(path).read_bytes()


def load(
    path: str, environment: Mapping[str, str] = os.environ, read: Callable[[str], bytes] = _read
) -> Source:
    """The file and all that it includes, in order: what comes later goes before, lists are joined. Faults are
    gathered, none is raised."""
    source = Source(top=path, reads=read)
    _include(source, path, environment, read, (), Place(path, 1))
    return source


def _include(source: Source, path: str, environment, read, above: tuple[str, ...], place: Place) -> None:
    real = os.path.normpath(path)
    if real in above:
        ring = " -> ".join((*above[above.index(real) :], real))
        source.faults.append(Fault(place.file, place.line, "include", f"goes round: {ring}"))
        return
    if len(source.files) >= MOST_FILES:
        source.faults.append(Fault(place.file, place.line, "include", f"more than {MOST_FILES} files"))
        return
    source.files.append(path)
    try:
        raw = read(path)
        text = raw.decode()
    except OSError as error:
        reason = f"can't be read: {error.strerror or error}"
        source.faults.append(Fault(place.file, place.line, "include" if above else "", f"{path} {reason}"))
        return
    except UnicodeDecodeError as error:
        source.faults.append(Fault(path, raw[: error.start].count(b"\n") + 1, "", "is no UTF-8"))
        return
    if len(raw) > MOST_BYTES:
        source.faults.append(Fault(path, 1, "", f"longer than {MOST_BYTES >> 20} MiB"))
        return
    try:
        tree = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        found = re.search(r"line (\d+)", str(error))
        line = int(found[1]) if found else text.count("\n") + 1
        source.faults.append(Fault(path, line, "", f"is no TOML: {error}"))
        return
    places = {key: Place(path, line) for key, line in lines(raw).items()}
    tree = _substitute(tree, (), environment, places, path, source)
    includes = tree.get("include", [])
    if isinstance(includes, list):
        for number, name in enumerate(includes):
            if isinstance(name, str):
                at = places.get(("include", number), places.get(("include",), Place(path, 1)))
                below = os.path.join(os.path.dirname(path), name)
                _include(source, below, environment, read, (*above, real), at)
    _merge(source, tree, places)


def _substitute(value, key: Key, environment, places, path, source: Source):
    """${NAME} and ${NAME:-default} within text."""
    if isinstance(value, dict):
        return {k: _substitute(v, (*key, k), environment, places, path, source) for k, v in value.items()}
    if isinstance(value, list):
        return [_substitute(v, (*key, n), environment, places, path, source) for n, v in enumerate(value)]
    if not isinstance(value, str):
        return value

    def fill(found: re.Match) -> str:
        name, default = found[1], found[2]
        if name in environment:
            return environment[name]
        if default is None:
            at = key
            while at and at not in places:
                at = at[:-1]
            line = places[at].line if at in places else 1
            source.faults.append(Fault(path, line, format_key(key), f"{name} is not set, and has no default"))
            return ""
        return default

    return _VARIABLE.sub(fill, value)


def _merge(source: Source, tree: dict, places: dict[Key, Place]) -> None:
    """Over what included files have said."""
    moved: dict[Key, Place] = {}
    shift = {name: len(source.tree.get(name, [])) for name, value in tree.items() if isinstance(value, list)}
    for key, place in places.items():
        by = shift.get(key[0], 0) if key else 0
        if len(key) > 1 and isinstance(key[1], int):
            key = (key[0], key[1] + by, *key[2:])
        moved[key] = place
    source.places.update(moved)
    _over(source.tree, tree)


def _over(below: dict, above: dict) -> None:
    for name, value in above.items():
        before = below.get(name)
        if isinstance(before, dict) and isinstance(value, dict):
            _over(before, value)
        elif isinstance(before, list) and isinstance(value, list):
            before.extend(value)
        else:
            below[name] = value


def lines(raw: bytes) -> dict[Key, int]:
    """The line of each key, and of each item of a list.

    >>> lines(b'a = 1\\n[b]\\nc.d = [1,\\n2]\\n[[e]]\\nf = {g = 1}\\n[[e]]\\n')[("b", "c", "d", 1)]
    4
    """
    found: dict[Key, int] = {}
    counts: dict[Key, int] = {}
    root = tree_sitter.Parser(_GRAMMAR).parse(raw).root_node
    for node in root.children:
        if node.type == "pair":
            _pair(node, (), found)
        elif node.type in ("table", "table_array_element"):
            name = _resolve(_names(node.children[1]), counts)
            if node.type == "table_array_element":
                counts[name] = counts.get(name, -1) + 1
                found.setdefault(name, node.start_point.row + 1)
                name = (*name, counts[name])
            found.setdefault(name, node.start_point.row + 1)
            for child in node.children:
                if child.type == "pair":
                    _pair(child, name, found)
    return found


def _resolve(names: tuple[str, ...], counts: dict[Key, int]) -> Key:
    """A table below a list of tables is one of its last."""
    key: Key = ()
    for number, name in enumerate(names):
        key = (*key, name)
        if key in counts and number < len(names) - 1:
            key = (*key, counts[key])
    return key


def _names(node) -> tuple[str, ...]:
    if node.type == "dotted_key":
        return tuple(name for child in node.children if child.type != "." for name in _names(child))
    text = node.text.decode()
    return (tomllib.loads(f"k = {text}")["k"],) if node.type == "quoted_key" else (text,)


def _pair(node, above: Key, found: dict[Key, int]) -> None:
    key = (*above, *_names(node.children[0]))
    for end in range(len(above) + 1, len(key) + 1):
        found.setdefault(key[:end], node.start_point.row + 1)
    _value(node.children[-1], key, found)


def _value(node, key: Key, found: dict[Key, int]) -> None:
    if node.type == "inline_table":
        for child in node.children:
            if child.type == "pair":
                _pair(child, key, found)
    elif node.type == "array":
        items = [child for child in node.children if child.type not in ("[", "]", ",", "comment")]
        for number, child in enumerate(items):
            found[(*key, number)] = child.start_point.row + 1
            _value(child, (*key, number), found)
