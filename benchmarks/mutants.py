"""Random one-operator changes of the network code and the decisions: which does the simulation notice?

    python benchmarks/mutants.py --count 100 --seeds 100 --jobs 4 [--root TREE] [--out FILE]

Each mutant is one change in a copy of the tree: a comparison, `and` for `or`, a sign, `not` left out, a
number one more, True for False. It is played over the same seeds until a rule is broken, it crashes, or it
takes ten times as long as an unchanged one. Prints the share noticed with its 95% interval (Wilson) and those
still alive, by place; `--out` keeps all as JSON.
"""

import argparse
import ast
import copy
import json
import shutil
import subprocess
import sys
import tempfile
import time
from concurrent.futures import ThreadPoolExecutor
from math import sqrt
from pathlib import Path
from random import Random

# What a plain run of the simulation goes through: packages, and modules of others.
PACKAGES = ("policy", "proxy", "http", "discovery", "transport")
MODULES = ("server/platform_server.py",)
NOT_RUN = ("__init__.py", "host_info.py", "runtime_directory.py")
_PAIRS = (
    (ast.Lt, ast.LtE), (ast.Gt, ast.GtE), (ast.Eq, ast.NotEq), (ast.Is, ast.IsNot), (ast.In, ast.NotIn),
    (ast.And, ast.Or), (ast.Add, ast.Sub), (ast.Mult, ast.FloorDiv),
)  # fmt: skip
SWAPS = {a: b for pair in _PAIRS for a, b in (pair, pair[::-1])}
SCRIPT = """
import sys
from dahliabend.simulation.scenario_generator import draw
from dahliabend.simulation.sweep import run_seed
for seed in range(int(sys.argv[1])):
    rules = run_seed(draw(seed)).rules
    if rules:
        print(seed, *sorted(rules), sep=",")
        sys.exit(1)
"""


def files(root: Path) -> list[str]:
    """The modules that are changed, by their paths in the package."""
    base = root / "dahliabend"
    found = [path for package in PACKAGES for path in sorted((base / package).glob("*.py"))]
    return [str(path.relative_to(base)) for path in found if path.name not in NOT_RUN] + list(MODULES)


def sites(tree: ast.AST) -> list[tuple[int, int]]:
    """What can be changed: a node's place in the walk, and which of its parts."""
    found = []
    for number, node in enumerate(ast.walk(tree)):
        if isinstance(node, ast.Compare):
            found += [(number, part) for part, op in enumerate(node.ops) if type(op) in SWAPS]
        else:
            operator = isinstance(node, ast.BoolOp | ast.BinOp | ast.AugAssign) and type(node.op) in SWAPS
            negation = isinstance(node, ast.UnaryOp) and isinstance(node.op, ast.Not)
            constant = isinstance(node, ast.Constant) and type(node.value) in (bool, int)
            if operator or negation or constant:
                found.append((number, 0))
    return found


def change(tree: ast.AST, site: tuple[int, int]) -> tuple[ast.AST, int, str]:
    """The changed tree, the line, and what it was before."""
    made = copy.deepcopy(tree)
    node = list(ast.walk(made))[site[0]]
    line, before = getattr(node, "lineno", 0), ast.unparse(node)[:80]
    if isinstance(node, ast.Compare):
        node.ops[site[1]] = SWAPS[type(node.ops[site[1]])]()
    elif isinstance(node, ast.UnaryOp):
        node.op, node.operand = ast.Not(), ast.UnaryOp(ast.Not(), node.operand)
    elif isinstance(node, ast.Constant):
        node.value = not node.value if isinstance(node.value, bool) else node.value + 1
    else:
        node.op = SWAPS[type(node.op)]()
    return made, line, f"{before}  ->  {ast.unparse(node)[:80]}"


def run_mutant(root: Path, seeds: int, name: str, text: str | None, limit: float | None) -> tuple[str, float]:
    """How it was noticed, "" if it was not, and the seconds that took."""
    with tempfile.TemporaryDirectory() as directory:
        shutil.copytree(
            root / "dahliabend", Path(directory) / "dahliabend", ignore=shutil.ignore_patterns("*.pyc")
        )
        if text is not None:
            (Path(directory) / "dahliabend" / name).write_text(text)
        began = time.monotonic()
        try:
            done = subprocess.run(
                [sys.executable, "-c", SCRIPT, str(seeds)],
                cwd=directory,
                capture_output=True,
                text=True,
                timeout=limit,
            )
        except subprocess.TimeoutExpired:
            return "takes too long", time.monotonic() - began
    how = done.stdout.strip() or (done.stderr.strip().splitlines() or ["crash"])[-1]
    return how if done.returncode else "", time.monotonic() - began


def interval(hits: int, count: int) -> tuple[float, float]:
    """Wilson's 95% interval of a share."""
    share, z = hits / count, 1.96
    middle = (share + z * z / (2 * count)) / (1 + z * z / count)
    half = z * sqrt(share * (1 - share) / count + z * z / (4 * count * count)) / (1 + z * z / count)
    return middle - half, middle + half


def main() -> int:
    """The command line; the exit status."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--count", type=int, default=100)
    parser.add_argument("--seeds", type=int, default=100)
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--draw", type=int, default=1, help="Which mutants.")
    parser.add_argument("--root", type=Path, default=Path(__file__).resolve().parent.parent)
    parser.add_argument("--out", type=Path)
    given = parser.parse_args()
    trees = {name: ast.parse((given.root / "dahliabend" / name).read_text()) for name in files(given.root)}
    every = [(name, site) for name in trees for site in sites(trees[name])]
    chosen = Random(given.draw).sample(every, min(given.count, len(every)))
    how, took = run_mutant(given.root, given.seeds, "", None, None)
    if how:
        print(f"the unchanged tree is not clean: {how}", file=sys.stderr)
        return 2

    def run_one(pick: tuple[str, tuple[int, int]]) -> dict:
        """Run one mutant."""
        name, site = pick
        made, line, what = change(trees[name], site)
        noticed, seconds = run_mutant(given.root, given.seeds, name, ast.unparse(made), 10 * took + 10)
        return {"file": name, "line": line, "what": what, "noticed": noticed, "seconds": round(seconds, 1)}

    with ThreadPoolExecutor(given.jobs) as pool:
        rows = list(pool.map(run_one, chosen))
    hits = sum(bool(row["noticed"]) for row in rows)
    low, high = interval(hits, len(rows))
    share = f"{hits / len(rows):.0%} ({low:.0%} to {high:.0%})"
    print(f"{hits} of {len(rows)} noticed over {given.seeds} seeds: {share}")
    for row in sorted(
        (row for row in rows if not row["noticed"]), key=lambda row: (row["file"], row["line"])
    ):
        print(f"alive: {row['file']}:{row['line']}: {row['what']}")
    if given.out:
        given.out.write_text(json.dumps(rows, indent=1) + "\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
