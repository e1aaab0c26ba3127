"""Each class and each `Class.method` that the architecture page names exists in the code."""

import ast
import re
from pathlib import Path

import dahliabend

ROOT = Path(dahliabend.__file__).parent
PAGE = ROOT.parent / "docs" / "architecture.md"


def members_by_class() -> dict[str, set[str]]:
    """Return the methods and annotated variables of each class, including those of its direct bases."""
    members: dict[str, set[str]] = {}
    bases: dict[str, set[str]] = {}
    for path in ROOT.rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if not isinstance(node, ast.ClassDef):
                continue
            class_members = members.setdefault(node.name, set())
            bases.setdefault(node.name, set()).update(
                base.id for base in node.bases if isinstance(base, ast.Name)
            )
            for child in ast.walk(node):
                if isinstance(child, ast.FunctionDef | ast.AsyncFunctionDef):
                    class_members.add(child.name)
                elif isinstance(child, ast.AnnAssign) and isinstance(child.target, ast.Name):
                    class_members.add(child.target.id)
    for name, parents in bases.items():
        for parent in parents:
            members[name] |= members.get(parent, set())
    return members


def test_every_class_and_method_on_the_page_exists() -> None:
    members = members_by_class()
    references = re.findall(r"`([A-Z][A-Za-z]+)\.([a-z_]+)`", PAGE.read_text())
    assert len(references) > 15
    missing = [f"{owner}.{name}" for owner, name in references if name not in members.get(owner, set())]
    assert missing == []


def test_every_class_on_the_page_exists() -> None:
    members = members_by_class()
    text = PAGE.read_text().partition("## Packages")[2]
    classes = {name for name in re.findall(r"`([A-Z][a-z]+[A-Z][A-Za-z]+)`", text)}
    assert sorted(classes - members.keys()) == []
