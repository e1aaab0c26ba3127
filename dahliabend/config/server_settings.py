"""The settings of a running balancer, independent of the file they come from."""

from dataclasses import dataclass
from typing import Any

from dahliabend.model import PolicySettings

IDLE_REUSE_RATIO = 7 / 8  # of the configured idle timeout, after which the peer may have closed


@dataclass(frozen=True, slots=True)
class ServerSettings:
    """The settings of one running balancer. Times are in microseconds.

    Attributes:
        name: The name of this balancer in logs and among its peers.
        listen: The address that clients connect to.
        discovery: The address of the discovery service.
        admin: The address of the admin API; None if there is none.
        listener_descriptor: The descriptor of an inherited listening socket for clients; None without one.
        shared_directory: The directory shared by processes with the same listening socket; empty without one.
        seed: The seed of all random number generators.
        descriptor_limit: The maximum number of descriptors that may be open at once.
        memory_limit: The memory in bytes at which the platform kills the process.
        known_endpoints: The last endpoint list of this balancer, in the discovery service's format.
        verbose: Whether debug events are logged.
        settings: The settings of the policy.
        class_indices: The index of each request class, by its name on the wire.
        tenant_indices: The index of each tenant, by its name on the wire.
        zone_indices: The index of each zone, by its name.
        class_deadlines: The deadline of each request class, by its index.
        deadline_slack: The time by which a client's deadline may be nearer than it appears, because received
            bytes wait while the machine is busy.
        connect_timeout: The timeout for establishing a connection to an upstream.
        idle_reuse_time: The idle time up to which a connection is reused.
        health_check_timeout: The timeout of a health check.
        max_in_flight: The maximum number of requests in flight.
        report_fields: The names of the load report fields in health check responses.
        unsupported_keys: The keys of settings that enable features this program does not have.
        present_keys: The dotted keys that the file contains, in the form of `config.present_keys`.
        monotonic_offset: The machine's monotonic time minus Unix time.
    """

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    admin: tuple[str, int] | None
    listener_descriptor: int | None
    shared_directory: str
    seed: int
    descriptor_limit: int
    memory_limit: int
    known_endpoints: dict[str, Any]
    verbose: bool
    settings: PolicySettings
    class_indices: dict[bytes, int]
    tenant_indices: dict[bytes, int]
    zone_indices: dict[str, int]
    class_deadlines: tuple[int, ...]
    deadline_slack: int
    connect_timeout: int
    idle_reuse_time: int
    health_check_timeout: int
    max_in_flight: int
    report_fields: tuple[str, ...]
    unsupported_keys: tuple[str, ...]
    present_keys: frozenset[str]
    monotonic_offset: int

    @property
    def policy_inputs(self) -> tuple[object, ...]:
        """The settings that the policy and its port depend on; if a reload changes any, both are replaced."""
        return (
            self.settings,
            self.class_indices,
            self.tenant_indices,
            self.zone_indices,
            self.deadline_slack,
            self.connect_timeout,
            self.idle_reuse_time,
            self.report_fields,
        )
