"""A list of endpoints that stands in a file: upstreams, or other balancers."""

from typing import Any

import orjson

from dahliabend.discovery.endpoint_list import EndpointList
from dahliabend.server.log import EventLog
from dahliabend.transport import host_info
from dahliabend.transport.timers import TimerQueue, clock

READ_INTERVAL = 1_000_000  # microseconds between two readings of a watched file


class EndpointListFile:
    """The source of a list that no discovery service keeps.

    It stands in the operator's file itself, or in a file of its own that is watched. It takes the place of a
    discovery client.

    Attributes:
        first_attempt_finished: Always true: unlike a discovery service, a file need not be waited for.
    """

    def __init__(self, endpoint_list: EndpointList, timers: TimerQueue, log: EventLog) -> None:
        self.endpoint_list = endpoint_list
        self.timers = timers
        self.log = log
        self.first_attempt_finished = True
        self._path = ""
        self._applied_text = b""
        self._read_timer: Any = None

    def set_endpoints(self, rows: list[dict[str, Any]]) -> None:
        """Replace the whole list by these entries, in the discovery service's form."""
        message = {"version": self.endpoint_list.version + 1, "full": True, "servers": rows}
        self.endpoint_list.apply(message, first=True)

    def watch(self, path: str) -> None:
        """Read the list from that file, now and whenever it changes."""
        self.stop()
        self._path = path
        self._read()

    def open(self) -> None:
        """Do nothing: there is no connection to open."""

    def poll(self) -> None:
        """Do nothing: a watched file is read at intervals anyway."""

    def stop(self) -> None:
        """Stop watching the file."""
        self.timers.cancel(self._read_timer)

    def _read(self) -> None:
        self._read_timer = self.timers.schedule(clock() + READ_INTERVAL, self._read)
        try:
            text = host_info.read_file(self._path)
            if text == self._applied_text:
                return
            rows = _parse_rows(text)
        except (OSError, ValueError, KeyError, TypeError) as error:
            # Half a file, or none for a moment: the list stays as it is, and nothing is taken out for it.
            self.log("endpoint_file.read_failed", file=self._path, reason=str(error))
            return
        self._applied_text = text
        self.set_endpoints(rows)


def _parse_rows(text: bytes) -> list[dict[str, Any]]:
    rows = orjson.loads(text)["servers"]
    if not isinstance(rows, list):
        raise TypeError("servers is no list")
    return rows
