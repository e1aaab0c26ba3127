"""The log: one JSON line an event, on standard error."""

import asyncio
import os
from datetime import UTC, datetime

import orjson

MAX_BUFFERED_BYTES = 1 << 20  # bytes kept for a reader that does not read


class Log:
    """Lines are gathered and written once a turn of the loop. Whoever reads them slowly loses lines, and is
    told how many: a full pipe must not stop the balancer."""

    def __init__(self, name: str, verbose: bool = False, sink: int = 2) -> None:
        self.name, self.verbose, self.sink = name, verbose, sink
        self.lines = bytearray()
        self.lost_lines = 0
        self.loop: asyncio.AbstractEventLoop | None = None
        self.write_scheduled = False

    def attach(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        os.set_blocking(self.sink, False)

    def __call__(self, event: str, **fields) -> None:
        line = {"at": datetime.now(UTC), "balancer": self.name, "event": event, **fields}
        self.put(orjson.dumps(line, default=str, option=orjson.OPT_APPEND_NEWLINE))

    def put(self, line: bytes) -> None:
        if len(self.lines) > MAX_BUFFERED_BYTES:
            self.lost_lines += 1
            return
        if self.lost_lines:
            line = line[:-2] + b',"lines_lost":%d}\n' % self.lost_lines
            self.lost_lines = 0
        self.lines += line
        if self.loop is None:
            self.write()
        elif not self.write_scheduled:
            self.write_scheduled = True
            self.loop.call_soon(self.write)

    def debug(self, event: str, **fields) -> None:
        if self.verbose:
            self(event, **fields)

    def write(self) -> None:
        self.write_scheduled = False
        try:
            while self.lines:
                del self.lines[: os.write(self.sink, self.lines)]
        except BlockingIOError:
            if self.loop is not None:
                self.write_scheduled = True
                self.loop.call_later(0.1, self.write)
        except OSError:
            self.lines.clear()  # nobody listens any more

    def end(self) -> None:
        self.loop = None
        self.write()
