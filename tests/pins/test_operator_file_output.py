"""Output of the command line for operator files, and the checker's messages, compared with golden text.

Commands run in the root of the repository, so that the output has relative paths.
"""

import json
import os
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import pytest
from golden_files import DATA, as_json, read_golden, write_golden

ROOT = Path(__file__).parents[2]
FILES = "tests/pins/data/operator_files"
RELATION_GOLDEN = "subset_relation.json"
EXAMPLE = "deploy/example.toml"
BROKEN = (
    "unreadable_values", "broken_pools", "broken_routes", "broken_members", "broken_includes", "no_toml",
    "empty",
)  # fmt: skip
COMMANDS = {
    "example_file_commands.txt": (
        ["check", EXAMPLE],
        ["check", EXAMPLE, "--json"],
        ["show", EXAMPLE],
        ["show", EXAMPLE, "--json"],
        ["show", EXAMPLE, "--all"],
        ["diff", EXAMPLE, EXAMPLE],
        ["diff", EXAMPLE, f"{FILES}/changed_example.toml"],
        ["diff", EXAMPLE, f"{FILES}/changed_example.toml", "--json"],
        ["diff", EXAMPLE, f"{FILES}/empty.toml"],
    ),
    "example_file_explained.txt": (
        ["explain", EXAMPLE, "GET", "/reading/7"],
        ["explain", EXAMPLE, "GET", "/reading/7", "--json"],
        ["explain", EXAMPLE, "get", "/reading/7", "-H", "X-Version: next"],
        ["explain", EXAMPLE, "GET", "/reading/7", "-H", "x-customer: c-1", "--json"],
        ["explain", EXAMPLE, "POST", "/reading", "--json"],
        ["explain", EXAMPLE, "PUT", "/reading/correction/1", "--json"],
        ["explain", EXAMPLE, "DELETE", "/else", "--json"],
        ["explain", EXAMPLE, "GET", "/", "-H", "no colon"],
        ["explain", f"{FILES}/empty.toml", "GET", "/"],
    ),
    "subset_commands.txt": (
        ["subset", "--balancers", "4", "--upstreams", "9", "--least", "3", "--degree", "2", "--lose", "b1"],
        ["subset", "--balancers", "7", "--upstreams", "12", "--zones", "2", "--least", "3", "--degree", "2",
         "--lose", "u3", "--lose", "b0"],
        ["subset"],
    ),
    "checker_messages.txt": tuple(["check", f"{FILES}/{name}.toml"] for name in BROKEN),
    "checker_messages_json.txt": (["check", f"{FILES}/broken_members.toml", "--json"],),
}  # fmt: skip


def run_command(arguments: list[str]) -> str:
    """Run a command; return its command line, output and exit status as text."""
    environment = {name: value for name, value in os.environ.items() if name not in ("CALLERS", "COLUMNS")}
    completed = subprocess.run(
        [sys.executable, "-m", "dahliabend", *arguments], capture_output=True, text=True, cwd=ROOT,
        env=environment, check=False,
    )  # fmt: skip
    line = " ".join(f"'{argument}'" if " " in argument else argument for argument in arguments)
    output = completed.stdout + completed.stderr
    return f"$ dahliabend {line}\n{output}[exit status {completed.returncode}]\n\n"


def produce(name: str) -> str:
    """Return the text of one golden file: the output of its commands in order."""
    with ThreadPoolExecutor(4) as pool:
        return "".join(pool.map(run_command, COMMANDS[name]))


@pytest.mark.parametrize("name", COMMANDS)
def test_output_of_commands_equals_the_golden_file(name: str) -> None:
    assert produce(name) == read_golden(name)


def test_every_operator_file_in_the_data_is_used() -> None:
    files = {path.stem for path in (DATA / "operator_files").glob("*.toml")}
    assert files == {*BROKEN, "changed_example"}


def produce_relation() -> str:
    """Return the subsets of all balancers, with rounded shares because the last digits differ by machine."""
    arguments = ["subset", "--balancers", "5", "--upstreams", "9", "--zones", "2", "--least", "3", "--json"]
    completed = subprocess.run(
        [sys.executable, "-m", "dahliabend", *arguments], capture_output=True, cwd=ROOT, check=True
    )
    subsets = json.loads(completed.stdout)
    for shares in subsets["relation"].values():
        shares.update({name: round(share, 9) for name, share in shares.items()})
    return as_json(subsets)


def test_subsets_and_shares_equal_the_golden_file() -> None:
    assert produce_relation() == read_golden(RELATION_GOLDEN)


if __name__ == "__main__":
    write_golden(RELATION_GOLDEN, produce_relation())
    for golden in COMMANDS:
        write_golden(golden, produce(golden))
