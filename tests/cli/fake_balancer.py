"""A fake admin API with fixed responses, for commands that query a running balancer."""

import json
import threading
from collections.abc import Iterator
from contextlib import contextmanager
from http.server import BaseHTTPRequestHandler, HTTPServer

MEMBERS = {
    "stable": True, "cut": False, "outcast": "", "name": "b1", "mark": "abc", "version": 3, "age_ms": 1234,
    "confidence": 0.75, "dropped": {"late": 2, "bad": 1},
    "here": [
        {"name": "b1", "state": "alive", "since_ms": None, "by": "", "zone": "z", "weight": 1.5,
         "incarnation": 4, "address": "10.0.0.1:7946", "cannot_reach": ["b2"]},
    ],
    "gone": [
        {"name": "b2", "state": "dead", "since_ms": 250_000, "by": "b1", "zone": "z", "incarnation": 4,
         "address": "10.0.0.2:7946"},
    ],
}  # fmt: skip
SIGNALS = {
    "name": "b1", "unread": 1, "refused": 2, "told": 3,
    "own": [{"pool": "p", "upstream": "u1", "tried": 5, "bad": 2}],
    "origins": [
        {"name": "b2", "age_ms": 400, "hops": 2, "rows": []},
        {"name": "b3", "age_ms": 200_000, "hops": 1,
         "rows": [{"pool": "p", "upstream": "u2", "tried": 9, "bad": 0}]},
    ],
    "believed": [{"age_ms": 99, "pool": "p", "upstream": "u1", "origins": 3}],
}  # fmt: skip
TURNS = {
    "period_ms": 2500, "settled": False, "probes": 4, "refused": 5,
    "duties": [
        {"duty": "probe p u1", "owner": "b1", "fence": 1 << 70, "age_ms": None, "result": "ok", "place": -1},
        {"duty": "probe p u2", "owner": "b2", "fence": 1 << 71, "age_ms": 5500, "result": "bad", "place": 0},
    ],
}  # fmt: skip
SUBSETS = {
    "pools": {
        "p": {
            "size": 2,
            "of": 5,
            "by": "view",
            "balancers": 3,
            "wider": 1,
            "weights": {"u1": 1.0, "u2": 0.25},
        },
    }
}
RESPONSES = {
    "/api/members": MEMBERS,
    "/api/signals": SIGNALS,
    "/api/turns": TURNS,
    "/api/subsets": SUBSETS,
}


@contextmanager
def fake_balancer(responses: dict[str, object] | None = None, status: int = 200) -> Iterator[str]:
    """Serve these responses, by path, with this HTTP status; yield the address of the admin API."""
    bodies = {path: json.dumps(response).encode() for path, response in (responses or RESPONSES).items()}

    class Handler(BaseHTTPRequestHandler):
        def do_GET(self) -> None:
            body = bodies[self.path]
            self.send_response(status)
            self.send_header("Content-Length", str(len(body)))
            self.end_headers()
            self.wfile.write(body)

        def log_message(self, *_arguments: object) -> None:
            pass

    with HTTPServer(("127.0.0.1", 0), Handler) as server:
        thread = threading.Thread(target=server.serve_forever, daemon=True)
        thread.start()
        try:
            yield f"127.0.0.1:{server.server_port}"
        finally:
            server.shutdown()
            thread.join()
