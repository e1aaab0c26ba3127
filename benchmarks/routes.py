"""Cost of an operator file: a route lookup by number of routes, and a request on sockets.

    python benchmarks/routes.py --rounds 10

Requests are measured as in `path.py`, with an operator file of 101 routes and with a platform configuration.
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
    """Return the nanoseconds of a lookup, over paths that match routes throughout the table."""
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
    for _ in range(2):  # the first pass is a warm-up
        started_at = time.perf_counter()
        for n in range(repetitions):
            table.find("GET", paths[n % len(paths)], {})
        duration = time.perf_counter() - started_at
    return duration / repetitions * 1e9


def write_operator_file(settings: dict, directory: str) -> list[str]:
    """Write an operator file for a platform configuration; return the arguments that serve it.

    The file has the same meaning as the configuration, plus a hundred routes that no request matches.
    """
    discovery = settings["discovery"]
    text = f"""
[listeners.callers]
address = "{settings["listen"]}"
[pools.all]
discovery = "{discovery}"
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
    file_path = Path(directory) / "file.toml"
    file_path.write_text(text)
    return ["serve", str(file_path)]


def main() -> None:
    """Run the command line."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--rounds", type=int, default=10)
    parser.add_argument("--count", type=int, default=8_000)
    arguments = parser.parse_args()
    for count in (10, 1_000, 10_000):
        print(f"{count:6} routes: {measure_lookup(count):.0f} ns a look-up", flush=True)
    ratios = []
    for number in range(arguments.rounds):
        costs = {}
        for configuration in ("platform", "file")[:: 1 if number % 2 else -1]:
            with tempfile.TemporaryDirectory() as directory:
                command = (
                    (lambda conf, directory=directory: write_operator_file(conf, directory))
                    if configuration == "file"
                    else None
                )
                costs[configuration] = asyncio.run(path.measure(TREE, arguments.count, command))
        ratios.append(costs["file"] / costs["platform"])
        print(f"{costs['platform']:8.1f} {costs['file']:8.1f} {ratios[-1]:6.3f}", flush=True)
    print(json.dumps({"median ratio file/platform": round(statistics.median(ratios), 3)}))


if __name__ == "__main__":
    main()
