"""The endpoint list: its messages parsed, its version, and the observer that is notified of changes."""

from collections.abc import Callable
from typing import Any, NamedTuple, Protocol

from dahliabend.config.address import parse_address
from dahliabend.model import EndpointState

UNKNOWN_VERSION = -1
MAX_LOGGED_ENTRY = 200  # characters of an entry that cannot be read

_STATE_NAMES = {
    "up": EndpointState.READY,
    "draining": EndpointState.DRAINING,
    "removed": EndpointState.REMOVED,
}


class EndpointListEntry(NamedTuple):
    """One endpoint as the list has it.

    Attributes:
        name: Its id.
        address: Host and port; empty for one that was removed.
        state: Whether it takes requests.
        started_ms: Unix time of its start in milliseconds; 0 if unknown.
        weight: Its capacity, relative to the others.
        cell: The deduplication scope that it belongs to.
        zone: The zone that it stands in; empty if unknown.
    """

    name: str
    address: tuple[str, int]
    state: EndpointState
    started_ms: int
    weight: float
    cell: int
    zone: str


class EndpointListObserver(Protocol):
    """Whoever is notified of the endpoint list."""

    def endpoints_changed(self, rows: list[EndpointListEntry], full: bool) -> None:
        """The list has changed.

        Args:
            rows: Endpoints.
            full: They are all there are; else only what has changed.
        """

    def endpoint_poll_failed(self) -> None:
        """The list could not be had; it is tried again without being asked for."""


def parse_endpoint(raw: dict[str, Any]) -> EndpointListEntry:
    """Reads one entry of a message.

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
    """The version of the list that is known, and the observer of its changes.

    Attributes:
        version: Of the last message applied; `UNKNOWN_VERSION` if there is none to go on from.
    """

    def __init__(self, observer: EndpointListObserver, log: Callable[..., None]) -> None:
        self.observer = observer
        self.log = log
        self.version = UNKNOWN_VERSION

    def apply(self, message: dict[str, Any], first: bool) -> None:
        """Applies one message, unless its version is known already.

        A full list holds whatever its version is, as versions may have begun anew.

        Args:
            message: Its `version`, whether it is `full`, and the `servers`.
            first: It is the first message of its watch.

        Raises:
            ValueError: It has only changes, and its version is older than ours: the full list is needed.
            KeyError, TypeError: It is not a message of the list.
        """
        version = int(message["version"])
        full = bool(message.get("full"))
        if version <= self.version and not full:
            if first and version < self.version:
                # Asked for what came after ours, it knows less: its versions began anew. If its changes were
                # ignored as known, drains would be missed until it has counted up to ours.
                self.version = UNKNOWN_VERSION
                raise ValueError("its count began anew")
            return
        rows = self._parse_rows(message.get("servers") or ())
        self.version = version
        self.log("endpoint_list.applied", version=version, full=full, entries=len(rows))
        self.observer.endpoints_changed(rows, full)

    def _parse_rows(self, entries: list[dict[str, Any]] | tuple[()]) -> list[EndpointListEntry]:
        """All valid entries; the others are logged."""
        rows: list[EndpointListEntry] = []
        for raw in entries:
            try:
                rows.append(parse_endpoint(raw))
            except (KeyError, TypeError, ValueError, AttributeError) as error:
                entry = str(raw)[:MAX_LOGGED_ENTRY]
                self.log("endpoint_list.entry_skipped", reason=str(error), entry=entry)
        return rows
