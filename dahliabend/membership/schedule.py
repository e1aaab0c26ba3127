"""The times at which the protocol acts next, and from which its member table is settled."""

from dahliabend.membership.swim_config import SwimConfig


class Schedule:
    """Due times of one member, in microseconds of its clock.

    Attributes:
        timer_due: Time at which the owner has to call `timer_fired`.
        period_due: Time at which the next protocol period begins.
        period_count: Number of protocol periods that have begun.
        unsettled_until: Time before which this member itself suspects nobody and declares nobody dead: it has
            just started, was paused or was slow, and first requests the tables of others.
    """

    __slots__ = ("_period", "period_count", "period_due", "timer_due", "unsettled_until")

    def __init__(self, config: SwimConfig) -> None:
        self._period = config.period
        self.timer_due = 0
        self.period_due = 0
        self.period_count = 0
        self.unsettled_until = 0

    def restart(self, at: int) -> None:
        """Let the next protocol period begin at this time, with the timer due at the same time."""
        self.period_due = at
        self.timer_due = at

    def begin_period(self, now: int) -> None:
        """Record that a protocol period begins."""
        self.period_due = now + self._period
        self.period_count += 1

    def is_settled(self, now: int) -> bool:
        """Return whether the member table is settled: up to date after a start or a pause of this process."""
        return now >= self.unsettled_until

    def bring_forward(self, at: int) -> None:
        """Make the timer due at this time at the latest."""
        self.timer_due = min(self.timer_due, at)

    def copy_state(self, original: "Schedule") -> None:
        """Copy the state of another schedule into this one."""
        self.timer_due = original.timer_due
        self.period_due = original.period_due
        self.period_count = original.period_count
        self.unsettled_until = original.unsettled_until

    def state_key(self) -> tuple[int, ...]:
        """Return everything that later behaviour depends on, as a hashable value."""
        return self.unsettled_until, self.period_due, self.period_count, self.timer_due
