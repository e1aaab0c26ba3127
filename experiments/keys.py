"""Memory of a balancer over a million keys in order: `python experiments/keys.py`.

200 transactions are out at a time, each of a key of its own or of one of 20 popular ones; a third end in a time-out, reset
or cancel. Prints what is traced after each 100,000, in KiB, and how many lines and rests are kept then.
"""

import sys
import tracemalloc
from collections import deque
from dataclasses import replace
from pathlib import Path
from random import Random

root = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(root), str(root / "tests")]

from helpers import FREE, MARKED, MS, S, balancer  # noqa: E402

from dahliabend.model import Outcome  # noqa: E402
from dahliabend.policy.key_order import REST  # noqa: E402

KEYS, OUT = 1_000_000, 200
UNSURE = (Outcome.TIMED_OUT, Outcome.RESET, Outcome.CANCELLED)


def main() -> None:
    made, port = balancer(
        request_classes=(replace(MARKED, is_ordered=True), FREE), key_rest=100 * MS, max_attempts=1
    )
    made.ceiling = 1e9  # the crowd is not what is looked at
    rng, now, out = Random(1), 100 * S, deque()
    tracemalloc.start()
    for number in range(1, KEYS + 1):
        now += MS
        key = rng.randrange(1, 21) if number % 10 == 0 else 1_000 + number
        request = made.admit(now, number, 0, 0, now + 5 * S, key=key)
        if not request.is_finished:
            out.append(request)
        while len(out) > OUT:
            request = out.popleft()
            if request.out:
                outcome = rng.choice(UNSURE) if rng.random() < 1 / 3 else Outcome.SUCCEEDED
                request.attempt_finished(now, 0, outcome, MS, outcome is Outcome.SUCCEEDED)
            elif not request.is_finished:
                request.client_disconnected(now)
        made.timer_fired(now, REST)
        port.clear()
        if number % 100_000 == 0:
            kept = tracemalloc.get_traced_memory()[0] // 1024
            print(
                f"{number:9,} keys: {kept:6,} KiB, {len(made.lines.lines)} lines, {len(made.lines.rests)} rests"
            )


if __name__ == "__main__":
    main()
