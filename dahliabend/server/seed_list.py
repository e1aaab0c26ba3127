"""The seeds of a member: addresses of others, from its settings, from lists, and from what it has stored."""

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

CONNECT_TIMEOUT = 250_000  # microseconds, to the discovery service


class SeedList:
    """The addresses in a list of balancers; observes the list."""

    def __init__(self, on_change: Callable[[], None]) -> None:
        self.on_change = on_change
        self.addresses: dict[str, str] = {}  # by the balancer's name

    def endpoints_changed(self, rows: Iterable[EndpointListEntry], full: bool) -> None:
        """Apply changes of the list, or the whole list."""
        if full:
            self.addresses = {}
        for row in rows:
            if row.state is EndpointState.REMOVED:
                self.addresses.pop(row.name, None)
            else:
                host, port = row.address
                self.addresses[row.name] = f"{host}:{port}"
        self.on_change()

    def clear(self) -> None:
        """Forget all seeds, without telling anyone."""
        self.addresses = {}

    def endpoint_poll_failed(self) -> None:
        """Keep the seeds that are known."""


class SeedSources:
    """The file and the discovery service that the settings name for seeds."""

    def __init__(
        self,
        seed_list: SeedList,
        directory: str,
        timers: TimerQueue,
        descriptors: DescriptorBudget,
        random: Callable[[], float],
        log: EventLog,
    ) -> None:
        """Make sources that are not watched yet.

        Args:
            seed_list: Observes them.
            directory: That relative paths start from.
            timers: The process's timers.
            descriptors: The budget for a connection to the discovery service.
            random: Returns numbers from 0 to 1, for backoff.
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
        """Watch what these settings name, and nothing else."""
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
        """Watch nothing any more."""
        for source in self._sources:
            source.stop()
        self._sources.clear()
