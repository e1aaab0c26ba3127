"""What a balancer on sockets is run with, whichever file it came from."""

from dataclasses import dataclass
from typing import Any

from dahliabend.model import PolicySettings

IDLE_REUSE_RATIO = 7 / 8  # of the configured idle time: after it the other end may have closed


@dataclass(frozen=True, slots=True)
class ServerSettings:
    """Settings of one balancer on sockets. Times are microseconds.

    Attributes:
        name: Of this balancer, in logs and among its peers.
        listen: Where clients connect.
        discovery: Where the discovery service listens.
        admin: Where operators call; None if they can't.
        listener_descriptor: Of the clients' listener, where the platform holds it; else None.
        shared_directory: Of all processes that share this listener; empty if there is one process only.
        seed: Of all random numbers.
        descriptor_limit: How many descriptors may be open at once.
        known_endpoints: The endpoint list as this balancer last had it, in discovery's form.
        verbose: Whether debug lines are logged.
        settings: Of the policy.
        class_indices: Index of each request class, by its name on the wire.
        tenant_indices: Index of each tenant, by its name on the wire.
        zone_indices: Index of each zone, by its name.
        class_deadlines: Deadline of each request class, by its index.
        deadline_slack: How much nearer a deadline may be than it looks, as bytes wait for a busy machine.
        connect_timeout: Until a connection to an upstream has to be up.
        idle_reuse_time: For how long an idle connection is used again.
        health_check_timeout: Until a health check has to be answered.
        max_in_flight: Requests in flight at once.
        report_fields: Names of the load figures that health checks bring.
        unsupported_keys: Keys of settings that allow what this program does not do.
        named_keys: Dotted keys that the file names.
        monotonic_offset: Added to Unix time it gives the monotonic time of this machine.
    """

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    admin: tuple[str, int] | None
    listener_descriptor: int | None
    shared_directory: str
    seed: int
    descriptor_limit: int
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
    named_keys: frozenset[str]
    monotonic_offset: int

    @property
    def policy_inputs(self) -> tuple[object, ...]:
        """All that the policy and its port depend on: if it differs after a reload, they are created anew."""
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
