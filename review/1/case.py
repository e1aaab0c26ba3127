"""A new file in which a journalled class lacks its `group`, beside one upstream of ten that fails."""

import copy
import random
import sys
import time
from collections import defaultdict
from pathlib import Path
from threading import Lock, Thread
from typing import Any

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from common import (  # noqa: E402 - the folder of the stand-ins has to be in the path first
    HTTP_OK,
    Balancer,
    Client,
    Discovery,
    Message,
    Record,
    Upstream,
    profile,
    response,
    run_case,
    settings,
)

UPSTREAMS = 10
CELLS = 2
MEMORY = 8.0  # seconds for which the upstreams of a cell drop a repeat
WORK = 0.02  # seconds
FAILING = 0  # number of the upstream that fails
FAILED_SHARE = 0.5  # of its transactions
CLIENTS = 6
PERIOD = 0.1  # seconds between two requests of a client
BEFORE = 2.0  # seconds of traffic before the new file
SETTLE = 1.2  # seconds from SIGHUP until the new settings bind
AFTER = 16.5  # seconds of traffic from then on


class Cells:
    """What the upstreams of each cell remember together, and what they have run."""

    def __init__(self, record: Record) -> None:
        self.lock = Lock()
        self.remembered: list[dict[str, float]] = [{} for _ in range(CELLS)]
        self.runs: defaultdict[str, list[str]] = defaultdict(list)
        self.record = record

    def run(self, upstream: "Store", trace_id: str) -> None:
        """Run a transaction, unless the cell remembers that it has been run."""
        now = time.monotonic()
        with self.lock:
            known_at = self.remembered[upstream.cell].get(trace_id)
            if known_at is not None and now - known_at < MEMORY:
                self.record(f"{trace_id} repeat dropped by {upstream.name} (cell {upstream.cell})")
                return
            self.remembered[upstream.cell][trace_id] = now
            self.runs[trace_id].append(f"{upstream.name} (cell {upstream.cell})")
            self.record(f"{trace_id} run by {upstream.name} (cell {upstream.cell})")


class Store(Upstream):
    """An upstream that runs journalled transactions; the failing one answers 500 to some that it has run."""

    def __init__(self, number: int, cells: Cells) -> None:
        self.cells = cells
        self.random = random.Random(number)
        self.failed_share = FAILED_SHARE if number == FAILING else 0.0
        super().__init__(f"s-{number}", number % CELLS)

    def answer(self, sock: Any, message: Message) -> None:  # noqa: ANN401 - a socket
        """Run a request and answer it."""
        time.sleep(WORK)
        self.cells.run(self, message.headers["x-trace-id"])
        if self.random.random() < self.failed_share:
            sock.sendall(response(500, b"failed\n"))
        else:
            sock.sendall(response(HTTP_OK, b"done\n"))


def send_requests(number: int, address: str, end: float, record: Record) -> None:
    """Send a request of the journalled class now and then; none is sent again."""
    client = Client(address)
    count = 0
    while time.monotonic() < end:
        count += 1
        trace_id = f"c{number}-{count:04d}"
        answer = client.request(
            "POST", "/submit/1", {"X-Trace-Id": trace_id, "X-Expires-In-Ms": "6000"}, b"reading"
        )
        record(f"{trace_id} answered {answer.status if answer else 'not at all'}")
        if answer is None or answer.headers.get("connection") == "close":
            client.close()
            client = Client(address)
        time.sleep(PERIOD)
    client.close()


def case(record: Record, trouble: bool) -> bool:
    """Play the case; return whether a transaction was run twice."""
    cells = Cells(record)
    stores = [Store(number, cells) for number in range(UPSTREAMS)]
    discovery = Discovery([store.entry for store in stores])
    query = profile("query", "idempotent", 2000.0, 5000.0)
    submit = profile(
        "submit", "deduplicated", 2500.0, 6000.0, group="cell", **{"dedup-window": MEMORY * 1000}
    )
    with Balancer(settings(query, submit), discovery, record) as balancer:
        end = time.monotonic() + BEFORE + SETTLE + AFTER
        clients = [
            Thread(target=send_requests, args=(number, balancer.address, end, record), daemon=True)
            for number in range(CLIENTS)
        ]
        for thread in clients:
            thread.start()
        time.sleep(BEFORE)
        changed = copy.deepcopy(balancer.config)
        changed["settings"]["caps"]["most-hops"] = 4  # a change that both files have
        if trouble:
            del changed["settings"]["profiles"][1]["group"]
        balancer.reload(changed)
        record(f"SIGHUP, the new file {'lacks' if trouble else 'has'} group in the class submit")
        time.sleep(SETTLE)
        figures = balancer.telemetry()
        record(f"files accepted {figures['cfg_accepted']}, turned down {figures['cfg_invalid']}")
        for thread in clients:
            thread.join()
        balancer.check_alive()
    twice = {trace_id: runs for trace_id, runs in cells.runs.items() if len(runs) > 1}
    for trace_id, runs in sorted(twice.items()):
        record(f"{trace_id} RUN {len(runs)} TIMES: {', '.join(runs)}")
    record(f"{len(cells.runs)} transactions run, {len(twice)} of them more than once")
    return bool(twice)


if __name__ == "__main__":
    run_case(FOLDER, case)
