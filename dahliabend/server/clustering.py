"""This balancer as a member of its cluster: membership protocol, gossip, seeds and the file for a successor.

Imported only if the operator's file has `[members]`, so that other configurations load no dependency of it.
"""

import os
from enum import Enum, auto
from random import Random
from typing import TYPE_CHECKING, Any

import msgspec

from dahliabend.config.address import parse_address
from dahliabend.config.operator_file.schema import MembershipSettings
from dahliabend.membership.authentication import DatagramAuthenticator, parse_key
from dahliabend.membership.events import Event
from dahliabend.membership.protocol import MembershipProtocol
from dahliabend.membership.swim_config import SwimConfig
from dahliabend.membership.udp_transport import UdpTransport
from dahliabend.membership.view import MembershipView
from dahliabend.server import cluster_status
from dahliabend.server.gossip_exchange import GossipExchange
from dahliabend.server.log import EventLog
from dahliabend.server.seed_list import SeedList, SeedSources
from dahliabend.server.stored_membership import MAX_AGE_PERIODS, MembershipFile
from dahliabend.subsetting.demand import UNKNOWN_DEMAND_WEIGHT, DemandEstimator
from dahliabend.transport import host_info
from dahliabend.transport.descriptor_budget import DescriptorBudget
from dahliabend.transport.timers import TimerQueue, clock

if TYPE_CHECKING:
    from dahliabend.server.cluster_limits import SharedRoutes

NANOSECONDS_PER_MICROSECOND = 1000


class MemberState(Enum):
    """The state of this member."""

    NEW = auto()  # not opened yet
    OPEN = auto()  # exchanges datagrams with the other members
    LEFT = auto()  # has left the cluster or handed over to a successor


