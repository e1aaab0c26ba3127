"""The event log: one JSON line for each event, on standard error."""

import asyncio
import os
from datetime import UTC, datetime
from typing import Protocol

import orjson

MAX_BUFFERED_BYTES = 1 << 20  # beyond that, lines are dropped until the reader has caught up
WRITE_RETRY_DELAY = 0.1  # seconds until the next attempt to write to a full pipe
STANDARD_ERROR = 2


class EventLog(Protocol):
    """What logs events: the process's log, or a part of it with more context."""

    def __call__(self, event: str, **fields: object) -> None:
        """Log an event with its fields."""

    def debug(self, event: str, **fields: object) -> None:
        """Log an event that is wanted only at the level `debug`."""


class Log:
    """The log of a balancer that is configured by the platform.

    Lines are buffered and written once in each iteration of the event loop. A reader that is too slow loses
    lines, and the next line says how many: a full pipe must not stop the balancer.

    Attributes:
        verbose: Whether `debug` logs anything.
        lines: The lines that have not been written yet.
        lost_lines: Lines dropped since the last one that was kept.
    """

    def __init__(self, name: str, verbose: bool = False, sink: int = STANDARD_ERROR) -> None:
        """Make a log that writes at once until `attach` is called.

        Args:
            name: The balancer's name, which stands in each line.
            verbose: Whether `debug` logs anything.
            sink: File descriptor to write to.
        """
        self.name = name
        self.verbose = verbose
        self.sink = sink
        self.lines = bytearray()
        self.lost_lines = 0
        self.loop: asyncio.AbstractEventLoop | None = None
        self.write_scheduled = False

    def attach(self, loop: asyncio.AbstractEventLoop) -> None:
        """Write from callbacks of that event loop from now on, without blocking."""
        self.loop = loop
        blocking = False
        os.set_blocking(self.sink, blocking)

    def __call__(self, event: str, **fields: object) -> None:
        """Log an event with its fields."""
        line = {"at": datetime.now(UTC), "balancer": self.name, "event": event, **fields}
        self.put(orjson.dumps(line, default=str, option=orjson.OPT_APPEND_NEWLINE))

    def put(self, line: bytes) -> None:
        """Append an encoded line to the buffer, or count it as lost if the buffer is full."""
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

    def debug(self, event: str, **fields: object) -> None:
        """Log an event if the log is verbose."""
        if self.verbose:
            self(event, **fields)

    def write(self) -> None:
        """Write what is buffered, as far as the sink takes it."""
        self.write_scheduled = False
        try:
            while self.lines:
                del self.lines[: os.write(self.sink, self.lines)]
        except BlockingIOError:
            if self.loop is not None:
                self.write_scheduled = True
                self.loop.call_later(WRITE_RETRY_DELAY, self.write)
        except OSError:
            self.lines.clear()  # nobody reads any more

    def close(self) -> None:
        """Write what is left, without the event loop."""
        self.loop = None
        self.write()
