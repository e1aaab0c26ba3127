"""The direction of imports: a package imports from its own layer or lower ones, and never in a cycle."""

import ast
from collections.abc import Iterator
from pathlib import Path

import pytest

import dahliabend

ROOT = Path(dahliabend.__file__).parent
# Layer by package or top-level module. docs/architecture.md has a diagram of them.
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


def package_of(module: str) -> str:
    """Return the package or top-level module of `dahliabend` that contains a module; empty if none does."""
    names = module.split(".")
    return names[1] if names[0] == "dahliabend" and len(names) > 1 else ""


def imports() -> Iterator[tuple[str, str, str]]:
    """Yield each import of `dahliabend`: importing package, imported package, file and line."""
    for path in sorted(ROOT.rglob("*.py")):
        relative = path.relative_to(ROOT)
        importer = relative.parts[0].removesuffix(".py")
        for node in ast.walk(ast.parse(path.read_text())):
            modules: list[str] = []
            if isinstance(node, ast.Import):
                modules = [name.name for name in node.names]
            elif isinstance(node, ast.ImportFrom) and node.module == "dahliabend":
                modules = [f"dahliabend.{name.name}" for name in node.names]
            elif isinstance(node, ast.ImportFrom) and node.module:
                modules = [node.module]
            for module in modules:
                if imported := package_of(module):
                    yield importer, imported, f"{relative}:{node.lineno}"


def test_every_package_has_a_layer() -> None:
    packages = {
        path.name.removesuffix(".py")
        for path in ROOT.iterdir()
        if path.name not in ("__init__.py", "__pycache__")
    }
    assert packages == set(LAYERS)


def test_no_package_imports_from_a_higher_layer() -> None:
    upwards = [
        f"{location}: {importer} imports {imported}"
        for importer, imported, location in imports()
        if LAYERS[imported] > LAYERS[importer]
    ]
    assert upwards == []


def test_packages_have_no_import_cycle() -> None:
    edges: dict[str, set[str]] = {package: set() for package in LAYERS}
    for importer, imported, _ in imports():
        if importer != imported:
            edges[importer].add(imported)
    visited: set[str] = set()

    def visit(package: str, importers: tuple[str, ...]) -> None:
        if package in importers:
            pytest.fail(" -> ".join((*importers[importers.index(package) :], package)))
        if package not in visited:
            for imported in sorted(edges[package]):
                visit(imported, (*importers, package))
            visited.add(package)

    for package in LAYERS:
        visit(package, ())
