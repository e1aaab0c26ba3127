"""Parameters of the protocol."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SwimConfig:
    """Parameters of the protocol; all members of a cluster should have the same.

    Attributes:
        period: Protocol period in microseconds: one member is probed in each.
        ping_timeout_ratio: Part of the period after which a ping is unanswered and indirect pings are sent.
        indirect_probes: Members that are asked to ping for this one.
        suspicion_multiplier: Periods that a suspicion lasts at least, times the logarithm of the cluster
            size.
        max_suspicion_factor: By how much longer a suspicion lasts that no other member has confirmed.
        max_health_score: Upper bound of the local health score, by which timeouts grow; 0: they never do.
        late_timer_ratio: Part of the period by which a timer may be late before local health suffers.
        retransmit_multiplier: How often an update is sent, times the logarithm of the cluster size.
        sync_interval: Periods between two anti-entropy syncs.
        dead_retention: Microseconds for which dead members and those that left are remembered.
        partition_ratio: Part of the cluster which, lost within a short time, is taken for a partition.
        max_members: Members that are remembered at the most.
    """

    period: int = 1_000_000
    ping_timeout_ratio: float = 1 / 2
    indirect_probes: int = 3
    suspicion_multiplier: float = 4.0
    max_suspicion_factor: float = 4.0
    max_health_score: int = 8
    late_timer_ratio: float = 1 / 4
    retransmit_multiplier: float = 4.0
    sync_interval: int = 30
    dead_retention: int = 3_600_000_000
    partition_ratio: float = 1 / 3
    max_members: int = 10_000

    @property
    def max_suspicion_time(self) -> int:
        """The longest suspicion in a small cluster, in microseconds; losses within it are simultaneous."""
        return round(self.suspicion_multiplier * self.max_suspicion_factor * self.period)
