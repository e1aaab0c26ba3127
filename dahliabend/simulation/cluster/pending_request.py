"""A request that a balancer instance holds, and its attempts."""

from dataclasses import dataclass, field

from dahliabend.policy.records import RequestState
from dahliabend.simulation.cluster.upstream_model import SimulatedUpstream


@dataclass(slots=True)
class AttemptRecord:
    """One attempt of a request."""

    upstream: SimulatedUpstream
    sent_at: int
    is_finished: bool = False


@dataclass(slots=True)
class PendingRequest:
    """A request that a balancer holds."""

    arrived_at: int
    class_index: int
    is_answered: bool = False
    effects: int = 0  # how often it was executed
    state: RequestState | None = None
    attempts: list[AttemptRecord] = field(default_factory=list)
