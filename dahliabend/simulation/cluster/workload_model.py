"""Model of a cluster of balancers under load on the simulated network.

Each balancer has the real policy, membership and subsets; the upstreams are simulated. The load is open-loop:
requests arrive whether or not earlier ones are answered. A seed gives the same arrivals with any settings, so
that runs can be compared in pairs. Simulating one second of 40 balancers, 60 upstreams and 330 requests takes
about 60 ms. Bytes are not simulated; `dahliabend emulate` covers the program's network code.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from heapq import heappop, heappush
from random import Random
from typing import Any

from dahliabend.health_gossip.gossip import GOSSIP_INTERVAL
from dahliabend.membership.protocol import MembershipProtocol
from dahliabend.membership.snapshot import MembershipSnapshot
from dahliabend.membership.swim_config import SwimConfig
from dahliabend.model import EndpointState, EndpointUpdate, PolicySettings
from dahliabend.simulation.cluster.balancer_instance import (
    DEADLINE,
    ONE_WAY_DELAY,
    REQUEST_CLASSES,
    BalancerInstance,
)
from dahliabend.simulation.cluster.instance_environment import WorkloadMetrics
from dahliabend.simulation.cluster.model import ClusterModel
from dahliabend.simulation.cluster.script import ClusterScript
from dahliabend.simulation.cluster.upstream_model import MS, S, SimulatedUpstream, UpstreamProfile
from dahliabend.subsetting.demand import UNKNOWN_DEMAND_WEIGHT
from dahliabend.subsetting.selection import Participant
from dahliabend.subsetting.settings import SubsetControllerSettings

MEMBERSHIP_STEP = 250 * MS  # step in which the requests run first, then the membership protocol
DISCOVERY_DELAY = 200 * MS, 1_500 * MS  # until a balancer receives a change of the endpoint list
CLIENT_FAILOVER_TIME = 1 * S  # until clients stop sending to a balancer that has ended
DRAIN_TIME = 3 * S  # from an upstream's announcement as draining until its end
SAMPLE_INTERVAL = S
SUBMIT_SHARE = 0.3  # share of requests that are not idempotent


class WorkloadModel(ClusterModel):
    """A cluster model whose instances are balancers under load.

    Args:
        script: The cluster; its steps are not run.
        upstreams: Number of upstreams at the start.
        rate: Requests per second, over the cluster.
        subset_settings: Settings of the subset controllers; None: each balancer uses all upstreams.
        profile: Capacity and warm-up of each upstream.
        config: Settings of the membership protocol.
        zones: Number of zones that balancers and upstreams are spread over.
        announces_demand: Whether balancers announce how many requests they receive.
        has_gossip: Whether balancers exchange health reports.
        lie_types: By balancer: the type of its false reports, see `LyingGossip`.
        check_period: Period of leased health checks in microseconds; 0: none.
    """

    def __init__(  # noqa: PLR0913 -- the settings of an experiment, all but one with a default
        self,
        script: ClusterScript,
        upstreams: int = 60,
        rate: float = 330.0,
        subset_settings: SubsetControllerSettings | None = None,
        *,
        profile: UpstreamProfile | None = None,
        config: SwimConfig | None = None,
        zones: int = 1,
        announces_demand: bool = False,
        has_gossip: bool = False,
        lie_types: dict[int, str] | None = None,
        check_period: int = 0,
    ) -> None:
        """Create a run; the class documents the arguments."""
        super().__init__(script, config)
        self.profile = profile or UpstreamProfile()
        self.rate = rate
        self.subset_settings = subset_settings
        self.announces_demand = announces_demand
        self.first_balancer_share = 0.0  # share of requests sent to the first balancer only
        self.has_gossip = has_gossip
        self.lie_types = lie_types or {}
        self.check_period = check_period
        self.zone_names = [f"z{n}" for n in range(zones)]
        self.metrics = WorkloadMetrics()
        self.clock = S
        self.arrivals_rng = Random(f"arrivals {script.seed}")
        self.rng = Random(f"nodes {script.seed}")
        # A heap of (time, sequence number, callback, arguments).
        self.events: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self.sequence = 0
        self.upstreams: list[SimulatedUpstream] = []  # all processes ever started, by index
        self.upstreams_by_name: dict[str, SimulatedUpstream] = {}  # the running processes
        self.balancers: dict[int, BalancerInstance] = {}
        self.targets: list[int] = []  # balancers that clients send to
        self.measured_since = 0  # results of requests that arrived earlier are not counted
        self.is_finished = False
        for number in range(upstreams):
            self.start_upstream(f"u{number}", started_at=0)

    @property
    def counts(self) -> Counter[str]:
        """The counters of the run."""
        return self.metrics.counts

    def report_violation(self, what: str) -> None:
        """Record a violated invariant."""
        self.metrics.violations.append(f"{self.clock / S:.3f} s: {what}")

    # Clock and events

    @property
    def now(self) -> int:
        """The time of the virtual clock, in microseconds."""
        return self.clock

    def call_at(self, when: int, call: Callable[..., None], *arguments: Any) -> None:  # noqa: ANN401 -- passed on
        """Schedule a call at the time `when`."""
        self.sequence += 1
        heappush(self.events, (when, self.sequence, call, arguments))

    def run(self, span: int) -> None:
        """Run for `span` microseconds: the requests, and the membership protocol after them in steps."""
        end = self.clock + span
        events = self.events
        while self.clock < end:
            until = min(self.clock + MEMBERSHIP_STEP, end)
            while events and events[0][0] < until:
                self.clock, _, call, arguments = heappop(events)
                call(*arguments)
            self.clock = until
            while self.pending_reversals and self.pending_reversals[0][0] <= until:
                self.revert_step(self.pending_reversals.pop(0)[1])
            if self.uses_membership:
                self.cluster.run(max(0, until - self.cluster.now))

    @property
    def uses_membership(self) -> bool:
        """Whether anything uses the membership; if not, the protocol is not run."""
        return self.subset_settings is not None or self.has_gossip

    def membership_protocol(self, number: int) -> MembershipProtocol | None:
        """Return the membership protocol of a balancer, None if it does not run."""
        return self.cluster.machines.get(f"b{number}")

    def send_gossip(self, source: str, target: str, payload: bytes) -> None:
        """Send a datagram with health reports from one balancer to another, by their names."""
        self.counts["signal bytes"] += len(payload)
        cluster = self.cluster
        if (source, target) not in cluster.blocked_links and self.rng.random() >= cluster.loss:
            self.call_at(self.clock + ONE_WAY_DELAY, self.gossip_arrived, int(target[1:]), payload)

    def gossip_arrived(self, number: int, payload: bytes) -> None:
        """Deliver a datagram with health reports to a balancer."""
        balancer = self.balancers.get(number)
        if balancer is not None and balancer.gossip is not None:
            balancer.gossip.receive(self.clock, payload)

    # Balancers

    def settings(self) -> PolicySettings:
        """Return the policy settings, which all balancers share."""
        return PolicySettings(
            instance_count=self.script.instances,
            instance_index=-1,
            tier=0,
            zone=0,
            request_classes=REQUEST_CLASSES,
            tenant_quotas=(),
            over_quota_weight=1.0,
            overall_weight=1.0,
            worst_class_weight=0.0,
            cross_zone_cost=0.0,
            max_attempts=3,
            can_cancel=True,
            can_health_check=True,
            sends_retry_after=True,
            max_retry_after=3 * S,
            polls_endpoints=False,
            poll_deadline=0,
            initial_capacity=self.profile.initial_capacity,
            warmup_time=self.profile.warmup_time,
            warmup_multiple=self.profile.overload_multiple,
        )

    def participant(self, number: int) -> Participant:
        """Return a balancer as a participant of the subset selection."""
        return Participant(f"b{number}", self.zone_of(number))

    def zone_of(self, number: int) -> str:
        """Return the zone of a balancer or upstream by its number."""
        return self.zone_names[number % len(self.zone_names)]

    def start(self) -> None:
        """Start all balancers with the full membership view, then the clients."""
        for number in range(self.script.instances):
            self.start_instance(number)
        if self.uses_membership:
            self.assume_full_membership()
        self.call_at(self.clock, self.request_arrived)
        self.call_at(self.clock, self.take_sample)

    def start_instance(self, number: int, state: MembershipSnapshot | None = None) -> None:
        """Start a balancer, from a membership snapshot if one is given."""
        super().start_instance(number, state)
        if self.announces_demand:
            self.cluster.machines[f"b{number}"].update_self(self.clock, weight=UNKNOWN_DEMAND_WEIGHT)
        balancer = BalancerInstance(self, number, self.generations[number])
        self.balancers[number] = balancer
        updates = {name: self.endpoint_update(upstream) for name, upstream in self.upstreams_by_name.items()}
        balancer.endpoints_changed(updates)
        balancer.subset_timer_fired()
        if balancer.gossip is not None:
            first_gossip_at = self.clock + self.rng.randrange(GOSSIP_INTERVAL)
            self.call_at(first_gossip_at, balancer.gossip_timer_fired)
        self.targets.append(number)

    def end_instance(self, number: int) -> MembershipProtocol | None:
        """End a balancer at once; its pending requests are lost."""
        balancer = self.balancers.pop(number)
        balancer.is_alive = False
        self.counts["lost"] += sum(
            not request.is_answered and request.arrived_at >= self.measured_since
            for request in balancer.requests.values()
        )
        self.call_at(self.clock + CLIENT_FAILOVER_TIME, self.clients_fail_over, number)
        return super().end_instance(number)

    def clients_fail_over(self, number: int) -> None:
        """Remove a balancer from the clients' targets, unless it runs again."""
        if number not in self.balancers:
            self.targets = [target for target in self.targets if target != number]

    # Upstreams

    def endpoint_update(self, upstream: SimulatedUpstream) -> EndpointUpdate:
        """Return the entry of an upstream in the endpoint list."""
        zone = self.zone_names.index(upstream.zone)
        name = upstream.name.encode()
        return EndpointUpdate(upstream.index, upstream.state, upstream.started_at, 1.0, 0, zone, name)

    def start_upstream(self, name: str, started_at: int | None = None) -> SimulatedUpstream:
        """Start an upstream process; `started_at` in microseconds, None for now, 0 for one already warm."""
        started_at = self.clock if started_at is None else started_at
        zone = self.zone_of(int(name[1:]))
        rng = Random(f"{self.script.seed} {name} {started_at}")
        upstream = SimulatedUpstream(len(self.upstreams), name, zone, self.profile, started_at, rng)
        self.upstreams.append(upstream)
        self.upstreams_by_name[name] = upstream
        self.announce(upstream)
        return upstream

    def announce(self, upstream: SimulatedUpstream) -> None:
        """Publish an upstream's state to each balancer, with a random delay for each."""
        update = self.endpoint_update(upstream)
        for balancer in self.balancers.values():
            received_at = self.clock + self.rng.randint(*DISCOVERY_DELAY)
            self.call_at(received_at, balancer.endpoints_changed, {upstream.name: update})

    def drain_upstream(self, name: str) -> None:
        """Publish an upstream as draining, and stop it after the drain time."""
        upstream = self.upstreams_by_name[name]
        upstream.state = EndpointState.DRAINING
        self.announce(upstream)
        self.call_at(self.clock + DRAIN_TIME, self.end_upstream, upstream)

    def end_upstream(self, upstream: SimulatedUpstream, is_silent: bool = False) -> None:
        """End an upstream's process; `is_silent`: its host too, so that connections time out."""
        upstream.end(self.clock)
        upstream.state = EndpointState.REMOVED
        upstream.is_silent = is_silent
        if self.upstreams_by_name.get(upstream.name) is upstream:
            del self.upstreams_by_name[upstream.name]
        self.announce(upstream)

    # Clients

    def request_arrived(self) -> None:
        """Send a client's request to a balancer, and schedule the next arrival."""
        if self.is_finished:
            return
        wait = max(1, round(self.arrivals_rng.expovariate(self.rate / S)))
        self.call_at(self.clock + wait, self.request_arrived)
        drawn = self.arrivals_rng.random()
        number = self.targets[int(drawn * len(self.targets))] if self.targets else -1
        if self.first_balancer_share and self.arrivals_rng.random() < self.first_balancer_share:
            number = 0
        class_index = int(self.arrivals_rng.random() < SUBMIT_SHARE)
        self.counts["asked"] += 1
        balancer = self.balancers.get(number)
        if balancer is None:
            self.counts["lost"] += 1
        else:
            balancer.admit(class_index)

    def take_sample(self) -> None:
        """Add a sample to the metrics; repeats itself periodically."""
        self.call_at(self.clock + SAMPLE_INTERVAL, self.take_sample)
        connections = Counter[int]()
        for balancer in self.balancers.values():
            connections.update({index: len(idle) for index, idle in balancer.idle_connections.items()})
            connections.update(balancer.busy_connections)
        connection_counts = [connections[upstream.index] for upstream in self.upstreams_by_name.values()]
        metrics = self.metrics
        metrics.mean_connections.append(sum(connection_counts) / max(1, len(connection_counts)))
        metrics.max_connections = max(metrics.max_connections, max(connection_counts, default=0))
        metrics.samples.append({"at": self.clock, **self.counts})

    def finish(self) -> None:
        """Stop the arrivals, run until all deadlines have passed, and count overloaded upstreams."""
        self.is_finished = True
        self.run(DEADLINE + S)
        self.counts["fallen"] = sum(upstream.is_overloaded for upstream in self.upstreams)

    def reset_metrics(self) -> None:
        """Clear all metrics but the violations; they cover requests that arrive from now on."""
        self.measured_since = self.clock
        metrics = self.metrics
        metrics.counts.clear()
        metrics.latencies.clear()
        metrics.mean_connections.clear()
        metrics.samples.clear()
        metrics.max_connections = 0


def upstream_names(numbers: Iterable[int]) -> list[str]:
    """Return the names of the upstreams with these numbers."""
    return [f"u{number}" for number in numbers]
