"""The failure detector of SWIM, with direct and indirect pings."""

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

MAX_RELAYED_PINGS_PER_MEMBER = 4  # bound of the relayed pings in flight, per known member


@dataclass(slots=True)
class Probe:
    """The probe of the current protocol period.

    Attributes:
        name: Name of the probed member.
        probe_number: Number in the ping and in the ping requests, which the answers repeat.
        deadline: Time in microseconds by which an ack has to arrive; the probe has failed afterwards.
        indirect_at: Time in microseconds at which other members are asked for indirect pings; None once they
            have been asked.
        pending_nacks: Number of members that were asked for an indirect ping and have not sent a `Nack`.
    """

    name: str
    probe_number: int
    deadline: int
    indirect_at: int | None
    pending_nacks: int = 0


class RelayedPing(NamedTuple):
    """A relayed ping: sent on behalf of another member, for which it is an indirect ping.

    Attributes:
        requester: Address of the member that requested the ping.
        probe_number: Number in the ping request, which the answer to the requester repeats.
        deadline: Time in microseconds at which the requester is sent a `Nack`, unless an ack has arrived.
    """

    requester: str
    probe_number: int
    deadline: int


class FailureDetector:
    """Probes one member in each protocol period, and relays pings of other members.

    Attributes:
        probe: The probe in flight, if there is one.
        probe_round: The order in which members are probed.
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
        self._relayed: dict[int, RelayedPing] = {}  # by the number in the relayed ping
        self.probe: Probe | None = None
        self.probe_round = ProbeRound(random, table)

    @property
    def relayed_count(self) -> int:
        """Number of relayed pings in flight."""
        return len(self._relayed)

    def begin_probe(self, now: int) -> bool:
        """Ping the next member of the probe round.

        Args:
            now: Current time in microseconds.

        Returns:
            Whether there is a member to probe.
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
            # The ping always carries the suspicion, so that the member can refute it: piggybacked by chance
            # alone, the suspicion might reach the member too late.
            updates = [member.encoded_update, encode_update(self._local.update)]
            self._disseminator.send(member.address, ping, updates)
        else:
            self._disseminator.send_piggybacked(member.address, ping)
        if name in self._local.update.unreachable_peers:
            # No direct ack is expected: the indirect pings start at once and have the whole period.
            self._request_pings(self.probe)
        return True

    def check_probe(self, now: int) -> Probe | None:
        """Request the indirect pings of the probe if they are due, and end the probe at its deadline.

        Args:
            now: Current time in microseconds.

        Returns:
            The probe if it has just failed, else None.
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
        """Ping a member on behalf of another one; ignored if too many relayed pings are in flight.

        Args:
            now: Current time in microseconds.
            request: The request.
            requester: Address of the member that sent the request.
        """
        if len(self._relayed) >= MAX_RELAYED_PINGS_PER_MEMBER * len(self._table):
            return
        number = self._next_probe_number()
        deadline = now + self._health.timeout(self._config.ping_timeout_ratio)
        self._relayed[number] = RelayedPing(requester, request.probe_number, deadline)
        self._disseminator.send_piggybacked(request.address, Ping(number, request.name))
        self._schedule.bring_forward(deadline)

    def receive_ack(self, ack: Ack) -> str | None:
        """End the probe that an ack belongs to, or forward the ack to the member that requested the ping.

        Returns:
            Name of the probed member; None if the ack does not belong to this member's own probe.
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
        """Record that a member which was asked for an indirect ping has responded."""
        if self.probe is not None and self.probe.probe_number == nack.probe_number:
            self.probe.pending_nacks -= 1

    def expire_relayed(self, now: int) -> None:
        """Send a nack for each relayed ping that has passed its deadline.

        Args:
            now: Current time in microseconds.
        """
        if not self._relayed:
            return
        expired = [number for number, relayed in self._relayed.items() if relayed.deadline <= now]
        for number in expired:
            relayed = self._relayed.pop(number)
            self._disseminator.send_piggybacked(relayed.requester, Nack(relayed.probe_number))

    def abort(self) -> None:
        """Discard the probe and the relayed pings, after a pause of this process."""
        self.probe = None
        self._relayed.clear()

    def deadlines(self) -> list[int]:
        """Return the times, in microseconds, at which the probe or a relayed ping needs attention."""
        deadlines = [relayed.deadline for relayed in self._relayed.values()]
        if self.probe is not None:
            deadlines.append(self.probe.deadline)
            if self.probe.indirect_at is not None:
                deadlines.append(self.probe.indirect_at)
        return deadlines

    def copy_state(self, original: "FailureDetector") -> None:
        """Copy the state of another detector into this one."""
        self.probe = replace(original.probe) if original.probe is not None else None
        self.probe_round.queue = original.probe_round.queue.copy()
        self._relayed = original._relayed.copy()
        self._last_probe_number = original._last_probe_number

    def state_key(self) -> tuple[object, ...]:
        """Return everything that later behaviour depends on, as a hashable value."""
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
        """Ask other members to ping the probed member."""
        probe.indirect_at = None
        member = self._table.members.get(probe.name)
        if member is None:
            return
        request = PingRequest(probe.probe_number, probe.name, member.address)
        for name in self._choose_helpers(probe.name):
            probe.pending_nacks += 1
            self._disseminator.send_piggybacked(self._table.members[name].address, request)

    def _choose_helpers(self, name: str) -> list[str]:
        """Return some members that may be able to reach the named member.

        Members that report it as unreachable are left out: if they were asked too, a member that only a few
        can still reach would be suspected and would refute the suspicion again and again.
        """
        count = self._config.indirect_probes
        chosen = sample_up_to(self._random, self._table.present, count + 1)
        if not all(self._can_help(other, name) for other in chosen if other != name):
            peers = [other for other in self._table.present if other != name and self._can_help(other, name)]
            chosen = sample_up_to(self._random, peers, count)
        return [other for other in chosen if other != name][:count]

    def _can_help(self, helper: str, name: str) -> bool:
        return name not in self._table.members[helper].update.unreachable_peers
