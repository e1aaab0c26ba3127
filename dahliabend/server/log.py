"""The log: one JSON line an event, on standard error."""

import asyncio
import os
from datetime import UTC, datetime

import orjson

MOST_WAITING = 1 << 20  # bytes kept for a reader that does not read


class Log:
    """Lines are gathered and written once a turn of the loop. Whoever reads them slowly loses lines, and is
    told how many: a full pipe must not stop the balancer."""

    def __init__(self, name: str, verbose: bool = False, sink: int = 2) -> None:
        self.name, self.verbose, self.sink = name, verbose, sink
        self.lines = bytearray()
        self.lost = 0
        self.loop: asyncio.AbstractEventLoop | None = None
        self.due = False

    def attach(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        os.set_blocking(self.sink, False)

    def __call__(self, event: str, **fields) -> None:
        line = {"at": datetime.now(UTC), "balancer": self.name, "event": event, **fields}
        self.put(orjson.dumps(line, default=str, option=orjson.OPT_APPEND_NEWLINE))

    def put(self, line: bytes) -> None:
        if len(self.lines) > MOST_WAITING:
            self.lost += 1
            return
        if self.lost:
            line = line[:-2] + b',"lines_lost":%d}\n' % self.lost
            self.lost = 0
        self.lines += line
        if self.loop is None:
            self.write()
        elif not self.due:
            self.due = True
            self.loop.call_soon(self.write)

    def debug(self, event: str, **fields) -> None:
        if self.verbose:
            self(event, **fields)

    def write(self) -> None:
        self.due = False
        try:
            while self.lines:
                del self.lines[: os.write(self.sink, self.lines)]
        except BlockingIOError:
            if self.loop is not None:
                self.due = True
                self.loop.call_later(0.1, self.write)
        except OSError:
            self.lines.clear()  # nobody listens any more

    def end(self) -> None:
        self.loop = None
        self.write()
