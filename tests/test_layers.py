"""The direction of imports: a package imports from its own layer's allowed packages and from layers below."""

import ast
from collections.abc import Iterator
from pathlib import Path

import pytest

import dahliabend

ROOT = Path(dahliabend.__file__).parent
# By package (or module): its layer. Nothing imports from a higher one; docs/architecture.md has the picture.
LAYERS = {
    "errors": 0,
    "model": 1,
    "transport": 1,
    "policy": 2,
    "routing_rules": 2,
    "subsetting": 2,
    "config": 2,
    "http": 3,
    "discovery": 3,
    "membership": 3,
    "health_gossip": 3,
    "leases": 3,
    "simulator_adapter": 3,
    "proxy": 4,
    "server": 5,
    "simulation": 6,
    "process_tests": 6,
    "cli": 7,
    "__main__": 7,
}


def part_of(module: str) -> str:
    """The package (or top-level module) below `dahliabend` that a dotted module belongs to; empty if none."""
    names = module.split(".")
    return names[1] if names[0] == "dahliabend" and len(names) > 1 else ""


def imports() -> Iterator[tuple[str, str, str]]:
    """Each import between parts: importing part, imported part, place."""
    for path in sorted(ROOT.rglob("*.py")):
        relative = path.relative_to(ROOT)
        importer = relative.parts[0].removesuffix(".py")
        for node in ast.walk(ast.parse(path.read_text())):
            found: list[str] = []
            if isinstance(node, ast.Import):
                found = [name.name for name in node.names]
            elif isinstance(node, ast.ImportFrom) and node.module == "dahliabend":
                found = [f"dahliabend.{name.name}" for name in node.names]
            elif isinstance(node, ast.ImportFrom) and node.module:
                found = [node.module]
            for module in found:
                if imported := part_of(module):
                    yield importer, imported, f"{relative}:{node.lineno}"


def test_every_package_has_a_layer() -> None:
    parts = {
        path.name.removesuffix(".py")
        for path in ROOT.iterdir()
        if path.name not in ("__init__.py", "__pycache__")
    }
    assert parts == set(LAYERS)


def test_nothing_imports_from_a_higher_layer() -> None:
    upwards = [
        f"{place}: {importer} imports {imported}"
        for importer, imported, place in imports()
        if LAYERS[imported] > LAYERS[importer]
    ]
    assert upwards == []


def test_packages_do_not_import_each_other_in_a_circle() -> None:
    edges: dict[str, set[str]] = {part: set() for part in LAYERS}
    for importer, imported, _ in imports():
        if importer != imported:
            edges[importer].add(imported)
    done: set[str] = set()

    def walk(part: str, above: tuple[str, ...]) -> None:
        if part in above:
            pytest.fail(" -> ".join((*above[above.index(part) :], part)))
        if part not in done:
            for below in sorted(edges[part]):
                walk(below, (*above, part))
            done.add(part)

    for part in LAYERS:
        walk(part, ())
