"""When the protocol acts next, and from when on it trusts what it knows."""

from dahliabend.membership.swim_config import SwimConfig


class Schedule:
    """Due times of one member, in microseconds of its clock.

    Attributes:
        timer_due: When the owner has to call `timer_fired`.
        period_due: When the next protocol period begins.
        period_count: Protocol periods that have begun.
        unsettled_until: Until then nobody is suspected or declared dead: this member has just started or was
            stopped, and asks the others first.
    """

    __slots__ = ("_period", "period_count", "period_due", "timer_due", "unsettled_until")

    def __init__(self, config: SwimConfig) -> None:
        self._period = config.period
        self.timer_due = 0
        self.period_due = 0
        self.period_count = 0
        self.unsettled_until = 0

    def restart(self, at: int) -> None:
        """Begin the next protocol period at this time, and ask for the timer then."""
        self.period_due = at
        self.timer_due = at

    def begin_period(self, now: int) -> None:
        """Record that a protocol period begins."""
        self.period_due = now + self._period
        self.period_count += 1

    def is_settled(self, now: int) -> bool:
        """Tell whether what this member knows is to be trusted."""
        return now >= self.unsettled_until

    def bring_forward(self, at: int) -> None:
        """Ask for the timer at this time at the latest."""
        self.timer_due = min(self.timer_due, at)

    def copy_state(self, other: "Schedule") -> None:
        """Take over another one's state."""
        self.timer_due = other.timer_due
        self.period_due = other.period_due
        self.period_count = other.period_count
        self.unsettled_until = other.unsettled_until

    def state_key(self) -> tuple[int, ...]:
        """Return all that later behaviour depends on."""
        return self.unsettled_until, self.period_due, self.period_count, self.timer_due
