"""The pages name only modules that exist: guards against pages that still describe an earlier layout."""

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
HISTORY = {"standing.md"}  # says what was so when it was written
PAGES = sorted(page.name for page in (ROOT / "docs").glob("*.md") if page.name not in HISTORY)
MODULE = re.compile(r"`([\w/.-]+\.py)`")
CODE = ("dahliabend", "tests", "benchmarks", "experiments", "deploy")


@pytest.fixture(scope="module")
def module_paths() -> list[str]:
    """Paths of all modules, each with a leading slash."""
    return [f"/{path.relative_to(ROOT)}" for top in CODE for path in (ROOT / top).rglob("*.py")]


@pytest.mark.parametrize("page", PAGES)
def test_modules_that_a_page_names_exist(page: str, module_paths: list[str]) -> None:
    named = set(MODULE.findall((ROOT / "docs" / page).read_text()))
    missing = sorted(name for name in named if not any(path.endswith(f"/{name}") for path in module_paths))
    assert not missing
