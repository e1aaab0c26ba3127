"""The seeds of a member that come from endpoint lists: a file or a discovery service."""

import os
from collections.abc import Callable, Iterable

from dahliabend.config.address import parse_address
from dahliabend.config.operator_file.schema import MembershipSettings
from dahliabend.discovery.endpoint_list import EndpointList, EndpointListEntry
from dahliabend.discovery.watch import DiscoveryClient
from dahliabend.model import EndpointState
from dahliabend.server.endpoint_list_file import EndpointListFile
from dahliabend.server.log import EventLog
from dahliabend.transport.descriptor_budget import DescriptorBudget
from dahliabend.transport.timers import TimerQueue

CONNECT_TIMEOUT = 250_000  # microseconds, for connections to the discovery service


class SeedList:
    """The addresses in an endpoint list of balancers, as an observer of that list."""

    def __init__(self, on_change: Callable[[], None]) -> None:
        self.on_change = on_change
        self.addresses: dict[str, str] = {}  # by the balancer's name

    def endpoints_changed(self, entries: Iterable[EndpointListEntry], full: bool) -> None:
        """Apply an update of the endpoint list: the whole list if `full`, otherwise the changed entries."""
        if full:
            self.addresses = {}
        for entry in entries:
            if entry.state is EndpointState.REMOVED:
                self.addresses.pop(entry.name, None)
            else:
                host, port = entry.address
                self.addresses[entry.name] = f"{host}:{port}"
        self.on_change()

    def clear(self) -> None:
        """Drop all seeds without calling `on_change`."""
        self.addresses = {}

    def endpoint_poll_failed(self) -> None:
        """Keep the current seeds."""


class SeedSources:
    """The file and the discovery service from which a seed list is filled."""

    def __init__(
        self,
        seed_list: SeedList,
        directory: str,
        timers: TimerQueue,
        descriptors: DescriptorBudget,
        random: Callable[[], float],
        log: EventLog,
    ) -> None:
        """Create a set of sources without any source; `watch` adds these.

        Args:
            seed_list: The list that the sources fill.
            directory: The directory that relative paths refer to.
            timers: The process's timers.
            descriptors: The descriptor budget of the connection to the discovery service.
            random: Returns random numbers from 0 to 1, for backoff.
            log: The event log.
        """
        self.seed_list = seed_list
        self.directory = directory
        self.timers = timers
        self.descriptors = descriptors
        self.random = random
        self.log = log
        self._sources: list[EndpointListFile | DiscoveryClient] = []

    def watch(self, settings: MembershipSettings) -> None:
        """Watch the sources that these settings name, instead of the current ones."""
        self.stop()
        if settings.seeds_file is not None:
            file = EndpointListFile(EndpointList(self.seed_list, self.log), self.timers, self.log)
            self._sources.append(file)
            file.watch(os.path.join(self.directory, settings.seeds_file))
        if settings.seeds_discovery is not None:
            client = DiscoveryClient(
                parse_address(settings.seeds_discovery),
                EndpointList(self.seed_list, self.log),
                self.timers,
                self.descriptors,
                CONNECT_TIMEOUT,
                self.random,
                self.log,
            )
            self._sources.append(client)
            client.open()

    def stop(self) -> None:
        """Stop watching all sources."""
        for source in self._sources:
            source.stop()
        self._sources.clear()
