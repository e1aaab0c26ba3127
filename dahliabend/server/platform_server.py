"""The server of a balancer that the platform's file (PROXY_CONFIG) configures.

It has one router and one endpoint list.
"""

import os
from collections.abc import Mapping
from dataclasses import replace
from typing import Any

from dahliabend.config.platform import reread_server_settings
from dahliabend.config.server_settings import ServerSettings
from dahliabend.discovery.endpoint_list import EndpointList
from dahliabend.discovery.watch import DiscoveryClient
from dahliabend.proxy.endpoint_resources import EndpointResources
from dahliabend.proxy.endpoint_table import EndpointTable
from dahliabend.proxy.router import Router
from dahliabend.server.handover_state import capture_state, restore_state
from dahliabend.server.hot_restart import HotRestart
from dahliabend.server.log import Log
from dahliabend.server.process_takeover import ProcessTakeover
from dahliabend.server.reload import reload_configuration
from dahliabend.server.runner import run_server
from dahliabend.server.server import Server


class PlatformServer(Server):
    """A server with the settings of the platform's file.

    Attributes:
        endpoint_list: The upstreams listed by the discovery service.
        takeover: Coordination with other processes on the same listening socket; None if there can be none.
    """

    router: Router

    def __init__(self, settings: ServerSettings, environment: Mapping[str, str], log: Log) -> None:
        """Create a server that does not listen yet; an event loop has to be running.

        Args:
            settings: The settings of the platform's file.
            environment: The environment variables; PROXY_CONFIG names the file that a reload reads.
            log: The event log.
        """
        super().__init__(
            listen_address=settings.listen,
            admin_address=settings.admin,
            descriptor_limit=settings.descriptor_limit,
            memory_limit=settings.memory_limit,
            log=log,
        )
        self.environment = environment
        self._listener_descriptor = settings.listener_descriptor
        self._settings = replace(settings, known_endpoints={})
        self.max_request_time = max(settings.class_deadlines)
        endpoint_resources = EndpointResources(
            self.timers, self.descriptors, settings.connect_timeout, settings.idle_reuse_time, log.debug
        )
        table = EndpointTable(endpoint_resources)
        self.router = Router(settings, self.timers, table, self.metrics, log)
        self.endpoint_list = EndpointList(self.router, log)
        self.discovery = DiscoveryClient(
            settings.discovery,
            self.endpoint_list,
            self.timers,
            self.descriptors,
            settings.connect_timeout,
            self.router.balancer.random,
            log,
            settings.settings.polls_endpoints,
        )
        self.router.discovery = self.discovery
        self.takeover = self._create_takeover(settings.shared_directory)
        self.log_unsupported(settings.unsupported_keys)
        if settings.known_endpoints:
            self.endpoint_list.apply(settings.known_endpoints, first=True)
        table.close_expired_connections()

    def _create_takeover(self, shared_directory: str) -> ProcessTakeover | None:
        if not shared_directory:
            return None
        directory = HotRestart(shared_directory, self.log)
        return ProcessTakeover(
            directory, self.router, self.descriptors, self.memory_guard, self.timers, self.log
        )

    # Start and shutdown

    async def prepare(self) -> None:
        """Take over from a predecessor, if one is running, and start watching the endpoint list."""
        if self.takeover is not None and not await self.takeover.take_over(
            self.capture_state, self.restore_state
        ):
            self.takeover = None
        self.discovery.open()

    def open_listener(self) -> None:
        """Start accepting clients, on the listening socket inherited from the platform if there is one."""
        if self._listener_descriptor is None:
            super().open_listener()
        else:
            self.listener.inherit(self._listener_descriptor)

    def started_event_fields(self) -> dict[str, object]:
        """Return whether this balancer is in the entry tier."""
        return {"entry_tier": self.router.balancer.settings.is_entry_tier}

    def close(self) -> None:
        """Stop watching the endpoint list."""
        self.discovery.stop()

    def log_metrics(self) -> None:
        """Log the router's metrics."""
        router = self.router
        balancer = router.balancer
        self.log(
            "metrics.reported",
            counts=router.counts,
            requests_in_flight=len(router.requests),
            connections=len(self.descriptors.connections),
            attempts_in_flight=balancer.concurrency.in_flight,
            concurrency_limit=round(balancer.concurrency.limit, 1),
            reduction=round(balancer.throttling.tier.reduction, 2),
            ready=len(balancer.selection.ready),
            selected=len(balancer.selection.selected),
            ejected=[
                router.table.endpoints[upstream.index].name
                for upstream in balancer.selection.ready
                if upstream.is_ejected
            ],
        )

    # Hot restart

    def restore_state(self, state: dict[str, Any]) -> None:
        """Restore the state of a predecessor.

        Raises:
            KeyError, TypeError, ValueError, AttributeError: The state is malformed.
        """
        restored = restore_state(state, self.router, self.endpoint_list, self.discovery)
        self.log("hot_restart.resumed", restored=restored, upstreams=len(self.router.table.endpoints))

    def capture_state(self) -> dict[str, Any]:
        """Return the state of this process, for its successor to restore."""
        return capture_state(self.router, self.endpoint_list, self.discovery)

    def exclude(self, name: str, excluded: bool) -> bool:
        """Exclude an upstream in all processes of this balancer, or include it again.

        Returns:
            Whether the upstream has ever been in an endpoint list.
        """
        was_listed = super().exclude(name, excluded)
        if was_listed and self.takeover is not None:
            self.takeover.set_excluded(name, excluded)
        return was_listed

    # Reload

    def reload(self) -> None:
        """Read the file again and apply the settings that can change at run time.

        An invalid file changes nothing.
        """
        reload_configuration(
            lambda: reread_server_settings(self.environment, self._settings),
            self._apply,
            lambda error: {"reason": str(error)},
            metrics=self.metrics,
            log=self.log,
        )

    def _apply(self, settings: ServerSettings) -> dict[str, object]:
        self.log.verbose = settings.verbose
        previous = self._settings
        self._settings = replace(settings, known_endpoints={})  # used at the start only
        self.discovery.change_address(settings.discovery)
        if settings.policy_inputs != previous.policy_inputs:
            self._apply_policy_inputs(settings)
        return {"discovery": ":".join(map(str, settings.discovery)), "debug": settings.verbose}

    def _apply_policy_inputs(self, settings: ServerSettings) -> None:
        """Replace the router's policy settings without interrupting service."""
        # Requests of clients connected before the reload may last as long as either settings allow.
        self.max_request_time = max(self.max_request_time, *settings.class_deadlines)
        table = self.router.table
        table.resources.connect_timeout = settings.connect_timeout
        table.resources.idle_timeout = settings.idle_reuse_time
        in_flight = len(self.router.requests)
        restored = self.router.apply_settings(settings)
        self.log(
            "settings.applied",
            requests_in_flight=in_flight,
            restored=restored,
            new=len(table.endpoints) - restored,
        )
        self.log_unsupported(settings.unsupported_keys)


async def serve_platform(settings: ServerSettings, log: Log) -> None:
    """Serve with the settings of the platform's file until a signal stops the process.

    Raises:
        OSError: The server can't listen on one of its addresses.
    """
    await run_server(lambda: PlatformServer(settings, os.environ, log), log)
