"""Each module path on the documentation pages exists, so no page describes an earlier layout of the code."""

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
HISTORY = {"standing.md"}  # describes the code as it was when the page was written
PAGES = sorted(page.name for page in (ROOT / "docs").glob("*.md") if page.name not in HISTORY)
MODULE = re.compile(r"`([\w/.-]+\.py)`")
CODE = ("dahliabend", "tests", "benchmarks", "experiments", "deploy")


@pytest.fixture(scope="module")
def module_paths() -> list[str]:
    """Return the paths of all modules, each with a leading slash."""
    return [f"/{path.relative_to(ROOT)}" for top in CODE for path in (ROOT / top).rglob("*.py")]


@pytest.mark.parametrize("page", PAGES)
def test_each_module_on_a_page_exists(page: str, module_paths: list[str]) -> None:
    references = set(MODULE.findall((ROOT / "docs" / page).read_text()))
    missing = sorted(
        name for name in references if not any(path.endswith(f"/{name}") for path in module_paths)
    )
    assert not missing
