"""Events that the protocol reports to its owner."""

from dataclasses import dataclass
from typing import Literal

EventKind = Literal[
    "joined",
    "suspected",
    "refuted",
    "left",
    "died",
    "returned",  # a member that was dead or had left, or a new process in its place
    "conflict",  # two processes use one name
    "unreached",  # this member cannot reach that one directly any more
    "reached",  # and can again
    "paused",  # this process was stopped for longer than a period
    "outcast",  # others took this member for dead
    "counted",  # and no longer do
]


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
