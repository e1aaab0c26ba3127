"""The architecture page names the code as it is: each `Class.method` on it exists."""

import ast
import re
from pathlib import Path

import dahliabend

ROOT = Path(dahliabend.__file__).parent
PAGE = ROOT.parent / "docs" / "architecture.md"


def members_by_class() -> dict[str, set[str]]:
    """Names defined in the body of each class of the program, and of its bases by name."""
    members: dict[str, set[str]] = {}
    bases: dict[str, set[str]] = {}
    for path in ROOT.rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if not isinstance(node, ast.ClassDef):
                continue
            found = members.setdefault(node.name, set())
            bases.setdefault(node.name, set()).update(
                base.id for base in node.bases if isinstance(base, ast.Name)
            )
            for each in ast.walk(node):
                if isinstance(each, ast.FunctionDef | ast.AsyncFunctionDef):
                    found.add(each.name)
                elif isinstance(each, ast.AnnAssign) and isinstance(each.target, ast.Name):
                    found.add(each.target.id)
    for name, parents in bases.items():
        for parent in parents:
            members[name] |= members.get(parent, set())
    return members


def test_every_class_and_method_on_the_page_exists() -> None:
    members = members_by_class()
    named = re.findall(r"`([A-Z][A-Za-z]+)\.([a-z_]+)`", PAGE.read_text())
    assert len(named) > 15
    missing = [f"{owner}.{member}" for owner, member in named if member not in members.get(owner, set())]
    assert missing == []


def test_every_class_on_the_page_exists() -> None:
    members = members_by_class()
    text = PAGE.read_text().partition("## Packages")[2]
    named = {name for name in re.findall(r"`([A-Z][a-z]+[A-Z][A-Za-z]+)`", text)}
    assert sorted(named - members.keys()) == []
