"""An upstream that holds requests back, and settings with requests that are ordered by their key."""

import copy
from queue import Empty, Queue

from helpers import CONF, PATIENCE, Client, Upstream, make_response

ORDERED = copy.deepcopy(CONF)
ORDERED["profiles"].append(
    {"name": "amend", "service-goal": 1000.0, "hard-limit": 3000.0, "semantics": "deduplicated",
     "dedup-window": 4000.0, "in-order": True}
)  # fmt: skip
LONG_TIMEOUT_MS = "60000"  # longer than PATIENCE
ORDERED["contract"]["order-pause"] = 100.0
# On a busy machine a request that the test holds back must neither reach its deadline nor be retried early.
ORDERED_WITH_LONG_DEADLINES = copy.deepcopy(ORDERED)
ORDERED_WITH_LONG_DEADLINES["profiles"][-1].update({"service-goal": 30_000.0, "hard-limit": 60_000.0})


TRACE_IDS = ("a", "b", "c", "d", "e")


class HoldingUpstream:
    """An upstream that answers a request only after its trace id has been released.

    With a single queue of releases, a request that arrives late could take the release of an earlier one.
    """

    def __init__(self):
        self.releases = {trace_id: Queue() for trace_id in TRACE_IDS}
        self.upstream = Upstream(self.hold)

    def hold(self, conn, request):
        try:
            self.releases[request[1]["x-trace-id"]].get(timeout=PATIENCE)
        except Empty:
            return False  # the test has ended
        return conn.sendall(make_response()) is None

    def next_trace_id(self):
        """Return the trace id of the next request that arrives."""
        return self.upstream.received_requests.get(timeout=PATIENCE)[1]["x-trace-id"]

    def release(self, *trace_ids):
        for trace_id in trace_ids:
            self.releases[trace_id].put(True)


def send_ordered_request(address, trace_id, key="9", timeout_ms=LONG_TIMEOUT_MS):
    caller = Client(address)
    caller.send("amend", "POST", timeout_ms=timeout_ms, trace_id=trace_id, extra_headers=f"X-Item: {key}\r\n")
    return caller
