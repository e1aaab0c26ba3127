"""The failure detector of SWIM: direct and indirect pings."""

from dataclasses import dataclass, replace
from random import Random
from typing import NamedTuple

from dahliabend.membership.codec import encode_update
from dahliabend.membership.dissemination import Disseminator
from dahliabend.membership.local_health import LocalHealth
from dahliabend.membership.local_member import LocalMember
from dahliabend.membership.member_table import MemberTable
from dahliabend.membership.messages import Ack, MemberStatus, Nack, Ping, PingRequest
from dahliabend.membership.probe_round import ProbeRound
from dahliabend.membership.sampling import sample_up_to
from dahliabend.membership.schedule import Schedule
from dahliabend.membership.swim_config import SwimConfig

MAX_RELAYED_PINGS_PER_MEMBER = 4  # bound of pings under way for others, times the members known


@dataclass(slots=True)
class Probe:
    """The probe of this protocol period.

    Attributes:
        name: The member that is probed.
        probe_number: Number of its ping.
        deadline: Microseconds; without an answer by then it has failed.
        indirect_at: Microseconds; when others are asked to ping too. None: they have been.
        pending_nacks: Members that were asked and have not sent a `Nack`.
    """

    name: str
    probe_number: int
    deadline: int
    indirect_at: int | None
    pending_nacks: int = 0


class RelayedProbe(NamedTuple):
    """A ping on behalf of another member.

    Attributes:
        requester: Address of the member that asked for it.
        probe_number: Number of its request.
        deadline: Microseconds; when it is told that there was no answer.
    """

    requester: str
    probe_number: int
    deadline: int