class ClusterMember:
    """This balancer as a member of its cluster.

    Attributes:
        settings: The membership settings in force; after a reload, some wait for a restart.
        name: This member's name.
        address: The address that the other members send datagrams to.
        stored: The membership state that a predecessor stored; None if there is none.
        protocol: The membership protocol, without I/O.
        gossip: The exchange of health reports with other members; None if it is not configured.
        demand: The estimator of the requests to this balancer; None if its weight is configured.
        seed_list: The seeds from endpoint lists.
    """

    def __init__(
        self,
        settings: MembershipSettings,
        directory: str,
        timers: TimerQueue,
        descriptors: DescriptorBudget,
        seed: int,
        log: EventLog,
    ) -> None:
        """Create a member that is not open yet, and read the state that a predecessor stored.

        Args:
            settings: The membership settings of the operator's file.
            directory: The directory that relative paths refer to.
            timers: The process's timers.
            descriptors: The descriptor budget of connections to discovery services.
            seed: The seed of this member's random number generator.
            log: The event log.
        """
        self.settings = settings
        self.directory = directory
        self.timers = timers
        self.log = log
        self.address = settings.advertise or settings.address
        self.name = settings.name or self.address
        self.state = MemberState.NEW
        random = Random(f"members {self.name} {seed}")
        generation = host_info.time_ns() // NANOSECONDS_PER_MICROSECOND
        self._file = self._create_membership_file()
        self.stored = self._file.read() if self._file is not None else None
        if self.stored is not None:  # the generation must increase even if the clock was set back
            generation = max(generation, self.stored.generation + 1)
        self.protocol = self._create_membership_protocol(generation, random)
        self.transport = UdpTransport(
            self.protocol, self._create_authenticator(settings), timers, self._log_event
        )
        self.gossip: GossipExchange | None = None
        if settings.signals:
            self.gossip = GossipExchange(
                self.protocol,
                self.transport,
                timers,
                random,
                log,
                health_check_period=settings.probing,
            )
        self.demand = DemandEstimator() if settings.demand else None
        self.seed_list = SeedList(self._update_seeds)
        self._seed_sources = SeedSources(self.seed_list, directory, timers, descriptors, random.random, log)
        self._store_timer: Any = None

    def _create_membership_file(self) -> MembershipFile | None:
        label = self.settings.keep
        if label is None:
            return None
        return MembershipFile(
            os.path.join(self.directory, label),
            label=label,
            name=self.name,
            address=self.address,
            period=self.settings.period,
            log=self.log,
        )

    def _create_membership_protocol(self, generation: int, random: Random) -> MembershipProtocol:
        settings = self.settings
        config = SwimConfig(
            period=settings.period, dead_retention=settings.forget, partition_ratio=float(settings.cut)
        )
        weight = UNKNOWN_DEMAND_WEIGHT if settings.demand else settings.weight
        return MembershipProtocol(self.name, generation, self.address, config, random, settings.zone, weight)

    def _create_authenticator(self, settings: MembershipSettings) -> DatagramAuthenticator:
        paths = [os.path.join(self.directory, file_name) for file_name in settings.key_files]
        return DatagramAuthenticator([parse_key(host_info.read_file(path)) for path in paths])

    # Start and shutdown

    @property
    def has_opened(self) -> bool:
        """Whether the member has been opened, even if it has left since."""
        return self.state is not MemberState.NEW

    async def open(self) -> None:
        """Open the transport and start exchanging datagrams with the other members.

        Raises:
            OSError: The member can't bind its address.
        """
        resumed = self.stored is not None and self.stored.handed_over
        if self.stored is not None and resumed:
            self.protocol.restore(clock(), self.stored.snapshot())
        await self.transport.open(parse_address(self.settings.address), self.seeds())
        self.log(
            "membership.opened",
            name=self.name,
            address=self.settings.address,
            advertise=self.address,
            generation=self.protocol.generation,
            resumed=resumed,
        )
        if self.state is MemberState.NEW:
            self.state = MemberState.OPEN
        self._seed_sources.watch(self.settings)
        self.store()
        if self.gossip is not None:
            self.gossip.tick()

    def leave(self) -> None:
        """Leave the cluster and announce it, so that the others need not detect it."""
        if self.state is not MemberState.LEFT:
            self.state = MemberState.LEFT
            self.transport.leave()

    def hand_over(self) -> None:
        """Store the state and stop sending, so that a successor continues as this member unnoticed."""
        if self.state is not MemberState.LEFT:
            self.state = MemberState.LEFT
            self.store(handed_over=True)
            self.transport.close()

    def close(self) -> None:
        """Stop all timers and sources, and close the transport."""
        self.timers.cancel(self._store_timer)
        if self.gossip is not None:
            self.gossip.stop()
        self._seed_sources.stop()
        self.transport.close()

    def store(self, *, handed_over: bool = False) -> None:
        """Store the state for a successor, now and at intervals.

        Args:
            handed_over: Whether the successor continues as this member; nothing is stored after that.
        """
        if self._file is None:
            return
        self._file.write(self.protocol.snapshot(), handed_over=handed_over)
        if not handed_over:
            self.timers.cancel(self._store_timer)
            # Written again when it becomes too old for a successor to continue from.
            interval = MAX_AGE_PERIODS * self.settings.period
            self._store_timer = self.timers.schedule(clock() + interval, self.store)

    # Settings, seeds and demand

    def seeds(self) -> list[str]:
        """Return the addresses of possible members: configured ones, those of lists, and stored ones."""
        stored = [update.address for update in self.stored.members] if self.stored is not None else []
        addresses = [*self.settings.seeds, *self.seed_list.addresses.values(), *stored]
        return list(dict.fromkeys(addresses))

    def apply_settings(self, settings: MembershipSettings) -> None:
        """Apply the settings that can change at run time; the others wait for a restart."""
        before = self.settings
        self.settings = msgspec.structs.replace(
            before,
            zone=settings.zone,
            weight=settings.weight,
            seeds=settings.seeds,
            seeds_file=settings.seeds_file,
            seeds_discovery=settings.seeds_discovery,
            key_files=settings.key_files,
        )
        # The content of key files may have changed under the same names.
        self.transport.authenticator = self._create_authenticator(settings)
        current_weight = self.protocol.self_update.weight
        weight = settings.weight if self.demand is None else current_weight
        if settings.zone != before.zone or weight != current_weight:
            self.protocol.update_self(clock(), zone=settings.zone, weight=weight)
        lists = (settings.seeds_file, settings.seeds_discovery)
        if lists != (before.seeds_file, before.seeds_discovery):
            self.seed_list.clear()
            self._seed_sources.watch(self.settings)
        self._update_seeds()

    def share_limits(self, routes: "SharedRoutes") -> None:
        """Share the limits of these routes with the other balancers; does nothing without gossip."""
        if self.gossip is not None:
            self.gossip.share_limits(routes)

    def report_demand(self, request_count: int) -> None:
        """Announce this balancer's demand to the other members if it has changed.

        Args:
            request_count: The total number of requests so far.
        """
        if self.demand is None:
            return
        weight = self.demand.update(clock(), request_count)
        if weight is not None:
            self.protocol.update_self(clock(), weight=weight)
            self.log("demand.reported", weight=weight)

    def _update_seeds(self) -> None:
        self.protocol.set_seeds(self.seeds())

    def _log_event(self, event: Event) -> None:
        self.log(
            "member.changed",
            change=event.kind,
            member=event.name,
            reported_by=event.reported_by,
            incarnation=event.incarnation,
        )

    # Views

    def view(self) -> MembershipView:
        """Return the current view of the cluster."""
        return self.protocol.view(clock())

    def last_stable_view(self) -> MembershipView | None:
        """Return the last stable view; None if there was none."""
        return self.protocol.last_stable_view(clock())

    def metrics(self) -> cluster_status.MembershipMetrics:
        """Return the metrics of membership."""
        return cluster_status.membership_metrics(self.view(), self.protocol, self.transport)

    def status(self) -> dict[str, Any]:
        """Return the members and metrics in the form of the admin call `/api/members`."""
        protocol = self.protocol
        return {
            "name": self.name,
            **msgspec.to_builtins(self.metrics()),
            **cluster_status.membership_status(clock(), self.view(), self.last_stable_view(), protocol),
        }
