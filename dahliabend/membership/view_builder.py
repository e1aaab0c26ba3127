"""Builds views of the membership from the member table."""

from typing import NamedTuple

from dahliabend.membership.local_health import LocalHealth
from dahliabend.membership.local_member import LocalMember
from dahliabend.membership.member_table import MemberTable
from dahliabend.membership.messages import MemberStatus, Update
from dahliabend.membership.receiver import PacketReceiver
from dahliabend.membership.schedule import Schedule
from dahliabend.membership.swim_config import SwimConfig
from dahliabend.membership.view import Exclusion, MembershipView, MemberState, MemberView, checksum


class _MemberList(NamedTuple):
    version: int
    members: tuple[MemberView, ...]
    checksum: str


class ViewBuilder:
    """Builds views and remembers the last stable one.

    The list of members is cached until the member table changes.
    """

    __slots__ = (
        "_config",
        "_health",
        "_last_stable",
        "_local",
        "_members",
        "_receiver",
        "_schedule",
        "_table",
    )

    def __init__(
        self,
        config: SwimConfig,
        local: LocalMember,
        table: MemberTable,
        health: LocalHealth,
        schedule: Schedule,
        receiver: PacketReceiver,
    ) -> None:
        self._config = config
        self._local = local
        self._table = table
        self._health = health
        self._schedule = schedule
        self._receiver = receiver
        self._members: _MemberList | None = None
        self._last_stable: MembershipView | None = None

    def latest(self, now: int) -> MembershipView:
        """Return the view at this time; `now` is in microseconds."""
        version, members, digest = self._cached_members()
        table = self._table
        silence = now - self._receiver.last_received_at
        is_silent = bool(table.present) and silence > self._config.small_cluster_suspicion_time
        return MembershipView(
            version=version,
            at=now,
            members=members,
            checksum=digest,
            stable=not table.suspects and self._schedule.is_settled(now),
            possibly_partitioned=is_silent or table.partitions.is_partitioned(len(members)),
            exclusion=self._exclusion(),
            time_since_contact=silence,
            confidence=(1 - len(table.suspects) / len(members)) * self._health.confidence,
        )

    def last_stable(self, now: int) -> MembershipView | None:
        """Return the view at this time if it is stable, else the last stable one, or None."""
        latest = self.latest(now)
        if latest.stable:
            self._last_stable = latest
        return self._last_stable

    def copy_state(self, original: "ViewBuilder") -> None:
        """Share the immutable state of another builder."""
        self._members = original._members
        self._last_stable = original._last_stable

    def _exclusion(self) -> Exclusion:
        if self._local.exclusion:
            return self._local.exclusion
        is_unreachable = self._table.is_unreachable(self._local.name)
        return Exclusion.UNREACHABLE if is_unreachable else Exclusion.NONE

    def _cached_members(self) -> _MemberList:
        listed = self._members
        if listed is None or listed.version != self._table.version:
            members = self._build_members()
            listed = _MemberList(self._table.version, members, checksum(members))
            self._members = listed
        return listed

    def _build_members(self) -> tuple[MemberView, ...]:
        present = [member.update for member in self._table.members_named(self._table.present)]
        return tuple(self._view_of(update) for update in sorted([self._local.update, *present], key=_name))

    def _view_of(self, update: Update) -> MemberView:
        state = MemberState.ALIVE
        if update.status is MemberStatus.SUSPECT:
            state = MemberState.SUSPECTED
        elif self._table.is_unreachable(update.name):
            state = MemberState.UNREACHABLE
        member = self._table.members.get(update.name)
        # Positional arguments: this call is the costliest part of building a view of a large cluster.
        return MemberView(
            update.name,
            update.address,
            update.zone,
            update.weight,
            update.generation,
            update.incarnation,
            state,
            member.since if member is not None else 0,
            update.reported_by,
            update.unreachable_peers,
        )


def _name(update: Update) -> str:
    return update.name
