"""The interface of the workload model for its balancer instances, and the metrics of a run."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Protocol

from dahliabend.membership.protocol import MembershipProtocol
from dahliabend.model import PolicySettings
from dahliabend.simulation.cluster.script import ClusterScript
from dahliabend.simulation.cluster.upstream_model import SimulatedUpstream
from dahliabend.subsetting.selection import Participant
from dahliabend.subsetting.settings import SubsetControllerSettings


@dataclass(slots=True)
class WorkloadMetrics:
    """The metrics of a run. Times are in microseconds."""

    counts: Counter[str] = field(default_factory=Counter)
    latencies: list[int] = field(default_factory=list)  # of requests served within the latency objective
    samples: list[dict[str, int]] = field(default_factory=list)  # the counts at each second
    violations: list[str] = field(default_factory=list)
    mean_connections: list[float] = field(default_factory=list)  # mean over the upstreams, at each second
    max_connections: int = 0  # of one upstream

    @property
    def served_share(self) -> float:
        """The share of all requests that was served within the latency objective."""
        return self.counts["served"] / max(1, self.counts["asked"])


class InstanceEnvironment(Protocol):
    """The workload model as its balancer instances use it. Times are microseconds of the virtual clock."""

    script: ClusterScript
    subset_settings: SubsetControllerSettings | None
    announces_demand: bool
    has_gossip: bool
    lie_types: dict[int, str]
    check_period: int
    zone_names: list[str]
    metrics: WorkloadMetrics
    measured_since: int
    upstreams: list[SimulatedUpstream]
    upstreams_by_name: dict[str, SimulatedUpstream]

    @property
    def now(self) -> int:
        """The time of the virtual clock, in microseconds."""

    @property
    def counts(self) -> Counter[str]:
        """The counters of the run."""

    def report_violation(self, what: str) -> None:
        """Record a violated invariant."""

    def call_at(self, when: int, call: Callable[..., None], *arguments: Any) -> None:  # noqa: ANN401 -- passed on
        """Schedule a call at the time `when`."""

    def membership_protocol(self, number: int) -> MembershipProtocol | None:
        """Return the membership protocol of a balancer, None if it does not run."""

    def send_gossip(self, source: str, target: str, payload: bytes) -> None:
        """Send a datagram with health reports from one balancer to another, by their names."""

    def settings(self) -> PolicySettings:
        """Return the policy settings, which all balancers share."""

    def participant(self, number: int) -> Participant:
        """Return a balancer as a participant of the subset selection."""
