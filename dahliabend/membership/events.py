"""Events that the protocol reports to its owner."""

from dataclasses import dataclass
from enum import StrEnum


class EventKind(StrEnum):
    """What has happened; operators see the word in the log."""

    JOINED = "joined"
    SUSPECTED = "suspected"
    REFUTED = "refuted"
    LEFT = "left"
    DIED = "died"
    RETURNED = "returned"  # a member that was dead or had left, or a new process in its place
    CONFLICT = "conflict"  # two processes use one name
    UNREACHABLE = "unreached"  # this member cannot reach that one directly any more
    REACHABLE = "reached"  # and can again
    PAUSED = "paused"  # this process was stopped for longer than a period
    EXCLUDED = "outcast"  # others took this member for dead
    READMITTED = "counted"  # and no longer do


@dataclass(frozen=True, slots=True)
class Event:
    """A change that this member has seen.

    Attributes:
        at: When, in microseconds of the protocol's clock.
        kind: What has happened.
        name: The member that it is about.
        reported_by: The member that reported it.
        incarnation: Incarnation of the member that it is about; 0 where it plays no part.
    """

    at: int
    kind: EventKind
    name: str
    reported_by: str = ""
    incarnation: int = 0


class EventLog:
    """Events that the owner has not taken yet."""

    __slots__ = ("pending",)

    def __init__(self) -> None:
        self.pending: list[Event] = []

    def record(
        self, now: int, kind: EventKind, name: str, reported_by: str = "", incarnation: int = 0
    ) -> None:
        """Append an event; the arguments are those of `Event`."""
        self.pending.append(Event(now, kind, name, reported_by, incarnation))

    def take(self) -> list[Event]:
        """Return the events since the last call."""
        pending = self.pending
        self.pending = []
        return pending
