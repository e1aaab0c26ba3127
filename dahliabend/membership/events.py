"""Events that the protocol reports to its owner."""

from dataclasses import dataclass
from enum import StrEnum


class EventKind(StrEnum):
    """What has happened; the values appear in the log."""

    JOINED = "joined"
    SUSPECTED = "suspected"
    REFUTED = "refuted"
    LEFT = "left"
    DIED = "died"
    RETURNED = "returned"  # a departed member is back, or a new process has taken a member's place
    CONFLICT = "conflict"  # two processes use the same name
    UNREACHABLE = "unreached"  # this member can no longer reach the named member directly
    REACHABLE = "reached"  # this member can reach the named member directly again
    PAUSED = "paused"  # this process was paused for longer than a protocol period
    EXCLUDED = "outcast"  # others have declared this member dead
    READMITTED = "counted"  # others count this member as present again


@dataclass(frozen=True, slots=True)
class Event:
    """A change that this member has observed or learned of.

    Attributes:
        at: Time of the event in microseconds of the protocol's clock.
        kind: What has happened.
        name: Name of the member that the event is about.
        reported_by: Name of the member that reported the change.
        incarnation: Incarnation of the member that the event is about; 0 if it is irrelevant.
    """

    at: int
    kind: EventKind
    name: str
    reported_by: str = ""
    incarnation: int = 0


class EventQueue:
    """Queue of the events that the owner has not taken yet."""

    __slots__ = ("pending",)

    def __init__(self) -> None:
        self.pending: list[Event] = []

    def record(
        self, now: int, kind: EventKind, name: str, reported_by: str = "", incarnation: int = 0
    ) -> None:
        """Append an event; the arguments are the fields of `Event`."""
        self.pending.append(Event(now, kind, name, reported_by, incarnation))

    def take(self) -> list[Event]:
        """Return the events recorded since the last call."""
        pending = self.pending
        self.pending = []
        return pending
