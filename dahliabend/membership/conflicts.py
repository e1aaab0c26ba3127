"""Two processes that use one name at the same time."""

from dahliabend.membership.events import EventKind, EventLog
from dahliabend.membership.member_table import MemberTable
from dahliabend.membership.messages import Update
from dahliabend.membership.swim_config import SwimConfig


class ConflictReporter:
    """Reports conflicts, so that neither process wins silently; each name once in the longest suspicion."""

    __slots__ = ("_config", "_events", "_reported_at", "_table")

    def __init__(self, config: SwimConfig, table: MemberTable, events: EventLog) -> None:
        self._config = config
        self._table = table
        self._events = events
        self._reported_at: dict[str, int] = {}

    def __len__(self) -> int:
        """Return the number of names that are remembered."""
        return len(self._reported_at)

    def report(self, now: int, update: Update) -> None:
        """Report that an update comes from a second process of a name.

        Args:
            now: Microseconds.
            update: The update.
        """
        interval = self._config.max_suspicion_time
        if now - self._reported_at.get(update.name, -interval) < interval:
            return
        if len(self._reported_at) > len(self._table):
            self._reported_at.clear()
        self._reported_at[update.name] = now
        self._events.record(now, EventKind.CONFLICT, update.name, update.reported_by)

    def copy_state(self, other: "ConflictReporter") -> None:
        """Take over a copy of another one's state."""
        self._reported_at = other._reported_at.copy()
