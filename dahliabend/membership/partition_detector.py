"""Detection of network partitions by the number of members lost at the same time."""

from dahliabend.membership.swim_config import SwimConfig


class PartitionDetector:
    """Takes many simultaneous losses for a network partition.

    This member may be on the smaller side of it.
    """

    __slots__ = ("_config", "_partitioned", "_recent_losses")

    def __init__(self, config: SwimConfig) -> None:
        self._config = config
        self._recent_losses: dict[str, int] = {}  # by name: time of the loss in microseconds
        self._partitioned: set[str] = set()  # names lost together with many others, and not back yet

    def record_loss(self, now: int, name: str, cluster_size: int) -> None:
        """Record that a member was declared dead.

        Args:
            now: Current time in microseconds.
            name: Name of the member.
            cluster_size: Number of members still present, this one included.
        """
        # Twice the longest suspicion of a small cluster: a member with a bad health score takes longer to
        # declare others dead.
        since = now - 2 * self._config.small_cluster_suspicion_time
        self._recent_losses = {other: at for other, at in self._recent_losses.items() if at > since}
        self._recent_losses[name] = now
        if self._exceeds_partition_ratio(len(self._recent_losses), cluster_size):
            self._partitioned.update(self._recent_losses)

    def forget(self, name: str) -> None:
        """Remove a member that has returned or that the table no longer has."""
        self._recent_losses.pop(name, None)
        self._partitioned.discard(name)

    def forget_recent(self) -> None:
        """Discard the recent losses, except those already taken for a partition."""
        self._recent_losses.clear()

    def is_partitioned(self, cluster_size: int) -> bool:
        """Return whether this member may be cut off from a large part of the cluster."""
        return self._exceeds_partition_ratio(len(self._partitioned), cluster_size)

    def copy_state(self, original: "PartitionDetector") -> None:
        """Copy the state of another detector into this one."""
        self._recent_losses = original._recent_losses.copy()
        self._partitioned = original._partitioned.copy()

    def _exceeds_partition_ratio(self, lost: int, cluster_size: int) -> bool:
        return lost > self._config.partition_ratio * (cluster_size + lost)
