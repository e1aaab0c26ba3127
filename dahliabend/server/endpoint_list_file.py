"""An endpoint list that is read from a file instead of a discovery service: upstreams or other balancers."""

from typing import Any

import orjson

from dahliabend.discovery.endpoint_list import EndpointList
from dahliabend.server.log import EventLog
from dahliabend.transport import host_info
from dahliabend.transport.timers import TimerQueue, clock

READ_INTERVAL = 1_000_000  # microseconds between two reads of a watched file


class EndpointListFile:
    """The source of an endpoint list without a discovery service; used in place of a discovery client.

    The list is part of the operator's file, or is in a separate file that is watched for changes.

    Attributes:
        first_attempt_finished: Always true, because a file is read at once. A discovery client sets it once
            anything has been received, or the first attempt has failed or timed out.
    """

    def __init__(self, endpoint_list: EndpointList, timers: TimerQueue, log: EventLog) -> None:
        self.endpoint_list = endpoint_list
        self.timers = timers
        self.log = log
        self.first_attempt_finished = True
        self._path = ""
        self._applied_content = b""
        self._read_timer: Any = None

    def set_endpoints(self, entries: list[dict[str, Any]]) -> None:
        """Replace the whole list by these entries, which are in the discovery service's format."""
        message = {"version": self.endpoint_list.version + 1, "full": True, "servers": entries}
        self.endpoint_list.apply(message, first=True)

    def watch(self, path: str) -> None:
        """Read the list from this file, now and whenever the file changes."""
        self.stop()
        self._path = path
        self._read()

    def open(self) -> None:
        """Do nothing: there is no connection to open."""

    def poll(self) -> None:
        """Do nothing: a watched file is read at intervals."""

    def stop(self) -> None:
        """Stop watching the file."""
        self.timers.cancel(self._read_timer)

    def _read(self) -> None:
        self._read_timer = self.timers.schedule(clock() + READ_INTERVAL, self._read)
        try:
            content = host_info.read_file(self._path)
            if content == self._applied_content:
                return
            entries = _parse_entries(content)
        except (OSError, ValueError, KeyError, TypeError) as error:
            # The file may be missing or half written for a moment: the list is kept, no endpoint is removed.
            self.log("endpoint_file.read_failed", file=self._path, reason=str(error))
            return
        self._applied_content = content
        self.set_endpoints(entries)


def _parse_entries(content: bytes) -> list[dict[str, Any]]:
    entries = orjson.loads(content)["servers"]
    if not isinstance(entries, list):
        raise TypeError("servers is no list")
    return entries
