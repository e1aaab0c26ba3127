"""How long a suspicion lasts before the member is declared dead."""

from math import log, log10

from dahliabend.membership.member_table import Member, MemberTable
from dahliabend.membership.schedule import Schedule
from dahliabend.membership.swim_config import SwimConfig


class SuspicionTimers:
    """Deadlines of suspicions (Lifeguard, 2017): the more members confirm one, the sooner it ends."""

    __slots__ = ("_config", "_schedule", "_table")

    def __init__(self, config: SwimConfig, table: MemberTable, schedule: Schedule) -> None:
        self._config = config
        self._table = table
        self._schedule = schedule

    @property
    def confirmations_needed(self) -> int:
        """Independent confirmations that make a suspicion the shortest."""
        return max(1, min(self._config.indirect_probes, len(self._table) - 1))

    def deadline(self, member: Member) -> int:
        """Return when the suspicion of this member ends, in microseconds."""
        config = self._config
        scale = max(1.0, log10(len(self._table) + 1))
        shortest = config.suspicion_multiplier * scale * config.period
        confirmed = log(max(1, len(member.confirmations))) / log(self.confirmations_needed + 1)
        factor = config.max_suspicion_factor - (config.max_suspicion_factor - 1) * min(1.0, confirmed)
        return member.suspected_at + round(shortest * factor)

    def deadlines(self) -> list[int]:
        """Return when each suspicion is to be looked at next, in microseconds."""
        if not self._table.suspects:
            return []
        unsettled_until = self._schedule.unsettled_until
        return [max(unsettled_until, self.deadline(member)) for member in self._table.suspected_members()]

    def expire(self, now: int) -> list[Member]:
        """Return the members to declare dead.

        What kept this process from its timer kept it from its socket too, where a refutation may be unread: a
        suspicion has to be found expired twice, with a look at the socket in between.
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
        """Record that one more member suspects this one.

        Returns:
            Whether it is worth disseminating: new, and not more than are needed.
        """
        if reported_by in member.confirmations or len(member.confirmations) > self._config.indirect_probes:
            return False
        member.confirmations.add(reported_by)
        return True

    def shorten(self, now: int, member: Member, reported_by: str, confirmations: int) -> None:
        """Let a suspicion end as its confirmations have it.

        Args:
            now: Microseconds.
            member: The suspected member.
            reported_by: Who confirms it.
            confirmations: How many confirmations that is worth at least, all in all.
        """
        for number in range(len(member.confirmations), confirmations):
            member.confirmations.add(f"{reported_by}/{number}")
        self._schedule.bring_forward(max(now, self.deadline(member)))

    def restart(self, now: int) -> None:
        """Begin all suspicions anew: this process was stopped, and refutations may have passed it by."""
        for member in self._table.suspected_members():
            member.suspected_at = now
            member.confirmations = set()
            member.expired_once = False
