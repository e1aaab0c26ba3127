"""The event log: one line of JSON for each event, on standard error."""

import asyncio
import os
from datetime import UTC, datetime
from typing import Protocol

import orjson

MAX_BUFFERED_BYTES = 1 << 20  # of lines that the reader has not taken yet
WRITE_RETRY_DELAY = 0.1  # seconds until the next attempt to write to a full pipe
STANDARD_ERROR = 2


class EventLog(Protocol):
    """A log of events: the process's log, or a view of it that adds context to each line."""

    def __call__(self, event: str, **fields: object) -> None:
        """Log an event with its fields."""

    def debug(self, event: str, **fields: object) -> None:
        """Log an event of detail.

        The platform's log writes it only if it is verbose, the structured log at the event's own level.
        """


class Log:
    """The event log of a balancer that the platform's file configures.

    Lines are buffered and written once in each iteration of the event loop. If the reader is too slow, lines
    are dropped and the next line holds their number: a full pipe must not block the balancer.

    Attributes:
        name: The balancer's name, which is in each line.
        verbose: Whether `debug` logs events.
        sink: The file descriptor that lines are written to.
        lines: The lines that have not been written yet.
        max_buffered_bytes: While more is buffered, new lines are dropped.
        lost_lines: The number of lines dropped since the last one that was kept.
        loop: The event loop that writes lines; None if they are written at once.
        write_scheduled: Whether the event loop has a pending call of `write`.
    """

    def __init__(self, name: str, verbose: bool = False, sink: int = STANDARD_ERROR) -> None:
        """Create a log that writes each line at once until `attach` is called.

        Args:
            name: The balancer's name, which is in each line.
            verbose: Whether `debug` logs events.
            sink: The file descriptor to write to.
        """
        self.name = name
        self.verbose = verbose
        self.sink = sink
        self.lines = bytearray()
        self.max_buffered_bytes = MAX_BUFFERED_BYTES
        self.lost_lines = 0
        self.loop: asyncio.AbstractEventLoop | None = None
        self.write_scheduled = False

    def attach(self, loop: asyncio.AbstractEventLoop) -> None:
        """Write lines from callbacks of this event loop, without blocking."""
        self.loop = loop
        blocking = False
        os.set_blocking(self.sink, blocking)

    def detach(self) -> None:
        """Write lines at once from now on, as the event loop has ended."""
        self.loop = None
        self.write_scheduled = False

    def __call__(self, event: str, **fields: object) -> None:
        """Log an event with its fields."""
        line = {"at": datetime.now(UTC), "balancer": self.name, "event": event, **fields}
        self.put(orjson.dumps(line, default=str, option=orjson.OPT_APPEND_NEWLINE))

    def put(self, line: bytes) -> None:
        """Append an encoded line to the buffer, or count it as lost if the buffer is full."""
        if len(self.lines) > self.max_buffered_bytes:
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
        """Log an event of detail, if the log is verbose."""
        if self.verbose:
            self(event, **fields)

    def write(self) -> None:
        """Write as much of the buffer as the sink accepts; try again later if it is full."""
        self.write_scheduled = False
        try:
            while self.lines:
                del self.lines[: os.write(self.sink, self.lines)]
        except BlockingIOError:
            if self.loop is not None:
                self.write_scheduled = True
                self.loop.call_later(WRITE_RETRY_DELAY, self.write)
        except OSError:
            self.lines.clear()  # the reader has closed the pipe

    def close(self) -> None:
        """Write the rest of the buffer, without the event loop."""
        self.detach()
        self.write()
