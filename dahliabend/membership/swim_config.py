"""Parameters of the membership protocol."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SwimConfig:
    """Parameters of the protocol; all members of a cluster should have the same.

    Attributes:
        period: Protocol period in microseconds; one member is probed in each period.
        ping_timeout_ratio: Fraction of the period after which a ping counts as unanswered and indirect pings
            are requested.
        indirect_probes: Number of members that are asked for an indirect ping.
        suspicion_multiplier: Factor: a suspicion lasts at least this many periods, multiplied by the decimal
            logarithm of the cluster size if that is above 1.
        max_suspicion_factor: Factor by which a suspicion lasts longer if no other member has confirmed it.
        max_health_score: Upper bound of the local health score, which extends timeouts; 0: they never grow.
        late_timer_ratio: Fraction of the period by which a timer may be late before the local health score
            rises.
        retransmit_multiplier: Factor: an update is sent this many times the decimal logarithm of the cluster
            size, rounded up, plus 1.
        sync_interval: Number of periods between two anti-entropy syncs.
        dead_retention: Time in microseconds for which dead members and those that left are remembered.
        partition_ratio: Fraction of the cluster whose loss within a short time counts as a partition.
        max_members: Maximum number of members that are remembered.
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
    def small_cluster_suspicion_time(self) -> int:
        """Longest suspicion with up to ten known members, in microseconds; with more it can be longer."""
        return round(self.suspicion_multiplier * self.max_suspicion_factor * self.period)
