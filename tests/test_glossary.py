"""Each name of the code in the last column of the glossary is defined somewhere in the package."""

import ast
import re
from pathlib import Path

import dahliabend

ROOT = Path(dahliabend.__file__).parent
PAGE = ROOT.parent / "docs" / "glossary.md"
MIN_ROWS = 40  # of both tables together, so that a truncated page fails


def defined_names() -> set[str]:
    """Return the names of all modules, classes, functions, arguments, assigned variables and attributes."""
    names: set[str] = set()
    for path in ROOT.rglob("*.py"):
        names.update(path.relative_to(ROOT).with_suffix("").parts)
        for node in ast.walk(ast.parse(path.read_text())):
            match node:
                case ast.FunctionDef() | ast.AsyncFunctionDef() | ast.ClassDef():
                    names.add(node.name)
                case ast.arg():
                    names.add(node.arg)
                case ast.Name(ctx=ast.Store()):
                    names.add(node.id)
                case ast.Attribute(ctx=ast.Store()):
                    names.add(node.attr)
    return names


def glossary_rows() -> list[list[str]]:
    """Return the cells of each row of the tables, without the table heads."""
    lines = [line for line in PAGE.read_text().splitlines() if line.startswith("| ")]
    table_rows = [[cell.strip() for cell in line.strip("|").split("|")] for line in lines]
    return [row for row in table_rows if row[0] not in ("---",) and not row[0].startswith("word")]


def test_each_name_in_the_last_column_is_defined_in_the_code() -> None:
    names = defined_names()
    terms = [term for row in glossary_rows() for term in re.findall(r"`([A-Za-z_]+)`", row[2])]
    assert [term for term in terms if term not in names] == []


def test_each_row_has_three_cells_and_a_name_of_the_code_in_the_last() -> None:
    rows = glossary_rows()
    assert len(rows) >= MIN_ROWS
    assert [row for row in rows if len(row) != 3 or not all(row) or "`" not in row[2]] == []
