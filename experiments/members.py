"""False deaths over lost datagrams and pauses, on the machine alone: `python experiments/members.py`.

Five instances and five minutes a seed, 40 seeds; then the same with one of them stopped for 3 s every 20 s. Beside it: without local
health awareness, and without others asked. Deaths are counted at each instance that told one.
"""

import sys
from pathlib import Path

root = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(root), str(root / "tests" / "members")]

from town import S, Town  # noqa: E402

from dahliabend.members.machine import Terms  # noqa: E402

WAYS = {
    "as it is": Terms(whole=10),
    "no health awareness": Terms(whole=10, health=0),
    "nobody else asked": Terms(whole=10, others=0),
}


def main() -> None:
    print("| datagrams lost | one stops 3 s in 20 |", " | ".join(WAYS), "|\n| --- | --- |", "--- |" * len(WAYS))
    for loss in (0.0, 0.1, 0.2, 0.3, 0.4):
        for stops in (False, True):
            told = []
            for terms in WAYS.values():
                deaths = 0
                for seed in range(40):
                    town = Town(5, seed, loss, terms)
                    for _ in range(15):
                        if stops:
                            town.pause("b2", 3 * S)
                        town.run(20 * S)
                    deaths += sum(e.what == "died" for m in town.machines.values() for e in m.events)
                told.append(f"{deaths}")
            print(f"| {loss:.0%} | {'yes' if stops else 'no'} |", " | ".join(told), "|", flush=True)


if __name__ == "__main__":
    main()
