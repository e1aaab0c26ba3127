"""Long bodies to an upstream that takes seconds to read them, beside upstreams that read at once."""

import sys
import time
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
    Record,
    Upstream,
    profile,
    read_head,
    read_message,
    response,
    run_case,
    settings,
)

UPSTREAMS = 4
SLOW = 0  # number of the upstream that reads slowly
BODY = 2 * 1024 * 1024  # bytes
PIECE = 32 * 1024  # bytes that an upstream reads at a time
READING_TIME = 5.0  # seconds that the slow upstream takes for a body
WORK = 0.05  # seconds
CLIENTS = 4
REQUESTS = 6  # of each client
PATIENCE = 3.0  # seconds that a client waits for the answer, from its last byte on
LATE = 0.55  # seconds after that time within which a late answer is only late: 0.5 s and 50 ms


class Reader(Upstream):
    """An upstream that reads bodies in pieces, and answers when it has read and run them."""

    def __init__(self, number: int, trouble: bool, record: Record) -> None:
        self.pause = READING_TIME * PIECE / BODY if trouble and number == SLOW else 0.0
        self.record = record
        super().__init__(f"s-{number}")

    def serve(self, sock: Any) -> None:  # noqa: ANN401 - a socket
        """Answer the requests of a connection, one after the other."""
        with sock.makefile("rb", buffering=PIECE) as file:
            while (head := read_head(file)) is not None:
                first, headers = head
                if first.startswith("GET /-/"):
                    sock.sendall(response(HTTP_OK, b"ok\n"))
                    continue
                trace_id = headers["x-trace-id"]
                self.record(f"{trace_id} begins to arrive at {self.name}")
                if not self.read_body(file, int(headers["content-length"])):
                    self.record(f"{trace_id} broken off at {self.name}")
                    return
                time.sleep(WORK)
                self.record(f"{trace_id} run by {self.name}")
                sock.sendall(response(HTTP_OK, trace_id.encode()))

    def read_body(self, file: Any, length: int) -> bool:  # noqa: ANN401 - a file of a socket
        """Read a body at a steady pace; return whether it came as a whole."""
        begun_at = time.monotonic()
        received = 0
        while received < length:
            part = file.read1(min(PIECE, length - received))
            if not part:
                return False
            received += len(part)
            time.sleep(max(0.0, begun_at + self.pause * received / PIECE - time.monotonic()))
        return True


class Uploads:
    """Clients that send long bodies and wait for their answers until their time is up."""

    def __init__(self, address: str, record: Record) -> None:
        self.address = address
        self.record = record
        self.lock = Lock()
        self.sent = 0
        self.lost: list[str] = []

    def run(self, number: int) -> None:
        """Send requests one after the other, each on a connection of its own."""
        for count in range(REQUESTS):
            self.upload(f"c{number}-{count}")

    def upload(self, trace_id: str) -> None:
        """Send one request and wait for its answer."""
        client = Client(self.address)
        begun_at = time.monotonic()
        headers = {"X-Trace-Id": trace_id, "X-Expires-In-Ms": f"{1000 * PATIENCE:.0f}"}
        client.send("POST", "/submit/1", headers, b"x" * BODY)
        sent_at = time.monotonic()
        self.record(f"{trace_id} sent, last byte {sent_at - begun_at:.3f} s after the first")
        client.sock.settimeout(PATIENCE + LATE)
        try:
            answer = read_message(client.file)
            result = f"answered {answer.status}" if answer else "NOT ANSWERED, the connection has ended"
            is_lost = answer is None
        except TimeoutError:
            result = "NOT ANSWERED"
            is_lost = True
        waited = time.monotonic() - sent_at
        self.record(f"{trace_id} {result} {waited:.3f} s after its last byte")
        client.close()
        with self.lock:
            self.sent += 1
            if is_lost or waited > PATIENCE + LATE:
                self.lost.append(trace_id)


def case(record: Record, trouble: bool) -> bool:
    """Play the case; return whether a request had no final answer in time."""
    upstreams = [Reader(number, trouble, record) for number in range(UPSTREAMS)]
    discovery = Discovery([upstream.entry for upstream in upstreams])
    query = profile("query", "idempotent", 2000.0, 5000.0)
    submit = profile("submit", "at_most_once", 2500.0, 6000.0)
    with Balancer(settings(query, submit), discovery, record) as balancer:
        uploads = Uploads(balancer.address, record)
        threads = [Thread(target=uploads.run, args=(number,), daemon=True) for number in range(CLIENTS)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        balancer.check_alive()
    record(f"{uploads.sent} requests, {len(uploads.lost)} with no final answer in time: {uploads.lost}")
    return bool(uploads.lost)


if __name__ == "__main__":
    run_case(FOLDER, case)
