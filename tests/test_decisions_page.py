"""Compares docs/decisions.md with the policy: each function named there exists, and each rule is listed."""

import ast
import re
from pathlib import Path

import dahliabend

POLICY = Path(dahliabend.__file__).parent / "policy"
PAGE = POLICY.parent.parent / "docs" / "decisions.md"
MODULES_WITHOUT_RULES = {"__init__", "balancer", "records", "moving_average"}


def functions() -> dict[str, ast.FunctionDef]:
    """Return the public functions and methods, by `module.function` or `module.Class.method`."""
    functions_by_place: dict[str, ast.FunctionDef] = {}
    for path in sorted(POLICY.glob("*.py")):
        for node in ast.parse(path.read_text()).body:
            if isinstance(node, ast.FunctionDef):
                functions_by_place[f"{path.stem}.{node.name}"] = node
            elif isinstance(node, ast.ClassDef):
                for each in node.body:
                    if isinstance(each, ast.FunctionDef) and not each.name.startswith("_"):
                        functions_by_place[f"{path.stem}.{node.name}.{each.name}"] = each
    return functions_by_place


def named_places() -> set[str]:
    modules = {path.stem for path in POLICY.glob("*.py")}
    named = re.findall(r"`([a-z_]+(?:\.[A-Z][A-Za-z]+)?\.[a-z_]+)`", PAGE.read_text())
    return {place for place in named if place.partition(".")[0] in modules}


def test_every_function_on_the_page_exists() -> None:
    places = named_places()
    assert len(places) > 50
    assert places - functions().keys() == set()


def test_every_module_with_rules_is_on_the_page() -> None:
    modules = {path.stem for path in POLICY.glob("*.py")} - MODULES_WITHOUT_RULES
    assert modules - {place.partition(".")[0] for place in named_places()} == set()


def test_every_function_that_returns_whether_is_on_the_page() -> None:
    questions = {
        place
        for place, node in functions().items()
        if place.partition(".")[0] not in MODULES_WITHOUT_RULES
        and (ast.get_docstring(node) or "").startswith("Return whether")
    }
    assert len(questions) > 20
    assert questions - named_places() == set()


def test_every_row_has_a_function_inputs_and_a_reason() -> None:
    rows = [line for line in PAGE.read_text().splitlines() if line.startswith("|")]
    rows = [row for row in rows if not row.startswith(("| rule", "| ---"))]
    assert len(rows) > 50
    for row in rows:
        cells = [cell.strip() for cell in row.strip("|").split("|")]
        assert len(cells) == 4, row
        assert all(cells), row
        assert "`" in cells[1], row


def test_policy_modules_have_no_import_cycles() -> None:
    """A module imports only modules before it in the list, also for type checking.

    With import cycles, it would be unclear which module owns a piece of state.
    """
    layers = [
        "moving_average", "throttling", "records", "slow_start", "concurrency", "key_order", "sampling",
        "retries", "deadlines", "selection", "outliers", "admission", "balancer",
    ]  # fmt: skip
    assert {path.stem for path in POLICY.glob("*.py")} == {*layers, "__init__"}
    for place, module in enumerate(layers):
        tree = ast.parse((POLICY / f"{module}.py").read_text())
        imported = {
            node.module.removeprefix("dahliabend.policy.")
            for node in ast.walk(tree)
            if isinstance(node, ast.ImportFrom) and (node.module or "").startswith("dahliabend.policy.")
        }
        assert imported <= set(layers[:place]), module
