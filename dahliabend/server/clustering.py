"""This balancer as a member of its cluster: membership, gossip, seeds and the file for a successor.

Imported only where the operator's file has `[members]`: nothing else pays for it.
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

NANOSECONDS = 1000  # in a microsecond


class MemberState(Enum):
    """Where this member stands between its start and its end."""

    NEW = auto()
    OPEN = auto()  # it communicates with the others
    LEFT = auto()  # it has left, or a successor goes on in its place


class ClusterMember:
    """This balancer among the others.

    Attributes:
        settings: What the operator's file says of membership, as far as it is in force.
        name: This member's name.
        address: Where the others send to.
        stored: What a predecessor has left, if anything.
        failure_detector: The membership protocol, free of I/O.
        gossip: What balancers tell each other of upstreams; None if they don't.
        demand: An estimate of the requests to this balancer; None if its weight is a setting.
        seed_list: The seeds that lists have.
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
        """Make a member that is not open yet, and read what its predecessor has left.

        Args:
            settings: What the operator's file says of membership.
            directory: That relative paths start from.
            timers: The process's timers.
            descriptors: The budget for connections to discovery services.
            seed: Of this member's random numbers.
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
        generation = host_info.time_ns() // NANOSECONDS
        self._file = self._membership_file()
        self.stored = self._file.read() if self._file is not None else None
        if self.stored is not None:  # a clock that was set back must not make it older than it was
            generation = max(generation, self.stored.generation + 1)
        self.failure_detector = self._membership_protocol(generation, random)
        self.transport = UdpTransport(
            self.failure_detector, self._authenticator(settings), timers, self._log_event
        )
        self.gossip: GossipExchange | None = None
        if settings.signals:
            self.gossip = GossipExchange(
                self.failure_detector,
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

    def _membership_file(self) -> MembershipFile | None:
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

    def _membership_protocol(self, generation: int, random: Random) -> MembershipProtocol:
        settings = self.settings
        config = SwimConfig(
            period=settings.period, dead_retention=settings.forget, partition_ratio=float(settings.cut)
        )
        weight = UNKNOWN_DEMAND_WEIGHT if settings.demand else settings.weight
        return MembershipProtocol(self.name, generation, self.address, config, random, settings.zone, weight)

    def _authenticator(self, settings: MembershipSettings) -> DatagramAuthenticator:
        paths = [os.path.join(self.directory, file_name) for file_name in settings.key_files]
        return DatagramAuthenticator([parse_key(host_info.read_file(path)) for path in paths])

    # Start and end.

    @property
    def has_opened(self) -> bool:
        """Return whether it has communicated with the others."""
        return self.state is not MemberState.NEW

    async def open(self) -> None:
        """Communicate with the others from now on.

        Raises:
            OSError: The address can't be had.
        """
        resumed = self.stored is not None and self.stored.handed_over
        if self.stored is not None and resumed:
            self.failure_detector.restore(clock(), self.stored.snapshot())
        await self.transport.open(parse_address(self.settings.address), self.seeds())
        self.log(
            "membership.opened",
            name=self.name,
            address=self.settings.address,
            advertise=self.address,
            generation=self.failure_detector.generation,
            resumed=resumed,
        )
        if self.state is MemberState.NEW:
            self.state = MemberState.OPEN
        self._seed_sources.watch(self.settings)
        self.store()
        if self.gossip is not None:
            self.gossip.tick()

    def leave(self) -> None:
        """Leave the cluster; the others know at once."""
        if self.state is not MemberState.LEFT:
            self.state = MemberState.LEFT
            self.transport.leave()

    def hand_over(self) -> None:
        """Fall silent for a successor, which goes on as this member: the others see no change."""
        if self.state is not MemberState.LEFT:
            self.state = MemberState.LEFT
            self.store(handed_over=True)
            self.transport.close()

    def close(self) -> None:
        """Release everything."""
        self.timers.cancel(self._store_timer)
        if self.gossip is not None:
            self.gossip.stop()
        self._seed_sources.stop()
        self.transport.close()

    def store(self, *, handed_over: bool = False) -> None:
        """Write what a successor needs, and do so again after a while.

        Args:
            handed_over: Whether the successor is to go on as this member; nothing is written after that.
        """
        if self._file is None:
            return
        self._file.write(self.failure_detector.snapshot(), handed_over=handed_over)
        if not handed_over:
            self.timers.cancel(self._store_timer)
            interval = MAX_AGE_PERIODS * self.settings.period
            self._store_timer = self.timers.schedule(clock() + interval, self.store)

    # Changes.

    def seeds(self) -> list[str]:
        """Return the addresses of all that may be members."""
        stored = [update.address for update in self.stored.members] if self.stored is not None else []
        addresses = [*self.settings.seeds, *self.seed_list.addresses.values(), *stored]
        return list(dict.fromkeys(addresses))

    def apply_settings(self, settings: MembershipSettings) -> None:
        """Apply what a reload may change; the rest waits for a restart."""
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
        # The files may hold other keys under the same names.
        self.transport.authenticator = self._authenticator(settings)
        current_weight = self.failure_detector.self_update.weight
        weight = settings.weight if self.demand is None else current_weight
        if settings.zone != before.zone or weight != current_weight:
            self.failure_detector.update_self(clock(), zone=settings.zone, weight=weight)
        lists = (settings.seeds_file, settings.seeds_discovery)
        if lists != (before.seeds_file, before.seeds_discovery):
            self.seed_list.clear()
            self._seed_sources.watch(self.settings)
        self._update_seeds()

    def share_limits(self, routes: "SharedRoutes") -> None:
        """Share the limits of these routes with the other balancers; wants gossip."""
        if self.gossip is not None:
            self.gossip.share_limits(routes)

    def report_demand(self, request_count: int) -> None:
        """Tell the others this balancer's demand if it has changed.

        Args:
            request_count: All requests that have come until now.
        """
        if self.demand is None:
            return
        weight = self.demand.update(clock(), request_count)
        if weight is not None:
            self.failure_detector.update_self(clock(), weight=weight)
            self.log("demand.reported", weight=weight)

    def _update_seeds(self) -> None:
        self.failure_detector.set_seeds(self.seeds())

    def _log_event(self, event: Event) -> None:
        self.log(
            "member.changed",
            change=event.kind,
            member=event.name,
            reported_by=event.reported_by,
            incarnation=event.incarnation,
        )

    # Views.

    def view(self) -> MembershipView:
        """Return the newest view of the members."""
        return self.failure_detector.view(clock())

    def settled(self) -> MembershipView | None:
        """Return the last view in which nobody was suspected, if there was one."""
        return self.failure_detector.last_stable_view(clock())

    def metrics(self) -> cluster_status.MembershipMetrics:
        """Return the metrics of membership."""
        return cluster_status.membership_metrics(self.view(), self.failure_detector, self.transport)

    def status(self) -> dict[str, Any]:
        """Return all that this member knows, for operators."""
        protocol = self.failure_detector
        return {
            "name": self.name,
            **msgspec.to_builtins(self.metrics()),
            **cluster_status.membership_status(clock(), self.view(), self.settled(), protocol),
        }
