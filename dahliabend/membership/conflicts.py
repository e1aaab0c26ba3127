"""Reports of name conflicts: two processes that use the same member name at the same time."""

from dahliabend.membership.events import EventKind, EventQueue
from dahliabend.membership.member_table import MemberTable
from dahliabend.membership.messages import Update
from dahliabend.membership.swim_config import SwimConfig


class ConflictReporter:
    """Reports name conflicts as events, each name at most once per `SwimConfig.small_cluster_suspicion_time`.

    Without the event one of the two processes would replace the other unnoticed.
    """

    __slots__ = ("_config", "_events", "_reported_at", "_table")

    def __init__(self, config: SwimConfig, table: MemberTable, events: EventQueue) -> None:
        self._config = config
        self._table = table
        self._events = events
        self._reported_at: dict[str, int] = {}

    def __len__(self) -> int:
        """Return the number of names whose last report is remembered."""
        return len(self._reported_at)

    def report(self, now: int, update: Update) -> None:
        """Report that a second process uses the name of a member.

        Args:
            now: Current time in microseconds.
            update: The update about the second process.
        """
        interval = self._config.small_cluster_suspicion_time
        if now - self._reported_at.get(update.name, -interval) < interval:
            return
        if len(self._reported_at) > len(self._table):
            self._reported_at.clear()
        self._reported_at[update.name] = now
        self._events.record(now, EventKind.CONFLICT, update.name, update.reported_by)

    def copy_state(self, original: "ConflictReporter") -> None:
        """Copy the state of another reporter into this one."""
        self._reported_at = original._reported_at.copy()
