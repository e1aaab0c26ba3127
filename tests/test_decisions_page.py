"""The page of decisions names the rules as they stand: each named place exists, and each rule is named."""

import ast
import re
from pathlib import Path

import dahliabend

POLICY = Path(dahliabend.__file__).parent / "policy"
PAGE = POLICY.parent.parent / "docs" / "decisions.md"
WITHOUT_RULES = {"__init__", "balancer", "records", "moving_average"}


def functions() -> dict[str, ast.FunctionDef]:
    """Public functions and methods of the policy, by place: `module.function` or `module.Class.method`."""
    found: dict[str, ast.FunctionDef] = {}
    for path in sorted(POLICY.glob("*.py")):
        for node in ast.parse(path.read_text()).body:
            if isinstance(node, ast.FunctionDef):
                found[f"{path.stem}.{node.name}"] = node
            elif isinstance(node, ast.ClassDef):
                for each in node.body:
                    if isinstance(each, ast.FunctionDef) and not each.name.startswith("_"):
                        found[f"{path.stem}.{node.name}.{each.name}"] = each
    return found


def named_places() -> set[str]:
    modules = {path.stem for path in POLICY.glob("*.py")}
    named = re.findall(r"`([a-z_]+(?:\.[A-Z][A-Za-z]+)?\.[a-z_]+)`", PAGE.read_text())
    return {place for place in named if place.partition(".")[0] in modules}


def test_every_place_on_the_page_exists() -> None:
    places = named_places()
    assert len(places) > 50
    assert places - functions().keys() == set()


def test_every_module_that_decides_is_on_the_page() -> None:
    modules = {path.stem for path in POLICY.glob("*.py")} - WITHOUT_RULES
    assert modules - {place.partition(".")[0] for place in named_places()} == set()


def test_every_question_that_a_rule_answers_is_on_the_page() -> None:
    questions = {
        place
        for place, node in functions().items()
        if place.partition(".")[0] not in WITHOUT_RULES
        and (ast.get_docstring(node) or "").startswith("Return whether")
    }
    assert len(questions) > 20
    assert questions - named_places() == set()


def test_every_row_has_a_place_inputs_and_a_reason() -> None:
    rows = [line for line in PAGE.read_text().splitlines() if line.startswith("|")]
    rows = [row for row in rows if not row.startswith(("| rule", "| ---"))]
    assert len(rows) > 50
    for row in rows:
        cells = [cell.strip() for cell in row.strip("|").split("|")]
        assert len(cells) == 4, row
        assert all(cells), row
        assert "`" in cells[1], row


def test_policy_modules_import_downwards_only() -> None:
    """Each imports only those above it in this list, type checking included: a circle hides who owns what."""
    order = [
        "moving_average", "throttling", "records", "slow_start", "concurrency", "key_order", "sampling",
        "retries", "deadlines", "selection", "outliers", "admission", "balancer",
    ]  # fmt: skip
    assert {path.stem for path in POLICY.glob("*.py")} == {*order, "__init__"}
    for place, module in enumerate(order):
        tree = ast.parse((POLICY / f"{module}.py").read_text())
        imported = {
            node.module.removeprefix("dahliabend.policy.")
            for node in ast.walk(tree)
            if isinstance(node, ast.ImportFrom) and (node.module or "").startswith("dahliabend.policy.")
        }
        assert imported <= set(order[:place]), module
