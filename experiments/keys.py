"""Memory use of a balancer over a million requests with ordering keys: `python experiments/keys.py`.

200 requests are in flight at a time, each with a unique key or one of 20 popular ones; a third end with a timeout,
reset or cancellation. The script prints the traced memory in KiB and the numbers of key queues and key pauses after
each 100,000 requests.
"""

import sys
import tracemalloc
from collections import deque
from dataclasses import replace
from pathlib import Path
from random import Random

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "tests"))
sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from fake_port import DEDUPLICATED, IDEMPOTENT, MS, S, make_balancer

from dahliabend.model import Outcome, TimerToken
from dahliabend.policy.records import RequestState

KEYS = 1_000_000
MAX_IN_FLIGHT = 200
POPULAR_KEYS = 20
POPULAR_INTERVAL = 10  # one in this many requests has a popular key
FIRST_UNIQUE_KEY = 1_000
FAILURE_SHARE = 1 / 3
REPORT_INTERVAL = 100_000
FAILURES = (Outcome.TIMED_OUT, Outcome.RESET, Outcome.CANCELLED)


def main() -> None:
    """Run the experiment."""
    policy, port = make_balancer(
        request_classes=(replace(DEDUPLICATED, is_ordered=True), IDEMPOTENT),
        key_pause=100 * MS,
        max_attempts=1,
    )
    policy.concurrency.limit = 1e9  # effectively unlimited
    rng = Random(1)
    now = 100 * S
    in_flight: deque[RequestState] = deque()
    tracemalloc.start()
    for number in range(1, KEYS + 1):
        now += MS
        key = (
            rng.randrange(1, POPULAR_KEYS + 1)
            if number % POPULAR_INTERVAL == 0
            else FIRST_UNIQUE_KEY + number
        )
        request = policy.admit(now, number, 0, 0, now + 5 * S, key=key)
        if not request.is_finished:
            in_flight.append(request)
        while len(in_flight) > MAX_IN_FLIGHT:
            request = in_flight.popleft()
            if request.in_flight:
                outcome = rng.choice(FAILURES) if rng.random() < FAILURE_SHARE else Outcome.SUCCEEDED
                request.attempt_finished(now, 0, outcome, MS, outcome is Outcome.SUCCEEDED)
            elif not request.is_finished:
                request.client_disconnected(now)
        policy.timer_fired(now, TimerToken.KEY_PAUSE)
        port.clear()
        if number % REPORT_INTERVAL == 0:
            traced_kib = tracemalloc.get_traced_memory()[0] // 1024
            print(
                f"{number:9,} keys: {traced_kib:6,} KiB, {len(policy.key_queues.queues)} queues, {len(policy.key_queues.pauses)} pauses"
            )


if __name__ == "__main__":
    main()
