"""Deadlines of suspicions: when a suspected member is declared dead."""

from math import log, log10

from dahliabend.membership.member_table import Member, MemberTable
from dahliabend.membership.schedule import Schedule
from dahliabend.membership.swim_config import SwimConfig


class SuspicionDeadlines:
    """Computes the deadlines of suspicions (Lifeguard, 2017): the more confirmations, the earlier."""

    __slots__ = ("_config", "_schedule", "_table")

    def __init__(self, config: SwimConfig, table: MemberTable, schedule: Schedule) -> None:
        self._config = config
        self._table = table
        self._schedule = schedule

    @property
    def confirmations_needed(self) -> int:
        """Number of confirmations, besides the first report, at which a suspicion is the shortest."""
        return max(1, min(self._config.indirect_probes, len(self._table) - 1))

    def deadline(self, member: Member) -> int:
        """Return the time, in microseconds, at which a suspected member may be declared dead."""
        config = self._config
        scale = max(1.0, log10(len(self._table) + 1))
        shortest = config.suspicion_multiplier * scale * config.period
        confirmed = log(max(1, len(member.reporters))) / log(self.confirmations_needed + 1)
        factor = config.max_suspicion_factor - (config.max_suspicion_factor - 1) * min(1.0, confirmed)
        return member.suspected_at + round(shortest * factor)

    def deadlines(self) -> list[int]:
        """Return the time, in microseconds, at which each suspicion has to be checked for expiry."""
        if not self._table.suspects:
            return []
        unsettled_until = self._schedule.unsettled_until
        return [max(unsettled_until, self.deadline(member)) for member in self._table.suspected_members()]

    def expire(self, now: int) -> list[Member]:
        """Return the members to declare dead.

        A suspicion has to be found expired twice, with the socket read in between: a delay that made this
        timer late also kept the process from reading the socket, where a refutation may be waiting.
        """
        expired: list[Member] = []
        if not self._table.suspects:
            return expired
        for member in self._table.suspected_members():
            if now >= max(self._schedule.unsettled_until, self.deadline(member)):
                if member.expired_once:
                    expired.append(member)
                member.expired_once = True
        return expired

    def add_confirmation(self, member: Member, reported_by: str) -> bool:
        """Record that one more member suspects the given one.

        Returns:
            Whether the confirmation should be disseminated: it is new, and more of them are still useful.
        """
        if reported_by in member.reporters or len(member.reporters) > self._config.indirect_probes:
            return False
        member.reporters.add(reported_by)
        return True

    def shorten(self, now: int, member: Member, reported_by: str, min_reporters: int) -> None:
        """Make the timer due at the deadline of a suspicion that has been confirmed.

        Args:
            now: Current time in microseconds.
            member: The suspected member.
            reported_by: Name of the member that confirms the suspicion.
            min_reporters: Minimum number of reporters from now on, the first one included; missing ones are
                filled in with made-up names.
        """
        for number in range(len(member.reporters), min_reporters):
            member.reporters.add(f"{reported_by}/{number}")
        self._schedule.bring_forward(max(now, self.deadline(member)))

    def restart(self, now: int) -> None:
        """Restart all suspicions after a pause of this process, which may have missed refutations."""
        for member in self._table.suspected_members():
            member.suspected_at = now
            member.reporters = set()
            member.expired_once = False