class FailureDetector:
    """Probes one member in each protocol period, and pings on behalf of others.

    Attributes:
        probe: The probe under way, if there is one.
    """

    __slots__ = (
        "_config", "_disseminator", "_health", "_last_probe_number", "_local", "_random", "_relayed",
        "_schedule", "_table", "probe", "probe_round",
    )  # fmt: skip

    def __init__(
        self,
        config: SwimConfig,
        random: Random,
        local: LocalMember,
        table: MemberTable,
        health: LocalHealth,
        schedule: Schedule,
        disseminator: Disseminator,
        first_probe_number: int,
    ) -> None:
        self._config = config
        self._random = random
        self._local = local
        self._table = table
        self._health = health
        self._schedule = schedule
        self._disseminator = disseminator
        self._last_probe_number = first_probe_number
        self._relayed: dict[int, RelayedProbe] = {}  # by the number of the ping
        self.probe: Probe | None = None
        self.probe_round = ProbeRound(random, table)

    @property
    def relayed_count(self) -> int:
        """Pings under way on behalf of others."""
        return len(self._relayed)

    def begin_probe(self, now: int) -> bool:
        """Ping the next member of the round.

        Args:
            now: Microseconds.

        Returns:
            Whether there is one.
        """
        name = self.probe_round.next()
        if name is None:
            return False
        indirect_at = now + self._health.timeout(self._config.ping_timeout_ratio)
        number = self._next_probe_number()
        self.probe = Probe(name, number, now + self._health.timeout(1.0), indirect_at)
        member = self._table.members[name]
        ping = Ping(number, name)
        if member.update.status is MemberStatus.SUSPECT:
            # It hears of the suspicion from whoever pings it: by chance alone it might hear too late.
            updates = [member.encoded_update, encode_update(self._local.update)]
            self._disseminator.send(member.address, ping, updates)
        else:
            self._disseminator.send_piggybacked(member.address, ping)
        if name in self._local.update.unreachable_peers:  # the others have all of the period
            self._request_pings(self.probe)
        return True

    def check_probe(self, now: int) -> Probe | None:
        """Send the indirect pings of the probe if they are due.

        Args:
            now: Microseconds.

        Returns:
            The probe if it has failed; it is over then.
        """
        probe = self.probe
        if probe is None:
            return None
        if probe.indirect_at is not None and now >= probe.indirect_at:
            self._request_pings(probe)
        if now < probe.deadline:
            return None
        self.probe = None
        return probe

    def relay_ping(self, now: int, request: PingRequest, requester: str) -> None:
        """Ping a member on behalf of another one.

        Args:
            now: Microseconds.
            request: The request.
            requester: Address of the member that sent it.
        """
        if len(self._relayed) >= MAX_RELAYED_PINGS_PER_MEMBER * len(self._table):
            return
        number = self._next_probe_number()
        deadline = now + self._health.timeout(self._config.ping_timeout_ratio)
        self._relayed[number] = RelayedProbe(requester, request.probe_number, deadline)
        self._disseminator.send_piggybacked(request.address, Ping(number, request.name))
        self._schedule.bring_forward(deadline)

    def receive_ack(self, ack: Ack) -> str | None:
        """End the probe that an ack belongs to, or pass the ack on.

        Returns:
            Name of the member that this one has probed; None if the ack does not belong to its probe.
        """
        probe = self.probe
        if probe is not None and probe.probe_number == ack.probe_number:
            self.probe = None
            return probe.name
        relayed = self._relayed.pop(ack.probe_number, None)
        if relayed is not None:
            self._disseminator.send_piggybacked(relayed.requester, Ack(relayed.probe_number, direct=False))
        return None

    def receive_nack(self, nack: Nack) -> None:
        """Record that a member which was asked for an indirect ping is there."""
        if self.probe is not None and self.probe.probe_number == nack.probe_number:
            self.probe.pending_nacks -= 1

    def expire_relayed(self, now: int) -> None:
        """Send a nack for each unanswered ping on behalf of another member; `now` is in microseconds."""
        if not self._relayed:
            return
        expired = [number for number, relayed in self._relayed.items() if relayed.deadline <= now]
        for number in expired:
            relayed = self._relayed.pop(number)
            self._disseminator.send_piggybacked(relayed.requester, Nack(relayed.probe_number))

    def abort(self) -> None:
        """Forget the probe and the pings on behalf of others: this process was stopped."""
        self.probe = None
        self._relayed.clear()

    def deadlines(self) -> list[int]:
        """Return when there is something to do next, in microseconds."""
        deadlines = [relayed.deadline for relayed in self._relayed.values()]
        if self.probe is not None:
            deadlines.append(self.probe.deadline)
            if self.probe.indirect_at is not None:
                deadlines.append(self.probe.indirect_at)
        return deadlines

    def copy_state(self, other: "FailureDetector") -> None:
        """Take over a copy of another one's state."""
        self.probe = replace(other.probe) if other.probe is not None else None
        self.probe_round.queue = other.probe_round.queue.copy()
        self._relayed = other._relayed.copy()
        self._last_probe_number = other._last_probe_number

    def state_key(self) -> tuple[object, ...]:
        """Return all that later behaviour depends on."""
        probe = self.probe
        probing = (
            (probe.name, probe.probe_number, probe.deadline, probe.indirect_at, probe.pending_nacks)
            if probe is not None
            else None
        )
        return probing, self._last_probe_number, tuple(self._relayed.items()), tuple(self.probe_round.queue)

    def _next_probe_number(self) -> int:
        self._last_probe_number += 1
        return self._last_probe_number

    def _request_pings(self, probe: Probe) -> None:
        """Ask other members to ping the one that is probed."""
        probe.indirect_at = None
        member = self._table.members.get(probe.name)
        if member is None:
            return
        request = PingRequest(probe.probe_number, probe.name, member.address)
        for name in self._choose_helpers(probe.name):
            probe.pending_nacks += 1
            self._disseminator.send_piggybacked(self._table.members[name].address, request)

    def _choose_helpers(self, name: str) -> list[str]:
        """Return some members that do not report that they cannot reach this one either.

        If such members were asked too, a member that only a few still reach would be suspected and refuted
        without end.
        """
        count = self._config.indirect_probes
        chosen = sample_up_to(self._random, self._table.present, count + 1)
        if not all(self._can_help(other, name) for other in chosen if other != name):
            able = [other for other in self._table.present if other != name and self._can_help(other, name)]
            chosen = sample_up_to(self._random, able, count)
        return [other for other in chosen if other != name][:count]

    def _can_help(self, helper: str, name: str) -> bool:
        return name not in self._table.members[helper].update.unreachable_peers
