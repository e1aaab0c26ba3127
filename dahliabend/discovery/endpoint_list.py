"""The endpoint list: parsing of its messages, its version, and the interface to observers of its changes."""

from collections.abc import Callable
from typing import Any, NamedTuple, Protocol

from dahliabend.config.address import parse_address
from dahliabend.model import EndpointState

UNKNOWN_VERSION = -1
MAX_LOGGED_ENTRY_CHARS = 200  # characters logged of an invalid entry

_STATE_NAMES = {
    "up": EndpointState.READY,
    "draining": EndpointState.DRAINING,
    "removed": EndpointState.REMOVED,
}


class EndpointListEntry(NamedTuple):
    """One endpoint as the endpoint list describes it.

    Attributes:
        name: Id of the endpoint.
        address: Host and port; empty for an endpoint that was removed.
        state: Whether the endpoint takes requests.
        started_ms: Unix time of its start in milliseconds; 0 if unknown.
        weight: Its capacity, relative to the other endpoints.
        cell: The deduplication scope that it belongs to.
        zone: Its zone; empty if unknown.
    """

    name: str
    address: tuple[str, int]
    state: EndpointState
    started_ms: int
    weight: float
    cell: int
    zone: str


class EndpointListObserver(Protocol):
    """An object that is notified of changes of the endpoint list."""

    def endpoints_changed(self, entries: list[EndpointListEntry], full: bool) -> None:
        """Handle a change of the list.

        Args:
            entries: Endpoints.
            full: Whether these are all endpoints; else they are those that have changed.
        """

    def endpoint_poll_failed(self) -> None:
        """Handle a failed attempt to get the list; the source of the list retries by itself."""


def parse_endpoint(raw: dict[str, Any]) -> EndpointListEntry:
    """Parse one entry of a message.

    >>> tuple(parse_endpoint({"id": "s-1", "addr": "10.0.0.1:80", "state": "up", "zone": "a"}))
    ('s-1', ('10.0.0.1', 80), <EndpointState.READY: 1>, 0, 1.0, 0, 'a')

    Raises:
        KeyError, TypeError, ValueError, AttributeError: The entry is not a valid endpoint.
    """
    state = _STATE_NAMES[raw["state"]]
    name = raw["id"]
    if not isinstance(name, str) or not name:
        raise ValueError("no id")
    host_and_port = ("", 0) if state is EndpointState.REMOVED else parse_address(str(raw.get("addr")))
    started_ms = int(raw.get("started_ms") or 0)
    cell = int(raw.get("cell") or 0)
    weight = float(raw.get("weight") or 1.0)
    return EndpointListEntry(name, host_and_port, state, started_ms, weight, cell, str(raw.get("zone", "")))


class EndpointList:
    """The version of the list that was applied last, and the observer of its changes.

    Attributes:
        observer: Notified of each change.
        log: Called with an event's name and its fields.
        version: Version of the last message applied; `UNKNOWN_VERSION` if the next watch has to get the full
            list.
    """

    def __init__(self, observer: EndpointListObserver, log: Callable[..., None]) -> None:
        self.observer = observer
        self.log = log
        self.version = UNKNOWN_VERSION

    def apply(self, message: dict[str, Any], first: bool) -> None:
        """Apply one message, unless it contains only changes that have been applied already.

        A full list is applied whatever its version is, because the discovery service may have restarted its
        versions.

        Args:
            message: Its `version`, whether it is `full`, and the `servers`.
            first: Whether it is the first message of its watch.

        Raises:
            ValueError: The message contains only changes, and its version is older than the applied one: the
                full list is needed.
            KeyError, TypeError: It is not a message of the list.
        """
        version = int(message["version"])
        full = bool(message.get("full"))
        if version <= self.version and not full:
            if first and version < self.version:
                # The service was asked for changes after the applied version and answers with an older one:
                # it has restarted its versions. If its changes were ignored as already applied, drains would
                # be missed until its versions reach the applied one.
                self.version = UNKNOWN_VERSION
                raise ValueError("its count began anew")
            return
        entries = self._parse_entries(message.get("servers") or ())
        self.version = version
        self.log("endpoint_list.applied", version=version, full=full, entries=len(entries))
        self.observer.endpoints_changed(entries, full)

    def _parse_entries(self, raw_entries: list[dict[str, Any]] | tuple[()]) -> list[EndpointListEntry]:
        """Return all valid entries; invalid ones are logged."""
        entries: list[EndpointListEntry] = []
        for raw in raw_entries:
            try:
                entries.append(parse_endpoint(raw))
            except (KeyError, TypeError, ValueError, AttributeError) as error:
                entry = str(raw)[:MAX_LOGGED_ENTRY_CHARS]
                self.log("endpoint_list.entry_skipped", reason=str(error), entry=entry)
        return entries
