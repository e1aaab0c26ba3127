"""A list of upstreams or of balancers that stands in a file."""

from collections.abc import Callable

import orjson

from dahliabend.discovery.endpoint_list import EndpointList
from dahliabend.transport import host_info
from dahliabend.transport.timers import TimerQueue, clock

LOOK = 1_000_000  # how often the file is read again


class EndpointListFile:
    """A list where no discovery keeps it: in the operator's file, or in one of its own, watched."""

    def __init__(self, endpoint_list: EndpointList, timers: TimerQueue, log: Callable) -> None:
        self.endpoint_list, self.timers, self.log = endpoint_list, timers, log
        self.attempted, self.path, self.text, self.again = True, "", b"", None

    def say(self, rows: list[dict]) -> None:
        message = {"version": self.endpoint_list.version + 1, "full": True, "servers": rows}
        self.endpoint_list.apply(message, first=True)

    def watch(self, path: str) -> None:
        self.stop()
        self.path = path
        self.look()

    def look(self) -> None:
        self.again = self.timers.schedule(clock() + LOOK, self.look)
        try:
            text = host_info.read_file(self.path)
            if text == self.text:
                return
            rows = orjson.loads(text)["servers"]
            if not isinstance(rows, list):
                raise ValueError("servers is no list")
        except (OSError, ValueError, KeyError, TypeError) as error:
            # Half a file, or none for a moment: what is known holds, nothing is taken out for it.
            return self.log("members.unread", file=self.path, why=str(error))
        self.text = text
        self.say(rows)

    def open(self) -> None: ...
    def poll(self) -> None: ...

    def stop(self) -> None:
        self.timers.cancel(self.again)
