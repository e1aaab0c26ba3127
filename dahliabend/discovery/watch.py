"""The list of upstreams: a watch on its changes, opened again when it ends or falls silent."""

import asyncio
from collections.abc import Callable
from enum import IntEnum
from functools import partial
from typing import Protocol

import httptools
import orjson

from dahliabend.config.platform import address
from dahliabend.model import EndpointState
from dahliabend.transport.connection import Connection, dial
from dahliabend.transport.descriptor_budget import Descriptors
from dahliabend.transport.timers import Deadlines, clock

BEAT = 2_000_000  # an empty line comes that often while nothing changes
SILENT = BEAT * 9 // 8  # nothing for longer: the watch is dead, and changes are missed
SOON = BEAT // 4  # a watch begins at once: one that has not by then is dead too
QUEUED = BEAT * 3 // 4  # the same where the call may have to wait behind those of all others
FIRST, LONGEST = BEAT // 20, BEAT // 2  # what is waited before a watch is opened again
MOST_LINE = 8 * 1024 * 1024

_STATES = {"up": EndpointState.READY, "draining": EndpointState.DRAINING, "removed": EndpointState.REMOVED}


class Reader(Protocol):
    def listed(self, rows: list[tuple], full: bool) -> None: ...
    def endpoint_poll_failed(self) -> None: ...


def entry(raw: dict) -> tuple:
    """An upstream's id, address, state, start (Unix ms), weight, cell and zone.

    >>> entry({"id": "s-1", "addr": "10.0.0.1:80", "state": "up", "zone": "a"})
    ('s-1', ('10.0.0.1', 80), <EndpointState.READY: 1>, 0, 1.0, 0, 'a')
    """
    state, name = _STATES[raw["state"]], raw["id"]
    if not isinstance(name, str) or not name:
        raise ValueError("no id")
    place = ("", 0) if state is EndpointState.REMOVED else address(str(raw.get("addr")))
    started, cell = int(raw.get("started_ms") or 0), int(raw.get("cell") or 0)
    return name, place, state, started, float(raw.get("weight") or 1.0), cell, str(raw.get("zone", ""))


class Book:
    """The versions of the list, and who is told of them."""

    def __init__(self, reader: Reader, log: Callable) -> None:
        self.reader, self.log = reader, log
        self.version = -1

    def read(self, message: dict, first: bool) -> None:
        """Applies one message; `first`: of its watch. The whole list holds whatever its count, which may have
        begun anew. ValueError: only changes, from a count behind ours; the whole list is wanted."""
        version, full = int(message["version"]), bool(message.get("full"))
        if version <= self.version and not full:
            if first and version < self.version:
                # Asked for what came after ours, it knows less: its count began anew. Its changes passed over
                # as told before, drains would go unheard until it has counted up to ours.
                self.version = -1
                raise ValueError("its count began anew")
            return  # told before
        rows = []
        for raw in message.get("servers") or ():
            try:
                rows.append(entry(raw))
            except (KeyError, TypeError, ValueError, AttributeError) as error:
                self.log("list.bad_entry", why=str(error), entry=str(raw)[:200])
        self.version = version
        self.log("list", version=version, full=full, entries=len(rows))
        self.reader.listed(rows, full)


class Watch(Connection):
    """One watch, from its request until it ends."""

    def __init__(self, descriptors: Descriptors, book: Book, heard: Callable, ended: Callable) -> None:
        super().__init__(descriptors)
        self.book, self.heard, self.ended = book, heard, ended
        self.parser = httptools.HttpResponseParser(self)
        self.line = bytearray()
        self.first = True

    def ask(self, host: str) -> None:
        after = b"&after=%d" % self.book.version if self.book.version >= 0 else b""
        self.write(b"GET /api/targets?watch=1%b HTTP/1.1\r\nHost: %b\r\n\r\n" % (after, host.encode()))

    def on_headers_complete(self) -> None:
        if self.parser.get_status_code() != 200:
            raise ValueError("watch refused")

    def on_body(self, part: bytes) -> None:
        self.line += part
        while (end := self.line.find(b"\n")) >= 0:
            text = bytes(self.line[:end]).strip()
            del self.line[: end + 1]
            if text:
                self.book.read(orjson.loads(text), self.first)
                self.first = False
        if len(self.line) > MOST_LINE:
            raise ValueError("too long a line")

    def on_message_complete(self) -> None:
        raise ValueError("watch ended")

    def received(self, view: memoryview) -> None:
        try:
            self.parser.feed_data(view)
            self.heard()
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self.book.log("watch.broken", why=repr(error.__context__ or error))
            self.shut()

    def lost(self) -> None:
        self.parser = None  # it holds this connection and its rings
        self.ended(self)


class Stage(IntEnum):
    """Of keeping a watch open. docs/design.md has the transitions."""

    IDLE = 0  # not asked yet
    DIALING = 1  # its connection comes up
    ASKED = 2  # it has been asked for, nothing has come
    HEARD = 3  # something has, within SILENT of the last byte
    WAITING = 4  # it has ended; the next is opened after a while
    STOPPED = 5  # for good


