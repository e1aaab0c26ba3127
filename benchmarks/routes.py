"""What an operator's file costs: a look-up by the number of routes; a transaction on sockets, paired.

python benchmarks/routes.py --rounds 10
"""

import argparse
import asyncio
import json
import statistics
import tempfile
import time
from pathlib import Path

import path

from dahliabend.config.operator_file.schema import RouteSettings
from dahliabend.routing_rules.route_table import RouteTable

TREE = Path(__file__).parents[1]


def measure_lookup(count: int, repetitions: int = 50_000) -> float:
    """Nanoseconds for one, over paths that hit routes everywhere in the table."""
    routes = [
        RouteSettings(
            name=f"r{n}", class_="query", pool="a", path=f"/service{n % 100}/part{n}", methods=["GET"]
        )
        for n in range(count)
    ]
    table, paths = (
        RouteTable(routes),
        [f"/service{n % 100}/part{n}/more?x=1" for n in range(0, count, max(1, count // 64))],
    )
    for _ in range(2):  # the first warms up
        began = time.perf_counter()
        for n in range(repetitions):
            table.find("GET", paths[n % len(paths)], {})
        spent = time.perf_counter() - began
    return spent / repetitions * 1e9


def write_operator_file(settings: dict, directory: str) -> list[str]:
    """An operator's file that says the same as the platform's, and a hundred routes that nobody asks for."""
    listed = settings["discovery"]
    text = f"""
[listeners.callers]
address = "{settings["listen"]}"
[pools.all]
discovery = "{listed}"
[classes.query]
effect = "idempotent"
service-goal = "1s"
hard-limit = "3s"
[[routes]]
name = "query"
path = "/query"
class = "query"
pool = "all"
"""
    for number in range(100):
        text += f'[[routes]]\nname = "n{number}"\npath = "/n/{number}"\nclass = "query"\npool = "all"\n'
    where = Path(directory) / "file.toml"
    where.write_text(text)
    return ["serve", str(where)]


def main() -> None:
    """The command line."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--rounds", type=int, default=10)
    parser.add_argument("--count", type=int, default=8_000)
    given = parser.parse_args()
    for count in (10, 1_000, 10_000):
        print(f"{count:6} routes: {measure_lookup(count):.0f} ns a look-up", flush=True)
    ratios = []
    for number in range(given.rounds):
        got = {}
        for how in ("platform", "file")[:: 1 if number % 2 else -1]:
            with tempfile.TemporaryDirectory() as directory:
                command = (
                    (lambda conf, directory=directory: write_operator_file(conf, directory))
                    if how == "file"
                    else None
                )
                got[how] = asyncio.run(path.measure(TREE, given.count, command))
        ratios.append(got["file"] / got["platform"])
        print(f"{got['platform']:8.1f} {got['file']:8.1f} {ratios[-1]:6.3f}", flush=True)
    print(json.dumps({"median ratio file/platform": round(statistics.median(ratios), 3)}))


if __name__ == "__main__":
    main()
