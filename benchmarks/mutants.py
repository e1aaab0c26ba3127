"""Mutation testing of the network code and the policy: which mutants does the simulation detect?

    python benchmarks/mutants.py --count 100 --seeds 100 --jobs 4 [--root TREE] [--out FILE]

Each mutant has one change in a copy of the tree: another comparison, `and` for `or`, another arithmetic
operator, a removed `not`, a number increased by one, or True for False. It runs over the same seeds until an
invariant is violated, it crashes, or it takes more than ten times as long as the unchanged tree plus 10 s.
The script prints the share of detected mutants with its 95% Wilson interval, and the undetected ones by file
and line; `--out` writes all results as JSON.
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

# Packages, and single modules of other packages, that a plain run of the simulation executes.
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


def module_paths(root: Path) -> list[str]:
    """Return the modules that are mutated, as paths relative to the package."""
    base = root / "dahliabend"
    found = [path for package in PACKAGES for path in sorted((base / package).glob("*.py"))]
    return [str(path.relative_to(base)) for path in found if path.name not in NOT_RUN] + list(MODULES)


def mutation_sites(tree: ast.AST) -> list[tuple[int, int]]:
    """Return what can be mutated: the index of a node in `ast.walk`, and that of a comparison's operator."""
    found = []
    for number, node in enumerate(ast.walk(tree)):
        if isinstance(node, ast.Compare):
            found += [
                (number, operand_index) for operand_index, op in enumerate(node.ops) if type(op) in SWAPS
            ]
        else:
            operator = isinstance(node, ast.BoolOp | ast.BinOp | ast.AugAssign) and type(node.op) in SWAPS
            negation = isinstance(node, ast.UnaryOp) and isinstance(node.op, ast.Not)
            constant = isinstance(node, ast.Constant) and type(node.value) in (bool, int)
            if operator or negation or constant:
                found.append((number, 0))
    return found


def mutate(tree: ast.AST, site: tuple[int, int]) -> tuple[ast.AST, int, str]:
    """Return the mutated tree, the line of the change, and the source text before and after it."""
    mutated = copy.deepcopy(tree)
    node = list(ast.walk(mutated))[site[0]]
    line, original = getattr(node, "lineno", 0), ast.unparse(node)[:80]
    if isinstance(node, ast.Compare):
        node.ops[site[1]] = SWAPS[type(node.ops[site[1]])]()
    elif isinstance(node, ast.UnaryOp):
        node.op, node.operand = ast.Not(), ast.UnaryOp(ast.Not(), node.operand)
    elif isinstance(node, ast.Constant):
        node.value = not node.value if isinstance(node.value, bool) else node.value + 1
    else:
        node.op = SWAPS[type(node.op)]()
    return mutated, line, f"{original}  ->  {ast.unparse(node)[:80]}"


def run_mutant(root: Path, seeds: int, name: str, text: str | None, limit: float | None) -> tuple[str, float]:
    """Run a mutant; return how it was detected ("" if it was not) and the seconds that the run took."""
    with tempfile.TemporaryDirectory() as directory:
        shutil.copytree(
            root / "dahliabend", Path(directory) / "dahliabend", ignore=shutil.ignore_patterns("*.pyc")
        )
        if text is not None:
            (Path(directory) / "dahliabend" / name).write_text(text)
        started_at = time.monotonic()
        try:
            completed = subprocess.run(
                [sys.executable, "-c", SCRIPT, str(seeds)],
                cwd=directory,
                capture_output=True,
                text=True,
                timeout=limit,
            )
        except subprocess.TimeoutExpired:
            return "takes too long", time.monotonic() - started_at
    detection = completed.stdout.strip() or (completed.stderr.strip().splitlines() or ["crash"])[-1]
    return detection if completed.returncode else "", time.monotonic() - started_at


def interval(detected_count: int, count: int) -> tuple[float, float]:
    """Return the 95% Wilson score interval of a share."""
    share, z = detected_count / count, 1.96
    middle = (share + z * z / (2 * count)) / (1 + z * z / count)
    half = z * sqrt(share * (1 - share) / count + z * z / (4 * count * count)) / (1 + z * z / count)
    return middle - half, middle + half


def main() -> int:
    """Run the command line; return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--count", type=int, default=100)
    parser.add_argument("--seeds", type=int, default=100)
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--draw", type=int, default=1, help="Seed of the sample of mutants.")
    parser.add_argument("--root", type=Path, default=Path(__file__).resolve().parent.parent)
    parser.add_argument("--out", type=Path)
    arguments = parser.parse_args()
    trees = {
        name: ast.parse((arguments.root / "dahliabend" / name).read_text())
        for name in module_paths(arguments.root)
    }
    all_sites = [(name, site) for name in trees for site in mutation_sites(trees[name])]
    chosen_sites = Random(arguments.draw).sample(all_sites, min(arguments.count, len(all_sites)))
    detection, unchanged_seconds = run_mutant(arguments.root, arguments.seeds, "", None, None)
    if detection:
        print(f"the unchanged tree is not clean: {detection}", file=sys.stderr)
        return 2

    def run_one(chosen_site: tuple[str, tuple[int, int]]) -> dict:
        """Create and run one mutant; return its entry of the results."""
        name, site = chosen_site
        mutated, line, description = mutate(trees[name], site)
        detection, seconds = run_mutant(
            arguments.root, arguments.seeds, name, ast.unparse(mutated), 10 * unchanged_seconds + 10
        )
        return {
            "file": name,
            "line": line,
            "what": description,
            "noticed": detection,
            "seconds": round(seconds, 1),
        }

    with ThreadPoolExecutor(arguments.jobs) as pool:
        results = list(pool.map(run_one, chosen_sites))
    detected_count = sum(bool(result["noticed"]) for result in results)
    low, high = interval(detected_count, len(results))
    share = f"{detected_count / len(results):.0%} ({low:.0%} to {high:.0%})"
    print(f"{detected_count} of {len(results)} noticed over {arguments.seeds} seeds: {share}")
    for result in sorted(
        (result for result in results if not result["noticed"]),
        key=lambda result: (result["file"], result["line"]),
    ):
        print(f"alive: {result['file']}:{result['line']}: {result['what']}")
    if arguments.out:
        arguments.out.write_text(json.dumps(results, indent=1) + "\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