class Discovery:
    """Keeps a watch open. `asked_by_all`: one service answers all balancers, not an agent beside each."""

    def __init__(
        self, address: tuple[str, int], book: Book, deadlines: Deadlines, descriptors: Descriptors,
        dial_time: int, chance: Callable[[], float], log: Callable, asked_by_all: bool = False,
    ) -> None:  # fmt: skip
        self.address, self.book, self.deadlines, self.descriptors = address, book, deadlines, descriptors
        self.dial_time, self.chance, self.log = dial_time, chance, log
        self.begins_within = QUEUED if asked_by_all else SOON
        self.stage = Stage.IDLE
        self.watch: Watch | None = None  # while DIALING, ASKED or HEARD
        self.before: Watch | None = None  # the one at an earlier address, until the new one is heard
        self.dialing: asyncio.Task | None = None
        self.silence = self.again = None
        self.wait = FIRST
        self.tried = False  # an answer has come, or none could be had

    def open(self) -> None:
        """Opens a watch unless one is open or being opened."""
        if self.stage not in (Stage.IDLE, Stage.WAITING):
            return
        self.deadlines.drop(self.again)
        self.stage = Stage.DIALING
        self.watch = Watch(self.descriptors, self.book, self.heard, self.ended)
        self.expect(self.dial_time)
        self.dialing = self.deadlines.loop.create_task(self.connect(self.watch))
        self.dialing.add_done_callback(partial(self.dialled, self.watch))
        if not self.tried:
            self.deadlines.at(clock() + SOON, self.waited)

    def ask(self) -> None:
        """The decisions want the list. A watch that waits to be opened again is opened in its own time: with
        a second timer beside that one, each failure would bring two calls, and a list service that refuses
        for want of room would be kept there by its callers."""
        if self.stage is Stage.IDLE:
            self.open()

    def move(self, address: tuple[str, int]) -> None:
        """To another list service. An open watch goes on until the new one is heard: closed before, it would
        leave a gap in which a drain is missed."""
        if address == self.address or self.stage is Stage.STOPPED:
            return
        self.address, self.wait = address, FIRST
        if self.stage is Stage.DIALING:
            self.dialing.cancel()
        elif self.stage in (Stage.ASKED, Stage.HEARD):
            self.leave_before()
            self.before, self.watch.heard = self.watch, lambda: None
        self.stage, self.watch = Stage.WAITING, None
        self.open()

    def leave_before(self) -> None:
        if self.before is not None:
            self.before.shut()
            self.before = None

    def waited(self) -> None:
        self.tried = True

    async def connect(self, watch: Watch) -> None:
        try:
            await dial(self.deadlines.loop, self.address, watch)
        except (OSError, asyncio.CancelledError):
            return self.ended(watch)
        if watch is not self.watch:  # moved on, or stopped, in the moment in which it came up
            return watch.shut()
        self.begin(watch)

    def dialled(self, watch: Watch, task: asyncio.Task) -> None:
        if task.cancelled():
            # Given up before its first step, as where a start took longer than the dialling may: `connect`
            # never ran, nothing told that it ended, no watch was opened any more, and drains went unheard.
            watch.never_came_up()
            self.ended(watch)

    def begin(self, watch: Watch) -> None:
        # Asked while the list service was down it stays silent: waited for as long as for a beat, it would
        # hide a drain told to others meanwhile.
        self.stage = Stage.ASKED
        self.expect(self.begins_within)
        watch.ask(f"{self.address[0]}:{self.address[1]}")

    def expect(self, within: int) -> None:
        """Something is to be heard within that time."""
        self.deadlines.drop(self.silence)
        self.silence = self.deadlines.at(clock() + within, self.silent)

    def heard(self) -> None:
        self.stage, self.tried, self.wait = Stage.HEARD, True, FIRST
        self.expect(SILENT)
        self.leave_before()

    def silent(self) -> None:
        self.log("watch.silent", version=self.book.version)
        self.close()

    def close(self) -> None:
        if self.stage is Stage.DIALING:
            self.dialing.cancel()
        elif self.watch is not None:
            self.watch.shut()

    def ended(self, watch: Watch) -> None:
        if watch is not self.watch:
            return
        self.watch, self.tried, self.stage = None, True, Stage.WAITING
        self.deadlines.drop(self.silence)
        self.log("watch.ended", version=self.book.version, again_in_ms=self.wait // 1000)
        # Backed off at random: a list service that failed under load is not stormed by all at once.
        wait = round(self.wait * (1 + self.chance()) / 2)
        self.wait = min(LONGEST, self.wait * 2)
        self.again = self.deadlines.at(clock() + wait, self.open)
        self.book.reader.endpoint_poll_failed()

    def stop(self) -> None:
        self.deadlines.drop(self.again)
        self.deadlines.drop(self.silence)
        self.leave_before()
        self.close()
        self.stage, self.watch = Stage.STOPPED, None
